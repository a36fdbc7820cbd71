// What those who drive the agreement outside of a node, as the trial does,
// have to know of its figures and its log.
package raft

// TickSpan is the time from tick to tick.
const TickSpan = tickSpan

// UsualPace is the pace of a node.
func UsualPace() (pace Pace) { return Pace{Beat: beatTicks, Election: electTicks} }

// TermAt is the term of the entry at a place of the log, zero where there is none.
func (r *Raft) TermAt(index Index) (term Term) { return r.termAt(index) }

// KeepTail sets what is kept of the log behind the snapshot.
func (r *Raft) KeepTail(tail Tail) { r.tail = tail }

// Changing tells whether a change of members is under way.
func (r *Raft) Changing() (changing bool) { return r.changing() }
