package node

import (
	"slices"
	"testing"
	"time"

	"tinpin/internal/raft"
)

// takeWrites empties the queue of writes and tells how many there were.
func (n *Node) takeWrites() (writes int) {
	for {
		select {
		case batch := <-n.writes:
			writes += len(batch)
		default:
			return writes
		}
	}
}

// heartbeatRound has a leader's heartbeats go out at a time and gives the number of their
// round.
func (n *Node) heartbeatRound(t *testing.T, at time.Duration) (round uint64) {
	t.Helper()
	for range raft.HeartbeatTicks {
		out := n.raft.At(at).Tick()
		for _, message := range out.Messages {
			round = max(round, message.Round)
		}
		n.handleOutput(out)
	}
	if round == 0 {
		t.Fatal("no heartbeat went out")
	}
	return round
}

// timeoutNowSent tells that a replica was asked to campaign.
func timeoutNowSent(out raft.Output, to raft.ID) bool {
	return slices.ContainsFunc(out.Messages, func(m raft.Message) bool { return m.Kind == raft.MsgTimeoutNow && m.To == to })
}

// Who asks while the proof has lapsed waits for the next round, and no longer
// than its patience or the leadership.
func TestInContactWaitsForTheNextRound(t *testing.T) {
	n := &Node{startedAt: time.Now(), stop: make(chan struct{})}
	if n.HoldsLease(7, time.Minute) {
		t.Fatal("a core that never led is in contact")
	}
	n.setLease(nil, 7, n.Now()+time.Hour)
	if !n.HoldsLease(7, 0) || n.HoldsLease(6, time.Minute) || n.HoldsLease(8, time.Minute) {
		t.Fatal("a lease counts in its own term alone")
	}
	n.setLease(n.lease.Load(), 7, n.Now())
	if n.HoldsLease(7, time.Millisecond) {
		t.Fatal("a lease that has run out counts")
	}
	for _, next := range []lease{{term: 7, until: time.Hour}, {term: 8, until: time.Hour}, {}} {
		n.setLease(n.lease.Load(), 7, 0)
		found := make(chan bool)
		go func() { found <- n.HoldsLease(7, time.Minute) }()
		n.setLease(n.lease.Load(), next.term, next.until)
		if proven := <-found; proven != (next.term == 7) {
			t.Fatalf("with %+v next: %v", next, proven)
		}
	}
}

// A leader that was not heard for an election is named to nobody.
func TestAnOldLeaderIsNotNamed(t *testing.T) {
	n := &Node{startedAt: time.Now().Add(-time.Minute), members: []raft.Member{{ID: "a", Control: "a:1"}}, leader: "a"}
	n.leaderHeardAt = n.Now()
	if _, _, _, leader, _ := n.Status(); leader.ID != "a" {
		t.Fatalf("named %+v", leader)
	}
	n.leaderHeardAt -= raft.LeaderHintElections * raft.ElectionTicks * raft.TickInterval
	if _, _, _, leader, _ := n.Status(); leader.ID != "" {
		t.Fatalf("named %+v", leader)
	}
}

// A node that was frozen does not answer before it has ticked again, nor after,
// until a round that went out since was answered; one that hands over stops.
func TestANodeThatWasFrozenAnswersOnlyAfterANewRound(t *testing.T) {
	n := wishing(t, 3)
	term := n.raft.Term()
	tell := func(round uint64) {
		n.handleOutput(n.raft.At(n.Now()).ReportSynced(n.takeWrites()))
		n.handleOutput(n.raft.At(n.Now()).Step(raft.Message{Kind: raft.MsgAppendResponse, From: "b", To: "a", Term: term, Index: n.raft.LastIndex(), Round: round}))
	}
	// So that nothing here depends on how fast this machine is, rounds go out in the
	// hour to come but where a freeze is played.
	ahead := func() {
		tell(n.heartbeatRound(t, n.Now()+time.Hour))
	}
	if n.HoldsLease(term, 0) {
		t.Fatal("a leader that has committed nothing in its term answers")
	}
	if ahead(); !n.HoldsLease(term, 0) || !n.raft.CommittedInTerm() {
		t.Fatal("a leader that was answered does not answer")
	}
	n.startedAt = n.startedAt.Add(-2 * time.Hour)
	if n.HoldsLease(term, 0) {
		t.Fatal("after a freeze it answers before it ticks")
	}
	for range raft.HeartbeatTicks {
		n.handleOutput(n.raft.At(n.Now()).Tick())
	}
	if n.HoldsLease(term, 0) {
		t.Fatal("after a freeze it answers before it was answered")
	}
	if ahead(); !n.HoldsLease(term, 0) {
		t.Fatal("after a new round it does not answer")
	}
	out := n.raft.At(n.Now()).TransferLeadership()
	n.handleOutput(out)
	if n.raft.AcceptsProposals() || !timeoutNowSent(out, "b") || n.HoldsLease(term, 0) {
		t.Fatal("a leader that hands over answers")
	}
	if ahead(); n.HoldsLease(term, 0) {
		t.Fatal("a leader that has handed over answers again in its term")
	}
}

// A core that is cut off tells nobody that it is out of the members, nor that it
// leads those who want to come in.
func TestWhoIsCutOffPartsWithNobody(t *testing.T) {
	n := wishing(t, 3)
	n.calls, n.joinCandidates, n.rejectedCandidates = make(chan func(), 8), map[raft.ID]joinCandidate{}, map[raft.ID]int{}
	n.handleOutput(n.raft.At(n.Now() + time.Hour).ReportSynced(n.takeWrites()))
	round := n.heartbeatRound(t, n.Now()+time.Hour)
	n.handleOutput(n.raft.Step(raft.Message{Kind: raft.MsgAppendResponse, From: "b", To: "a", Term: n.raft.Term(), Index: n.raft.LastIndex(), Round: round}))
	ended := make(chan bool)
	go func() {
		defer close(ended)
		for tell := range n.calls {
			tell()
		}
	}()
	for _, want := range []LeaveStatus{LeaveCompleted, 0} {
		var left LeaveResponse
		var joined JoinResponse
		if err := n.Service().Leave(LeaveRequest{"unknown"}, &left); err != nil || left.Status != want {
			t.Errorf("parting %d, want %d: %v", left.Status, want, err)
		}
		if err := n.Service().Join(JoinRequest{raft.Member{ID: "a"}}, &joined); err != nil || joined.Leader != (want != 0) {
			t.Errorf("parting %d: leads %v, %v", want, joined.Leader, err)
		}
		n.startedAt = n.startedAt.Add(-2 * time.Hour)
	}
	close(n.calls)
	<-ended
}
