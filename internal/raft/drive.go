// What those who drive the agreement outside of a node, as the trial does,
// have to know of its figures and its log.
package raft

// TickInterval is the time from tick to tick.
const TickInterval = tickInterval

// DefaultTiming is the pace of a node.
func DefaultTiming() (pace Timing) {
	return Timing{HeartbeatTicks: beatTicks, ElectionTicks: electTicks}
}

// TermAt is the term of the entry at a place of the log, zero where there is none.
func (r *Replica) TermAt(index Index) (term Term) { return r.termAt(index) }

// SetLogTail sets what is kept of the log behind the snapshot.
func (r *Replica) SetLogTail(tail LogTail) { r.logTail = tail }
