package raft

// raftLog is the log in memory, its end on disk aside. A tail of what the snapshot
// stands for is kept, so that a member a little behind is brought up by entries.
type raftLog struct {
	// snapshot stands for the log up to its index.
	snapshot Snapshot
	// logStart is the entry before the first of entries; it lies at or before the snapshot's end.
	logStart position
	logTail  LogTail
	entries  []Entry
	// appliedIndex never passes commitIndex, which never passes the last entry.
	commitIndex  Index
	appliedIndex Index
}

// LogTail bounds what is kept of the log behind the snapshot.
type LogTail struct{ Entries, Bytes int }

// entryOverhead is what an entry weighs beside its data.
const entryOverhead = 64

// position names an entry by its index and term.
type position struct {
	index Index
	term  Term
}

func (l *raftLog) lastIndex() Index {
	return l.logStart.index + Index(len(l.entries))
}

func (l *raftLog) entry(index Index) (entry *Entry) { return &l.entries[index-l.logStart.index-1] }

func (l *raftLog) termAt(index Index) Term {
	if index == l.logStart.index {
		return l.logStart.term
	}
	if index < l.logStart.index || index > l.lastIndex() {
		return 0
	}
	return l.entry(index).Term
}

// firstIndexOfTerm is the first index of the run of one term that reaches up to index.
func (l *raftLog) firstIndexOfTerm(term Term, index Index) (first Index) {
	for first = index; first > l.logStart.index+1 && l.termAt(first-1) == term; first-- {
	}
	return first
}

// lastIndexOfTerm is the last index of a term that lies above low and below high, or
// none.
func (l *raftLog) lastIndexOfTerm(term Term, low, high Index) (last Index) {
	if term == 0 {
		return 0
	}
	for last = min(high-1, l.lastIndex()); last > low && last > l.logStart.index; last-- {
		if found := l.termAt(last); found == term {
			return last
		} else if found < term {
			break
		}
	}
	return 0
}

func (l *raftLog) entriesFrom(index Index, most int) (entries []Entry) {
	if index <= l.logStart.index || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.logStart.index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data) + entryOverhead
		if i > 0 && size > most {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// Compact replaces the log up to an applied index by a snapshot of the state there.
func (r *Replica) Compact(index Index, data []byte) (done bool, out Output) {
	if index <= r.snapshot.Index || index > r.appliedIndex {
		return false, out
	}
	snapshot := Snapshot{Index: index, Term: r.termAt(index), Members: r.membersAt(index), Data: data}
	r.snapshot = snapshot
	r.trimLog(r.neededFrom())
	r.write(Write{Snapshot: &snapshot})
	return true, r.takeOutput()
}

// transferTailFactor is how much more of the log than the tail is kept for members that need it.
const transferTailFactor = 4

// neededFrom is the last entry that every member in contact holds, or has on its way in a snapshot: it needs the log
// behind it, or else the next snapshot, and so on without an end while the log is written to.
func (r *Replica) neededFrom() (index Index) {
	index = r.snapshot.Index
	for _, p := range r.peers {
		held := p.match
		if p.outgoing != nil {
			held = p.outgoing.snapshot.Index
		}
		if p.silentTicks < r.timing.ElectionTicks && held >= r.logStart.index {
			index = min(index, held)
		}
	}
	return index
}

// trimLog gives up what lies behind the snapshot beyond the tail, but keeps what is needed from an index on, up to a
// longer tail.
func (l *raftLog) trimLog(neededFrom Index) {
	begin, bytes := l.snapshot.Index, 0
	for begin > l.logStart.index {
		bytes += len(l.entry(begin).Data) + entryOverhead
		tail := l.logTail
		if begin > neededFrom {
			tail.Entries, tail.Bytes = transferTailFactor*tail.Entries, transferTailFactor*tail.Bytes
		}
		if int(l.snapshot.Index-begin) >= tail.Entries || bytes > tail.Bytes {
			break
		}
		begin--
	}
	start := position{begin, l.termAt(begin)}
	l.entries = append([]Entry(nil), l.entries[begin-l.logStart.index:]...)
	l.logStart = start
}
