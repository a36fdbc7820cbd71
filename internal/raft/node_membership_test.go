package raft

import (
	"fmt"
	"math/rand"
	"testing"

	"tinpin/internal/eventlog"
)

// housed is a core's house without its listeners, disk and duties.
func housed(members []Member) (n *Node) {
	raft := New(members[0].ID, Timing{HeartbeatTicks, ElectionTicks}, rand.New(rand.NewSource(1)), HardState{}, Snapshot{Index: 1, Term: 1, Members: members}, nil)
	return &Node{
		log: eventlog.Discard(), raft: raft, self: members[0], policy: NewPolicy(1, 0, 0),
		joiners: map[ID]joiner{}, leaving: map[ID]int{}, rejectedJoiners: map[ID]int{},
	}
}

// However many ask to be taken in, and as whom, little is kept of them.
func TestJoinersAreBounded(t *testing.T) {
	n := housed(group(3, 1))
	for i := range 1000 {
		id := ID(fmt.Sprint("new-", i))
		for _, newcomer := range []Member{{ID: id, Inner: string(id)}, {ID: id}, {Inner: string(id)}, {ID: "b", Inner: string(id)}, {ID: "b", Inner: "b"}} {
			n.handleJoin(newcomer)
		}
	}
	if len(n.joiners) != n.policy.MaxLearners || len(n.rejectedJoiners) > maxRejectedJoiners {
		t.Errorf("%d joiners and %d refusals are kept", len(n.joiners), len(n.rejectedJoiners))
	}
	for id, joiner := range n.joiners {
		if id == "" || id == "b" || joiner.member.Inner == "" {
			t.Errorf("%+v waits to be taken in", joiner.member)
		}
	}
	if _, said := n.rejectedJoiners["b"]; !said {
		t.Error("an id that is a member's at another address was not refused")
	}
	n.ticks += joinerExpiryTicks + 1
	if waiting := n.membershipView().Joining; len(waiting) != 0 || len(n.joiners) != 0 {
		t.Errorf("%d are still kept after they stopped asking", len(waiting))
	}
}

// Of two lives at one address the one that asked last waits.
func TestNewestLifeWaits(t *testing.T) {
	n := housed(group(3, 0))
	n.handleJoin(Member{ID: "first", Inner: "x"})
	n.handleJoin(Member{ID: "second", Inner: "x"})
	if _, newest := n.joiners["second"]; !newest || len(n.joiners) != 1 {
		t.Errorf("%v wait", n.joiners)
	}
}

// A core that does not lead, or leaves itself, says nothing to a leaver.
func TestOnlyALeaderAnswersALeaver(t *testing.T) {
	if parting := housed(group(3, 1)).handleLeave("b"); parting != 0 {
		t.Errorf("a follower said %d", parting)
	}
	for _, c := range []struct {
		name    string
		members []Member
		id      ID
		parting LeaveStatus
	}{
		{"plain restart", group(3, 0), "b", LeaveAsMember},
		{"a learner", group(3, 1), "d", LeaveAsMember},
		{"a successor is near", group(3, 1), "b", LeavePending},
		{"no member any more", group(3, 0), "x", LeaveCompleted},
	} {
		n := housed(c.members)
		elect(t, n.raft)
		if parting := n.handleLeave(c.id); parting != c.parting {
			t.Errorf("%s: %d, want %d", c.name, parting, c.parting)
		}
		if _, marked := n.leaving[c.id]; marked != (c.parting == LeavePending) {
			t.Errorf("%s: noted %v", c.name, marked)
		}
		n.ticks += leavingExpiryTicks + 1
		if n.membershipView().Leaving(c.id) {
			t.Errorf("%s: a leaver that asks no more is still noted", c.name)
		}
		n.departing = true
		if parting := n.handleLeave(c.id); parting != 0 {
			t.Errorf("%s: a leader that leaves itself said %d", c.name, parting)
		}
	}
}

// elect has a core win and commit in its term, with b voting for it.
func elect(t *testing.T, r *Replica) {
	t.Helper()
	issued := 0
	answer := func(out Output) {
		issued += len(out.Writes)
	}
	for range 4 * ElectionTicks {
		answer(r.Tick())
		if r.role == Candidate {
			break
		}
	}
	answer(r.Step(Message{Kind: MsgPreVoteResponse, From: "b", To: r.id, Term: r.hardState.Term + 1}))
	answer(r.Step(Message{Kind: MsgVoteResponse, From: "b", To: r.id, Term: r.hardState.Term}))
	answer(r.Step(Message{Kind: MsgAppendResponse, From: "b", To: r.id, Term: r.hardState.Term, Index: r.lastIndex(), Round: r.heartbeatRound}))
	answer(r.ReportSynced(issued))
	if !r.CommittedInTerm() {
		t.Fatal("it does not lead")
	}
}

// Who is told to stand has the whole log: no change enters it meanwhile.
func TestNoChangeWhileHandingOver(t *testing.T) {
	r := housed(group(3, 1)).raft
	elect(t, r)
	r.TransferLeadership()
	if r.AcceptsProposals() {
		t.Fatal("it does not hand over")
	}
	last := r.LastIndex()
	if accepted, _ := r.ProposeMembers(group(4, 0)); accepted || r.LastIndex() != last {
		t.Error("a change entered the log while the leadership was handed over")
	}
}
