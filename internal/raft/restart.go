// A core that has started again has forgotten whom it heard last. It helps nobody
// to lead until what that one was told must have run out, but for one case: where
// every member says that it has known no leader since its own start, there is none
// who could have been told anything. That word counts only of members that had
// started before they were asked, so that none of them can have heard, forgotten
// and then been asked; and the vote is asked of that very start, so that none can
// hear and forget between its word and its vote. Learners are asked as well, since
// one may have been made a voter by an entry that this core lacks, and may lead.
package raft

import "time"

// startState is what a core knows of its own start, and of that of others.
type startState struct {
	// leaderless tells that no leader was known since the start.
	leaderless bool
	// incarnation tells this start from others.
	incarnation uint64
	// startedAt is when it was, once the time is known.
	startedAt  time.Duration
	startKnown bool
	// preVoteRound counts the askings, asked is when the last began; idle are the
	// starts of those who have known nobody.
	preVoteRound uint64
	preVoteAt    time.Duration
	idlePeers    map[ID]uint64
}

// shortTimeout is when to ask again where nobody is known to lead.
func (r *Replica) shortTimeout() (ticks int) { return 2 + r.rng.Intn(r.timing.ElectionTicks/2+1) }

// sinceStart is how long ago this core started, at least.
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

// recordIdlePeer keeps the word of a member that had started before it was asked.
func (r *Replica) recordIdlePeer(m Message) {
	if m.Idle && m.Round == r.preVoteRound && m.Life != 0 && m.Age >= r.now-r.preVoteAt {
		r.idlePeers[m.From] = m.Life
	}
}

// idleIncarnations gives the starts of all other members where each has said that it knows
// nobody, and this core does not either.
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
