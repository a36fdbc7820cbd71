// The desk of a core: what callers ask of it, answered as the council and the
// forum do.
package simulation

import "tinpin/internal/raft"

// elsewhere says who leads, if this core knows.
func (c *Core) elsewhere() (answer reply) {
	answer.elsewhere = true
	for _, other := range c.world.cores {
		if other != c && c.raft.LeaderID() == other.member.ID {
			answer.leader = other
		}
	}
	return answer
}

// take has an order carried out.
func (c *Core) take(o Order, back func(reply)) {
	if !c.leads() {
		back(c.elsewhere())
		return
	}
	c.put(o.command(), func(answer Answer) { back(reply{told: o.answerOf(answer)}) })
}

// describe reads a register, where contact proves that this core leads.
func (c *Core) describe(history *History, back func(reply)) {
	switch {
	case !c.leads():
		back(c.elsewhere())
	case !c.fresh():
		back(reply{})
	default:
		back(reply{told: history.look(c.state)})
	}
}

// news is what a beat of an edge is answered with.
type news struct {
	term raft.Term
	rev  uint64
	from *Core
	seen []told
}

// beat answers an edge from the state as it stands.
func (c *Core) beat(histories []*History, back func(reply, news)) {
	if !c.fresh() {
		back(c.elsewhere(), news{})
		return
	}
	got := news{term: c.raft.Term(), rev: c.state.Revision, from: c}
	for _, history := range histories {
		got.seen = append(got.seen, history.look(c.state))
	}
	back(reply{told: told{outcome: confirmed}}, got)
}
