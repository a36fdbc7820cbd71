package raft

import (
	"slices"
	"sort"
	"time"
)

const (
	// maxAppendBytes passes a link of 1 Mbit/s well within the time of a call.
	maxAppendBytes = 32 << 10
	// maxInflightBytes and maxInflightAppends bound what may be in flight to one member; what
	// comes in the meantime goes together in the next append.
	maxInflightBytes   = 64 << 10
	maxInflightAppends = 16
	// SlowLinkBytesPerSecond is the speed, in bytes a second, at which nothing is yet thought
	// lost.
	SlowLinkBytesPerSecond = 50_000
)

// appendEntry puts an entry behind the leader's log and sends it on.
func (r *Replica) appendEntry(entry Entry) (index Index) {
	entry.Term, entry.Index = r.hardState.Term, r.lastIndex()+1
	r.entries = append(r.entries, entry)
	if entry.Members != nil {
		r.refreshMembers()
	}
	r.write(Write{Entries: []Entry{entry}})
	for _, member := range r.members {
		if p := r.peers[member.ID]; p != nil {
			r.replicate(member.ID, p)
		}
	}
	return entry.Index
}

// Propose puts data into the log; it fails on any but the leader.
func (r *Replica) Propose(data []byte) (index Index, term Term, accepted bool, out Output) {
	if !r.AcceptsProposals() {
		return 0, 0, false, Output{}
	}
	index = r.appendEntry(Entry{Data: data})
	return index, r.hardState.Term, true, r.takeOutput()
}

// replicate sends a member what it lacks, as far as its window allows.
func (r *Replica) replicate(id ID, p *progress) {
	if p.next <= r.logStart.index {
		r.sendChunks(id, p)
		return
	}
	p.outgoing = nil
	if !p.pipelined {
		if !p.probed {
			p.probed, p.stalledTicks = true, 0
			r.sendAppend(id, p)
		}
		return
	}
	for p.next <= r.lastIndex() && p.inflightBytes < maxInflightBytes && len(p.inflight) < maxInflightAppends {
		r.sendAppend(id, p)
	}
}

// sendAppend sends a batch.
func (r *Replica) sendAppend(id ID, p *progress) {
	m := Message{
		Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: r.termAt(p.next - 1), Commit: r.commitIndex,
		Entries: r.entriesFrom(p.next, maxAppendBytes), Round: r.heartbeatRound,
	}
	r.send(m)
	p.inflight = append(p.inflight, inflightAppend{m.Index + Index(len(m.Entries)), m.Size()})
	p.inflightBytes += m.Size()
	if p.pipelined {
		p.next += Index(len(m.Entries))
	}
}

// sendHeartbeat tells a member that the leader lives, and the commit as far as the member
// is known to hold the log; it never runs into what is still under way.
func (r *Replica) sendHeartbeat(id ID, p *progress) {
	m := Message{Kind: MsgAppend, To: id, Commit: r.commitIndex, Round: r.heartbeatRound}
	if p.match >= r.logStart.index {
		m.Index, m.LogTerm = p.match, r.termAt(p.match)
	}
	r.send(m)
}

// resendIfStalled sends again what must have been lost: a member that speaks has made no
// progress for as long as even a slow link takes.
func (r *Replica) resendIfStalled(id ID, p *progress) {
	waits := p.outgoing != nil || p.probed || p.next > p.match+1
	if !waits || p.silentTicks >= r.timing.ElectionTicks {
		p.stalledTicks = 0
		return
	}
	p.stalledTicks++
	flight, messages := p.inflightBytes, len(p.inflight)
	if p.outgoing != nil {
		flight, messages = p.outgoing.inflightChunks*int(r.chunkBytes), p.outgoing.inflightChunks
	}
	if p.stalledTicks > r.timing.ElectionTicks+messages+flight*int(time.Second/TickInterval)/SlowLinkBytesPerSecond {
		r.restartReplication(id, p)
	}
}

