// The policy of membership as a small state machine: what the leader sees of
// the members goes in, at most one change comes out. A dead or wiped voter is
// removed before its successor is raised, because it counts for nothing and
// the smaller group needs no more members than before; a voter that leaves but
// still answers is removed after its successor was raised, so that at each
// instant as many losses are borne as before. Its times follow the settings.
package raft

import "time"

// Move tells the changes of membership apart.
type Move uint8

// The moves.
const (
	Stay Move = iota
	Admit
	Raise
	Remove
)

func (m Move) String() (text string) {
	return [...]string{"stay", "admit", "raise", "remove"}[m]
}

// Roll is what the leader sees when it decides. Silence is the number of ticks
// since a member was last heard, CaughtUp whether it has all that is committed.
type Roll struct {
	Self     ID
	Tick     int
	Members  []Member
	Waiting  []Member
	Leaving  func(ID) bool
	Silence  func(ID) int
	CaughtUp func(ID) bool
}

// Decision is the one change that is due, if any.
type Decision struct {
	Move   Move
	Member Member
	Next   []Member
}

// Membership decides on the members while its core leads.
type Membership struct {
	// Wanted is how many should vote.
	Wanted int
	// Spread has learners raised where the fewest vote.
	Spread bool
	// Silence is after how many ticks a voter goes, if one is ready for its place.
	Silence int
	// Forget is after how many ticks a silent learner goes.
	Forget int
	// MostLearners bounds how many are taken in without a vote.
	MostLearners int

	strikes map[ID]int
	steady  map[ID]int
}

const (
	maxStrikes  = 6
	calmStrikes = 32
	maxStruck   = 64
)

// Voters is how many cores should vote, so that what was acknowledged outlasts
// the loss of so many: of twice as many and one, a majority is left.
func Voters(losses int) (wanted int) { return max(3, 2*losses+1) }

// NewMembership follows the settings: a voter goes after a quarter of the time
// in which a successor must be at full strength, yet never so soon that an
// election could look like a loss.
func NewMembership(losses, zones int, catchUp time.Duration) (membership *Membership) {
	wanted := Voters(losses)
	silence := max(int(catchUp/4/tickInterval), 3*electTicks)
	return &Membership{
		Wanted: wanted, Spread: zones > 0, Silence: silence, Forget: 16 * silence, MostLearners: 4 * wanted,
		strikes: map[ID]int{}, steady: map[ID]int{},
	}
}

// Decide gives the next single change.
func (m *Membership) Decide(roll Roll) (decision Decision) {
	m.watch(roll)
	voters := 0
	for _, member := range roll.Members {
		if member.Voter {
			voters++
		}
	}
	dead, leaving, ready := -1, -1, -1
	lost, near := 0, 0
	for i, member := range roll.Members {
		switch {
		case member.ID == roll.Self:
		case member.Voter && m.gone(roll, i):
			dead = m.crowded(roll.Members, dead, i)
			lost++
		case member.Voter && roll.Leaving(member.ID):
			leaving = m.crowded(roll.Members, leaving, i)
		case !member.Voter && !m.gone(roll, i) && !roll.Leaving(member.ID):
			near++
			if m.ready(roll, i) {
				ready = m.sparse(roll.Members, ready, i)
			}
		}
	}
	switch {
	case voters > m.Wanted && dead >= 0:
		return m.remove(roll, dead)
	case voters > m.Wanted && leaving >= 0:
		return m.remove(roll, leaving)
	case dead >= 0 && ready >= 0 && (voters >= m.Wanted || near <= lost):
		return m.remove(roll, dead)
	case voters < m.Wanted && ready >= 0:
		return m.raise(roll, ready)
	case voters == m.Wanted && leaving >= 0 && ready >= 0:
		return m.raise(roll, ready)
	}
	learners := 0
	for i, member := range roll.Members {
		if member.Voter || member.ID == roll.Self {
			continue
		}
		if m.outlived(roll, i) || roll.Silence(member.ID) > m.Forget {
			return m.remove(roll, i)
		}
		learners++
	}
	for _, newcomer := range roll.Waiting {
		if m.Refuse(roll.Members, newcomer) == "" {
			if _, known := find(roll.Members, newcomer.ID); !known {
				newcomer.Voter = false
				next := append(append([]Member(nil), roll.Members...), newcomer)
				return Decision{Admit, newcomer, next}
			}
		}
	}
	return Decision{}
}

