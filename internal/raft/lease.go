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
	// LeaderHintElections is for how many elections a leader that is not heard is named.
	LeaderHintElections = 2
)

// heartbeatState numbers the rounds of heartbeats by which a lease is proven.
//
// A leader must have been in contact with a majority before it answers anything from
// its state. Each round is stamped with the steady time at which it went out; the
// newest round that a majority of voters has answered proves that no other can lead
// for a span from that stamp on, as each of those voters withholds its vote for an
// election from when it heard the round, which was later. The span is shorter than
// that election by leaseMarginTicks. A leader that sent MsgTimeoutNow has no proof
// any more.
type heartbeatState struct {
	heartbeatRound uint64
	roundSentAt    [recordedRounds]time.Duration
	// confirmedRound is the newest round of this term's leader that was answered.
	confirmedRound uint64
	// leaderHeardAt is the steady time at which a leader was heard last.
	leaderHeardAt time.Duration
}

// LeaseTicks is for how many ticks a round that was answered proves leadership.
func (p Timing) LeaseTicks() (ticks int) { return max(0, p.ElectionTicks-leaseMarginTicks) }

// At sets the steady time of the driver for the next step, and returns the replica.
func (r *Replica) At(now time.Duration) (same *Replica) {
	r.now = now
	if !r.startKnown {
		r.startedAt, r.startKnown = now, true
	}
	return r
}

// LeaderHeardAt is the steady time at which a leader was heard last.
func (r *Replica) LeaderHeardAt() time.Duration { return r.leaderHeardAt }

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

// withholdsVote tells that this replica may not help another to lead yet: it leads, or
// it heard a leader within an election, or it has started and may have heard one before.
func (r *Replica) withholdsVote() bool {
	return r.role == Leader || r.leaderSilentTicks < r.timing.ElectionTicks
}

// confirmRound is the round that may be acknowledged: zero before the term is on disk,
// as a replica that forgot the term would not know that it must withhold its vote.
func (r *Replica) confirmRound(round uint64) (heard uint64) {
	if !r.hardStateSynced() {
		return 0
	}
	r.confirmedRound = max(r.confirmedRound, round)
	return round
}

// sendHeartbeatResponse acknowledges a round at once, where the answer to what came
// with it waits for the disk and the round was not acknowledged yet. It carries no match.
func (r *Replica) sendHeartbeatResponse(to ID, round uint64) {
	if round <= r.confirmedRound {
		return
	}
	if heard := r.confirmRound(round); heard > 0 {
		r.send(Message{Kind: MsgHeartbeatResponse, To: to, Round: heard})
	}
}
