package message

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// IsTimeout tells that reading or writing ended at its deadline. A connection that the kernel gave up
// (ETIMEDOUT) has failed instead.
func IsTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return false
	}
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}
