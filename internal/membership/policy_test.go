package membership

import (
	"testing"
	"time"

	"tinpin/internal/raft"
)

// viewOf makes a view of members that are all in contact and have all, but for
// those named as dead, leaving or behind.
func viewOf(members []raft.Member, dead, leaving, behind string) (view View) {
	within := func(ids string, id raft.ID) bool {
		for _, each := range ids {
			if raft.ID(string(each)) == id {
				return true
			}
		}
		return false
	}
	return View{
		Self: members[0].ID, Members: members,
		Leaving:  func(id raft.ID) bool { return within(leaving, id) },
		CaughtUp: func(id raft.ID) bool { return !within(dead, id) && !within(behind, id) },
		SinceContact: func(id raft.ID) int {
			if within(dead, id) {
				return 1 << 20
			}
			return 0
		},
	}
}

// requireChange fails a test unless a decision is the change of a member.
func requireChange(t *testing.T, decision Decision, change Change, member raft.ID) {
	t.Helper()
	if decision.Change != change || decision.Member.ID != member {
		t.Errorf("%s %s, want %s %s", decision.Change, decision.Member.ID, change, member)
	}
}

// group gives members a, b, c and so on: first voters, then learners.
func group(voters, learners int) (members []raft.Member) {
	for i := 0; i < voters+learners; i++ {
		id := string(rune('a' + i))
		members = append(members, raft.Member{ID: raft.ID(id), Inner: id, Voter: i < voters})
	}
	return members
}

// With three founders of five cores, two losses must leave a majority: the
// other two are made voters as soon as they have the log.
func TestAllThatTheLossesAskForVote(t *testing.T) {
	for _, c := range []struct{ losses, voters int }{{1, 3}, {2, 5}, {3, 6}} {
		next := group(3, 3)
		for {
			decision := NewPolicy(c.losses, 0, 0).Decide(viewOf(next, "", "", ""))
			if decision.Change == NoChange {
				break
			}
			next = decision.Next
		}
		if voters := countVoters(next); voters != c.voters {
			t.Errorf("%d losses: %d voters, want %d", c.losses, voters, c.voters)
		}
	}
	if decision := NewPolicy(2, 0, 0).Decide(viewOf(group(3, 3), "", "", "abcdef")); decision.Change != NoChange {
		t.Error("a core that lacks the log was made a voter")
	}
}

// Each row is a group, who is dead, leaving or behind, and the moves in turn.
func TestOrderOfChanges(t *testing.T) {
	for _, c := range []struct {
		name                  string
		losses                int
		members               []raft.Member
		dead, leaving, behind string
		moves                 string
	}{
		{"dead first out, then raised", 1, group(3, 1), "c", "", "", "-c+d"},
		{"leaving: raised, then out", 1, group(3, 1), "", "c", "", "+d-c"},
		{"dead, nobody ready", 1, group(3, 1), "c", "", "d", ""},
		{"dead, nobody near", 1, group(3, 0), "c", "", "", ""},
		{"leaving, nobody near", 1, group(3, 0), "", "c", "", ""},
		{"more than wanted, dead", 1, group(4, 0), "c", "", "", "-c"},
		{"more than wanted, leaving", 1, group(4, 0), "", "c", "", "-c"},
		{"more than wanted, all well", 1, group(4, 0), "", "", "", ""},
		{"two leave, two come", 1, group(3, 2), "", "bc", "", "+d-b+e-c"},
		{"two leave, one comes", 1, group(3, 1), "", "bc", "", "+d-b"},
		{"one dead, one leaves, one comes", 1, group(3, 1), "b", "c", "", "-b+d"},
		{"two of five dead, two ready", 2, group(5, 2), "de", "", "", "-d+f-e+g"},
		{"two of five dead, one ready", 2, group(5, 1), "de", "", "", "-d-e+f"},
		{"two of five dead, one ready, one near", 2, group(5, 2), "de", "", "g", "-d+f"},
		{"a dead learner that was never missed", 1, group(3, 1), "d", "", "", "-d"},
	} {
		membership := NewPolicy(c.losses, 0, 4*time.Second)
		members, moves := c.members, ""
		for step := 0; step < 12; step++ {
			decision := membership.Decide(viewOf(members, c.dead, c.leaving, c.behind))
			if decision.Change == NoChange {
				break
			}
			sign := "+"
			if decision.Change == Remove {
				sign = "-"
			}
			moves += sign + string(decision.Member.ID)
			members = decision.Next
		}
		if moves != c.moves {
			t.Errorf("%s: %q, want %q", c.name, moves, c.moves)
		}
	}
}

