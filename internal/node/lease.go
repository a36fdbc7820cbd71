package node

import (
	"time"

	"tinpin/internal/raft"
)

// lease is the span of the monotonic clock for which leadership is proven; it ends once
// another lease, or none, has replaced it.
type lease struct {
	term  raft.Term
	until time.Duration
	over  chan struct{}
}

// covers reports whether the lease proves leadership of a term at a time.
func (l *lease) covers(term raft.Term, now time.Duration) bool {
	return l != nil && l.term == term && now < l.until
}

// currentLease is the lease that the replica confirms now; a leader that has not committed
// an entry in its own term has none.
func (n *Node) currentLease() (term raft.Term, until time.Duration) {
	if !n.raft.CommittedInTerm() {
		return 0, 0
	}
	sent, known := n.raft.LastQuorumContact()
	if !known {
		return n.raft.Term(), 0
	}
	return n.raft.Term(), sent + time.Duration(n.raft.Timing().LeaseTicks())*raft.TickInterval
}

// revokeLease withdraws a lease that no longer holds. It must run before any message is sent
// that could let another controller lead.
func (n *Node) revokeLease() {
	held := n.lease.Load()
	if held == nil {
		return
	}
	if term, until := n.currentLease(); term != held.term || until == 0 {
		n.setLease(held, term, 0)
	}
}

// extendLease publishes the newest lease. It must run after all committed entries were
// applied.
func (n *Node) extendLease() {
	term, until := n.currentLease()
	n.setLease(n.lease.Load(), term, until)
}

func (n *Node) setLease(held *lease, term raft.Term, until time.Duration) {
	if held != nil && held.term == term && held.until == until {
		return
	}
	n.lease.Store(&lease{term: term, until: until, over: make(chan struct{})})
	if held != nil {
		close(held.over)
	}
}

// HoldsLease reports whether this controller leads in a term and was in contact with a
// majority so recently that no other can lead now. Where a heartbeat round is late it waits
// for the next, up to a limit; while the lease holds, the call costs one atomic load.
func (n *Node) HoldsLease(term raft.Term, patience time.Duration) (proven bool) {
	held := n.lease.Load()
	if held.covers(term, n.Now()) {
		return true
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for held != nil && held.term == term {
		select {
		case <-held.over:
		case <-timer.C:
			return false
		case <-n.stop:
			return false
		}
		if held = n.lease.Load(); held.covers(term, n.Now()) {
			return true
		}
	}
	return false
}
