package simulation

// Caller asks cores as operators and edges do: it follows where it is sent,
// goes on to another core where it hears nothing or nothing clear, and gives
// an order up after a time. What it asked and was told is kept as history.

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
	cluster *Cluster
	number  int
	rng     *rand.Rand
	leader  *Controller
	busy    int
}

// reply is what comes back from a core: elsewhere it says who leads, if it knows.
type reply struct {
	outcome    observation
	redirected bool
	leader     *Controller
}

// pick chooses the core that led when last heard, or any.
func (c *Caller) pick(after *Controller) (core *Controller) {
	if c.rng.Intn(3) > 0 && c.leader != nil && c.leader != after && c.leader.up {
		return c.leader
	}
	cores := c.cluster.remaining()
	return cores[c.rng.Intn(len(cores))]
}

// attempt asks one core once.
func (c *Caller) attempt(history *History, asked call, to *Controller, handle func(reply func(reply)), done func(reply reply, core *Controller)) {
	op := history.begin(c.number, asked, c.cluster.events.now)
	open := true
	c.cluster.network.ask(to, func(back func(func())) {
		handle(func(answer reply) {
			if answer.redirected {
				history.forget(op)
			}
			back(func() {
				if !open {
					return
				}
				open = false
				if !answer.redirected {
					history.end(op, answer.outcome, c.cluster.events.now)
				}
				done(answer, to)
			})
		})
	})
	c.cluster.events.After(callLimit, func() {
		if open {
			open = false
			done(reply{}, to)
		}
	})
}

// askUntilAnswered asks until there is a clear answer or the time is up.
func (c *Caller) askUntilAnswered(history *History, asked call, handle func(core *Controller, reply func(reply)), done func(observed observation)) {
	until := c.cluster.events.now + orderLimit
	var try func(to *Controller)
	follow := 0
	try = func(to *Controller) {
		c.attempt(history, asked, to, func(back func(reply)) { handle(to, back) }, func(answer reply, core *Controller) {
			switch {
			case answer.redirected && answer.leader != nil && follow < 2:
				follow++
				c.leader = answer.leader
				try(answer.leader)
			case answer.outcome.outcome != unknown:
				c.leader = core
				done(answer.outcome)
			case c.cluster.events.now > until || c.cluster.ending:
				done(observation{})
			default:
				if c.leader == core {
					c.leader = nil
				}
				follow = 0
				c.cluster.events.After(time.Duration(30+c.rng.Intn(300))*time.Millisecond, func() { try(c.pick(core)) })
			}
		})
	}
	try(c.pick(nil))
}

// order has a register changed, and now and then sends the same again later.
func (c *Caller) order(o Request, again int) {
	c.busy++
	c.askUntilAnswered(o.history, o.call, func(core *Controller, back func(reply)) { core.handleRequest(o, back) }, func(answer observation) {
		c.busy--
		c.cluster.count(answer)
		if again > 0 && !c.cluster.ending && c.rng.Intn(3) == 0 {
			c.cluster.events.After(time.Duration(c.rng.Intn(4000))*time.Millisecond, func() {
				if !c.cluster.ending {
					o.reworded = !o.reworded
					c.order(o, again-1)
				}
			})
		}
	})
}

// read reads a register through the leader.
func (c *Caller) read(history *History, done func()) {
	c.busy++
	c.askUntilAnswered(history, call{verb: read}, func(core *Controller, back func(reply)) { core.handleRead(history, back) }, func(observation) {
		c.busy--
		done()
	})
}
