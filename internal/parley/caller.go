// Caller keeps one stream to one fellow and calls over it. A stream that has
// been silent through a whole call's time is given up, since behind a cut
// nothing else would tell; the next call makes a new one.
package parley

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Class marks failures of inner calls.
var Class = errs.Class("parley")

// Unsent marks calls that never left this daemon.
var Unsent = errs.Class("unsent")

// ErrTimeout tells that no answer came in time; the call may have been heard.
var ErrTimeout = Class.New("no answer in time")

// userTimeout is TCP_USER_TIMEOUT, which the syscall package does not name.
const userTimeout = 18

// Firm makes a stream notice a silent other end within the given time.
func Firm(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(limit/time.Millisecond))
		})
	}
}

// Dial opens a stream with a bound on the wait and on later silence.
func Dial(address string, wait, silence time.Duration) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1, Control: Firm(silence)}
	dialer.SetMultipathTCP(false)
	return dialer.Dial("tcp4", address)
}

// Listen opens a listener whose streams notice a silent other end.
func Listen(address string, silence time.Duration) (listener net.Listener, err error) {
	config := net.ListenConfig{Control: Firm(silence), KeepAlive: -1}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", address)
}

// Caller calls one fellow.
type Caller struct {
	Address string
	// DialWait bounds the wait for a stream; a machine without power says
	// nothing, and what waits behind the dial waits with it.
	DialWait time.Duration
	mu       sync.Mutex
	client   *rpc.Client
	heard    atomic.Int64
	birth    time.Time
}

// NewCaller is a caller that has no stream yet.
func NewCaller(address string) (caller *Caller) {
	return &Caller{Address: address, DialWait: 400 * time.Millisecond, birth: time.Now()}
}

func (c *Caller) stream(wait time.Duration) (client *rpc.Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	conn, err := Dial(c.Address, min(wait, c.DialWait), time.Second)
	if err != nil {
		return nil, Unsent.Wrap(err)
	}
	c.client = rpc.NewClient(conn)
	return c.client, nil
}

func (c *Caller) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close ends the stream; a later call opens another.
func (c *Caller) Close() {
	c.mu.Lock()
	client := c.client
	c.client = nil
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Call asks and waits no longer than limit. The reply may only be read if err
// is nil.
func (c *Caller) Call(method string, ask, reply any, limit time.Duration) (err error) {
	client, err := c.stream(limit)
	if err != nil {
		return err
	}
	begun := time.Since(c.birth)
	call := client.Go(method, ask, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error == nil {
			c.heard.Store(int64(time.Since(c.birth)))
			return nil
		}
		if _, told := call.Error.(rpc.ServerError); !told {
			c.drop(client)
		}
		return Class.Wrap(call.Error)
	case <-timer.C:
		if time.Duration(c.heard.Load()) < begun {
			c.drop(client)
		}
		return ErrTimeout
	}
}

// Serve answers calls to the receivers on the listener until it closes.
func Serve(listener net.Listener, receivers map[string]any) (err error) {
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err = server.RegisterName(name, receiver); err != nil {
			return Class.Wrap(err)
		}
	}
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				if ne, ok := acceptErr.(net.Error); ok && ne.Timeout() {
					continue
				}
				return
			}
			go server.ServeConn(conn)
		}
	}()
	return nil
}