func TestTimesFollowTheSettings(t *testing.T) {
	for _, c := range []struct {
		catchUp time.Duration
		timeout int
	}{
		{4 * time.Second, 40},
		{6 * time.Second, 60},
		{40 * time.Second, 400},
		{0, 3 * raft.ElectionTicks},
		{time.Second, 3 * raft.ElectionTicks},
	} {
		if timeout := NewPolicy(1, 0, c.catchUp).VoterTimeout; timeout != c.timeout {
			t.Errorf("catch_up %v: a timeout of %d ticks, want %d", c.catchUp, timeout, c.timeout)
		}
	}
}

// A newer life at the same address means that the older is gone at once, as
// voter and as learner; one that was only noted and not heard since does not.
func TestNewerLifeEndsTheOlder(t *testing.T) {
	members := group(3, 1)
	members[3].Inner = "c"
	sinceContact := map[raft.ID]int{"c": raft.ElectionTicks}
	view := viewOf(members, "", "", "")
	view.SinceContact = func(id raft.ID) int { return sinceContact[id] }
	if decision := NewPolicy(1, 0, 4*time.Second).Decide(view); decision.Change != NoChange {
		t.Errorf("between two beats the older life went: %s %s", decision.Change, decision.Member.ID)
	}
	sinceContact["c"]++
	requireChange(t, NewPolicy(1, 0, 4*time.Second).Decide(view), Remove, "c")
	sinceContact["c"], sinceContact["d"] = 0, 30
	view.CaughtUp = func(id raft.ID) bool { return id != "d" }
	if decision := NewPolicy(1, 0, 4*time.Second).Decide(view); decision.Change != NoChange {
		t.Errorf("the life that is heard went: %s %s", decision.Change, decision.Member.ID)
	}
	members = append(group(3, 2), raft.Member{ID: "f", Inner: "d"})
	view = viewOf(members, "", "", "ef")
	view.SinceContact = func(id raft.ID) int { return map[raft.ID]int{"d": raft.ElectionTicks + 1}[id] }
	requireChange(t, NewPolicy(1, 0, 4*time.Second).Decide(view), Remove, "d")
}

func TestZonesDecideTies(t *testing.T) {
	members := group(3, 2)
	for i, zone := range []string{"x", "x", "y", "x", "z"} {
		members[i].Site = zone
	}
	// Of two dead, the one goes whose zone has the most voters.
	requireChange(t, NewPolicy(1, 1, 0).Decide(viewOf(members, "bc", "", "")), Remove, "b")
	members[1].Voter = false
	for zones, id := range map[int]raft.ID{0: "b", 1: "e"} {
		requireChange(t, NewPolicy(1, zones, 0).Decide(viewOf(members, "", "", "")), Promote, id)
	}
}

