// Replication: what the leader sends to each member, what a member takes and
// tells, and how far all that makes the commit go.
package raft

import (
	"slices"
	"sort"
	"time"
)

// appended is an append that was not yet answered.
type appended struct {
	last Index
	size int
}

// progress is what the leader knows of a member. Until it is steady, one append
// is asked and its answer awaited, to find the place where both logs agree;
// then appends follow each other, up to a window.
type progress struct {
	match, next Index
	heard       int
	ackRound    uint64
	steady      bool
	asked       bool
	under       []appended
	flight      int
	idle        int
	sending     *sending
}

const (
	// maxBatch passes a link of 1 Mbit/s well within the time of a call.
	maxBatch = 32 << 10
	// window and appendsUnderWay bound what may be under way to one member; what
	// comes in the meantime goes together in the next append.
	window          = 64 << 10
	appendsUnderWay = 16
	// slowLink is the speed, in bytes a second, at which nothing is yet thought
	// lost.
	slowLink = 50_000
)

func (r *Replica) push(entry Entry) (index Index) {
	entry.Term, entry.Index = r.hard.Term, r.lastIndex()+1
	r.log = append(r.log, entry)
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
	index = r.push(Entry{Data: data})
	return index, r.hard.Term, true, r.flush()
}

func (r *Replica) replicate(id ID, p *progress) {
	if p.next <= r.start.index {
		r.sendParts(id, p)
		return
	}
	p.sending = nil
	if !p.steady {
		if !p.asked {
			p.asked, p.idle = true, 0
			r.sendEntries(id, p)
		}
		return
	}
	for p.next <= r.lastIndex() && p.flight < window && len(p.under) < appendsUnderWay {
		r.sendEntries(id, p)
	}
}

// sendEntries sends a batch.
func (r *Replica) sendEntries(id ID, p *progress) {
	m := Message{Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: r.termAt(p.next - 1), Commit: r.commit, Entries: r.entriesFrom(p.next, maxBatch), Round: r.round}
	r.send(m)
	p.under = append(p.under, appended{m.Index + Index(len(m.Entries)), m.size()})
	p.flight += m.size()
	if p.steady {
		p.next += Index(len(m.Entries))
	}
}

// ask makes a member unsteady: what is under way to it counts no more.
func (p *progress) ask() {
	p.under, p.flight, p.steady, p.asked, p.idle = nil, 0, false, false, 0
}

// answered takes out what a match answers.
func (p *progress) answered() {
	for len(p.under) > 0 && p.under[0].last <= p.match {
		p.flight -= p.under[0].size
		p.under = p.under[1:]
	}
}

// beat tells a member that the leader lives, and the commit as far as the member
// is known to hold the log; it never runs into what is still under way.
func (r *Replica) beat(id ID, p *progress) {
	m := Message{Kind: MsgAppend, To: id, Commit: r.commit, Round: r.round}
	if p.match >= r.start.index {
		m.Index, m.LogTerm = p.match, r.termAt(p.match)
	}
	r.send(m)
}

// recover sends again what must have been lost: a member that speaks has made no
// progress for as long as even a slow link takes.
func (r *Replica) recover(id ID, p *progress) {
	waits := p.sending != nil || p.asked || p.next > p.match+1
	if !waits || p.heard >= r.pace.ElectionTicks {
		p.idle = 0
		return
	}
	p.idle++
	flight, messages := p.flight, len(p.under)
	if p.sending != nil {
		flight, messages = p.sending.underWay*int(r.partSize), p.sending.underWay
	}
	if p.idle > r.pace.ElectionTicks+messages+flight*int(time.Second/tickInterval)/slowLink {
		r.resume(id, p)
	}
}

// ReportLost reports that what was on its way to a member is gone.
func (r *Replica) ReportLost(id ID) (out Output) {
	if p := r.peers[id]; r.role == Leader && p != nil && p.heard < r.pace.ElectionTicks && (p.sending != nil || len(p.under) > 0) {
		r.resume(id, p)
	}
	return r.flush()
}

// resume goes on from what a member is known to hold.
func (r *Replica) resume(id ID, p *progress) {
	p.ask()
	if p.sending != nil {
		p.sending.rewind(r.partSize)
	} else if p.match >= r.start.index {
		p.next = p.match + 1
	} else {
		p.next = r.lastIndex() + 1
	}
	r.replicate(id, p)
}

func (r *Replica) advance() {
	if r.role == Leader {
		var matches []Index
		for _, member := range r.members {
			if !member.Voter {
				continue
			}
			if member.ID == r.id {
				matches = append(matches, r.synced)
			} else if p := r.peers[member.ID]; p != nil {
				matches = append(matches, p.match)
			}
		}
		if len(matches) > 0 {
			sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
			agreed := matches[len(matches)/2]
			if agreed > r.commit && r.termAt(agreed) == r.hard.Term {
				r.commit = agreed
			}
		}
	}
	if r.gathering != nil && r.gathering.part.Index <= r.commit {
		r.gathering = nil
	}
	for r.applied < r.commit && r.applied < r.lastIndex() {
		r.applied++
		r.out.Committed = append(r.out.Committed, *r.at(r.applied))
	}
}

