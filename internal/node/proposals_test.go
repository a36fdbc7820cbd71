package node

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

// wishing is a node without duties whose agreement is driven by the test; it
// leads a group of so many, the others being silent.
func wishing(t *testing.T, voters int) (n *Node) {
	base := raft.Snapshot{Index: 1, Term: 1}
	for _, id := range []raft.ID{"a", "b", "c"}[:voters] {
		base.Members = append(base.Members, raft.Member{ID: id, Voter: true})
	}
	n = &Node{
		log: eventlog.Discard(), startedAt: time.Now(), proposals: make(chan proposal, 2), writes: make(chan []raft.Write, 64), stop: make(chan struct{}), peerAddresses: map[raft.ID]string{},
		senders: map[sendPath]*peerSender{}, pending: map[raft.Index]pendingEntry{}, state: statemachine.NewState(), History: history.New(eventlog.Discard()), OnChange: func() {}, OnLeadership: func(bool, raft.Term) {},
	}
	n.raft = raft.New("a", raft.DefaultTiming(), rand.New(rand.NewSource(1)), raft.HardState{}, base, nil)
	for range 2 * raft.ElectionTicks {
		n.handleOutput(n.raft.Tick())
		n.handleOutput(n.raft.Step(raft.Message{Kind: raft.MsgPreVoteResponse, From: "b", To: "a", Term: n.raft.Term() + 1}))
		n.handleOutput(n.raft.Step(raft.Message{Kind: raft.MsgVoteResponse, From: "b", To: "a", Term: n.raft.Term()}))
		if n.raft.Role() == raft.Leader {
			return n
		}
	}
	t.Fatal("the core does not lead")
	return nil
}

// transferring is a leading node that has begun to hand its leadership over to b.
func transferring(t *testing.T) (n *Node) {
	t.Helper()
	n = wishing(t, 3)
	n.handleOutput(n.raft.Step(raft.Message{Kind: raft.MsgAppendResponse, From: "b", To: "a", Term: n.raft.Term(), Index: n.raft.LastIndex()}))
	out := n.raft.TransferLeadership()
	n.handleOutput(out)
	if n.raft.Role() != raft.Leader || n.raft.AcceptsProposals() || !timeoutNowSent(out, "b") {
		t.Fatal("it does not hand over to b")
	}
	return n
}

func (n *Node) put(age, limit time.Duration) (done chan Outcome) {
	done = make(chan Outcome, 1)
	n.proposeBatch(proposal{context.Background(), statemachine.Command{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: "k", Request: "r"}}, done, time.Now().Add(-age), limit})
	return done
}

func answered(done chan Outcome) (answer Outcome, now bool) {
	select {
	case answer = <-done:
		return answer, true
	default:
		return Outcome{}, false
	}
}

// A no is given only for what has entered no log.
func TestARefusedWishIsInNoLog(t *testing.T) {
	n := wishing(t, 3)
	last := n.raft.LastIndex()
	for _, c := range []struct{ age, limit time.Duration }{{time.Hour, 2 * time.Hour}, {time.Second, time.Millisecond}} {
		if answer, now := answered(n.put(c.age, c.limit)); !now || !answer.Rejected || answer.Known {
			t.Errorf("a wish that was given up: %+v, answered %v", answer, now)
		}
	}
	handsOver := transferring(t)
	lastBefore := handsOver.raft.LastIndex()
	if answer, now := answered(handsOver.put(0, time.Second)); !now || !answer.Rejected {
		t.Errorf("a wish while the leadership is handed over: %+v, answered %v", answer, now)
	}
	if handsOver.raft.LastIndex() != lastBefore {
		t.Errorf("the log went from %d to %d while the leadership is handed over", lastBefore, handsOver.raft.LastIndex())
	}
	// The first two wait, the third finds no room.
	answers := n.ProposeAll(t.Context(), make([]statemachine.Command, 3), time.Millisecond)
	if answers[0] != (Outcome{}) || answers[1] != (Outcome{}) || !answers[2].Rejected {
		t.Errorf("a full ring: %+v", answers)
	}
	first := <-n.proposals
	first.createdAt = time.Now().Add(-time.Minute)
	n.proposeBatch(first)
	if n.raft.LastIndex() != last {
		t.Errorf("the log went from %d to %d for nobody", last, n.raft.LastIndex())
	}
	if answer, now := answered(first.done); !now || !answer.Rejected {
		t.Errorf("the backlog of who gave up: %+v, answered %v", answer, now)
	}
}

