package simulation

// An edge sends heartbeats to the leader, follows its term and the index of its updates,
// both of which only go forward, and claims keys.

import (
	"fmt"
	"time"

	"tinpin/internal/raft"
)

// Edge is one edge daemon.
type Edge struct {
	*Caller
	term          raft.Term
	revision      uint64
	heartbeatOpen bool
}

// run sends heartbeats and claims until the end.
func (e *Edge) run() {
	if e.cluster.ending {
		return
	}
	e.cluster.events.After(time.Duration(60+e.rng.Intn(240))*time.Millisecond, e.run)
	e.heartbeat()
	if e.inFlight < 4 && e.rng.Intn(3) == 0 {
		e.claim()
	}
}

// heartbeat asks for updates of the current registers, one at a time; now and then it
// asks any controller, as an edge does that has just started.
func (e *Edge) heartbeat() {
	if e.heartbeatOpen {
		return
	}
	e.heartbeatOpen = true
	to := e.pick(nil)
	if e.rng.Intn(4) == 0 {
		to = e.pick(to)
	}
	histories := e.cluster.current()
	reads := make([]*operation, len(histories))
	for i, history := range histories {
		reads[i] = history.begin(e.number, call{verb: read}, e.cluster.events.now)
	}
	var got update
	e.attempt(&History{}, call{verb: read}, to, func(back func(reply)) {
		to.handleHeartbeat(histories, func(answer reply, observed update) {
			got = observed
			back(answer)
		})
	}, func(answer reply, controller *Controller) {
		e.heartbeatOpen = false
		for i, history := range histories {
			if got.from == nil || answer.outcome.outcome != confirmed {
				history.forget(reads[i])
			} else {
				history.end(reads[i], got.observed[i], e.cluster.events.now)
			}
		}
		switch {
		case answer.redirected:
			e.leader = answer.leader
		case answer.outcome.outcome == confirmed:
			e.leader = controller
			e.follow(got)
		default:
			e.leader = nil
		}
	})
}

// follow takes an update of a leader unless its term is over.
func (e *Edge) follow(got update) {
	if got.term < e.term && e.cluster.options.InjectedBug != EdgeBack {
		return
	}
	if got.term < e.term || got.revision < e.revision {
		e.cluster.fail("epochs only forward: an edge at term %d and index %d takes term %d and index %d from %s", e.term, e.revision, got.term, got.revision, got.from.host)
	}
	e.term, e.revision = got.term, got.revision
}

// claim asks for a key that other edges ask for too.
func (e *Edge) claim() {
	history := e.cluster.key()
	e.cluster.requests++
	e.submit(Request{history: history, call: call{content: fmt.Sprintf("%d-%d", e.number, e.cluster.requests)}}, 1)
}
