package raft

import "time"

// startState is what a replica knows of its own start, and of that of others.
//
// A replica that has started again has forgotten whom it heard last. It votes for
// nobody until a lease that it may have confirmed must have run out, with one
// exception: where every member answers a pre-vote with Idle, that it has known no
// leader since its own start, there is none whose lease could still hold. The word
// counts only of members that had started before they were asked, so that none of them
// can have heard a leader, forgotten it and then been asked; and the vote names that
// very start by its incarnation, so that none can do so between its word and its vote.
// Learners are asked as well, since one may have been made a voter by an entry that
// this replica lacks, and may lead.
type startState struct {
	// leaderless tells that no leader was known since the start.
	leaderless bool
	// incarnation tells this start from others.
	incarnation uint64
	// startedAt is when it was, once the time is known.
	startedAt  time.Duration
	startKnown bool
	// preVoteRound numbers the rounds of pre-votes, of which the last began at preVoteAt;
	// idlePeers are the incarnations of those that answered it with Idle.
	preVoteRound uint64
	preVoteAt    time.Duration
	idlePeers    map[ID]uint64
}

// shortTimeout is when to ask again where nobody is known to lead.
func (r *Replica) shortTimeout() (ticks int) { return 2 + r.rng.Intn(r.timing.ElectionTicks/2+1) }

// sinceStart is how long ago this replica started, at least.
func (r *Replica) sinceStart() (age time.Duration) { return r.now - r.startedAt }

// knowsNoLeader tells that no leader was known since the start, this one included,
// and that it does not stand itself.
func (r *Replica) knowsNoLeader() (nobody bool) {
	return r.leaderless && r.role != Leader && (r.role != Candidate || r.preVoting)
}

func (r *Replica) startPreVoteRound() {
	r.preVoteRound++
	r.preVoteAt, r.idlePeers = r.now, map[ID]uint64{}
}

// recordIdlePeer counts an Idle answer of a member that had started before it was asked.
func (r *Replica) recordIdlePeer(m Message) {
	if m.Idle && m.Round == r.preVoteRound && m.Incarnation != 0 && m.SinceStart >= r.now-r.preVoteAt {
		r.idlePeers[m.From] = m.Incarnation
	}
}

// idleIncarnations gives the incarnations of all other members where each has answered
// Idle, and this replica has known no leader either; else nil.
func (r *Replica) idleIncarnations() (lives map[ID]uint64) {
	if !r.leaderless || !r.isVoter(r.id) {
		return nil
	}
	for _, member := range r.members {
		if _, idle := r.idlePeers[member.ID]; !idle && member.ID != r.id {
			return nil
		}
	}
	return r.idlePeers
}
