package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
)

// maxQuoted is how many bytes of a malformed line an error quotes.
const maxQuoted = 80

// MalformedError tells that bytes are no response, and why.
type MalformedError struct {
	// Reason names the rule that is broken.
	Reason string
	// Line is the beginning of the line that breaks it, where it is one line.
	Line string
}

// Error gives the reason, and the line in quotes.
func (e *MalformedError) Error() string {
	if e.Line == "" {
		return "malformed HTTP response: " + e.Reason
	}
	return fmt.Sprintf("malformed HTTP response: %s: %q", e.Reason, e.Line)
}

// malformed makes the error of a line that breaks a rule.
func malformed(reason string, line []byte) error {
	return &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxQuoted)])}
}

// IsMalformed tells that an error of reading is that of bytes that are no response, rather than of a connection that
// failed or ended.
func IsMalformed(err error) bool { return errors.As(err, new(*MalformedError)) }

// asMalformed makes errors of net/http's parsers malformed ones, and leaves those of the connection as they are.
func asMalformed(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, new(net.Error)) || IsMalformed(err) {
		return err
	}
	return &MalformedError{Reason: err.Error()}
}
