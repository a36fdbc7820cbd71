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

// restart is what a core knows of its own start, and of that of others.
type restart struct {
	// fresh tells that no leader was known since the start.
	fresh bool
	// life tells this start from others.
	life uint64
	// born is when it was, once the time is known.
	born  time.Duration
	timed bool
	// attempt counts the askings, asked is when the last began; idle are the
	// starts of those who have known nobody.
	attempt uint64
	asked   time.Duration
	idle    map[ID]uint64
}

// soon is when to ask again where nobody is known to lead.
func (r *Replica) soon() (ticks int) { return 2 + r.luck.Intn(r.pace.ElectionTicks/2+1) }

// age is how long ago this core started, at least.
func (r *Replica) age() (age time.Duration) { return r.now - r.born }

// knowsNobody tells that no leader was known since the start, this one included,
// and that it does not stand itself.
func (r *Replica) knowsNobody() (nobody bool) {
	return r.fresh && r.role != Leader && (r.role != Candidate || r.pre)
}

func (r *Replica) beginAsking() {
	r.attempt++
	r.asked, r.idle = r.now, map[ID]uint64{}
}

// noteIdle keeps the word of a member that had started before it was asked.
func (r *Replica) noteIdle(m Message) {
	if m.Idle && m.Round == r.attempt && m.Life != 0 && m.Age >= r.now-r.asked {
		r.idle[m.From] = m.Life
	}
}

// lives gives the starts of all other members where each has said that it knows
// nobody, and this core does not either.
func (r *Replica) lives() (lives map[ID]uint64) {
	if !r.fresh || !r.voter(r.id) {
		return nil
	}
	for _, member := range r.members {
		if _, idle := r.idle[member.ID]; !idle && member.ID != r.id {
			return nil
		}
	}
	return r.idle
}