// What is in the log of a leader that is none any more may still be carried out.
func TestAWishInTheLogIsNotRefusedWhenTheLeadIsLost(t *testing.T) {
	n := wishing(t, 3)
	done := n.put(0, time.Second)
	if _, now := answered(done); now {
		t.Fatal("answered before a majority has it")
	}
	n.handleOutput(n.raft.Step(raft.Message{Kind: raft.MsgAppend, From: "b", To: "a", Term: n.raft.Term() + 1, Index: 1, LogTerm: 1}))
	if answer, now := answered(done); !now || answer.Rejected || answer.Known {
		t.Fatalf("%+v, answered %v", answer, now)
	}
	if answer, now := answered(n.put(0, time.Second)); !now || !answer.Rejected {
		t.Fatalf("put before one that does not lead: %+v, answered %v", answer, now)
	}
}

// An entry of another leader at the same place is no answer to the wish.
func TestAnotherLeadersEntryAnswersNoWish(t *testing.T) {
	n := wishing(t, 1)
	done := make(chan Outcome, 1)
	n.pending[9] = pendingEntry{3, []proposal{{done: done}}}
	n.apply(raft.Entry{Term: 4, Index: 9, Data: statemachine.EncodeCommands([]statemachine.Command{{Kind: statemachine.CommandBarrier}})})
	if answer, now := answered(done); !now || answer.Rejected || answer.Known {
		t.Fatalf("%+v, answered %v", answer, now)
	}
}

// What its caller has left behind is not put into the log; what is in it may be carried out.
func TestAProposalOfACallerWhoHasLeft(t *testing.T) {
	n := wishing(t, 3)
	last := n.raft.LastIndex()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan Outcome, 1)
	command := statemachine.Command{Kind: statemachine.CommandBarrier}
	n.proposeBatch(proposal{ctx, command, done, time.Now(), time.Second})
	if n.raft.LastIndex() != last+1 {
		t.Fatalf("the log went from %d to %d", last, n.raft.LastIndex())
	}
	cancel()
	if answer, now := answered(done); now {
		t.Errorf("%+v for what is in the log", answer)
	}
	late := make(chan Outcome, 1)
	n.proposeBatch(proposal{ctx, command, late, time.Now(), time.Second})
	if answer, now := answered(late); !now || !answer.Rejected || n.raft.LastIndex() != last+1 {
		t.Errorf("%+v, answered %v, the log ends at %d", answer, now, n.raft.LastIndex())
	}
	// A caller who leaves while it waits learns nothing.
	if answer := n.Propose(ctx, command, time.Hour); answer != (Outcome{}) {
		t.Errorf("%+v", answer)
	}
}

// What nobody waits for any more is not put before the cores: this node has none
// to put it before.
func TestAWishThatNobodyWaitsForIsDropped(t *testing.T) {
	node := &Node{proposals: make(chan proposal, 4)}
	answers := node.ProposeAll(t.Context(), []statemachine.Command{{Kind: statemachine.CommandClaim}, {Kind: statemachine.CommandClaim}}, 0)
	for _, answer := range answers {
		if answer.Known || answer.Rejected {
			t.Fatalf("%+v before anybody looked at it", answer)
		}
	}
	first := <-node.proposals
	for !first.expired(time.Now()) {
	}
	node.proposeBatch(first)
	if answer := <-first.done; !answer.Rejected {
		t.Fatalf("%+v", answer)
	}
	if len(node.proposals) != 0 {
		t.Fatal("one is left")
	}
}
