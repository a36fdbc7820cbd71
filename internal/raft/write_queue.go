package raft

// writeQueue is what is known of the writes that were given to the disk. They are
// carried out in order, and reported by their number.
type writeQueue struct {
	// writesIssued and writesDone count the writes since the start.
	writesIssued uint64
	writesDone   uint64
	// diskStuckTicks counts the ticks for which some write has been under way.
	diskStuckTicks int
	// hardStateWrite is the number of the last write with a hard state.
	hardStateWrite uint64
	// syncedIndex is the last entry that the disk is known to hold.
	syncedIndex  Index
	pendingSyncs []pendingSync
}

// pendingSync tells up to where the disk holds the log once a write is done.
type pendingSync struct {
	write     uint64
	lastIndex Index
}

// issue counts a write after which the disk holds the log up to lastIndex.
func (q *writeQueue) issue(w Write, lastIndex Index) {
	q.writesIssued++
	if len(w.Entries) > 0 || w.Snapshot != nil {
		q.pendingSyncs = append(q.pendingSyncs, pendingSync{q.writesIssued, lastIndex})
	}
	if w.HardState != nil {
		q.hardStateWrite = q.writesIssued
	}
}

// complete counts finished writes.
func (q *writeQueue) complete(writes int) {
	q.writesDone += uint64(writes)
	for len(q.pendingSyncs) > 0 && q.pendingSyncs[0].write <= q.writesDone {
		q.syncedIndex = max(q.syncedIndex, q.pendingSyncs[0].lastIndex)
		q.pendingSyncs = q.pendingSyncs[1:]
	}
}

// discardSyncs notes that the log behind an index is given up: no write that is done
// or under way counts for more.
func (q *writeQueue) discardSyncs(behind Index) {
	q.syncedIndex = min(q.syncedIndex, behind)
	for i := range q.pendingSyncs {
		q.pendingSyncs[i].lastIndex = min(q.pendingSyncs[i].lastIndex, behind)
	}
}

// hardStateSynced tells that the current term and vote are on disk.
func (q *writeQueue) hardStateSynced() bool { return q.writesDone >= q.hardStateWrite }

func (q *writeQueue) tickDisk() {
	if q.writesIssued > q.writesDone {
		q.diskStuckTicks++
	} else {
		q.diskStuckTicks = 0
	}
}

// ReportSynced reports that the disk has carried out so many more writes.
func (r *Replica) ReportSynced(writes int) (out Output) {
	r.complete(writes)
	return r.takeOutput()
}