func TestImpossibleCandidates(t *testing.T) {
	membership := NewPolicy(1, 0, 0)
	members := group(3, 1)
	for _, c := range []struct {
		name      string
		candidate raft.Member
		members   []raft.Member
		rejected  bool
	}{
		{"fit", raft.Member{ID: "x", Inner: "x"}, members, false},
		{"no id", raft.Member{Inner: "x"}, members, true},
		{"no address", raft.Member{ID: "x"}, members, true},
		{"a member again", raft.Member{ID: "b", Inner: "b"}, members, false},
		{"a member's id elsewhere", raft.Member{ID: "b", Inner: "x"}, members, true},
		{"too many learners", raft.Member{ID: "x", Inner: "x"}, group(3, membership.MaxLearners), true},
		{
			"too many learners, a newer process of one",
			raft.Member{ID: "x", Inner: "d"},
			group(3, membership.MaxLearners), false,
		},
	} {
		if why := membership.RejectReason(c.members, c.candidate); (why != "") != c.rejected {
			t.Errorf("%s: %q", c.name, why)
		}
		view := viewOf(c.members, "", "", "")
		view.Joining = []raft.Member{c.candidate}
		decision := membership.Decide(view)
		if admitted := decision.Change == AddLearner; admitted && (c.rejected || c.name == "a member again") {
			t.Errorf("%s: admitted", c.name)
		}
		seen := map[raft.ID]bool{}
		for _, member := range decision.Next {
			if seen[member.ID] {
				t.Errorf("%s: %s counts twice", c.name, member.ID)
			}
			seen[member.ID] = true
		}
	}
	voting := raft.Member{ID: "x", Inner: "x", Voter: true}
	view := viewOf(members, "", "", "")
	view.Joining = []raft.Member{voting}
	decision := membership.Decide(view)
	if decision.Change != AddLearner || decision.Member.Voter || countVoters(decision.Next) != 3 {
		t.Error("a candidate came with a vote of its own making")
	}
}

// Who is waited for: someone in touch beyond those that others need.
func TestSuccessor(t *testing.T) {
	for _, c := range []struct {
		name                  string
		members               []raft.Member
		dead, leaving, behind string
		near                  bool
	}{
		{"plain restart", group(3, 0), "", "", "", false},
		{"a learner", group(3, 1), "", "", "", true},
		{"a learner that catches up", group(3, 1), "", "", "d", true},
		{"a dead learner", group(3, 1), "d", "", "", false},
		{"a learner that the dead one needs", group(3, 1), "c", "", "", false},
		{"a learner that another leaver needs", group(3, 1), "", "c", "", false},
		{"two learners, two leavers", group(3, 2), "", "c", "", true},
		{"already raised", group(4, 0), "", "", "", true},
	} {
		view := viewOf(c.members, c.dead, c.leaving, c.behind)
		if near := NewPolicy(1, 0, 4*time.Second).HasSuccessor(view, "b"); near != c.near {
			t.Errorf("%s: %v", c.name, near)
		}
	}
	view := viewOf(group(3, 0), "", "", "")
	view.Joining = []raft.Member{{ID: "n", Inner: "n"}}
	if !NewPolicy(1, 0, 0).HasSuccessor(view, "b") {
		t.Error("one that waits to be taken in is coming")
	}
}

// A controller that was removed must be in contact without a gap before it votes
// again, each time for longer; one that stays is forgiven.
func TestFailuresHoldFlappersBack(t *testing.T) {
	membership := NewPolicy(1, 0, 4*time.Second)
	last := 0
	for failure := 0; failure < 4; failure++ {
		if failure > 0 {
			lost := viewOf(group(3, 0), "c", "", "")
			membership.Record(lost, Decision{Change: Remove, Member: lost.Members[2]})
			membership.Decide(lost)
		}
		members := group(3, 0)
		members[2].Voter = false
		waited := 0
		for ; waited < 1000; waited++ {
			view := viewOf(members, "", "", "")
			view.Tick = 10000*failure + waited
			if membership.Decide(view).Change == Promote {
				break
			}
		}
		want := 0
		if failure > 0 {
			want = membership.VoterTimeout << (failure - 1)
		}
		if waited != want {
			t.Errorf("after %d failures: promoted after %d ticks, want %d", failure, waited, want)
		}
		if failure > 1 && waited <= last {
			t.Errorf("after failure %d it waits no longer than after the one before", failure)
		}
		last = waited
	}
	view := viewOf(group(3, 0), "", "", "")
	view.Tick = 1 << 20
	membership.Decide(view)
	if len(membership.failures) != 0 {
		t.Error("a core that stayed was not forgiven")
	}
}
