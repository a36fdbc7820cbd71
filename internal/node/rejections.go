package node

// Rejected messages are counted, and logged no more than once a second, so that a faulty
// peer fills no disk.

import (
	"tinpin/internal/eventlog"
	"tinpin/internal/raft"
)

type rejectionLog struct {
	count      int
	loggedTick int
}

func (r *rejectionLog) record(log *eventlog.Logger, ticks int, refusal raft.Rejection) {
	r.count++
	if r.loggedTick > 0 && ticks-r.loggedTick < rejectionLogTicks {
		return
	}
	r.loggedTick = max(ticks, 1)
	log.Emit(eventlog.PeerMessageRejected, eventlog.KeyFrom, string(refusal.From), eventlog.KeyKind, int(refusal.Kind), eventlog.KeyReason, refusal.Reason, eventlog.KeyCount, r.count)
}
