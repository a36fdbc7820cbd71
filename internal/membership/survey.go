package membership

import "tinpin/internal/raft"

// noMember is the index of a member that is not there.
const noMember = -1

// survey is what a view says about the voters and those that may follow them. This controller counts only
// among the voters.
type survey struct {
	voters int
	// lostVoters have been without contact for too long; learners are in contact and stay.
	lostVoters, learners int
	// lost and leaving are the voters to remove first, ready is the learner to promote first: indexes of
	// members, or noMember.
	lost, leaving, ready int
}

// survey looks through all members.
func (p *Policy) survey(view View) (s survey) {
	s = survey{voters: countVoters(view.Members), lost: noMember, leaving: noMember, ready: noMember}
	for i, member := range view.Members {
		switch {
		case member.ID == view.Self:
		case member.Voter:
			p.surveyVoter(view, i, &s)
		default:
			p.surveyLearner(view, i, &s)
		}
	}
	return s
}

func (p *Policy) surveyVoter(view View, at int, s *survey) {
	switch {
	case p.lost(view, at):
		s.lostVoters++
		s.lost = denserZone(view.Members, s.lost, at)
	case view.Leaving(view.Members[at].ID):
		s.leaving = denserZone(view.Members, s.leaving, at)
	}
}

func (p *Policy) surveyLearner(view View, at int, s *survey) {
	if p.lost(view, at) || view.Leaving(view.Members[at].ID) {
		return
	}
	s.learners++
	if p.ready(view, at) {
		s.ready = p.sparserZone(view.Members, s.ready, at)
	}
}

// denserZone prefers the one whose zone has more voters.
func denserZone(members []raft.Member, best, at int) (better int) {
	if best == noMember || zoneVoters(members, members[at].Site) > zoneVoters(members, members[best].Site) {
		return at
	}
	return best
}

// sparserZone prefers the one whose zone has fewer voters, where zones may be lost.
func (p *Policy) sparserZone(members []raft.Member, best, at int) (better int) {
	if best == noMember {
		return at
	}
	if p.SpreadZones && zoneVoters(members, members[at].Site) < zoneVoters(members, members[best].Site) {
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

func countVoters(members []raft.Member) (voters int) {
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters
}
