package membership

import "tinpin/internal/raft"

// RejectReason says why a controller cannot be taken in; it is empty if it can.
func (p *Policy) RejectReason(members []raft.Member, candidate raft.Member) (why string) {
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
	if learners >= p.MaxLearners {
		return "there are too many members without a vote"
	}
	return ""
}

// canJoin tells whether a controller that is not a member may be taken in.
func (p *Policy) canJoin(members []raft.Member, candidate raft.Member) (can bool) {
	_, member := raft.FindMember(members, candidate.ID)
	return !member && p.RejectReason(members, candidate) == ""
}

// HasSuccessor tells whether a voter that leaves may wait for its place to be
// taken: someone is there or near for it, beyond those that others need.
func (p *Policy) HasSuccessor(view View, id raft.ID) (near bool) {
	voters, otherLeavers, learners := 0, 0, 0
	for i, member := range view.Members {
		goes := p.lost(view, i) || view.Leaving(member.ID)
		switch {
		case member.Voter:
			voters++
			if goes && member.ID != id && member.ID != view.Self {
				otherLeavers++
			}
		case !goes:
			learners++
		}
	}
	for _, candidate := range view.Joining {
		if p.canJoin(view.Members, candidate) {
			learners++
		}
	}
	return voters+learners-otherLeavers > p.Voters
}
