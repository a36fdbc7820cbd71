package frontend

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"tinpin/internal/await"
)

// A server ends in three steps. After StartDraining each response closes its connection. Drain stops
// accepting connections and closes those that wait for a request; what was read goes on. Interrupt ends
// the lifetime of what is left, so that it is answered at once. Only the reader of a connection decides
// that no request is on it: whoever counted from outside might count too soon.

// ErrShuttingDown ends the lifetime of requests that are in flight when the server must end.
var ErrShuttingDown = errors.New("the proxy is shutting down")

// interruptedWriteTimeout is the time to write a response once the server is interrupted.
const interruptedWriteTimeout = 100 * time.Millisecond

// DrainCounts counts what happened since draining began.
type DrainCounts struct {
	begunAt atomic.Int64
	// Taken counts requests that were read, Abandoned those that were unanswered when they were
	// interrupted or their connections closed.
	Taken, Abandoned atomic.Int64
	lastTakenAt      atomic.Int64
}

// LastTaken is how long after the beginning of draining the last request was read, 0 for none.
func (c *DrainCounts) LastTaken() time.Duration {
	if c.Taken.Load() == 0 {
		return 0
	}
	return time.Duration(c.lastTakenAt.Load() - c.begunAt.Load())
}

// requestTaken notes a request that was read while the server drains.
func (c *DrainCounts) requestTaken() {
	c.lastTakenAt.Store(time.Now().UnixNano())
	c.Taken.Add(1)
}

// DrainCounts gives the counts of this server.
func (s *Server) DrainCounts() *DrainCounts { return &s.drainCounts }

// OpenConns counts open connections.
func (s *Server) OpenConns() int64 { return s.openConns.Load() }

// StartDraining makes every further response close its connection.
func (s *Server) StartDraining() {
	if !s.draining.Load() {
		s.drainCounts.begunAt.Store(time.Now().UnixNano())
		s.draining.Store(true)
	}
}

// Drain accepts no more connections, closes those without a request, and waits until all connections
// have ended. It returns false where the context ended before.
func (s *Server) Drain(ctx context.Context) (drained bool) {
	s.StartDraining()
	s.CloseListener()
	s.closingIdle.Store(true)
	s.wakeIdle()
	return await.Group(ctx, &s.running)
}

// Interrupt ends the lifetime of all requests, and waits until their connections have ended or the
// context has. What the lifetime does not reach is the handler's to end, in endRequests.
func (s *Server) Interrupt(ctx context.Context, endRequests func()) {
	s.draining.Store(true)
	s.drainCounts.Abandoned.Add(s.InFlight())
	s.cancel(ErrShuttingDown)
	endRequests()
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.netConn.SetReadDeadline(now)
		_ = c.netConn.SetWriteDeadline(now.Add(interruptedWriteTimeout))
	}
	s.mu.Unlock()
	await.Group(ctx, &s.running)
}

// interrupted tells that the lifetime of all requests has ended.
func (s *Server) interrupted() bool { return s.ctx.Err() != nil }

// CloseConns closes the connections that are still open.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.netConn.Close()
	}
}
