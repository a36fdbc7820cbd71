package raft

// What no correct member sends, in no order of events, is rejected before anything is
// taken from it. A message that only comes late, or to the wrong member, is none of these.

const (
	// maxTerm and maxIndex are beyond what any group reaches.
	maxTerm  Term  = 1 << 56
	maxIndex Index = 1 << 56
)

// rejectReason tells why a message is invalid; it is empty for a valid one.
func (r *Replica) rejectReason(m *Message) (why string) {
	switch {
	case m.Kind < MsgPreVote || m.Kind > MsgSnapshotChunkResponse:
		return "unknown kind"
	case m.From == "" || m.From == r.id:
		return "impossible sender"
	case m.Term == 0 || m.Term > maxTerm || m.LogTerm > m.Term && m.Kind != MsgAppendResponse:
		return "impossible term"
	case m.Index > maxIndex || m.Commit > maxIndex || m.Hint > maxIndex:
		return "impossible index"
	case len(m.Entries) > 0 && m.Kind != MsgAppend,
		(m.Snapshot != nil) != (m.Kind == MsgSnapshot),
		(m.Chunk != nil) != (m.Kind == MsgSnapshotChunk):
		return "content of another kind"
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if (m.Index == 0) != (m.LogTerm == 0) {
			return "impossible end of a log"
		}
	case MsgAppend:
		return r.appendRejectReason(m)
	case MsgSnapshot:
		return r.snapshotRejectReason(m, position{m.Snapshot.Index, m.Snapshot.Term}, m.Snapshot.Members)
	case MsgSnapshotChunk:
		part := m.Chunk
		if part.TotalBytes > maxSnapshotBytes || part.Offset > part.TotalBytes || uint64(len(part.Data)) > part.TotalBytes-part.Offset {
			return "part lies outside its snapshot"
		}
		return r.snapshotRejectReason(m, position{part.Index, part.Term}, part.Members)
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotChunkResponse:
		if r.answersUnsent(m) {
			return "answer to what was not sent"
		}
	}
	return ""
}

// knowsOtherLeader tells that another is known to lead the message's term.
func (r *Replica) knowsOtherLeader(m *Message) bool {
	return m.Term == r.hardState.Term && r.leader != "" && r.leader != m.From
}

// answersUnsent tells that a response in this leader's term acknowledges a heartbeat
// round or an entry that it never sent.
func (r *Replica) answersUnsent(m *Message) bool {
	return r.role == Leader && m.Term == r.hardState.Term &&
		(m.Round > r.heartbeatRound || m.Kind == MsgAppendResponse && !m.Reject && m.Index > r.lastIndex())
}

func (r *Replica) appendRejectReason(m *Message) (why string) {
	switch {
	case r.knowsOtherLeader(m):
		return "two leaders in a term"
	case (m.Index == 0) != (m.LogTerm == 0) || m.Index == 0 && len(m.Entries) > 0:
		return "impossible place in the log"
	case r.contradictsCommitted(m.Index, m.LogTerm):
		return "would undo what is committed"
	}
	term := m.LogTerm
	for i := range m.Entries {
		entry := &m.Entries[i]
		switch {
		case entry.Index != m.Index+1+Index(i):
			return "entries do not follow each other"
		case entry.Term < term || entry.Term > m.Term:
			return "impossible term of an entry"
		case entry.Members != nil && !validMembers(entry.Members):
			return "impossible members"
		case r.contradictsCommitted(entry.Index, entry.Term):
			return "would undo what is committed"
		}
		term = entry.Term
	}
	return ""
}

func (r *Replica) snapshotRejectReason(m *Message, end position, members []Member) (why string) {
	switch {
	case r.knowsOtherLeader(m):
		return "two leaders in a term"
	case end.index == 0 || end.index > maxIndex || end.term == 0 || end.term > m.Term,
		end.index > r.commitIndex && end.term < r.termAt(r.commitIndex),
		r.contradictsCommitted(end.index, end.term):
		return "impossible end of a snapshot"
	case !validMembers(members):
		return "impossible members"
	}
	return ""
}

// contradictsCommitted tells that a term is claimed for a committed entry which is not its own.
func (r *Replica) contradictsCommitted(index Index, term Term) bool {
	return index > 0 && index <= r.commitIndex && index >= r.logStart.index && r.termAt(index) != term
}

// validMembers tells that each has an id of its own and somebody votes.
func validMembers(members []Member) bool {
	voters := 0
	for i, member := range members {
		if _, twice := FindMember(members[:i], member.ID); twice || member.ID == "" {
			return false
		}
		if member.Voter {
			voters++
		}
	}
	return voters > 0
}
