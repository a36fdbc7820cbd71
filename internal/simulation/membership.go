package simulation

// Membership in simulated time: the leader asks the real policy which change of members is
// due; a controller that is no member asks to join, and one that is asked to stop asks to be
// removed.

import (
	"slices"
	"time"

	"tinpin/internal/membership"
	"tinpin/internal/raft"
)

const (
	// slowTicks is how long the injected slow removal of a voter waits.
	slowTicks      = 320
	reconcileTicks = 5
	askTicks       = 10
	leavingTicks   = 18
	leavePause     = 100 * time.Millisecond
)

// newMembership is the real policy, as the settings ask for it.
func (w *Cluster) newMembership() (policy *membership.Policy) {
	policy = membership.NewPolicy(w.options.Losses, 0, w.options.CatchUp)
	if w.options.InjectedBug == SlowVoterRemoval {
		policy.VoterTimeout = slowTicks
	}
	return policy
}

func (c *Controller) isMember() (member bool) {
	_, member = c.memberOf(c.member.ID)
	return member
}

func (c *Controller) memberOf(id raft.ID) (member raft.Member, known bool) {
	for _, member = range c.raft.Members() {
		if member.ID == id {
			return member, true
		}
	}
	return raft.Member{}, false
}

func (c *Controller) reconcileMembership() {
	if c.raft.Role() != raft.Leader {
		if !c.leavingNow && (!c.isMember() || c.ticks-c.leaderSeenAt > 18) && c.ticks%askTicks == 0 {
			c.askToJoin()
		}
		return
	}
	if c.raft.CommittedInTerm() {
		c.changeMembers()
	}
}

// membershipView is what this leader sees of the members.
func (c *Controller) membershipView() (view membership.View) {
	kept := c.joining[:0]
	for _, candidate := range c.joining {
		if c.ticks-candidate.at <= maxJoinAge {
			kept = append(kept, candidate)
			view.Joining = append(view.Joining, candidate.member)
		}
	}
	c.joining = kept
	for id, at := range c.leaving {
		if c.ticks-at > leavingTicks {
			delete(c.leaving, id)
		}
	}
	view.Self, view.Tick, view.Members, view.CaughtUp = c.member.ID, c.ticks, c.raft.Members(), c.raft.CaughtUp
	view.Leaving = func(id raft.ID) bool { _, leaving := c.leaving[id]; return leaving }
	view.SinceContact = func(id raft.ID) int { ticks, _ := c.raft.SinceHeard(id); return ticks }
	if c.cluster.options.InjectedBug == LearnerNeverRaised {
		view.CaughtUp = c.holdsAll
	}
	return view
}

func (c *Controller) changeMembers() {
	view := c.membershipView()
	decision := c.membership.Decide(view)
	if c.cluster.options.InjectedBug == ShrinkFirst {
		decision = c.shrink(view, decision)
	}
	if decision.Change == membership.NoChange {
		return
	}
	if accepted, out := c.raft.ProposeMembers(decision.Next); accepted {
		c.membership.Record(view, decision)
		c.removeJoining(decision.Member.ID)
		c.cluster.logEvent("%s: %s of %s, members are %s", c.host, decision.Change, decision.Member.ID, membersText(decision.Next))
		c.perform(out)
	}
}

// shrink is the injected bug of a voter that is removed without a replacement.
func (c *Controller) shrink(view membership.View, usual membership.Decision) (decision membership.Decision) {
	for i, member := range view.Members {
		if member.Voter && member.ID != view.Self && view.SinceContact(member.ID) > 12 {
			c.membership.Voters = 2
			rest := append(append([]raft.Member(nil), view.Members[:i]...), view.Members[i+1:]...)
			return membership.Decision{Change: membership.Remove, Member: member, Next: rest}
		}
	}
	return usual
}

func (c *Controller) askToJoin() {
	for _, other := range c.cluster.controllers {
		if other != c {
			member := c.member
			c.cluster.network.call(c, other, func() { other.addJoining(member) })
		}
	}
}

func (c *Controller) addJoining(member raft.Member) {
	if _, known := c.memberOf(member.ID); known || c.raft.Role() != raft.Leader || c.membership.RejectReason(c.raft.Members(), member) != "" {
		return
	}
	waits := slices.ContainsFunc(c.joining, func(j joiningController) bool { return j.member.ID == member.ID })
	c.joining = slices.DeleteFunc(c.joining, func(j joiningController) bool { return j.member.Inner == member.Inner })
	c.joining = append(c.joining, joiningController{member, c.ticks})
	if !waits && c.raft.CommittedInTerm() {
		c.changeMembers()
	}
}

func (c *Controller) removeJoining(id raft.ID) {
	c.joining = slices.DeleteFunc(c.joining, func(j joiningController) bool { return j.member.ID == id })
}

// leave has a controller that was asked to stop resign and ask to be removed, and
// ends it once it may go or its time is up.
func (c *Controller) leave(until time.Duration, gone func()) {
	incarnation := c.incarnation
	ask := func(run func()) {
		c.receive(func() {
			if c.incarnation == incarnation {
				run()
			}
		})
	}
	ended := false
	end := func() {
		if !ended && c.incarnation == incarnation {
			ended = true
			gone()
		}
	}
	c.cluster.events.After(until-c.cluster.events.now, end)
	var again func()
	again = func() {
		if ended || !c.up || c.incarnation != incarnation {
			return
		}
		c.cluster.events.After(leavePause, func() { ask(again) })
		c.leavingNow = true
		if c.raft.Role() == raft.Leader {
			if !c.membership.HasSuccessor(c.membershipView(), c.member.ID) {
				c.perform(c.replica().TransferLeadership())
				c.cluster.events.After(leavePause, end)
				return
			}
			if c.raft.AcceptsProposals() {
				c.perform(c.replica().TransferLeadership())
			}
			return
		}
		for _, other := range c.cluster.remaining() {
			if other != c {
				c.cluster.network.call(c, other, func() {
					if other.acknowledgeLeaving(c.member.ID) {
						c.cluster.network.call(other, c, end)
					}
				})
			}
		}
	}
	ask(again)
}

// acknowledgeLeaving records a controller that is about to end, and tells whether it may go now.
func (c *Controller) acknowledgeLeaving(id raft.ID) (now bool) {
	if !c.mayServeReads() || c.leavingNow {
		return false
	}
	c.removeJoining(id)
	member, known := c.memberOf(id)
	switch {
	case !known:
		return !c.raft.MembersChanging()
	case !member.Voter || !c.membership.HasSuccessor(c.membershipView(), id):
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
