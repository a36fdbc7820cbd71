package raft

import "time"

const (
	// TickInterval is the time from tick to tick.
	TickInterval = 25 * time.Millisecond
	// HeartbeatTicks is how many ticks lie between a leader's heartbeats.
	HeartbeatTicks = 2
	// ElectionTicks is the shortest time to an election, in ticks.
	ElectionTicks = 9
)

// DefaultTiming is the timing of a controller.
func DefaultTiming() Timing {
	return Timing{HeartbeatTicks: HeartbeatTicks, ElectionTicks: ElectionTicks}
}

// TermAt is the term of the entry at an index, zero where the log in memory has none.
func (r *Replica) TermAt(index Index) (term Term) { return r.termAt(index) }

// SetLogTail sets what is kept in memory of the log that the snapshot stands for.
func (r *Replica) SetLogTail(tail LogTail) { r.logTail = tail }
