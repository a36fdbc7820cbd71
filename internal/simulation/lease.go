package simulation

// A lease is how long a controller's contact with a majority proves that it leads, kept as
// package node keeps it: withdrawn before anything is sent that lets another lead, renewed once
// all that is committed was applied, and checked when an answer is made.

import (
	"time"

	"tinpin/internal/raft"
)

// Lease of one controller.
type Lease struct {
	term  raft.Term
	until time.Duration

	// For the injected bugs: the last confirmed round of heartbeats, when that was, and the wall
	// clock by then.
	sent, received, wall time.Duration
}

func (l *Lease) now(c *Controller) (term raft.Term, until time.Duration) {
	if !c.raft.CommittedInTerm() {
		return 0, 0
	}
	sent, known := c.raft.LastQuorumContact()
	if !known {
		return c.raft.Term(), 0
	}
	span := time.Duration(raft.DefaultTiming().LeaseTicks()) * raft.TickInterval
	if sent != l.sent {
		l.sent, l.received, l.wall = sent, c.cluster.events.now, c.wallClockOffset
	}
	switch c.cluster.options.InjectedBug {
	case LeaseFromReceipt:
		sent = l.received
	case LongLease:
		span *= 4
	case WallLease:
		sent += l.wall
	}
	return c.raft.Term(), sent + span
}

func (l *Lease) end(c *Controller) {
	if term, until := l.now(c); term != l.term || until == 0 {
		l.term, l.until = term, 0
	}
}

func (l *Lease) renew(c *Controller) { l.term, l.until = l.now(c) }

// covers tells that the leadership is proven at this moment.
func (l *Lease) covers(c *Controller) (covers bool) {
	now := c.cluster.events.now
	switch c.cluster.options.InjectedBug {
	case StaleRead, EdgeBack:
		return true
	case WallLease:
		now += c.wallClockOffset
	}
	return l.term == c.raft.Term() && now < l.until
}
