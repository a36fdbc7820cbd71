// The log in memory: its ends, the terms in it, what the disk has reported,
// and its cut behind a snapshot. A tail of what the snapshot stands for is kept
// in memory, so that a member a little behind is brought up by entries.
package raft

// LogTail bounds what is kept of the log behind the snapshot.
type LogTail struct{ Entries, Bytes int }

// entryOverhead is what an entry weighs beside its data.
const entryOverhead = 64

// position is where the log begins: the entry before its first.
type position struct {
	index Index
	term  Term
}

func (r *Replica) lastIndex() Index {
	return r.logStart.index + Index(len(r.entries))
}

func (r *Replica) entry(index Index) (entry *Entry) { return &r.entries[index-r.logStart.index-1] }

func (r *Replica) termAt(index Index) Term {
	if index == r.logStart.index {
		return r.logStart.term
	}
	if index < r.logStart.index || index > r.lastIndex() {
		return 0
	}
	return r.entry(index).Term
}

// firstIndexOfTerm is the first place of the run of one term that reaches up to index.
func (r *Replica) firstIndexOfTerm(term Term, index Index) (first Index) {
	for first = index; first > r.logStart.index+1 && r.termAt(first-1) == term; first-- {
	}
	return first
}

// lastIndexOfTerm is the last place of a term that lies above low and below high, or
// none.
func (r *Replica) lastIndexOfTerm(term Term, low, high Index) (last Index) {
	if term == 0 {
		return 0
	}
	for last = min(high-1, r.lastIndex()); last > low && last > r.logStart.index; last-- {
		if found := r.termAt(last); found == term {
			return last
		} else if found < term {
			break
		}
	}
	return 0
}

func (r *Replica) entriesFrom(index Index, most int) (entries []Entry) {
	if index <= r.logStart.index || index > r.lastIndex() {
		return nil
	}
	rest := r.entries[index-r.logStart.index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data) + entryOverhead
		if i > 0 && size > most {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// pendingSync tells up to where the disk holds the log once an order is carried out.
type pendingSync struct {
	write     uint64
	lastIndex Index
}

// discardSyncs notes that the log behind a place is given up: no order that is done or
// under way counts for more.
func (r *Replica) discardSyncs(behind Index) {
	r.syncedIndex = min(r.syncedIndex, behind)
	for i := range r.pendingSyncs {
		r.pendingSyncs[i].lastIndex = min(r.pendingSyncs[i].lastIndex, behind)
	}
}

// ReportSynced reports that the disk has carried out so many more orders.
func (r *Replica) ReportSynced(orders int) (out Output) {
	r.writesDone += uint64(orders)
	for len(r.pendingSyncs) > 0 && r.pendingSyncs[0].write <= r.writesDone {
		r.syncedIndex = max(r.syncedIndex, r.pendingSyncs[0].lastIndex)
		r.pendingSyncs = r.pendingSyncs[1:]
	}
	return r.takeOutput()
}

// Compact cuts the log behind an applied place.
func (r *Replica) Compact(index Index, data []byte) (done bool, out Output) {
	if index <= r.snapshot.Index || index > r.appliedIndex {
		return false, out
	}
	members := r.snapshot.Members
	for i := range r.entries {
		if r.entries[i].Index <= index && r.entries[i].Members != nil {
			members = r.entries[i].Members
		}
	}
	snapshot := Snapshot{Index: index, Term: r.termAt(index), Members: members, Data: data}
	r.snapshot = snapshot
	r.trimLog()
	r.write(Write{Snapshot: &snapshot})
	return true, r.takeOutput()
}

// trimLog gives up what lies behind the snapshot beyond the tail.
func (r *Replica) trimLog() {
	begin, bytes := r.snapshot.Index, 0
	for begin > r.logStart.index {
		bytes += len(r.entry(begin).Data) + entryOverhead
		if int(r.snapshot.Index-begin) >= r.logTail.Entries || bytes > r.logTail.Bytes {
			break
		}
		begin--
	}
	start := position{begin, r.termAt(begin)}
	r.entries = append([]Entry(nil), r.entries[begin-r.logStart.index:]...)
	r.logStart = start
}
