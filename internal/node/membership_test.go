package node

import (
	"fmt"
	"math/rand"
	"testing"

	"tinpin/internal/eventlog"
	"tinpin/internal/membership"
	"tinpin/internal/raft"
)

// group is a group whose first members vote.
func group(voters, learners int) (members []raft.Member) {
	for i := 0; i < voters+learners; i++ {
		id := string(rune('a' + i))
		members = append(members, raft.Member{ID: raft.ID(id), Inner: id, Voter: i < voters})
	}
	return members
}

// housed is a core's house without its listeners, disk and duties.
func housed(members []raft.Member) (n *Node) {
	replica := raft.New(members[0].ID, raft.DefaultTiming(), rand.New(rand.NewSource(1)), raft.HardState{}, raft.Snapshot{Index: 1, Term: 1, Members: members}, nil)
	return &Node{
		log: eventlog.Discard(), raft: replica, self: members[0], policy: membership.NewPolicy(1, 0, 0),
		joinCandidates: map[raft.ID]joinCandidate{}, leaving: map[raft.ID]int{}, rejectedCandidates: map[raft.ID]int{},
	}
}

// However many ask to be taken in, and as whom, little is kept of them.
func TestJoinersAreBounded(t *testing.T) {
	n := housed(group(3, 1))
	for i := range 1000 {
		id := raft.ID(fmt.Sprint("new-", i))
		for _, candidate := range []raft.Member{{ID: id, Inner: string(id)}, {ID: id}, {Inner: string(id)}, {ID: "b", Inner: string(id)}, {ID: "b", Inner: "b"}} {
			n.handleJoin(candidate)
		}
	}
	if len(n.joinCandidates) != n.policy.MaxLearners || len(n.rejectedCandidates) > maxRejectedCandidates {
		t.Errorf("%d joiners and %d refusals are kept", len(n.joinCandidates), len(n.rejectedCandidates))
	}
	for id, waiting := range n.joinCandidates {
		if id == "" || id == "b" || waiting.member.Inner == "" {
			t.Errorf("%+v waits to be taken in", waiting.member)
		}
	}
	if _, loggedTick := n.rejectedCandidates["b"]; !loggedTick {
		t.Error("an id that is a member's at another address was not refused")
	}
	n.ticks += joinExpiryTicks + 1
	if waiting := n.membershipView().Joining; len(waiting) != 0 || len(n.joinCandidates) != 0 {
		t.Errorf("%d are still kept after they stopped asking", len(waiting))
	}
}

// Of two lives at one address the one that asked last waits.
func TestNewestLifeWaits(t *testing.T) {
	n := housed(group(3, 0))
	n.handleJoin(raft.Member{ID: "first", Inner: "x"})
	n.handleJoin(raft.Member{ID: "second", Inner: "x"})
	if _, newest := n.joinCandidates["second"]; !newest || len(n.joinCandidates) != 1 {
		t.Errorf("%v wait", n.joinCandidates)
	}
}

// A core that does not lead, or leaves itself, says nothing to a leaver.
func TestOnlyALeaderAnswersALeaver(t *testing.T) {
	if status := housed(group(3, 1)).handleLeave("b"); status != 0 {
		t.Errorf("a follower said %d", status)
	}
	for _, c := range []struct {
		name    string
		members []raft.Member
		id      raft.ID
		parting LeaveStatus
	}{
		{"plain restart", group(3, 0), "b", LeaveAsMember},
		{"a learner", group(3, 1), "d", LeaveAsMember},
		{"a successor is near", group(3, 1), "b", LeavePending},
		{"no member any more", group(3, 0), "x", LeaveCompleted},
	} {
		n := housed(c.members)
		elect(t, n.raft)
		if status := n.handleLeave(c.id); status != c.parting {
			t.Errorf("%s: %d, want %d", c.name, status, c.parting)
		}
		if _, marked := n.leaving[c.id]; marked != (c.parting == LeavePending) {
			t.Errorf("%s: noted %v", c.name, marked)
		}
		n.ticks += leavingExpiryTicks + 1
		if n.membershipView().Leaving(c.id) {
			t.Errorf("%s: a leaver that asks no more is still noted", c.name)
		}
		n.departing = true
		if status := n.handleLeave(c.id); status != 0 {
			t.Errorf("%s: a leader that leaves itself said %d", c.name, status)
		}
	}
}

// elect has a core win and commit in its term, with b voting for it.
func elect(t *testing.T, r *raft.Replica) {
	t.Helper()
	id, issued, round := r.Members()[0].ID, 0, uint64(0)
	answer := func(out raft.Output) {
		issued += len(out.Writes)
		for _, message := range out.Messages {
			round = max(round, message.Round)
		}
	}
	for range 4 * raft.ElectionTicks {
		answer(r.Tick())
		if r.Role() == raft.Candidate {
			break
		}
	}
	answer(r.Step(raft.Message{Kind: raft.MsgPreVoteResponse, From: "b", To: id, Term: r.Term() + 1}))
	answer(r.Step(raft.Message{Kind: raft.MsgVoteResponse, From: "b", To: id, Term: r.Term()}))
	answer(r.Step(raft.Message{Kind: raft.MsgAppendResponse, From: "b", To: id, Term: r.Term(), Index: r.LastIndex(), Round: round}))
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
