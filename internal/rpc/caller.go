// Caller keeps one stream to one fellow and calls over it. A stream that has
// been silent through a whole call's time is given up, since behind a cut
// nothing else would tell; the next call makes a new one. Calls are numbered by
// stream, so a new one never takes an answer of an old one's. Each answer is read
// into a value of its own, which the one who asked gets only whole and in time.
package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Class marks failures of inner calls.
var Class = errs.Class("parley")

// idleCallLimit is how long a call must have waited in vain for its stream to be
// given up.
const idleCallLimit = 500 * time.Millisecond

const (
	// pauseThreshold is by how much a time-out must be late for this daemon to have
	// stood still, and unread how long what came meanwhile may take to be read.
	pauseThreshold = 250 * time.Millisecond
	pauseReadTime  = 500 * time.Millisecond
)

// ErrNotSent marks calls that never left this daemon.
var ErrNotSent = errs.Class("unsent")

// ErrTimeout tells that no answer came in time; the call may have been heard.
var ErrTimeout = Class.New("no answer in time")

// userTimeout is TCP_USER_TIMEOUT, which the syscall package does not name.
const userTimeout = 18

// UserTimeout makes a stream notice a silent other end within the given time.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(limit/time.Millisecond))
		})
	}
}

// Dial opens a stream with a bound on the wait and on later silence.
func Dial(address string, wait, silence time.Duration) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: wait, KeepAlive: -1, Control: UserTimeout(silence)}
	dialer.SetMultipathTCP(false)
	return dialer.Dial("tcp4", address)
}

// Listen opens a listener whose streams notice a silent other end.
func Listen(address string, silence time.Duration) (listener net.Listener, err error) {
	config := net.ListenConfig{Control: UserTimeout(silence), KeepAlive: -1}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp4", address)
}

// Client calls one fellow.
type Client struct {
	Address string
	// DialWait bounds the wait for a stream; a machine without power says
	// nothing, and what waits behind the dial waits with it.
	DialWait     time.Duration
	mu           sync.Mutex
	client       *rpc.Client
	lastResponse atomic.Int64
	// clock is the steady time since birth.
	clock func() time.Duration
}

// NewClient is a caller that has no stream yet.
func NewClient(address string) (caller *Client) {
	birth := time.Now()
	return &Client{Address: address, DialWait: 400 * time.Millisecond, clock: func() time.Duration { return time.Since(birth) }}
}

func (c *Client) connection(wait time.Duration) (client *rpc.Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	conn, err := Dial(c.Address, min(wait, c.DialWait), time.Second)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	c.client = rpc.NewClientWithCodec(newClientCodec(countedConn{conn}))
	return c.client, nil
}

func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close ends the stream; a later call opens another.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.client = nil
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Call asks and waits no longer than limit. The reply, a pointer, is set only if
// err is nil; an answer that comes later goes nowhere.
func (c *Client) Call(method string, ask, reply any, limit time.Duration) (err error) {
	client, err := c.connection(limit)
	if err != nil {
		return err
	}
	begun := c.clock()
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, ask, answer.Interface(), make(chan *rpc.Call, 1))
	if c.answered(call, begun, limit) {
		if call.Error == nil {
			c.lastResponse.Store(int64(c.clock()))
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
			return nil
		}
		if _, told := call.Error.(rpc.ServerError); !told {
			c.drop(client)
		}
		return Class.Wrap(call.Error)
	}
	// A short wait proves nothing: the other end or the way there may only be slow,
	// and a stream that is gone is noticed by itself.
	if limit >= idleCallLimit && time.Duration(c.lastResponse.Load()) < begun {
		c.drop(client)
	}
	return ErrTimeout
}

// answered waits for a call as long as the limit says. A daemon that stood still
// meanwhile has not looked at what came: a time-out that is late by more than a
// busy machine's timers are is none before that is read.
func (c *Client) answered(call *rpc.Call, begun, limit time.Duration) (done bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-call.Done:
		return true
	case <-timer.C:
	}
	if c.clock()-begun < limit+pauseThreshold {
		return false
	}
	timer.Reset(pauseReadTime)
	select {
	case <-call.Done:
		return true
	case <-timer.C:
		return false
	}
}

// Server answers inner calls.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	closed   bool
}

// Serve answers calls to the receivers on an address until it is closed.
func Serve(address string, receivers map[string]any) (served *Server, err error) {
	listener, err := Listen(address, time.Second)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err = server.RegisterName(name, receiver); err != nil {
			return nil, Class.Wrap(err)
		}
	}
	served = &Server{listener: listener, open: map[net.Conn]bool{}}
	go served.accept(server)
	return served, nil
}

func (s *Server) accept(server *rpc.Server) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of descriptors, say: others may close theirs.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if !s.track(conn, true) {
			_ = conn.Close()
			return
		}
		go func() {
			server.ServeCodec(newServerCodec(countedConn{conn}))
			s.track(conn, false)
		}()
	}
}

func (s *Server) track(conn net.Conn, open bool) (kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open && !s.closed {
		s.open[conn] = true
		return true
	}
	delete(s.open, conn)
	return false
}

// Close stops listening and ends all streams.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}
