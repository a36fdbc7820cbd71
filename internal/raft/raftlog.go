// The log in memory: its ends, the terms in it, what the disk has reported,
// and its cut behind a snapshot. A tail of what the snapshot stands for is kept
// in memory, so that a member a little behind is brought up by entries.
package raft

// LogTail bounds what is kept of the log behind the snapshot.
type LogTail struct{ Entries, Bytes int }

// entryCost is what an entry weighs beside its data.
const entryCost = 64

// place is where the log begins: the entry before its first.
type place struct {
	index Index
	term  Term
}

func (r *Replica) lastIndex() Index {
	return r.start.index + Index(len(r.log))
}

func (r *Replica) at(index Index) (entry *Entry) { return &r.log[index-r.start.index-1] }

func (r *Replica) termAt(index Index) Term {
	if index == r.start.index {
		return r.start.term
	}
	if index < r.start.index || index > r.lastIndex() {
		return 0
	}
	return r.at(index).Term
}

// firstOf is the first place of the run of one term that reaches up to index.
func (r *Replica) firstOf(term Term, index Index) (first Index) {
	for first = index; first > r.start.index+1 && r.termAt(first-1) == term; first-- {
	}
	return first
}

// lastOf is the last place of a term that lies above low and below high, or
// none.
func (r *Replica) lastOf(term Term, low, high Index) (last Index) {
	if term == 0 {
		return 0
	}
	for last = min(high-1, r.lastIndex()); last > low && last > r.start.index; last-- {
		if found := r.termAt(last); found == term {
			return last
		} else if found < term {
			break
		}
	}
	return 0
}

func (r *Replica) entriesFrom(index Index, most int) (entries []Entry) {
	if index <= r.start.index || index > r.lastIndex() {
		return nil
	}
	rest := r.log[index-r.start.index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data) + entryCost
		if i > 0 && size > most {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// mark tells up to where the disk holds the log once an order is carried out.
type mark struct {
	order uint64
	last  Index
}

// undo notes that the log behind a place is given up: no order that is done or
// under way counts for more.
func (r *Replica) undo(behind Index) {
	r.synced = min(r.synced, behind)
	for i := range r.marks {
		r.marks[i].last = min(r.marks[i].last, behind)
	}
}

// ReportSynced reports that the disk has carried out so many more orders.
func (r *Replica) ReportSynced(orders int) (out Output) {
	r.done += uint64(orders)
	for len(r.marks) > 0 && r.marks[0].order <= r.done {
		r.synced = max(r.synced, r.marks[0].last)
		r.marks = r.marks[1:]
	}
	return r.flush()
}

// Compact cuts the log behind an applied place.
func (r *Replica) Compact(index Index, data []byte) (done bool, out Output) {
	if index <= r.base.Index || index > r.applied {
		return false, out
	}
	members := r.base.Members
	for i := range r.log {
		if r.log[i].Index <= index && r.log[i].Members != nil {
			members = r.log[i].Members
		}
	}
	snapshot := Snapshot{Index: index, Term: r.termAt(index), Members: members, Data: data}
	r.base = snapshot
	r.trim()
	r.write(Write{Snapshot: &snapshot})
	return true, r.flush()
}

// trim gives up what lies behind the snapshot beyond the tail.
func (r *Replica) trim() {
	begin, bytes := r.base.Index, 0
	for begin > r.start.index {
		bytes += len(r.at(begin).Data) + entryCost
		if int(r.base.Index-begin) >= r.tail.Entries || bytes > r.tail.Bytes {
			break
		}
		begin--
	}
	start := place{begin, r.termAt(begin)}
	r.log = append([]Entry(nil), r.log[begin-r.start.index:]...)
	r.start = start
}
