// Replication: what the leader sends to each member, what a member takes and
// tells, and how far all that makes the commit go.
package accord

import "sort"

type progress struct {
	match, next Index
	heard       int
	ackRound    uint64
	pending     int
	sentSnap    Index
}

const maxBatch = 256 << 10

func (r *Raft) push(entry Entry) (index Index) {
	entry.Term, entry.Index = r.hard.Term, r.lastIndex()+1
	r.log = append(r.log, entry)
	if entry.Members != nil {
		r.refreshMembers()
	}
	r.write(Write{Entries: []Entry{entry}})
	for _, member := range r.members {
		if p := r.peers[member.ID]; p != nil {
			r.replicate(member.ID, p, false)
		}
	}
	return entry.Index
}

// Propose puts data into the log; it fails on any but the leader.
func (r *Raft) Propose(data []byte) (index Index, term Term, accepted bool, out Output) {
	if !r.Open() {
		return 0, 0, false, Output{}
	}
	index = r.push(Entry{Data: data})
	return index, r.hard.Term, true, r.flush()
}

func (r *Raft) replicate(id ID, p *progress, beat bool) {
	if p.next <= r.start.index {
		if p.sentSnap == r.base.Index && !(beat && p.heard > 0 && r.round%8 == 0) {
			if beat {
				r.send(Message{Kind: Append, To: id, Index: r.base.Index, LogTerm: r.base.Term, Commit: 0, Round: r.round})
			}
			return
		}
		p.sentSnap = r.base.Index
		snapshot := r.base
		r.send(Message{Kind: Install, To: id, Snapshot: &snapshot, Round: r.round})
		return
	}
	if p.pending >= 8 && !beat {
		return
	}
	if beat && p.match+1 < p.next && p.heard > r.pace.Beat*2 {
		p.next = p.match + 1
		if p.next <= r.start.index {
			r.replicate(id, p, beat)
			return
		}
	}
	entries := r.entriesFrom(p.next, maxBatch)
	if len(entries) == 0 && !beat {
		return
	}
	r.send(Message{Kind: Append, To: id, Index: p.next - 1, LogTerm: r.termAt(p.next - 1), Commit: r.commit, Entries: entries, Round: r.round})
	p.pending++
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
	}
}

func (r *Raft) advance() {
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
	for r.applied < r.commit && r.applied < r.lastIndex() {
		r.applied++
		r.out.Apply = append(r.out.Apply, *r.at(r.applied))
	}
}

func (r *Raft) heed(m Message) {
	if r.role != Follower {
		r.role, r.votes, r.pre = Follower, nil, false
	}
	r.leader = m.From
	r.elapsed, r.silence, r.heardAt = 0, 0, r.now
	if r.timeout < r.pace.Election {
		r.resetTimer()
	}
}

func (r *Raft) takeAppend(m Message) {
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
		r.send(Message{Kind: TellAppend, To: m.From, Index: m.Index, Reject: true, Hint: max(hint, r.commit), LogTerm: conflict, Round: r.heardRound(m.Round)})
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
		}
		r.log = append(r.log[:first-r.start.index-1:first-r.start.index-1], fresh...)
		changed := cut > 0
		for i := range fresh {
			changed = changed || fresh[i].Members != nil
		}
		if changed {
			r.refreshMembers()
		}
		r.tellHeard(m.From, m.Round)
		r.write(Write{Cut: cut, Entries: fresh, After: []Message{{Kind: TellAppend, To: m.From, Index: matched, Round: m.Round}}})
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
func (r *Raft) tell(m Message, index Index) {
	r.send(Message{Kind: TellAppend, To: m.From, Index: min(index, r.synced), Round: r.heardRound(m.Round)})
}

func (r *Raft) takeInstall(m Message) {
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
	r.write(Write{Cut: 1, Snapshot: snapshot, After: []Message{{Kind: TellAppend, To: m.From, Index: snapshot.Index, Round: m.Round}}})
}

func (r *Raft) takeTell(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard = 0
	if m.Round > p.ackRound {
		p.ackRound = m.Round
	}
	if p.pending > 0 {
		p.pending--
	}
	if m.Reject {
		if m.Index == p.match {
			// An older disk was put back: it holds less than it told.
			p.match = 0
		}
		if m.Index >= p.match {
			next := max(r.lastOf(m.LogTerm, m.Hint, m.Index), m.Hint, p.match) + 1
			if next < p.next {
				p.next = next
			}
			p.sentSnap = 0
			r.replicate(m.From, p, false)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		if m.From == r.transfer {
			r.relieve()
		}
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	if p.next <= r.lastIndex() {
		r.replicate(m.From, p, false)
	}
}
