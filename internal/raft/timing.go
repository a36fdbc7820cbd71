package raft

// TickInterval is the time from tick to tick.
const TickInterval = tickInterval

// DefaultTiming is the timing of a controller.
func DefaultTiming() Timing {
	return Timing{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks}
}

// TermAt is the term of the entry at an index, zero where the log in memory has none.
func (r *Replica) TermAt(index Index) (term Term) { return r.termAt(index) }

// SetLogTail sets what is kept in memory of the log that the snapshot stands for.
func (r *Replica) SetLogTail(tail LogTail) { r.logTail = tail }
