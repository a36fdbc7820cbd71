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

// Compact cuts the log behind an applied place.
func (r *Raft) Compact(index Index, data []byte) (snapshot Snapshot, done bool) {
	if index <= r.base.Index || index > r.applied {
		return snapshot, false
	}
	members := r.base.Members
	for i := range r.log {
		if r.log[i].Index <= index && r.log[i].Members != nil {
			members = r.log[i].Members
		}
	}
	snapshot = Snapshot{Index: index, Term: r.termAt(index), Members: members, Data: data}
	r.log = append([]Entry(nil), r.log[index-r.base.Index:]...)
	r.base = snapshot
	r.issued++
	return snapshot, true
}

// Synced reports that the disk has carried out so many orders and holds the
// log up to index of that term.
func (r *Raft) Synced(orders int, index Index, term Term) (out Output) {
	r.done += uint64(orders)
	if index > r.synced && r.termAt(index) == term {
		r.synced = index
	}
	return r.flush()
}