func (r *Replica) heed(m Message) {
	if r.role != Follower {
		r.role, r.votes, r.pre = Follower, nil, false
	}
	r.leader = m.From
	r.elapsed, r.silence, r.heardAt, r.fresh = 0, 0, r.now, false
	if r.timeout < r.pace.ElectionTicks {
		r.resetTimer()
	}
}

func (r *Replica) takeAppend(m Message) {
	r.heed(m)
	if m.Index < r.base.Index {
		r.tell(m, r.base.Index)
		return
	}
	if m.Index > r.lastIndex() || r.termAt(m.Index) != m.LogTerm {
		// The conflicting term and the place before its first entry let the
		// leader step back a term a message.
		hint, conflict := r.lastIndex(), Term(0)
		if m.Index <= hint {
			conflict = r.termAt(m.Index)
			hint = r.firstOf(conflict, m.Index) - 1
		}
		r.send(Message{Kind: MsgAppendResponse, To: m.From, Index: m.Index, Reject: true, Hint: max(hint, r.commit), LogTerm: conflict, Round: r.heardRound(m.Round)})
		return
	}
	var fresh []Entry
	for i, entry := range m.Entries {
		if entry.Index <= r.lastIndex() && r.termAt(entry.Index) == entry.Term {
			continue
		}
		fresh = m.Entries[i:]
		break
	}
	matched := m.Index + Index(len(m.Entries))
	if len(fresh) > 0 {
		first := fresh[0].Index
		if first <= r.commit {
			return
		}
		var cut Index
		if first <= r.lastIndex() {
			cut = first
			r.undo(first - 1)
			// What is on its way to others still points to what is cut off.
			r.log = slices.Clone(r.log[:first-r.start.index-1])
		}
		r.log = append(r.log, fresh...)
		changed := cut > 0
		for i := range fresh {
			changed = changed || fresh[i].Members != nil
		}
		if changed {
			r.refreshMembers()
		}
		r.tellHeard(m.From, m.Round)
		r.write(Write{TruncateFrom: cut, Entries: fresh, AfterSync: []Message{{Kind: MsgAppendResponse, To: m.From, Index: matched, Round: m.Round}}})
	} else {
		r.tell(m, matched)
	}
	commit := m.Commit
	if commit > matched {
		commit = matched
	}
	if commit > r.commit {
		r.commit = commit
	}
}

// tell answers at once, with no more than the disk holds: that the core lives is
// told also while its disk is busy, and what it holds behind the write.
func (r *Replica) tell(m Message, index Index) {
	r.send(Message{Kind: MsgAppendResponse, To: m.From, Index: min(index, r.synced), Round: r.heardRound(m.Round)})
}

func (r *Replica) takeInstall(m Message) {
	r.heed(m)
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index <= r.commit {
		r.tell(m, r.commit)
		return
	}
	// The log holds its last entry, and so all that it stands for: what lies
	// behind may have been counted by the leader and stays.
	if r.termAt(snapshot.Index) == snapshot.Term {
		r.commit = snapshot.Index
		r.tell(m, snapshot.Index)
		return
	}
	r.base = *snapshot
	r.start, r.log = place{snapshot.Index, snapshot.Term}, nil
	r.undo(0)
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.refreshMembers()
	r.out.Restore = snapshot
	r.tellHeard(m.From, m.Round)
	r.write(Write{TruncateFrom: 1, Snapshot: snapshot, AfterSync: []Message{{Kind: MsgAppendResponse, To: m.From, Index: snapshot.Index, Round: m.Round}}})
}

func (r *Replica) takeTell(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	silent := p.heard >= r.pace.ElectionTicks
	p.heard = 0
	if m.Round > p.ackRound {
		p.ackRound = m.Round
	}
	if m.Kind == MsgSnapshotChunkResponse {
		r.takePartTell(m, p)
		return
	}
	if m.Reject {
		if m.Index == p.match && m.Index > 0 {
			// An older disk was put back: it holds less than it told.
			p.match, p.sending = 0, nil
		} else if m.Index <= p.match || m.Index > r.lastIndex() || !p.steady && m.Index != p.next-1 || p.sending != nil {
			// Only the answer to what was asked last tells something new.
			return
		}
		p.next = min(max(r.lastOf(m.LogTerm, m.Hint, m.Index), m.Hint, p.match)+1, m.Index)
		p.ask()
		r.replicate(m.From, p)
		return
	}
	if m.Index > r.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match, p.idle = m.Index, 0
		if m.From == r.transfer {
			r.relieve()
		}
	}
	// A beat's answer says nothing of the append that was asked.
	if !p.steady && len(p.under) > 0 && m.Index >= p.under[0].last {
		p.steady, p.asked = true, false
	}
	p.answered()
	if p.next <= p.match {
		p.next = p.match + 1
	}
	if silent && (p.next > p.match+1 || p.sending != nil) {
		r.resume(m.From, p)
		return
	}
	if p.next <= r.lastIndex() {
		r.replicate(m.From, p)
	}
}