// ReportLost reports that what was on its way to a member is gone.
func (r *Replica) ReportLost(id ID) (out Output) {
	p := r.peers[id]
	if r.role == Leader && p != nil && p.silentTicks < r.timing.ElectionTicks && (p.outgoing != nil || len(p.inflight) > 0) {
		r.restartReplication(id, p)
	}
	return r.takeOutput()
}

// restartReplication goes on from what a member is known to hold.
func (r *Replica) restartReplication(id ID, p *progress) {
	p.probe()
	if p.outgoing != nil {
		p.outgoing.rewind(r.chunkBytes)
	} else if p.match >= r.logStart.index {
		p.next = p.match + 1
	} else {
		p.next = r.lastIndex() + 1
	}
	r.replicate(id, p)
}

// advanceCommit commits on a leader what a majority of voters holds on disk, if it is
// of the leader's own term, and has all that is committed applied.
func (r *Replica) advanceCommit() {
	if r.role == Leader {
		agreed := r.majorityMatch()
		if agreed > r.commitIndex && r.termAt(agreed) == r.hardState.Term {
			r.commitIndex = agreed
		}
	}
	if r.incoming != nil && r.incoming.chunk.Index <= r.commitIndex {
		r.incoming = nil
	}
	for r.appliedIndex < r.commitIndex && r.appliedIndex < r.lastIndex() {
		r.appliedIndex++
		r.output.Committed = append(r.output.Committed, *r.entry(r.appliedIndex))
	}
}

