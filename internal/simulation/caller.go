package simulation

// A caller asks controllers as operators and edges do: it follows redirects, goes on to
// another controller where the answer times out or is unclear, and gives a request up
// after requestTimeout. Each call and its answer are recorded in a history.

import (
	"math/rand"
	"time"
)

const (
	callTimeout    = time.Second
	requestTimeout = 7 * time.Second
)

// Caller is one operator or edge.
type Caller struct {
	cluster  *Cluster
	number   int
	rng      *rand.Rand
	leader   *Controller
	inFlight int
}

// reply is what comes back from a controller: a redirect says who leads, if it knows.
type reply struct {
	outcome    observation
	redirected bool
	leader     *Controller
}

// pick chooses the controller that led when last heard, or any.
func (c *Caller) pick(after *Controller) (controller *Controller) {
	if c.rng.Intn(3) > 0 && c.leader != nil && c.leader != after && c.leader.up {
		return c.leader
	}
	controllers := c.cluster.remaining()
	return controllers[c.rng.Intn(len(controllers))]
}

// attempt asks one controller once.
func (c *Caller) attempt(history *History, requested call, to *Controller, handle func(reply func(reply)), done func(reply reply, controller *Controller)) {
	op := history.begin(c.number, requested, c.cluster.events.now)
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
	c.cluster.events.After(callTimeout, func() {
		if open {
			open = false
			done(reply{}, to)
		}
	})
}

// askUntilAnswered asks until there is a clear answer or the time is up.
func (c *Caller) askUntilAnswered(history *History, requested call, handle func(controller *Controller, reply func(reply)), done func(observed observation)) {
	until := c.cluster.events.now + requestTimeout
	var try func(to *Controller)
	follow := 0
	try = func(to *Controller) {
		c.attempt(history, requested, to, func(back func(reply)) { handle(to, back) }, func(answer reply, controller *Controller) {
			switch {
			case answer.redirected && answer.leader != nil && follow < 2:
				follow++
				c.leader = answer.leader
				try(answer.leader)
			case answer.outcome.outcome != unknown:
				c.leader = controller
				done(answer.outcome)
			case c.cluster.events.now > until || c.cluster.ending:
				done(observation{})
			default:
				if c.leader == controller {
					c.leader = nil
				}
				follow = 0
				c.cluster.events.After(time.Duration(30+c.rng.Intn(300))*time.Millisecond, func() { try(c.pick(controller)) })
			}
		})
	}
	try(c.pick(nil))
}

// submit has a register changed, and now and then sends the same again later.
func (c *Caller) submit(o Request, again int) {
	c.inFlight++
	c.askUntilAnswered(o.history, o.call, func(controller *Controller, back func(reply)) { controller.handleRequest(o, back) }, func(answer observation) {
		c.inFlight--
		c.cluster.count(answer)
		if again > 0 && !c.cluster.ending && c.rng.Intn(3) == 0 {
			c.cluster.events.After(time.Duration(c.rng.Intn(4000))*time.Millisecond, func() {
				if !c.cluster.ending {
					o.reworded = !o.reworded
					c.submit(o, again-1)
				}
			})
		}
	})
}

// read reads a register through the leader.
func (c *Caller) read(history *History, done func()) {
	c.inFlight++
	c.askUntilAnswered(history, call{verb: read}, func(controller *Controller, back func(reply)) { controller.handleRead(history, back) }, func(observation) {
		c.inFlight--
		done()
	})
}
