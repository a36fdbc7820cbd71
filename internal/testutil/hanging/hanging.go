// Package hanging has addresses to which connections do not come up, as to those of a machine without power:
// nothing refuses them, and nothing answers.
package hanging

import (
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

const (
	// maxFillers bounds the connections that fill the queue of an address.
	maxFillers = 8
	// fillTimeout is how long a connection may take that still has room in the queue.
	fillTimeout = 50 * time.Millisecond
)

// Class marks failures of this package.
var Class = errs.Class("hanging")

// Address is one to which connections hang until it is closed.
type Address struct {
	socket int
	// fillers are the connections that fill its queue.
	fillers []net.Conn
}

// Listen listens on an address, accepts nothing, and fills its queue.
func Listen(address string) (hanging *Address, err error) {
	where, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	hanging = &Address{socket: socket}
	if err = hanging.listen(where); err != nil {
		hanging.Close()
		return nil, Class.Wrap(err)
	}
	for range maxFillers {
		conn, dialErr := net.DialTimeout("tcp4", address, fillTimeout)
		if dialErr != nil {
			return hanging, nil
		}
		hanging.fillers = append(hanging.fillers, conn)
	}
	hanging.Close()
	return nil, Class.New("%s still takes connections", address)
}

// listen binds the socket with the shortest queue.
func (a *Address) listen(where *net.TCPAddr) (err error) {
	if err = syscall.SetsockoptInt(a.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	address := &syscall.SockaddrInet4{Port: where.Port}
	copy(address.Addr[:], where.IP.To4())
	if err = syscall.Bind(a.socket, address); err != nil {
		return err
	}
	return syscall.Listen(a.socket, 0)
}

// Close frees the address: connections to it are refused, or come up where something listens on it.
func (a *Address) Close() {
	_ = syscall.Close(a.socket)
	for _, conn := range a.fillers {
		_ = conn.Close()
	}
}
