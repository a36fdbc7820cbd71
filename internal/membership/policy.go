package membership

import (
	"slices"
	"time"

	"tinpin/internal/raft"
)

// Change tells the changes of membership apart.
type Change uint8

// The changes.
const (
	NoChange Change = iota
	AddLearner
	Promote
	Remove
)

// String names the change, as log lines do.
func (c Change) String() (text string) {
	return [...]string{"stay", "admit", "raise", "remove"}[c]
}

// View is what the leader sees when it decides.
type View struct {
	Self    raft.ID
	Tick    int
	Members []raft.Member
	Joining []raft.Member
	Leaving func(raft.ID) bool
	// SinceContact is the number of ticks since the last message of a member.
	SinceContact func(raft.ID) int
	// CaughtUp tells whether a member keeps up with the log, see raft.Replica.CaughtUp.
	CaughtUp func(raft.ID) bool
}

// Decision is the one change that is due, if any.
type Decision struct {
	Change Change
	Member raft.Member
	Next   []raft.Member
}

// Policy decides on the members while its controller leads.
type Policy struct {
	// Voters is how many should vote.
	Voters int
	// SpreadZones has learners promoted where the fewest vote.
	SpreadZones bool
	// VoterTimeout is after how many ticks without contact a voter goes, if one is ready for its place.
	VoterTimeout int
	// LearnerTimeout is after how many ticks without contact a learner goes.
	LearnerTimeout int
	// MaxLearners bounds how many are taken in without a vote.
	MaxLearners int

	// failures counts for each member how often it was removed as a voter without contact.
	failures map[raft.ID]int
	// contactSince is the tick since which each member has been in contact without a gap.
	contactSince map[raft.ID]int
}

const (
	// minVoters is enough to outlast one loss.
	minVoters = 3
	// learnersPerVoter bounds members without a vote.
	learnersPerVoter = 4
	// learnerTimeoutFactor is how much longer than a voter a learner may be without contact.
	learnerTimeoutFactor = 16
	// minTimeoutElections keeps an election from looking like a loss.
	minTimeoutElections = 3
)

// VotersForLosses is how many controllers should vote, so that what was acknowledged outlasts
// the loss of so many: of twice as many and one, a majority is left.
func VotersForLosses(losses int) (voters int) { return max(minVoters, 2*losses+1) }

// NewPolicy follows the settings: a voter goes after a quarter of the time
// in which a successor must be at full strength, yet never so soon that an
// election could look like a loss.
func NewPolicy(losses, zones int, catchUp time.Duration) (policy *Policy) {
	voters := VotersForLosses(losses)
	timeout := max(int(catchUp/4/raft.TickInterval), minTimeoutElections*raft.ElectionTicks)
	return &Policy{
		Voters: voters, SpreadZones: zones > 0,
		VoterTimeout: timeout, LearnerTimeout: learnerTimeoutFactor * timeout,
		MaxLearners: learnersPerVoter * voters,
		failures:    map[raft.ID]int{}, contactSince: map[raft.ID]int{},
	}
}

// Decide gives the next single change: of the voters first, then of the learners, then of those that join.
func (p *Policy) Decide(view View) (decision Decision) {
	p.observe(view)
	for _, decide := range []func(View) Decision{p.changeVoters, p.removeLearner, p.addLearner} {
		if decision = decide(view); decision.Change != NoChange {
			return decision
		}
	}
	return Decision{}
}

// changeVoters removes a voter that is lost or leaves, or promotes a learner.
func (p *Policy) changeVoters(view View) (decision Decision) {
	s := p.survey(view)
	lost, leaving, ready := s.lost != noMember, s.leaving != noMember, s.ready != noMember
	switch {
	case lost && s.voters > p.Voters:
		return remove(view, s.lost)
	case leaving && s.voters > p.Voters:
		return remove(view, s.leaving)
	case lost && ready && (s.voters >= p.Voters || s.learners <= s.lostVoters):
		return remove(view, s.lost)
	case ready && s.voters < p.Voters, ready && leaving && s.voters == p.Voters:
		return promote(view, s.ready)
	}
	return Decision{}
}

// removeLearner removes a learner that has been without contact for too long, or that runs again under another
// id.
func (p *Policy) removeLearner(view View) (decision Decision) {
	for i, member := range view.Members {
		if member.Voter || member.ID == view.Self {
			continue
		}
		if p.replaced(view, i) || view.SinceContact(member.ID) > p.LearnerTimeout {
			return remove(view, i)
		}
	}
	return Decision{}
}

// addLearner takes in the first that may join.
func (p *Policy) addLearner(view View) (decision Decision) {
	for _, candidate := range view.Joining {
		if p.canJoin(view.Members, candidate) {
			candidate.Voter = false
			return Decision{AddLearner, candidate, append(slices.Clone(view.Members), candidate)}
		}
	}
	return Decision{}
}

func remove(view View, at int) (decision Decision) {
	return Decision{Remove, view.Members[at], slices.Delete(slices.Clone(view.Members), at, at+1)}
}

func promote(view View, at int) (decision Decision) {
	next := slices.Clone(view.Members)
	next[at].Voter = true
	return Decision{Promote, next[at], next}
}
