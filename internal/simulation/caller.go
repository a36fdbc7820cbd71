// Caller asks cores as operators and edges do: it follows where it is sent,
// goes on to another core where it hears nothing or nothing clear, and gives
// an order up after a time. What it asked and was told is kept as history.
package simulation

import (
	"math/rand"
	"time"
)

const (
	callLimit  = time.Second
	orderLimit = 7 * time.Second
)

// Caller is one operator or edge.
type Caller struct {
	world  *World
	number int
	luck   *rand.Rand
	leader *Core
	busy   int
}

// reply is what comes back from a core: elsewhere it says who leads, if it knows.
type reply struct {
	told      told
	elsewhere bool
	leader    *Core
}

// pick chooses the core that led when last heard, or any.
func (c *Caller) pick(after *Core) (core *Core) {
	if c.luck.Intn(3) > 0 && c.leader != nil && c.leader != after && c.leader.up {
		return c.leader
	}
	cores := c.world.standing()
	return cores[c.luck.Intn(len(cores))]
}

// attempt asks one core once.
func (c *Caller) attempt(history *History, asked call, to *Core, handle func(reply func(reply)), done func(reply reply, core *Core)) {
	op := history.begin(c.number, asked, c.world.agenda.now)
	open := true
	c.world.network.ask(to, func(back func(func())) {
		handle(func(answer reply) {
			if answer.elsewhere {
				history.forget(op)
			}
			back(func() {
				if !open {
					return
				}
				open = false
				if !answer.elsewhere {
					history.end(op, answer.told, c.world.agenda.now)
				}
				done(answer, to)
			})
		})
	})
	c.world.agenda.After(callLimit, func() {
		if open {
			open = false
			done(reply{}, to)
		}
	})
}

// insist asks until there is a clear answer or the time is up.
func (c *Caller) insist(history *History, asked call, handle func(core *Core, reply func(reply)), done func(told told)) {
	until := c.world.agenda.now + orderLimit
	var try func(to *Core)
	follow := 0
	try = func(to *Core) {
		c.attempt(history, asked, to, func(back func(reply)) { handle(to, back) }, func(answer reply, core *Core) {
			switch {
			case answer.elsewhere && answer.leader != nil && follow < 2:
				follow++
				c.leader = answer.leader
				try(answer.leader)
			case answer.told.outcome != unclear:
				c.leader = core
				done(answer.told)
			case c.world.agenda.now > until || c.world.ending:
				done(told{})
			default:
				if c.leader == core {
					c.leader = nil
				}
				follow = 0
				c.world.agenda.After(time.Duration(30+c.luck.Intn(300))*time.Millisecond, func() { try(c.pick(core)) })
			}
		})
	}
	try(c.pick(nil))
}

// order has a register changed, and now and then sends the same again later.
func (c *Caller) order(o Order, again int) {
	c.busy++
	c.insist(o.history, o.call, func(core *Core, back func(reply)) { core.take(o, back) }, func(answer told) {
		c.busy--
		c.world.count(answer)
		if again > 0 && !c.world.ending && c.luck.Intn(3) == 0 {
			c.world.agenda.After(time.Duration(c.luck.Intn(4000))*time.Millisecond, func() {
				if !c.world.ending {
					o.another = !o.another
					c.order(o, again-1)
				}
			})
		}
	})
}

// read reads a register through the leader.
func (c *Caller) read(history *History, done func()) {
	c.busy++
	c.insist(history, call{verb: read}, func(core *Core, back func(reply)) { core.describe(history, back) }, func(told) {
		c.busy--
		done()
	})
}
