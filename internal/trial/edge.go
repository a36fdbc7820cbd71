// Edge beats to the leader and follows its term and the place of its news,
// which only go forward, and claims keys.
package trial

import (
	"fmt"
	"time"

	"tinpin/internal/accord"
)

// Edge is one edge daemon.
type Edge struct {
	*Caller
	term    accord.Term
	rev     uint64
	beating bool
}

// live beats and claims until the end.
func (e *Edge) live() {
	if e.world.ending {
		return
	}
	e.world.agenda.After(time.Duration(150+e.luck.Intn(300))*time.Millisecond, e.live)
	e.beat()
	if e.busy < 4 && e.luck.Intn(3) == 0 {
		e.claim()
	}
}

// beat asks for news, one beat at a time.
func (e *Edge) beat() {
	if e.beating {
		return
	}
	e.beating = true
	history, to := e.world.recent(), e.pick(nil)
	var got news
	e.attempt(history, call{verb: read}, to, func(back func(reply)) {
		to.beat(history, func(answer reply, told news) {
			got = told
			back(answer)
		})
	}, func(answer reply, core *Core) {
		e.beating = false
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
