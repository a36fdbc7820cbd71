package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
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
// needed. Each call waits for the connection and for its response within its own limit
// and context; none waits for another call. A connection on which nothing arrived
// throughout a call is given up, since nothing else would show a network partition; the
// next call opens another. Calls are numbered by connection, so none gets a response
// from an earlier connection.
type Client struct {
	Address string
	// DialWait bounds an attempt to connect.
	DialWait time.Duration
	// dial opens a connection.
	dial func(ctx context.Context, address string, wait time.Duration) (conn net.Conn, err error)
	// clock is the monotonic time since the client was made.
	clock func() time.Duration
	// lastResponse is when the last response came, lastRead when bytes last arrived, by that clock.
	lastResponse atomic.Int64
	lastRead     atomic.Int64

	mu sync.Mutex // guards what follows; never held while anything is waited for
	// client is the open connection, attempt the one that is being made; at most one is set.
	client  *rpc.Client
	attempt *dialAttempt
	// dialError is why the last dial failed; none is made before dialAgainAt.
	dialError   error
	dialBackoff time.Duration
	dialAgainAt time.Time
}

// NewClient makes a client that has no connection yet.
func NewClient(address string) (client *Client) {
	made := time.Now()
	return &Client{
		Address: address, DialWait: dialWait, dial: dialPeer,
		clock: func() time.Duration { return time.Since(made) },
	}
}

// dialPeer opens a connection to another daemon.
func dialPeer(ctx context.Context, address string, wait time.Duration) (conn net.Conn, err error) {
	return Dial(ctx, address, wait, ackTimeout)
}

// Call is CallContext for what has no lifetime but its limit.
func (c *Client) Call(method string, request, response any, limit time.Duration) (err error) {
	return c.CallContext(context.Background(), method, request, response, limit)
}

// CallContext sends a request and waits for the response no longer than limit and its context, the wait
// for a connection included. The response is read into a value of its own and copied to what the pointer
// points to only if err is nil: one that comes later goes nowhere.
func (c *Client) CallContext(
	ctx context.Context, method string, request, response any, limit time.Duration,
) (err error) {
	return c.CallLarge(ctx, method, request, response, Limits{NoData: limit, Total: limit})
}

// Limits bound a call: it ends after Total, and sooner once nothing has arrived for as long as NoData.
type Limits struct{ NoData, Total time.Duration }

// CallLarge is CallContext for a response that may take long to arrive.
func (c *Client) CallLarge(
	ctx context.Context, method string, request, response any, limits Limits,
) (err error) {
	p := pendingCall{client: c, begun: c.clock(), limits: limits}
	p.timer = time.NewTimer(p.shortest())
	defer p.timer.Stop()
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	client, dialled, err := c.connection(ctx, p.timer)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	received := reflect.New(reflect.TypeOf(response).Elem())
	// net/rpc writes the request before it returns, and other calls write before this one.
	done := make(chan *rpc.Call, 1)
	go client.Go(method, request, received.Interface(), done)
	call := p.wait(ctx, done)
	switch {
	case call != nil && call.Error == nil:
		c.lastResponse.Store(int64(c.clock()))
		reflect.ValueOf(response).Elem().Set(received.Elem())
		return nil
	case call != nil:
		if refused := rpc.ServerError(""); !errors.As(call.Error, &refused) {
			c.drop(client)
		}
		return Class.Wrap(call.Error)
	case ctx.Err() != nil:
		return Class.Wrap(context.Cause(ctx))
	}
	waited := p.shortest()
	if dialled {
		waited = time.Since(sentAt)
	}
	if waited >= idleCallLimit && time.Duration(c.lastResponse.Load()) < p.begun {
		c.drop(client)
	}
	return ErrTimeout
}

// pendingCall is the wait of one call.
type pendingCall struct {
	client *Client
	// begun is when the call began by the client's clock.
	begun  time.Duration
	limits Limits
	timer  *time.Timer
}

// shortest is how long the call waits if nothing arrives.
func (p *pendingCall) shortest() time.Duration { return min(p.limits.NoData, p.limits.Total) }

// wait gives the call once it has ended, or nil when its time is over. A process that stood still meanwhile
// has not looked at what arrived: it has not timed out before that is read.
func (p *pendingCall) wait(ctx context.Context, done <-chan *rpc.Call) (call *rpc.Call) {
	for {
		select {
		case call = <-done:
			return call
		case <-ctx.Done():
			return nil
		case <-p.timer.C:
		}
		left := p.timeLeft()
		if left <= 0 {
			break
		}
		p.timer.Reset(left)
	}
	if p.client.clock()-p.begun < p.shortest()+pauseThreshold {
		return nil
	}
	p.timer.Reset(pauseReadTime)
	select {
	case call = <-done:
	case <-p.timer.C:
	}
	return call
}

// timeLeft is how much longer to wait for a response of which something has arrived lately.
func (p *pendingCall) timeLeft() (left time.Duration) {
	if p.limits.NoData >= p.limits.Total {
		return 0
	}
	now := p.client.clock()
	heardAt := max(p.begun, time.Duration(p.client.lastRead.Load()))
	return min(p.limits.NoData-(now-heardAt), p.limits.Total-(now-p.begun))
}
