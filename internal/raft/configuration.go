package raft

// membersAt is the configuration that the log gives up to an index: a change binds
// from the moment it is in the log.
func (l *raftLog) membersAt(index Index) (members []Member) {
	members = l.snapshot.Members
	for i := range l.entries {
		if l.entries[i].Index <= index && l.entries[i].Members != nil {
			members = l.entries[i].Members
		}
	}
	return members
}

// refreshMembers takes the newest configuration over, and on a leader makes or drops
// the progress of those that came or went.
func (r *Replica) refreshMembers() {
	r.members = r.membersAt(r.lastIndex())
	if r.role != Leader {
		return
	}
	for _, member := range r.members {
		if _, known := r.peers[member.ID]; !known && member.ID != r.id {
			r.peers[member.ID] = &progress{next: r.lastIndex() + 1, catchUp: catchUp{target: r.lastIndex()}}
		}
	}
	for id := range r.peers {
		if _, known := FindMember(r.members, id); !known {
			delete(r.peers, id)
		}
	}
}

// FindMember looks a member up by its id.
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
// over: the successor would lack the change.
func (r *Replica) ProposeMembers(members []Member) (accepted bool, out Output) {
	if !r.AcceptsProposals() || !r.CommittedInTerm() || r.MembersChanging() {
		return false, Output{}
	}
	r.appendEntry(Entry{Members: members})
	return true, r.takeOutput()
}

// MembersChanging tells whether a change of members is in the log and not committed.
func (l *raftLog) MembersChanging() bool {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Index > l.commitIndex; i-- {
		if l.entries[i].Members != nil {
			return true
		}
	}
	return false
}

// SinceHeard gives the ticks since a member was last heard, for the leader.
func (r *Replica) SinceHeard(id ID) (ticks int, known bool) {
	p, known := r.peers[id]
	if !known {
		return 0, false
	}
	return p.silentTicks, true
}
