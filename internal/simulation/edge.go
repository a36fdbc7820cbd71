// Edge beats to the leader and follows its term and the place of its news,
// which only go forward, and claims keys.
package simulation

import (
	"fmt"
	"time"

	"tinpin/internal/raft"
)

// Edge is one edge daemon.
type Edge struct {
	*Caller
	term    raft.Term
	rev     uint64
	beating bool
}

// live beats and claims until the end.
func (e *Edge) live() {
	if e.world.ending {
		return
	}
	e.world.agenda.After(time.Duration(60+e.luck.Intn(240))*time.Millisecond, e.live)
	e.beat()
	if e.busy < 4 && e.luck.Intn(3) == 0 {
		e.claim()
	}
}

// beat asks for news of what is worked on, one beat at a time; now and then it
// asks any core, as one does that has just started.
func (e *Edge) beat() {
	if e.beating {
		return
	}
	e.beating = true
	to := e.pick(nil)
	if e.luck.Intn(4) == 0 {
		to = e.pick(to)
	}
	histories := e.world.current()
	reads := make([]*operation, len(histories))
	for i, history := range histories {
		reads[i] = history.begin(e.number, call{verb: read}, e.world.agenda.now)
	}
	var got news
	e.attempt(&History{}, call{verb: read}, to, func(back func(reply)) {
		to.beat(histories, func(answer reply, told news) {
			got = told
			back(answer)
		})
	}, func(answer reply, core *Core) {
		e.beating = false
		for i, history := range histories {
			if got.from == nil || answer.told.outcome != confirmed {
				history.forget(reads[i])
			} else {
				history.end(reads[i], got.seen[i], e.world.agenda.now)
			}
		}
		switch {
		case answer.elsewhere:
			e.leader = answer.leader
		case answer.told.outcome == confirmed:
			e.leader = core
			e.follow(got)
		default:
			e.leader = nil
		}
	})
}

// follow takes news of a leader unless its term is over.
func (e *Edge) follow(got news) {
	if got.term < e.term && e.world.options.Plant != EdgeBack {
		return
	}
	if got.term < e.term || got.rev < e.rev {
		e.world.fail("epochs only forward: an edge at term %d and place %d takes term %d and place %d from %s", e.term, e.rev, got.term, got.rev, got.from.host)
	}
	e.term, e.rev = got.term, got.rev
}

// claim asks for a key that other edges ask for too.
func (e *Edge) claim() {
	history := e.world.key()
	e.world.requests++
	e.order(Order{history: history, call: call{content: fmt.Sprintf("%d-%d", e.number, e.world.requests)}}, 1)
}
