package raft

import "testing"

// acknowledge has a member tell the leader up to which entry its disk holds the log.
func (b *bench) acknowledge(member ID, index Index) {
	b.step(Message{Kind: MsgAppendResponse, Term: b.raft.Term(), From: member, Index: index})
}

// keepingUp plays ticks in each of which entries come; the follower acknowledges at each tick what the log
// held some ticks before. It tells whether the follower counted as caught up at the end, and its lag.
func keepingUp(t *testing.T, ticks, entriesPerTick, delay int) (caughtUp bool, lag Index) {
	t.Helper()
	leader := newBench(t, "a", HardState{Term: 2}, run(2, 50, 2)...)
	leader.elect()
	ends := []Index{}
	for tick := range ticks {
		for range entriesPerTick {
			_, _, _, out := leader.raft.Propose([]byte("x"))
			leader.take(out)
		}
		leader.syncAll()
		ends = append(ends, leader.raft.LastIndex())
		// The other voter is near: what is proposed is committed in the same tick.
		leader.acknowledge("c", leader.raft.LastIndex())
		if tick >= delay {
			leader.acknowledge("b", ends[tick-delay])
		}
		leader.take(leader.raft.Tick())
	}
	lag, _ = leader.raft.Lag("b")
	return leader.raft.CaughtUp("b"), lag
}

func TestAMemberKeepsUpWhileItAcknowledgesInTime(t *testing.T) {
	for name, c := range map[string]struct {
		entriesPerTick, delay int
		want                  bool
		lag                   Index
	}{
		"near, steady writes":            {10, 0, true, 0},
		"far, steady writes":             {10, 2, true, 20},
		"farther, steady writes":         {10, ElectionTicks - 2, true, 10 * (ElectionTicks - 2)},
		"too far to commit in time":      {10, ElectionTicks + 1, false, 10 * (ElectionTicks + 1)},
		"far, without writes":            {0, ElectionTicks + 1, true, 0},
		"it acknowledges nothing at all": {1, 1000, false, 151},
	} {
		caughtUp, lag := keepingUp(t, 100, c.entriesPerTick, c.delay)
		if caughtUp != c.want || lag != c.lag {
			t.Errorf("%s: caught up %v, %d behind; want %v, %d", name, caughtUp, lag, c.want, c.lag)
		}
	}
}

// A member that kept up counts no more once a round lasts too long, or once an older disk was put back.
func TestAMemberThatStopsKeepingUp(t *testing.T) {
	leader := newBench(t, "a", HardState{Term: 2}, run(2, 50, 2)...)
	leader.elect()
	acknowledge := func() {
		leader.acknowledge("b", leader.raft.LastIndex())
		leader.acknowledge("c", leader.raft.LastIndex())
	}
	acknowledge()
	if !leader.raft.CaughtUp("b") {
		t.Fatal("it holds all and does not count")
	}
	_, _, _, out := leader.raft.Propose([]byte("x"))
	leader.take(out)
	leader.syncAll()
	// The round begins with the next tick.
	for tick := range ElectionTicks + 1 {
		if !leader.raft.CaughtUp("b") {
			t.Fatalf("it does not count %d ticks after a change", tick)
		}
		leader.step(Message{Kind: MsgHeartbeatResponse, Term: leader.raft.Term(), From: "b"})
		leader.take(leader.raft.Tick())
	}
	if leader.raft.CaughtUp("b") {
		t.Fatal("a round that lasts too long does not count against it")
	}
	acknowledge()
	if !leader.raft.CaughtUp("b") {
		t.Fatal("it holds all again and does not count")
	}
	last := leader.raft.LastIndex()
	leader.step(Message{
		Kind: MsgAppendResponse, Term: leader.raft.Term(), From: "b", Reject: true, Index: last, Hint: 10, LogTerm: 2,
	})
	if leader.raft.CaughtUp("b") {
		t.Fatal("an older disk counts as caught up")
	}
}
