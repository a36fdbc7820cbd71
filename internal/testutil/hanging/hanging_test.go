package hanging

import (
	"errors"
	"net"
	"os"
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
	if _, err = net.DialTimeout("tcp4", address, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection while it hangs: %v", err)
	}
	hanging.Close()
	if _, err = net.DialTimeout("tcp4", address, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection afterwards: %v", err)
	}
}
