package rpc

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Class marks failures of calls.
var Class = errs.Class("rpc")

var (
	// ErrNotSent marks calls that were not sent: no connection could be made.
	ErrNotSent = errors.New("call was not sent")
	// ErrTimeout tells that no response came in time. The call may have been carried out.
	ErrTimeout = Class.New("no response in time")
)

const (
	// dialWait bounds the wait for a connection. A machine without power answers
	// nothing, and what waits behind the dial waits with it.
	dialWait = 400 * time.Millisecond
	// ackTimeout is how long the other end may acknowledge nothing.
	ackTimeout = time.Second
	// idleCallLimit is how long a call must have waited on a silent connection for the
	// connection to be given up. A shorter wait proves nothing: the other end or the
	// way there may only be slow, and a connection that has ended is noticed by itself.
	idleCallLimit = 500 * time.Millisecond
	// pauseThreshold is by how much a timeout must be late to show that the process
	// stood still; a busy machine's timers are late by less. pauseReadTime is how long
	// what arrived meanwhile may then take to be read.
	pauseThreshold = 250 * time.Millisecond
	pauseReadTime  = 500 * time.Millisecond
)

// Client calls one controller or node over one connection, which it opens when it is
// needed. A connection on which nothing arrived throughout a call is given up, since
// nothing else would show a network partition; the next call opens another. Calls are
// numbered by connection, so none gets a response from an earlier connection.
type Client struct {
	Address string
	// DialWait bounds the wait for a connection.
	DialWait time.Duration
	// clock is the monotonic time since the client was made.
	clock func() time.Duration
	// lastResponse is when the last response came, by that clock.
	lastResponse atomic.Int64

	mu     sync.Mutex // guards client
	client *rpc.Client
}

// NewClient makes a client that has no connection yet.
func NewClient(address string) (client *Client) {
	made := time.Now()
	return &Client{Address: address, DialWait: dialWait, clock: func() time.Duration { return time.Since(made) }}
}

// connection is the open connection or a new one.
func (c *Client) connection(wait time.Duration) (client *rpc.Client, err error) {
	connections.waiting.Add(1)
	defer connections.waiting.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	connections.dials.Add(1)
	conn, err := Dial(c.Address, min(wait, c.DialWait), ackTimeout)
	if err != nil {
		connections.failedDials.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.client = rpc.NewClientWithCodec(newClientCodec(countedConn{conn}))
	return c.client, nil
}

// drop gives up a connection.
func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection. A later call opens another.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.client = nil
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Call is CallContext for what has no lifetime but its limit.
func (c *Client) Call(method string, request, response any, limit time.Duration) (err error) {
	return c.CallContext(context.Background(), method, request, response, limit)
}

// CallContext sends a request and waits for the response no longer than limit and its context. The
// response is read into a value of its own and copied to what the pointer points to only if
// err is nil: one that comes later goes nowhere.
func (c *Client) CallContext(
	ctx context.Context, method string, request, response any, limit time.Duration,
) (err error) {
	client, err := c.connection(limit)
	if err != nil {
		return err
	}
	begun := c.clock()
	received := reflect.New(reflect.TypeOf(response).Elem())
	call := client.Go(method, request, received.Interface(), make(chan *rpc.Call, 1))
	if c.wait(ctx, call, begun, limit) {
		if call.Error == nil {
			c.lastResponse.Store(int64(c.clock()))
			reflect.ValueOf(response).Elem().Set(received.Elem())
			return nil
		}
		var refused rpc.ServerError
		if !errors.As(call.Error, &refused) {
			c.drop(client)
		}
		return Class.Wrap(call.Error)
	}
	if err = ctx.Err(); err != nil {
		return Class.Wrap(err)
	}
	if limit >= idleCallLimit && time.Duration(c.lastResponse.Load()) < begun {
		c.drop(client)
	}
	return ErrTimeout
}

// wait waits for a call no longer than limit. A process that stood still meanwhile
// has not looked at what arrived: it has not timed out before that is read.
func (c *Client) wait(ctx context.Context, call *rpc.Call, begun, limit time.Duration) (done bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-call.Done:
		return true
	case <-ctx.Done():
		return false
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
