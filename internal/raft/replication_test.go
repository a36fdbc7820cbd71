package raft

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// elect makes a core leader by the votes of the other two.
func (b *bench) elect() {
	b.t.Helper()
	b.step(Message{Kind: MsgTimeoutNow, From: "c", Term: b.raft.Term()})
	b.syncAll()
	b.step(Message{Kind: MsgVoteResponse, Term: b.raft.Term(), From: "c"})
	b.syncAll()
	if b.raft.Role() != Leader {
		b.t.Fatal("not elected")
	}
}

// talk carries what two cores say to each other until both are silent, and
// counts the messages of one kind.
func talk(one, two *bench, kind MessageKind) (count int) {
	for len(one.told)+len(two.told) > 0 {
		for _, from := range []*bench{one, two} {
			said := from.told
			from.told = nil
			for _, m := range said {
				for _, to := range []*bench{one, two} {
					if to != from && to.raft.id == m.To {
						if m.Kind == kind {
							count++
						}
						to.take(to.raft.Step(m))
						to.syncAll()
					}
				}
			}
		}
	}
	return count
}

func TestAConflictIsFoundInAMessageATerm(t *testing.T) {
	shared := run(2, 10, 1)
	for name, c := range map[string]struct {
		leader, follower []Entry
		most             int
	}{
		"a long tail of one term":   {run(11, 400, 4), run(11, 500, 2), 4},
		"a shorter log":             {run(11, 400, 4), nil, 3},
		"two terms":                 {run(11, 400, 4), append(run(11, 200, 2), run(201, 500, 3)...), 5},
		"a term that both hold":     {append(run(11, 100, 2), run(101, 400, 4)...), run(11, 500, 2), 4},
		"a term the leader has cut": {append(run(11, 15, 2), run(16, 400, 4)...), append(run(11, 200, 2), run(201, 500, 3)...), 5},
	} {
		leader := newBench(t, "a", HardState{Term: 4}, append(run(2, 10, 1), c.leader...)...)
		follower := newBench(t, "b", HardState{Term: 4}, append(run(2, 10, 1), c.follower...)...)
		leader.elect()
		if appends := talk(leader, follower, MsgAppend); appends > c.most {
			t.Errorf("%s: %d appends until both agree, want %d at most", name, appends, c.most)
		}
		want := append(append(shared[:9:9], c.leader...), Entry{Term: 5, Index: 401})
		if diff := cmp.Diff(want, follower.held()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// A member a little behind a compacted log is brought up by entries; only one
// behind the kept tail needs the snapshot.
func TestATailIsKeptBehindTheSnapshot(t *testing.T) {
	for _, c := range []struct {
		has, installs int
		tail          LogTail
	}{
		{60, 0, LogTail{Entries: 50, Bytes: 1 << 20}},
		{50, 0, LogTail{Entries: 50, Bytes: 1 << 20}},
		{49, 1, LogTail{Entries: 50, Bytes: 1 << 20}},
		{95, 0, LogTail{Entries: 50, Bytes: 5 * (entryOverhead + 2)}},
		{94, 1, LogTail{Entries: 50, Bytes: 5 * (entryOverhead + 2)}},
		{60, 1, LogTail{}},
	} {
		leader := newBench(t, "a", HardState{Term: 2}, run(2, 105, 2)...)
		leader.raft.logTail = c.tail
		leader.elect()
		leader.step(Message{Kind: MsgAppendResponse, Term: 3, From: "c", Index: 106})
		done, out := leader.raft.Compact(100, []byte("state"))
		leader.take(out)
		leader.syncAll()
		follower := newBench(t, "b", HardState{Term: 2}, run(2, Index(c.has), 2)...)
		installs := talk(leader, follower, MsgSnapshotChunk)
		if !done || installs != c.installs || follower.raft.LastIndex() != 106 || follower.raft.syncedIndex != 106 {
			t.Errorf("%v: %d installs, want %d; ends at %d", c, installs, c.installs, follower.raft.LastIndex())
		}
		if held := leader.held(); len(held) != 6 || leader.disk.Snapshot.Index != 100 || leader.raft.SnapshotIndex() != 100 {
			t.Errorf("%v: the leader's disk holds %d entries behind %d", c, len(held), leader.disk.Snapshot.Index)
		}
		// A second cut moves the tail on.
		if done, _ = leader.raft.Compact(106, nil); !done || leader.raft.LastIndex() != 106 || leader.raft.termAt(106) != 3 {
			t.Errorf("%v: ends at %d after a second cut", c, leader.raft.LastIndex())
		}
		if kept := len(leader.raft.entries); kept > c.tail.Entries {
			t.Errorf("%v: %d entries are kept", c, kept)
		}
	}
}

// On a slow link nothing is sent twice while it may still arrive, what is under
// way stays bounded, and what was lost is sent again.
func TestAppendsUnderWayAreBoundedAndSentAgain(t *testing.T) {
	leader := newBench(t, "a", HardState{Term: 2}, run(2, 10, 2)...)
	leader.elect()
	peer := leader.raft.peers["b"]
	beat := func(match Index) {
		leader.step(Message{Kind: MsgAppendResponse, Term: 3, From: "b", Index: match})
		leader.step(Message{Kind: MsgAppendResponse, Term: 3, From: "c", Index: leader.raft.LastIndex()})
	}
	beat(11)
	leader.told = nil
	sent := func() (entries int, bytes int) {
		for _, m := range leader.told {
			if m.Kind == MsgAppend && m.To == "b" && len(m.Entries) > 0 {
				entries, bytes = entries+len(m.Entries), bytes+m.Size()
				if m.Size() > maxAppendBytes+2*entryOverhead+1000 {
					t.Errorf("an append of %d bytes", m.Size())
				}
			}
		}
		leader.told = nil
		return entries, bytes
	}
	for i := 0; i < 300; i++ {
		_, _, _, out := leader.raft.Propose(make([]byte, 1000))
		leader.take(out)
		leader.syncAll()
	}
	if entries, bytes := sent(); entries != maxInflightAppends || bytes > maxInflightBytes+maxAppendBytes {
		t.Fatalf("%d entries of %d bytes are under way", entries, bytes)
	}
	for i := 0; i < ElectionTicks+maxInflightAppends; i++ {
		leader.take(leader.raft.Tick())
		beat(11)
	}
	if entries, _ := sent(); entries != 0 {
		t.Fatalf("%d entries were sent again while they may still arrive", entries)
	}
	for i := 0; i < 40 && peer.pipelined; i++ {
		leader.take(leader.raft.Tick())
		beat(11)
	}
	if entries, bytes := sent(); entries == 0 || bytes > maxAppendBytes+2*entryOverhead {
		t.Fatalf("%d entries of %d bytes were sent again", entries, bytes)
	}
	beat(leader.raft.LastIndex())
	if entries, _ := sent(); entries != 0 || !peer.pipelined || peer.inflightBytes != 0 {
		t.Fatalf("%d entries are sent to a member that has all, %d bytes count as under way", entries, peer.inflightBytes)
	}
	_, _, _, out := leader.raft.Propose([]byte("x"))
	leader.take(out)
	leader.told = nil
	leader.take(leader.raft.ReportLost("b"))
	if entries, _ := sent(); entries != 1 {
		t.Fatalf("%d entries were sent after a broken stream", entries)
	}
}

// What a follower takes costs what it brings, not what its log holds; and a cut
// leaves alone what is on its way elsewhere.
func TestAnAppendDoesNotCopyTheLog(t *testing.T) {
	b := newBench(t, "b", HardState{Term: 2}, run(2, 4000, 2)...)
	last, moved := Index(4000), 0
	for range 400 {
		before := &b.raft.entries[0]
		b.step(Message{Kind: MsgAppend, Term: 2, Index: last, LogTerm: 2, Entries: run(last+1, last+1, 2)})
		last++
		if before != &b.raft.entries[0] {
			moved++
		}
	}
	if b.raft.LastIndex() != last || moved > 2 {
		t.Errorf("the log ends at %d, want %d, and was copied %d times", b.raft.LastIndex(), last, moved)
	}
	under := b.raft.entriesFrom(last-1, 1<<20)
	b.step(Message{Kind: MsgAppend, Term: 3, Index: last - 2, LogTerm: 2, Entries: run(last-1, last-1, 3)})
	if b.raft.LastIndex() != last-1 || under[0].Term != 2 || len(under) != 2 {
		t.Errorf("it ends at %d; under way: %+v", b.raft.LastIndex(), under)
	}
}
