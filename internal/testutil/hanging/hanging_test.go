package hanging

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// Connections to the address time out while it hangs, and are refused afterwards.
func TestConnectionsHang(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err = listener.Close(); err != nil {
		t.Fatal(err)
	}
	hanging, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	// A time-out may come from the dial's context or from the socket's deadline: two errors.
	var timedOut net.Error
	_, err = net.DialTimeout("tcp4", address, 100*time.Millisecond)
	if !errors.As(err, &timedOut) || !timedOut.Timeout() {
		t.Errorf("a connection while it hangs: %v", err)
	}
	hanging.Close()
	if _, err = net.DialTimeout("tcp4", address, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection afterwards: %v", err)
	}
}
