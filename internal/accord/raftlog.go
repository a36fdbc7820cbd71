// The log in memory: its ends, the terms in it, what the disk has reported,
// and its cut behind a snapshot.
package accord

func (r *Raft) lastIndex() Index {
	if len(r.log) == 0 {
		return r.base.Index
	}
	return r.log[len(r.log)-1].Index
}

func (r *Raft) termAt(index Index) Term {
	if index == r.base.Index {
		return r.base.Term
	}
	if index < r.base.Index || index > r.lastIndex() {
		return 0
	}
	return r.log[index-r.base.Index-1].Term
}

// firstOf is the first place of the run of one term that reaches up to index.
func (r *Raft) firstOf(term Term, index Index) (first Index) {
	for first = index; first > r.base.Index+1 && r.termAt(first-1) == term; first-- {
	}
	return first
}

// lastOf is the last place of a term that lies above low and below high, or
// none.
func (r *Raft) lastOf(term Term, low, high Index) (last Index) {
	if term == 0 {
		return 0
	}
	for last = min(high-1, r.lastIndex()); last > low && last > r.base.Index; last-- {
		if found := r.termAt(last); found == term {
			return last
		} else if found < term {
			break
		}
	}
	return 0
}

func (r *Raft) entriesFrom(index Index, most int) (entries []Entry) {
	if index <= r.base.Index || index > r.lastIndex() {
		return nil
	}
	rest := r.log[index-r.base.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data) + 64
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
func (r *Raft) undo(behind Index) {
	r.synced = min(r.synced, behind)
	for i := range r.marks {
		r.marks[i].last = min(r.marks[i].last, behind)
	}
}

// Synced reports that the disk has carried out so many more orders.
func (r *Raft) Synced(orders int) (out Output) {
	r.done += uint64(orders)
	for len(r.marks) > 0 && r.marks[0].order <= r.done {
		r.synced = max(r.synced, r.marks[0].last)
		r.marks = r.marks[1:]
	}
	return r.flush()
}

// Compact cuts the log behind an applied place.
func (r *Raft) Compact(index Index, data []byte) (done bool, out Output) {
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
	r.log = append([]Entry(nil), r.log[index-r.base.Index:]...)
	r.base = snapshot
	r.write(Write{Snapshot: &snapshot})
	return true, r.flush()
}
