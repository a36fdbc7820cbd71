package membership

import "tinpin/internal/raft"

// WaitReason is why a change of the voters that is due does not happen.
type WaitReason uint8

// The reasons.
const (
	// NotWaiting: no change is due.
	NotWaiting WaitReason = iota
	// NoLearner: nobody could take the place.
	NoLearner
	// LearnerBehind: no learner has caught up with the log.
	LearnerBehind
	// LearnerOnProbation: a learner that has caught up was removed before, and has to stay in contact first.
	LearnerOnProbation
)

// String names the reason, as log lines do.
func (w WaitReason) String() (text string) {
	return [...]string{"none", "no learner", "learner behind", "learner on probation"}[w]
}

// Wait is a change of the voters that is due and does not happen. Voter is the one to be replaced, empty where a vote
// is vacant; Learner is the one that is nearest to its place, empty where there is none.
type Wait struct {
	Reason         WaitReason
	Voter, Learner raft.ID
}

// Waiting tells what a change of the voters waits for, where Decide has none to make.
func (p *Policy) Waiting(view View) (wait Wait) {
	s := p.survey(view)
	switch {
	case s.lost != noMember:
		wait.Voter = view.Members[s.lost].ID
	case s.leaving != noMember:
		wait.Voter = view.Members[s.leaving].ID
	case s.voters >= p.Voters:
		return Wait{}
	}
	wait.Reason = NoLearner
	for i, member := range view.Members {
		if member.Voter || p.lost(view, i) || view.Leaving(member.ID) {
			continue
		}
		reason := LearnerBehind
		if view.CaughtUp(member.ID) {
			reason = LearnerOnProbation
		}
		if reason > wait.Reason {
			wait.Reason, wait.Learner = reason, member.ID
		}
	}
	return wait
}
