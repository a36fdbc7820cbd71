package rpc

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"time"
)

const (
	// firstDialBackoff follows a dial that failed; the pause doubles with each further failure, up to
	// maxDialBackoff: no longer than the longest pause between two questions who leads.
	firstDialBackoff = 20 * time.Millisecond
	maxDialBackoff   = 80 * time.Millisecond
)

var (
	// errBackingOff tells that the last dial failed a moment ago and none is made yet.
	errBackingOff = errors.New("backing off after a failed dial")
	// errClosed tells that the client was closed while a call waited for its connection.
	errClosed = errors.New("client closed")
)

// connectivity is the state of a client's connection.
type connectivity uint8

// A connection starts idle and is dialled when a call wants it. A failed dial answers all calls that wait
// for it, and for a moment all that come. A connection that ends leads back to idle.
const (
	idle connectivity = iota
	connecting
	ready
	backingOff
)

// dialAttempt is one attempt to connect, shared by all calls that wait for it. It ends with the last of
// them.
type dialAttempt struct {
	cancel context.CancelCauseFunc
	// waiting counts calls that wait; the client's lock guards it.
	waiting int
	// done is closed by dial once client and err are set.
	done   chan struct{}
	client *rpc.Client
	err    error
}

// connection gives the open connection, or waits for a new one until the timer fires or the context ends.
// dialled tells that it waited. The client's lock is never held during a wait.
func (c *Client) connection(ctx context.Context, timer *time.Timer) (client *rpc.Client, dialled bool, err error) {
	c.mu.Lock()
	switch c.connectivity() {
	case ready:
		client = c.client
		c.mu.Unlock()
		return client, false, nil
	case backingOff:
		err = fmt.Errorf("%w: %w: %w", ErrNotSent, errBackingOff, c.dialError)
		c.mu.Unlock()
		return nil, false, err
	case idle:
		c.startDial()
	}
	attempt := c.attempt
	attempt.waiting++
	c.mu.Unlock()
	client, err = c.await(ctx, attempt, timer)
	return client, true, err
}

// connectivity is the present state; the caller holds the lock.
func (c *Client) connectivity() connectivity {
	switch {
	case c.client != nil:
		return ready
	case c.attempt != nil:
		return connecting
	case time.Now().Before(c.dialAgainAt):
		return backingOff
	}
	return idle
}

// await waits for an attempt. The last call to leave it ends it.
func (c *Client) await(ctx context.Context, attempt *dialAttempt, timer *time.Timer) (client *rpc.Client, err error) {
	connections.waiting.Add(1)
	defer connections.waiting.Add(-1)
	select {
	case <-attempt.done:
		if attempt.err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, attempt.err)
		}
		return attempt.client, nil
	case <-ctx.Done():
		err = fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	case <-timer.C:
		err = fmt.Errorf("%w: %w", ErrNotSent, ErrTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt.waiting--; attempt.waiting == 0 && c.attempt == attempt {
		c.attempt = nil
		attempt.cancel(err)
	}
	return nil, err
}

// startDial begins an attempt; the caller holds the lock.
func (c *Client) startDial() {
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt := &dialAttempt{cancel: cancel, done: make(chan struct{})}
	c.attempt = attempt
	connections.dials.Add(1)
	go c.runDial(ctx, attempt)
}

// runDial makes an attempt and answers all calls that wait for it.
func (c *Client) runDial(ctx context.Context, attempt *dialAttempt) {
	defer attempt.cancel(nil)
	conn, err := c.dial(ctx, c.Address, c.DialWait)
	if err != nil {
		connections.failedDials.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(attempt.done)
	abandoned := c.attempt != attempt
	if !abandoned {
		c.attempt = nil
	}
	switch {
	case abandoned:
		attempt.err = errClosed
		if err == nil {
			_ = conn.Close()
		}
	case err != nil:
		attempt.err = err
		c.backOff(err)
	default:
		c.dialBackoff, c.dialAgainAt = 0, time.Time{}
		attempt.client = rpc.NewClientWithCodec(newClientCodec(watchedConn{countedConn{conn}, c.noteRead}))
		c.client = attempt.client
	}
}

// backOff notes that a dial failed; the caller holds the lock.
func (c *Client) backOff(err error) {
	c.dialError = err
	c.dialBackoff = min(max(2*c.dialBackoff, firstDialBackoff), maxDialBackoff)
	c.dialAgainAt = time.Now().Add(c.dialBackoff)
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

// Close closes the connection, and ends an attempt to connect. A later call opens another.
func (c *Client) Close() {
	c.mu.Lock()
	client, attempt := c.client, c.attempt
	c.client, c.attempt = nil, nil
	c.mu.Unlock()
	if attempt != nil {
		attempt.cancel(errClosed)
	}
	if client != nil {
		_ = client.Close()
	}
}

// noteRead notes that bytes have arrived.
func (c *Client) noteRead() { c.lastRead.Store(int64(c.clock())) }

// watchedConn tells when bytes arrive on a connection.
type watchedConn struct {
	countedConn
	arrived func()
}

func (c watchedConn) Read(into []byte) (size int, err error) {
	size, err = c.countedConn.Read(into)
	if size > 0 {
		c.arrived()
	}
	return size, err
}