// majorityMatch is the last entry that a majority of voters holds on disk, zero if none.
func (r *Replica) majorityMatch() (agreed Index) {
	var matches []Index
	for _, member := range r.members {
		if !member.Voter {
			continue
		}
		if member.ID == r.id {
			matches = append(matches, r.syncedIndex)
		} else if p := r.peers[member.ID]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	return matches[len(matches)/2]
}

// observeLeader follows the sender, who leads this term.
func (r *Replica) observeLeader(m Message) {
	if r.role != Follower {
		r.role, r.votes, r.preVoting = Follower, nil, false
	}
	r.leader = m.From
	r.elapsedTicks, r.leaderSilentTicks, r.leaderHeardAt, r.leaderless = 0, 0, r.now, false
	if r.timeoutTicks < r.timing.ElectionTicks {
		r.resetTimer()
	}
}

func (r *Replica) handleAppend(m Message) {
	r.observeLeader(m)
	if m.Index < r.snapshot.Index {
		r.sendAppendResponse(m, r.snapshot.Index)
		return
	}
	if m.Index > r.lastIndex() || r.termAt(m.Index) != m.LogTerm {
		r.rejectAppend(m)
		return
	}
	matched := m.Index + Index(len(m.Entries))
	fresh := r.missingEntries(m.Entries)
	if len(fresh) == 0 {
		r.sendAppendResponse(m, matched)
	} else if !r.takeEntries(m, fresh) {
		return
	}
	r.commitIndex = max(r.commitIndex, min(m.Commit, matched))
}

// rejectAppend answers an append that does not fit the log. The conflicting term and
// the index before its first entry let the leader step back a term a message.
func (r *Replica) rejectAppend(m Message) {
	hint, conflict := r.lastIndex(), Term(0)
	if m.Index <= hint {
		conflict = r.termAt(m.Index)
		hint = r.firstIndexOfTerm(conflict, m.Index) - 1
	}
	r.send(Message{
		Kind: MsgAppendResponse, To: m.From, Index: m.Index, Reject: true, Hint: max(hint, r.commitIndex), LogTerm: conflict,
		Round: r.confirmRound(m.Round),
	})
}

// missingEntries are those from the first on that the log does not hold.
func (l *raftLog) missingEntries(entries []Entry) (missing []Entry) {
	for i, entry := range entries {
		if entry.Index > l.lastIndex() || l.termAt(entry.Index) != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// takeEntries puts entries at their places, where they replace what conflicts; it
// refuses to replace what is committed.
func (r *Replica) takeEntries(m Message, fresh []Entry) (taken bool) {
	first := fresh[0].Index
	if first <= r.commitIndex {
		return false
	}
	var truncate Index
	if first <= r.lastIndex() {
		truncate = first
		r.discardSyncs(first - 1)
		// What is on its way to others still points to what is cut off.
		r.entries = slices.Clone(r.entries[:first-r.logStart.index-1])
	}
	r.entries = append(r.entries, fresh...)
	changed := truncate > 0
	for i := range fresh {
		changed = changed || fresh[i].Members != nil
	}
	if changed {
		r.refreshMembers()
	}
	r.sendHeartbeatResponse(m.From, m.Round)
	matched := m.Index + Index(len(m.Entries))
	r.write(Write{
		TruncateFrom: truncate, Entries: fresh,
		AfterSync: []Message{{Kind: MsgAppendResponse, To: m.From, Index: matched, Round: m.Round}},
	})
	return true
}

// sendAppendResponse answers at once, with no more than the disk holds: a busy disk
// does not hide that the replica lives, and the answer for the rest follows its write.
func (r *Replica) sendAppendResponse(m Message, index Index) {
	r.send(Message{Kind: MsgAppendResponse, To: m.From, Index: min(index, r.syncedIndex), Round: r.confirmRound(m.Round)})
}

// recordResponse notes that a member was heard, and up to which heartbeat round.
// Its progress is nil where this replica does not lead or the member is none.
func (r *Replica) recordResponse(m Message) (p *progress, wasSilent bool) {
	p = r.peers[m.From]
	if r.role != Leader || p == nil {
		return nil, false
	}
	wasSilent = p.silentTicks >= r.timing.ElectionTicks
	p.silentTicks = 0
	p.ackedRound = max(p.ackedRound, m.Round)
	return p, wasSilent
}

func (r *Replica) handleAppendResponse(m Message) {
	p, wasSilent := r.recordResponse(m)
	switch {
	case p == nil:
	case m.Reject:
		r.handleAppendRejection(m, p)
	case m.Index <= r.lastIndex():
		r.handleMatch(m, p, wasSilent)
	}
}

// handleAppendRejection steps back to where both logs may agree.
func (r *Replica) handleAppendRejection(m Message, p *progress) {
	if m.Index == p.match && m.Index > 0 {
		// An older disk was put back: it holds less than it acknowledged.
		p.match, p.outgoing, p.catchUp = 0, nil, catchUp{target: r.lastIndex()}
	} else if m.Index <= p.match || m.Index > r.lastIndex() || !p.pipelined && m.Index != p.next-1 || p.outgoing != nil {
		// Only the answer to what was asked last tells something new.
		return
	}
	p.next = min(max(r.lastIndexOfTerm(m.LogTerm, m.Hint, m.Index), m.Hint, p.match)+1, m.Index)
	p.probe()
	r.replicate(m.From, p)
}

// handleMatch takes that a member holds the log up to an index, and sends on.
func (r *Replica) handleMatch(m Message, p *progress, wasSilent bool) {
	if m.Index > p.match {
		p.match, p.stalledTicks = m.Index, 0
		r.advanceCatchUp(p)
		if m.From == r.transferTarget {
			r.completeTransfer()
		}
	}
	// A heartbeat's answer says nothing of the append that was asked.
	if !p.pipelined && len(p.inflight) > 0 && m.Index >= p.inflight[0].lastIndex {
		p.pipelined, p.probed = true, false
	}
	p.releaseAcknowledged()
	if p.next <= p.match {
		p.next = p.match + 1
	}
	if wasSilent && (p.next > p.match+1 || p.outgoing != nil) {
		r.restartReplication(m.From, p)
		return
	}
	if p.next <= r.lastIndex() {
		r.replicate(m.From, p)
	}
}
