package rpc

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// UserTimeout is for [net.Dialer] and [net.ListenConfig]: it ends connections whose
// other end has not acknowledged what was sent for as long as limit.
func UserTimeout(limit time.Duration) (control func(network, address string, raw syscall.RawConn) error) {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit/time.Millisecond))
		})
	}
}

// Dial opens a connection. It waits no longer than wait and its context, and the connection
// ends when the other end acknowledges nothing for as long as ackTimeout.
func Dial(ctx context.Context, address string, wait, ackTimeout time.Duration) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1, Control: UserTimeout(ackTimeout)}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens a listener. Its connections end when the other end acknowledges nothing
// for as long as ackTimeout.
func Listen(address string, ackTimeout time.Duration) (listener net.Listener, err error) {
	config := net.ListenConfig{Control: UserTimeout(ackTimeout), KeepAlive: -1}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", address)
}