// Refuse says why a core cannot be taken in; it is empty if it can.
func (m *Membership) Refuse(members []Member, newcomer Member) (why string) {
	if newcomer.ID == "" {
		return "it has no id"
	}
	if newcomer.Inner == "" {
		return "it has no inner address"
	}
	if known, member := find(members, newcomer.ID); member {
		if known.Inner != newcomer.Inner {
			return "its id is a member at another address"
		}
		return ""
	}
	learners := 0
	for _, member := range members {
		if !member.Voter && member.Inner != newcomer.Inner {
			learners++
		}
	}
	if learners >= m.MostLearners {
		return "there are too many members without a vote"
	}
	return ""
}

// Successor tells whether a voter that leaves may wait for its place to be
// taken: someone is there or near for it, beyond those that others need.
func (m *Membership) Successor(roll Roll, id ID) (near bool) {
	voters, others, learners := 0, 0, 0
	for i, member := range roll.Members {
		switch {
		case member.Voter:
			voters++
			if member.ID != id && member.ID != roll.Self && (m.gone(roll, i) || roll.Leaving(member.ID)) {
				others++
			}
		case !roll.Leaving(member.ID) && !m.gone(roll, i):
			learners++
		}
	}
	for _, newcomer := range roll.Waiting {
		if _, known := find(roll.Members, newcomer.ID); !known && m.Refuse(roll.Members, newcomer) == "" {
			learners++
		}
	}
	return voters+learners-others > m.Wanted
}

// watch keeps how long each member has been heard without a gap.
func (m *Membership) watch(roll Roll) {
	for _, member := range roll.Members {
		since, heard := m.steady[member.ID]
		if roll.Silence(member.ID) > m.Silence/2 {
			delete(m.steady, member.ID)
		} else if !heard {
			m.steady[member.ID] = roll.Tick
		} else if m.strikes[member.ID] > 0 && roll.Tick-since > calmStrikes*m.Silence {
			delete(m.strikes, member.ID)
		}
	}
	for id := range m.steady {
		if _, member := find(roll.Members, id); !member {
			delete(m.steady, id)
		}
	}
}

// outlived tells that a newer life at the same address has been heard since,
// while the older was silent for longer than beats may take.
func (m *Membership) outlived(roll Roll, at int) (outlived bool) {
	member := roll.Members[at]
	silence := roll.Silence(member.ID)
	for i, other := range roll.Members {
		if i == at || other.Inner != member.Inner || roll.Silence(other.ID) >= silence {
			continue
		}
		if i > at && silence > electTicks || silence > m.Silence {
			return true
		}
	}
	return false
}

func (m *Membership) gone(roll Roll, at int) (gone bool) {
	return m.outlived(roll, at) || roll.Silence(roll.Members[at].ID) > m.Silence
}

// ready asks more of a core that was struck out before: twice as long without
// a gap after each time, so that one that comes and goes settles as a learner.
func (m *Membership) ready(roll Roll, at int) (ready bool) {
	id := roll.Members[at].ID
	if !roll.CaughtUp(id) {
		return false
	}
	strikes := m.strikes[id]
	if strikes == 0 {
		return true
	}
	since, heard := m.steady[id]
	return heard && roll.Tick-since >= m.Silence<<(strikes-1)
}

func (m *Membership) remove(roll Roll, at int) (decision Decision) {
	next := append([]Member(nil), roll.Members[:at]...)
	return Decision{Remove, roll.Members[at], append(next, roll.Members[at+1:]...)}
}

func (m *Membership) raise(roll Roll, at int) (decision Decision) {
	next := append([]Member(nil), roll.Members...)
	next[at].Voter = true
	return Decision{Raise, next[at], next}
}

// Took notes a decision that went into the log: a voter removed because it was
// not heard has a strike.
func (m *Membership) Took(roll Roll, decision Decision) {
	id := decision.Member.ID
	if decision.Move != Remove || !decision.Member.Voter || roll.Leaving(id) {
		return
	}
	if len(m.strikes) >= maxStruck {
		m.strikes = map[ID]int{}
	}
	m.strikes[id] = min(m.strikes[id]+1, maxStrikes)
}

// crowded prefers the one whose zone has more voters.
func (m *Membership) crowded(members []Member, best, at int) (better int) {
	if best < 0 || zoneVoters(members, members[at].Site) > zoneVoters(members, members[best].Site) {
		return at
	}
	return best
}

// sparse prefers the one whose zone has fewer voters, where zones may be lost.
func (m *Membership) sparse(members []Member, best, at int) (better int) {
	if best < 0 || m.Spread && zoneVoters(members, members[at].Site) < zoneVoters(members, members[best].Site) {
		return at
	}
	return best
}

func zoneVoters(members []Member, zone string) (count int) {
	for _, member := range members {
		if member.Voter && member.Site == zone {
			count++
		}
	}
	return count
}
