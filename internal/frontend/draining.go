package frontend

import (
	"sync/atomic"
	"time"
)

// DrainCounts counts what happened since draining began.
type DrainCounts struct {
	begunAt atomic.Int64
	// Taken counts requests that were read, Abandoned those that were unanswered when their
	// connections were closed.
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
	s.drainCounts.begunAt.Store(time.Now().UnixNano())
	s.draining.Store(true)
}
