package simulation

// The requests that callers send a controller, answered as controller and
// coordinator answer them.

import "tinpin/internal/raft"

// redirect says who leads, if this controller knows.
func (c *Controller) redirect() (answer reply) {
	answer.redirected = true
	for _, other := range c.cluster.controllers {
		if other != c && c.raft.LeaderID() == other.member.ID {
			answer.leader = other
		}
	}
	return answer
}

// handleRequest proposes the command of a request.
func (c *Controller) handleRequest(o Request, back func(reply)) {
	if !c.isLeader() {
		back(c.redirect())
		return
	}
	c.submit(o.command(), func(answer Answer) { back(reply{outcome: o.answerOf(answer)}) })
}

// handleRead reads a register, where contact proves that this controller leads.
func (c *Controller) handleRead(history *History, back func(reply)) {
	switch {
	case !c.isLeader():
		back(c.redirect())
	case !c.mayServeReads():
		back(reply{})
	default:
		back(reply{outcome: history.observe(c.state)})
	}
}

// update answers the heartbeat of an edge.
type update struct {
	term     raft.Term
	revision uint64
	from     *Controller
	observed []observation
}

// handleHeartbeat answers an edge from the state as it stands.
func (c *Controller) handleHeartbeat(histories []*History, back func(reply, update)) {
	if !c.mayServeReads() {
		back(c.redirect(), update{})
		return
	}
	got := update{term: c.raft.Term(), revision: c.state.Revision, from: c}
	for _, history := range histories {
		got.observed = append(got.observed, history.observe(c.state))
	}
	back(reply{outcome: observation{outcome: confirmed}}, got)
}
