// Contact is what a leader must have had with a majority before it answers
// anything from its state. Each round of beats is stamped with the steady time
// at which it went out; the newest round that a majority of voters has answered
// proves that no other could lead for a span from that stamp on, as each of
// those voters refuses its vote for an election from when it heard the round,
// which was later. The span is shorter than that election by what a late ticker
// may make it short. Who has told another to stand has no such proof any more.
package raft

import (
	"slices"
	"time"
)

const (
	// recordedRounds is how many rounds are remembered by the time they went out.
	recordedRounds = 64
	// leaseMarginTicks is by how much a lease is shorter than an election: a ticker that
	// was held up gives two ticks at once, and the clocks of two machines may go
	// at a slightly different pace.
	leaseMarginTicks = 3
	// leaderHintElections is for how many elections a leader that is not heard is named.
	leaderHintElections = 2
)

// LeaseTicks is for how many ticks a round that was answered proves leadership.
func (p Timing) LeaseTicks() (ticks int) { return max(0, p.ElectionTicks-leaseMarginTicks) }

// At gives the machine the steady time of its driver, for what it does next.
func (r *Replica) At(now time.Duration) (same *Replica) {
	r.now = now
	if !r.startKnown {
		r.startedAt, r.startKnown = now, true
	}
	return r
}

func (r *Replica) startHeartbeatRound() {
	r.heartbeatRound++
	r.roundSentAt[r.heartbeatRound%recordedRounds] = r.now
}

// LastQuorumContact tells when the newest round went out that a majority of the voters
// has answered in this term; the leader itself counts if it votes.
func (r *Replica) LastQuorumContact() (sent time.Duration, known bool) {
	if r.role != Leader || r.timeoutNowSent {
		return 0, false
	}
	rounds := make([]uint64, 0, len(r.members))
	for _, member := range r.members {
		if !member.Voter {
			continue
		}
		answered := uint64(0)
		if p := r.peers[member.ID]; member.ID == r.id {
			answered = r.heartbeatRound
		} else if p != nil {
			answered = p.ackedRound
		}
		rounds = append(rounds, answered)
	}
	if len(rounds) == 0 {
		return 0, false
	}
	slices.Sort(rounds)
	agreed := rounds[(len(rounds)-1)/2]
	if agreed == 0 || agreed > r.heartbeatRound || r.heartbeatRound-agreed >= recordedRounds {
		return 0, false
	}
	return r.roundSentAt[agreed%recordedRounds], true
}

// withholdsVote tells that this core may not help another to lead yet: it leads, or it
// heard a leader, or it has started and may have heard one before.
func (r *Replica) withholdsVote() bool {
	return r.role == Leader || r.leaderSilentTicks < r.timing.ElectionTicks
}

// confirmRound is the round that may be told as heard: none before the term is on
// disk, as a core that has forgotten the term would not know that it is bound.
func (r *Replica) confirmRound(round uint64) (heard uint64) {
	if r.writesDone < r.hardStateWrite {
		return 0
	}
	r.confirmedRound = max(r.confirmedRound, round)
	return round
}

// sendHeartbeatResponse tells at once that a round was heard, where the answer to what came
// with it waits for the disk and the round's beat has not been answered yet. It
// tells no match.
func (r *Replica) sendHeartbeatResponse(to ID, round uint64) {
	if round <= r.confirmedRound {
		return
	}
	if heard := r.confirmRound(round); heard > 0 {
		r.send(Message{Kind: MsgHeartbeatResponse, To: to, Round: heard})
	}
}

func (r *Replica) handleHeartbeatResponse(m Message) {
	if p := r.peers[m.From]; r.role == Leader && p != nil {
		p.silentTicks = 0
		p.ackedRound = max(p.ackedRound, m.Round)
	}
}

// lease is the span of the steady clock for which a leadership is proven; it is
// over once another lease, or none, has taken its place.
type lease struct {
	term  Term
	until time.Duration
	over  chan struct{}
}

// covers tells that it proves a leadership at a time.
func (l *lease) covers(term Term, now time.Duration) bool {
	return l != nil && l.term == term && now < l.until
}

// leaseNow is the lease that the agreement gives now; a leader that has not
// committed in its own term has none.
func (n *Node) leaseNow() (term Term, until time.Duration) {
	if !n.raft.CommittedInTerm() {
		return 0, 0
	}
	sent, known := n.raft.LastQuorumContact()
	if !known {
		return n.raft.Term(), 0
	}
	return n.raft.Term(), sent + time.Duration(n.raft.timing.LeaseTicks())*tickInterval
}

// endLease takes back what does not hold any more; it comes before anything is
// sent that lets another lead.
func (n *Node) endLease() {
	held := n.lease.Load()
	if held == nil {
		return
	}
	if term, until := n.leaseNow(); term != held.term || until == 0 {
		n.setLease(held, term, 0)
	}
}

// renewLease gives what was proven; it comes after all that is committed was
// applied.
func (n *Node) renewLease() {
	term, until := n.leaseNow()
	n.setLease(n.lease.Load(), term, until)
}

func (n *Node) setLease(held *lease, term Term, until time.Duration) {
	if held != nil && held.term == term && held.until == until {
		return
	}
	n.lease.Store(&lease{term: term, until: until, over: make(chan struct{})})
	if held != nil {
		close(held.over)
	}
}

// HoldsLease tells that this core leads in a term and was in contact with a
// majority so lately that no other can lead now. Where a round is late it waits
// a while for the next; to ask while the proof holds costs one atomic load.
func (n *Node) HoldsLease(term Term, patience time.Duration) (proven bool) {
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
