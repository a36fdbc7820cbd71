// The members as the log tells them: a change binds from the moment it is in
// the log, and one is under way at a time.
package raft

func (r *Replica) refreshMembers() {
	r.members = r.snapshot.Members
	for i := range r.entries {
		if r.entries[i].Members != nil {
			r.members = r.entries[i].Members
		}
	}
	if r.role != Leader {
		return
	}
	for _, member := range r.members {
		if _, known := r.peers[member.ID]; !known && member.ID != r.id {
			r.peers[member.ID] = &progress{next: r.lastIndex() + 1}
		}
	}
	for id := range r.peers {
		if _, known := FindMember(r.members, id); !known {
			delete(r.peers, id)
		}
	}
}

func FindMember(members []Member, id ID) (member Member, known bool) {
	for _, member = range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (r *Replica) isVoter(id ID) bool {
	member, known := FindMember(r.members, id)
	return known && member.Voter
}

func (r *Replica) voterCount() (count int) {
	for _, member := range r.members {
		if member.Voter {
			count++
		}
	}
	return count
}

// ProposeMembers puts a new set of members into the log, one change at a time, and
// only once the leader has committed in its own term, and not while it hands
// over: the one who is told to stand would lack the change.
func (r *Replica) ProposeMembers(members []Member) (accepted bool, out Output) {
	if !r.AcceptsProposals() || !r.CommittedInTerm() || r.membersChanging() {
		return false, Output{}
	}
	r.appendEntry(Entry{Members: members})
	return true, r.takeOutput()
}

func (r *Replica) membersChanging() bool {
	for i := len(r.entries) - 1; i >= 0 && r.entries[i].Index > r.commitIndex; i-- {
		if r.entries[i].Members != nil {
			return true
		}
	}
	return false
}

// CaughtUp tells whether a member's disk has all that is committed.
func (r *Replica) CaughtUp(id ID) bool {
	p, known := r.peers[id]
	return known && p.match >= r.commitIndex && p.silentTicks < 2*r.timing.ElectionTicks
}

// SinceHeard gives the ticks since a member was last heard, for the leader.
func (r *Replica) SinceHeard(id ID) (ticks int, known bool) {
	p, known := r.peers[id]
	if !known {
		return 0, false
	}
	return p.silentTicks, true
}
