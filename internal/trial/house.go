// Keeping house in simulated time: the leader asks the real policy which
// change of members is due; a core that is no member asks to become one.
package trial

import "tinpin/internal/accord"

// slowTicks is how long the planted slow strike-out waits.
const slowTicks = 320

func (c *Core) isMember() (member bool) {
	for _, known := range c.raft.Members() {
		if known.ID == c.member.ID {
			return true
		}
	}
	return false
}

func (c *Core) keepHouse() {
	if c.raft.Role() != accord.Leader {
		if (!c.isMember() || c.ticks-c.heardAt > 18) && c.ticks%10 == 0 {
			c.askToJoin()
		}
		return
	}
	if !c.raft.Settled() {
		return
	}
	var waiting []accord.Member
	kept := c.joiners[:0]
	for _, joiner := range c.joiners {
		if c.ticks-joiner.at <= joinAge {
			kept = append(kept, joiner)
			waiting = append(waiting, joiner.member)
		}
	}
	c.joiners = kept
	next, change := c.nextMembers(waiting)
	if !change {
		return
	}
	if accepted, out := c.raft.Change(next); accepted {
		c.world.note("%s changes the members to %s", c.host, membersText(next))
		c.carry(out)
	}
}

func (c *Core) nextMembers(waiting []accord.Member) (next []accord.Member, change bool) {
	members := c.raft.Members()
	silent := func(ticks int) func(id accord.ID) bool {
		return func(id accord.ID) bool {
			heard, known := c.raft.Heard(id)
			return known && heard > ticks
		}
	}
	if c.world.options.Plant == ShrinkFirst {
		for i, member := range members {
			if member.Voter && member.ID != c.member.ID && silent(12)(member.ID) {
				return append(append([]accord.Member(nil), members[:i]...), members[i+1:]...), true
			}
		}
	}
	return accord.NextMembers(members, c.member, waiting, accord.Voters(c.world.options.Losses), c.raft.CaughtUp, silent(slowTicks))
}

func (c *Core) askToJoin() {
	for _, other := range c.world.cores {
		if other != c {
			member := c.member
			c.world.network.call(c, other, func() { other.takeJoiner(member) })
		}
	}
}

func (c *Core) takeJoiner(member accord.Member) {
	if c.raft.Role() != accord.Leader {
		return
	}
	for i := range c.joiners {
		if c.joiners[i].member.ID == member.ID {
			c.joiners[i].at = c.ticks
			return
		}
	}
	c.joiners = append(c.joiners, joiner{member, c.ticks})
}

func membersText(members []accord.Member) (text string) {
	for i, member := range members {
		if i > 0 {
			text += " "
		}
		text += string(member.ID)
		if !member.Voter {
			text += "(learner)"
		}
	}
	return text
}
