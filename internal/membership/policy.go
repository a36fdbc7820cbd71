package membership

import (
	"time"

	"tinpin/internal/raft"
)

// Change tells the changes of membership apart.
type Change uint8

// The moves.
const (
	NoChange Change = iota
	AddLearner
	Promote
	Remove
)

func (m Change) String() (text string) {
	return [...]string{"stay", "admit", "raise", "remove"}[m]
}

// View is what the leader sees when it decides. Silence is the number of ticks
// since a member was last heard, CaughtUp whether it has all that is committed.
type View struct {
	Self       raft.ID
	Tick       int
	Members    []raft.Member
	Joining    []raft.Member
	Leaving    func(raft.ID) bool
	SinceHeard func(raft.ID) int
	CaughtUp   func(raft.ID) bool
}

// Decision is the one change that is due, if any.
type Decision struct {
	Change Change
	Member raft.Member
	Next   []raft.Member
}

// Policy decides on the members while its core leads.
type Policy struct {
	// Voters is how many should vote.
	Voters int
	// SpreadZones has learners raised where the fewest vote.
	SpreadZones bool
	// VoterTimeout is after how many ticks a voter goes, if one is ready for its place.
	VoterTimeout int
	// LearnerTimeout is after how many ticks a silent learner goes.
	LearnerTimeout int
	// MaxLearners bounds how many are taken in without a vote.
	MaxLearners int

	failures   map[raft.ID]int
	heardSince map[raft.ID]int
}

const (
	maxFailures       = 6
	forgiveAfter      = 32
	maxFailureRecords = 64
)

// VotersForLosses is how many cores should vote, so that what was acknowledged outlasts
// the loss of so many: of twice as many and one, a majority is left.
func VotersForLosses(losses int) (wanted int) { return max(3, 2*losses+1) }

// NewPolicy follows the settings: a voter goes after a quarter of the time
// in which a successor must be at full strength, yet never so soon that an
// election could look like a loss.
func NewPolicy(losses, zones int, catchUp time.Duration) (membership *Policy) {
	wanted := VotersForLosses(losses)
	silence := max(int(catchUp/4/raft.TickInterval), 3*raft.ElectionTicks)
	return &Policy{
		Voters: wanted, SpreadZones: zones > 0, VoterTimeout: silence, LearnerTimeout: 16 * silence, MaxLearners: 4 * wanted,
		failures: map[raft.ID]int{}, heardSince: map[raft.ID]int{},
	}
}

// Decide gives the next single change.
func (m *Policy) Decide(view View) (decision Decision) {
	m.observe(view)
	voters := 0
	for _, member := range view.Members {
		if member.Voter {
			voters++
		}
	}
	dead, leaving, ready := -1, -1, -1
	lost, near := 0, 0
	for i, member := range view.Members {
		switch {
		case member.ID == view.Self:
		case member.Voter && m.lost(view, i):
			dead = m.denserZone(view.Members, dead, i)
			lost++
		case member.Voter && view.Leaving(member.ID):
			leaving = m.denserZone(view.Members, leaving, i)
		case !member.Voter && !m.lost(view, i) && !view.Leaving(member.ID):
			near++
			if m.ready(view, i) {
				ready = m.sparserZone(view.Members, ready, i)
			}
		}
	}
	switch {
	case voters > m.Voters && dead >= 0:
		return m.remove(view, dead)
	case voters > m.Voters && leaving >= 0:
		return m.remove(view, leaving)
	case dead >= 0 && ready >= 0 && (voters >= m.Voters || near <= lost):
		return m.remove(view, dead)
	case voters < m.Voters && ready >= 0:
		return m.promote(view, ready)
	case voters == m.Voters && leaving >= 0 && ready >= 0:
		return m.promote(view, ready)
	}
	learners := 0
	for i, member := range view.Members {
		if member.Voter || member.ID == view.Self {
			continue
		}
		if m.replaced(view, i) || view.SinceHeard(member.ID) > m.LearnerTimeout {
			return m.remove(view, i)
		}
		learners++
	}
	for _, candidate := range view.Joining {
		if m.RejectReason(view.Members, candidate) == "" {
			if _, known := raft.FindMember(view.Members, candidate.ID); !known {
				candidate.Voter = false
				next := append(append([]raft.Member(nil), view.Members...), candidate)
				return Decision{AddLearner, candidate, next}
			}
		}
	}
	return Decision{}
}

