package raft

// catchUp measures whether a member keeps up with the log, in rounds of replication (Ongaro's dissertation on Raft,
// 4.2.1): a round is over once the member's disk holds all that was in the leader's log when the round began, and the
// next one begins then. A member keeps up while its rounds are shorter than an election time-out. So what it lacks is
// bounded in time: it is at most what came within two rounds, however fast the log grows and however far away the
// member is, and a commit that needs its vote waits for less than an election for it.
//
// A comparison with the commit index at one instant would not do: the acknowledgement of a member far away is a round
// trip old, and under steady writes the commit index has always moved on.
type catchUp struct {
	// target is the end of the log when the round began, ticks is how long the round has lasted.
	target Index
	ticks  int
	// kept tells that the last round was shorter than an election time-out.
	kept bool
}

// tickCatchUp counts a tick of a member's round.
func (r *Replica) tickCatchUp(p *progress) {
	if p.match < p.catchUp.target {
		p.catchUp.ticks++
		return
	}
	r.advanceCatchUp(p)
}

// advanceCatchUp ends a member's round if the member holds what it is about, and begins the next.
func (r *Replica) advanceCatchUp(p *progress) {
	if p.match < p.catchUp.target {
		return
	}
	kept := p.catchUp.ticks < r.timing.ElectionTicks
	p.catchUp = catchUp{target: r.lastIndex(), kept: kept || p.match >= r.lastIndex()}
}

// CaughtUp tells whether a member in contact keeps up with the leader's log.
func (r *Replica) CaughtUp(id ID) bool {
	p, known := r.peers[id]
	if !known || p.silentTicks >= 2*r.timing.ElectionTicks {
		return false
	}
	return p.catchUp.kept && p.catchUp.ticks < r.timing.ElectionTicks
}

// Lag is how many of the committed entries a member's disk is not known to hold, for the leader.
func (r *Replica) Lag(id ID) (entries Index, known bool) {
	p, known := r.peers[id]
	if !known || p.match >= r.commitIndex {
		return 0, known
	}
	return r.commitIndex - p.match, true
}
