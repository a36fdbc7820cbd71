// Keeping house in simulated time: the leader asks the real policy which
// change of members is due; a core that is no member asks to become one, and
// one that is asked to stop asks to be taken out.
package simulation

import (
	"slices"
	"time"

	"tinpin/internal/raft"
)

const (
	// slowTicks is how long the planted slow strike-out waits.
	slowTicks    = 320
	houseTicks   = 5
	askTicks     = 10
	leavingTicks = 18
	leavePause   = 100 * time.Millisecond
)

// newMembership is the real policy, as the settings ask for it.
func (w *World) newMembership() (membership *raft.Policy) {
	membership = raft.NewPolicy(w.options.Losses, 0, w.options.CatchUp)
	if w.options.Plant == SlowStrike {
		membership.VoterTimeout = slowTicks
	}
	return membership
}

func (c *Core) isMember() (member bool) {
	_, member = c.memberOf(c.member.ID)
	return member
}

func (c *Core) memberOf(id raft.ID) (member raft.Member, known bool) {
	for _, member = range c.raft.Members() {
		if member.ID == id {
			return member, true
		}
	}
	return raft.Member{}, false
}

func (c *Core) keepHouse() {
	if c.raft.Role() != raft.Leader {
		if !c.leavingNow && (!c.isMember() || c.ticks-c.heardAt > 18) && c.ticks%askTicks == 0 {
			c.askToJoin()
		}
		return
	}
	if c.raft.CommittedInTerm() {
		c.changeMembers()
	}
}

// roll is what this leader sees of the members.
func (c *Core) roll() (roll raft.View) {
	kept := c.joiners[:0]
	for _, joiner := range c.joiners {
		if c.ticks-joiner.at <= joinAge {
			kept = append(kept, joiner)
			roll.Joining = append(roll.Joining, joiner.member)
		}
	}
	c.joiners = kept
	for id, at := range c.leaving {
		if c.ticks-at > leavingTicks {
			delete(c.leaving, id)
		}
	}
	roll.Self, roll.Tick, roll.Members, roll.CaughtUp = c.member.ID, c.ticks, c.raft.Members(), c.raft.CaughtUp
	roll.Leaving = func(id raft.ID) bool { _, leaving := c.leaving[id]; return leaving }
	roll.SinceHeard = func(id raft.ID) int { ticks, _ := c.raft.SinceHeard(id); return ticks }
	return roll
}

func (c *Core) changeMembers() {
	roll := c.roll()
	decision := c.membership.Decide(roll)
	if c.world.options.Plant == ShrinkFirst {
		decision = c.shrink(roll, decision)
	}
	if decision.Change == raft.NoChange {
		return
	}
	if accepted, out := c.raft.ProposeMembers(decision.Next); accepted {
		c.membership.Record(roll, decision)
		c.dropJoiner(decision.Member.ID)
		c.world.note("%s: %s of %s, members are %s", c.host, decision.Change, decision.Member.ID, membersText(decision.Next))
		c.carry(out)
	}
}

// shrink is the planted fault of a voter struck out with nobody for its place.
func (c *Core) shrink(roll raft.View, usual raft.Decision) (decision raft.Decision) {
	for i, member := range roll.Members {
		if member.Voter && member.ID != roll.Self && roll.SinceHeard(member.ID) > 12 {
			c.membership.Voters = 2
			rest := append(append([]raft.Member(nil), roll.Members[:i]...), roll.Members[i+1:]...)
			return raft.Decision{Change: raft.Remove, Member: member, Next: rest}
		}
	}
	return usual
}

func (c *Core) askToJoin() {
	for _, other := range c.world.cores {
		if other != c {
			member := c.member
			c.world.network.call(c, other, func() { other.takeJoiner(member) })
		}
	}
}

func (c *Core) takeJoiner(member raft.Member) {
	if _, known := c.memberOf(member.ID); known || c.raft.Role() != raft.Leader || c.membership.RejectReason(c.raft.Members(), member) != "" {
		return
	}
	waits := slices.ContainsFunc(c.joiners, func(j joiner) bool { return j.member.ID == member.ID })
	c.joiners = slices.DeleteFunc(c.joiners, func(j joiner) bool { return j.member.Inner == member.Inner })
	c.joiners = append(c.joiners, joiner{member, c.ticks})
	if !waits && c.raft.CommittedInTerm() {
		c.changeMembers()
	}
}

func (c *Core) dropJoiner(id raft.ID) {
	c.joiners = slices.DeleteFunc(c.joiners, func(j joiner) bool { return j.member.ID == id })
}

// leave has a core that was asked to stop resign and ask to be taken out, and
// ends it once it may go or its time is up.
func (c *Core) leave(until time.Duration, gone func()) {
	life := c.life
	ask := func(run func()) {
		c.receive(func() {
			if c.life == life {
				run()
			}
		})
	}
	ended := false
	end := func() {
		if !ended && c.life == life {
			ended = true
			gone()
		}
	}
	c.world.agenda.After(until-c.world.agenda.now, end)
	var again func()
	again = func() {
		if ended || !c.up || c.life != life {
			return
		}
		c.world.agenda.After(leavePause, func() { ask(again) })
		c.leavingNow = true
		if c.raft.Role() == raft.Leader {
			if !c.membership.HasSuccessor(c.roll(), c.member.ID) {
				c.carry(c.at().TransferLeadership())
				c.world.agenda.After(leavePause, end)
				return
			}
			if c.raft.AcceptsProposals() {
				c.carry(c.at().TransferLeadership())
			}
			return
		}
		for _, other := range c.world.standing() {
			if other != c {
				c.world.network.call(c, other, func() {
					if other.partsWith(c.member.ID) {
						c.world.network.call(other, c, end)
					}
				})
			}
		}
	}
	ask(again)
}

// partsWith notes a core that is about to end, and tells whether it may go now.
func (c *Core) partsWith(id raft.ID) (now bool) {
	if !c.fresh() || c.leavingNow {
		return false
	}
	c.dropJoiner(id)
	member, known := c.memberOf(id)
	switch {
	case !known:
		return !c.raft.MembersChanging()
	case !member.Voter || !c.membership.HasSuccessor(c.roll(), id):
		delete(c.leaving, id)
		return true
	}
	c.leaving[id] = c.ticks
	c.changeMembers()
	return false
}

func membersText(members []raft.Member) (text string) {
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