// RejectReason says why a core cannot be taken in; it is empty if it can.
func (m *Policy) RejectReason(members []raft.Member, candidate raft.Member) (why string) {
	if candidate.ID == "" {
		return "it has no id"
	}
	if candidate.Inner == "" {
		return "it has no inner address"
	}
	if known, member := raft.FindMember(members, candidate.ID); member {
		if known.Inner != candidate.Inner {
			return "its id is a member at another address"
		}
		return ""
	}
	learners := 0
	for _, member := range members {
		if !member.Voter && member.Inner != candidate.Inner {
			learners++
		}
	}
	if learners >= m.MaxLearners {
		return "there are too many members without a vote"
	}
	return ""
}

// HasSuccessor tells whether a voter that leaves may wait for its place to be
// taken: someone is there or near for it, beyond those that others need.
func (m *Policy) HasSuccessor(view View, id raft.ID) (near bool) {
	voters, others, learners := 0, 0, 0
	for i, member := range view.Members {
		switch {
		case member.Voter:
			voters++
			if member.ID != id && member.ID != view.Self && (m.lost(view, i) || view.Leaving(member.ID)) {
				others++
			}
		case !view.Leaving(member.ID) && !m.lost(view, i):
			learners++
		}
	}
	for _, candidate := range view.Joining {
		if _, known := raft.FindMember(view.Members, candidate.ID); !known && m.RejectReason(view.Members, candidate) == "" {
			learners++
		}
	}
	return voters+learners-others > m.Voters
}

// observe keeps how long each member has been heard without a gap.
func (m *Policy) observe(view View) {
	for _, member := range view.Members {
		since, heard := m.heardSince[member.ID]
		if view.SinceHeard(member.ID) > m.VoterTimeout/2 {
			delete(m.heardSince, member.ID)
		} else if !heard {
			m.heardSince[member.ID] = view.Tick
		} else if m.failures[member.ID] > 0 && view.Tick-since > forgiveAfter*m.VoterTimeout {
			delete(m.failures, member.ID)
		}
	}
	for id := range m.heardSince {
		if _, member := raft.FindMember(view.Members, id); !member {
			delete(m.heardSince, id)
		}
	}
}

// replaced tells that a newer life at the same address has been heard since,
// while the older was silent for longer than beats may take.
func (m *Policy) replaced(view View, at int) (outlived bool) {
	member := view.Members[at]
	silence := view.SinceHeard(member.ID)
	for i, other := range view.Members {
		if i == at || other.Inner != member.Inner || view.SinceHeard(other.ID) >= silence {
			continue
		}
		if i > at && silence > raft.ElectionTicks || silence > m.VoterTimeout {
			return true
		}
	}
	return false
}

func (m *Policy) lost(view View, at int) (gone bool) {
	return m.replaced(view, at) || view.SinceHeard(view.Members[at].ID) > m.VoterTimeout
}

// ready asks more of a core that was struck out before: twice as long without
// a gap after each time, so that one that comes and goes settles as a learner.
func (m *Policy) ready(view View, at int) (ready bool) {
	id := view.Members[at].ID
	if !view.CaughtUp(id) {
		return false
	}
	strikes := m.failures[id]
	if strikes == 0 {
		return true
	}
	since, heard := m.heardSince[id]
	return heard && view.Tick-since >= m.VoterTimeout<<(strikes-1)
}

func (m *Policy) remove(view View, at int) (decision Decision) {
	next := append([]raft.Member(nil), view.Members[:at]...)
	return Decision{Remove, view.Members[at], append(next, view.Members[at+1:]...)}
}

func (m *Policy) promote(view View, at int) (decision Decision) {
	next := append([]raft.Member(nil), view.Members...)
	next[at].Voter = true
	return Decision{Promote, next[at], next}
}

// Record notes a decision that went into the log: a voter removed because it was
// not heard has a strike.
func (m *Policy) Record(view View, decision Decision) {
	id := decision.Member.ID
	if decision.Change != Remove || !decision.Member.Voter || view.Leaving(id) {
		return
	}
	if len(m.failures) >= maxFailureRecords {
		m.failures = map[raft.ID]int{}
	}
	m.failures[id] = min(m.failures[id]+1, maxFailures)
}

// denserZone prefers the one whose zone has more voters.
func (m *Policy) denserZone(members []raft.Member, best, at int) (better int) {
	if best < 0 || zoneVoters(members, members[at].Site) > zoneVoters(members, members[best].Site) {
		return at
	}
	return best
}

// sparserZone prefers the one whose zone has fewer voters, where zones may be lost.
func (m *Policy) sparserZone(members []raft.Member, best, at int) (better int) {
	if best < 0 || m.SpreadZones && zoneVoters(members, members[at].Site) < zoneVoters(members, members[best].Site) {
		return at
	}
	return best
}

func zoneVoters(members []raft.Member, zone string) (count int) {
	for _, member := range members {
		if member.Voter && member.Site == zone {
			count++
		}
	}
	return count
}
