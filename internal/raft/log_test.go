package raft

import (
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bench steps one core by hand; its disk carries orders out only when told.
type bench struct {
	t      *testing.T
	raft   *Replica
	disk   *MemoryDisk
	queued []Write
	told   []Message
	rest   []*Snapshot
	apply  []Index
}

var trio = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}

func newBench(t *testing.T, id ID, hard HardState, log ...Entry) (b *bench) {
	base := Snapshot{Index: 1, Term: 1, Members: trio}
	b = &bench{t: t, disk: &MemoryDisk{ID: id, HardState: hard, Snapshot: base, Log: map[Index]Entry{}}}
	for _, each := range log {
		b.disk.Log[each.Index] = each
	}
	b.raft = New(id, Timing{HeartbeatTicks, ElectionTicks}, rand.New(rand.NewSource(1)), hard, base, log)
	return b
}

func (b *bench) take(out Output) {
	b.told = append(b.told, out.Messages...)
	b.queued = append(b.queued, out.Writes...)
	if out.Restore != nil {
		b.rest = append(b.rest, out.Restore)
	}
	for _, each := range out.Committed {
		b.apply = append(b.apply, each.Index)
	}
}

// step gives a message of a, which leads term 2 or what the message says.
func (b *bench) step(m Message) {
	m.To = b.raft.id
	if m.From == "" {
		m.From = "a"
	}
	if m.Term == 0 {
		m.Term = 2
	}
	b.take(b.raft.Step(m))
}

// sync carries out the next order for the disk.
func (b *bench) sync() {
	write := b.queued[0]
	b.queued = b.queued[1:]
	b.disk.Carry(write, false)
	b.told = append(b.told, write.AfterSync...)
	b.take(b.raft.ReportSynced(1))
}

func (b *bench) syncAll() {
	for len(b.queued) > 0 {
		b.sync()
	}
}

// match is the highest place that was told as held, since asked last.
func (b *bench) match() (index Index) {
	for _, m := range b.told {
		if m.Kind == MsgAppendResponse && !m.Reject {
			index = max(index, m.Index)
		}
	}
	b.told = nil
	return index
}

func entry(index Index, term Term) Entry {
	return Entry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

func run(from, to Index, term Term) (entries []Entry) {
	for index := from; index <= to; index++ {
		entries = append(entries, entry(index, term))
	}
	return entries
}

// held is the log as it would be loaded.
func (b *bench) held() (entries []Entry) {
	for index := b.disk.Snapshot.Index + 1; ; index++ {
		each, known := b.disk.Log[index]
		if !known {
			return entries
		}
		entries = append(entries, each)
	}
}

func (b *bench) want(last Index, term Term) {
	b.t.Helper()
	if b.raft.lastIndex() != last || b.raft.termAt(last) != term {
		b.t.Fatalf("the log ends at %d of term %d, want %d of %d", b.raft.lastIndex(), b.raft.termAt(b.raft.lastIndex()), last, term)
	}
}

// What a follower has told as held is not taken away by a snapshot that comes
// late: the leader has counted it.
func TestLateSnapshotKeepsWhatLiesBehind(t *testing.T) {
	b := newBench(t, "b", HardState{Term: 2})
	b.step(Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Commit: 5, Entries: run(2, 30, 2)})
	b.syncAll()
	if told := b.match(); told != 30 || b.raft.CommitIndex() != 5 {
		t.Fatalf("told %d, commit %d", told, b.raft.CommitIndex())
	}
	install := Message{Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 18, Term: 2, Members: trio}}
	for round := 0; round < 2; round++ {
		b.step(install)
		b.syncAll()
		b.want(30, 2)
		if told := b.match(); told != 18 || b.raft.CommitIndex() != 18 || len(b.rest) != 0 {
			t.Fatalf("told %d, commit %d, %d restored", told, b.raft.CommitIndex(), len(b.rest))
		}
	}
	if diff := cmp.Diff(run(2, 30, 2), b.held()); diff != "" {
		t.Fatal(diff)
	}
	if len(b.apply) != 17 || b.apply[16] != 18 {
		t.Fatalf("applied %v", b.apply)
	}
	// An old one, of the same or an older term, changes nothing.
	for _, old := range []Snapshot{{Index: 3, Term: 2, Members: trio}, {Index: 1, Term: 1}} {
		b.step(Message{Kind: MsgSnapshot, Snapshot: &old})
		b.syncAll()
		b.want(30, 2)
		if b.raft.CommitIndex() != 18 || len(b.rest) != 0 || b.raft.SnapshotIndex() != 1 {
			t.Fatalf("an old snapshot of %d left commit %d", old.Index, b.raft.CommitIndex())
		}
	}
}

// Where the log differs from the snapshot, nothing of it stays.
func TestSnapshotOfAnotherTermEndsTheLog(t *testing.T) {
	b := newBench(t, "b", HardState{Term: 2}, run(2, 30, 2)...)
	b.step(Message{Kind: MsgSnapshot, Term: 4, Snapshot: &Snapshot{Index: 18, Term: 3, Members: trio}})
	b.syncAll()
	b.want(18, 3)
	if told := b.match(); told != 18 || b.raft.CommitIndex() != 18 || len(b.held()) != 0 || len(b.rest) != 1 {
		t.Fatalf("told %d, commit %d, %d on disk", told, b.raft.CommitIndex(), len(b.held()))
	}
}

// While a snapshot is on its way to the disk, nothing tells it as held.
func TestNothingOfASnapshotIsToldBeforeItsWrite(t *testing.T) {
	again := map[string]Message{
		"repeated install": {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 18, Term: 2, Members: trio}},
		"older install":    {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 9, Term: 2, Members: trio}},
		"append below":     {Kind: MsgAppend, Index: 4, LogTerm: 2, Entries: run(5, 9, 2)},
		"heartbeat below":  {Kind: MsgAppend, Index: 4, LogTerm: 2},
		"heartbeat at it":  {Kind: MsgAppend, Index: 18, LogTerm: 2, Commit: 18},
	}
	for name, m := range again {
		b := newBench(t, "b", HardState{Term: 2}, run(2, 5, 1)...)
		b.step(Message{Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 18, Term: 2, Members: trio}})
		m.Round = 7
		b.step(m)
		if told := b.match(); told != 0 {
			t.Errorf("%s: told %d before the write", name, told)
		}
		b.syncAll()
		if told := b.match(); told != 18 {
			t.Errorf("%s: told %d after the write", name, told)
		}
		b.step(m)
		if told := b.match(); told != 18 {
			t.Errorf("%s: told %d once it is held", name, told)
		}
	}
}

// A commit may be ahead of the disk; what is told may not.
func TestACommitAheadOfTheDiskIsNotTold(t *testing.T) {
	for name, m := range map[string]Message{
		"install of it":     {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 8, Term: 2, Members: trio}},
		"install within":    {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 10, Term: 2, Members: trio}},
		"heartbeat":         {Kind: MsgAppend, Index: 10, LogTerm: 2, Commit: 10},
		"repeated append":   {Kind: MsgAppend, Index: 1, LogTerm: 1, Commit: 8, Entries: run(2, 10, 2)},
		"append cut in two": {Kind: MsgAppend, Index: 3, LogTerm: 2, Commit: 8, Entries: run(4, 9, 2)},
	} {
		b := newBench(t, "b", HardState{Term: 2})
		b.step(Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Commit: 2, Entries: run(2, 5, 2)})
		b.sync()
		b.step(Message{Kind: MsgAppend, Index: 5, LogTerm: 2, Commit: 8, Entries: run(6, 10, 2)})
		b.match()
		b.step(m)
		if told := b.match(); told > 5 {
			t.Errorf("%s: told %d, the disk holds 5", name, told)
		}
		b.syncAll()
		if told := b.match(); told != 10 {
			t.Errorf("%s: told %d after the write", name, told)
		}
	}
}

// A report of an order that a later one undoes says nothing of what the log
// holds now, also where the same entries came back.
func TestAReportOfAnUndoneOrderCountsForNothing(t *testing.T) {
	b := newBench(t, "b", HardState{Term: 2})
	b.step(Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Entries: run(2, 10, 2)})
	b.step(Message{Kind: MsgAppend, Term: 4, Index: 7, LogTerm: 2, Entries: run(8, 8, 3)})
	b.step(Message{Kind: MsgAppend, Term: 5, From: "c", Index: 7, LogTerm: 2, Entries: run(8, 10, 2)})
	b.match()
	b.sync()
	b.match()
	b.step(Message{Kind: MsgAppend, Term: 5, From: "c", Index: 10, LogTerm: 2})
	if told := b.match(); told != 7 {
		t.Fatalf("told %d, and the disk is yet to cut at 8", told)
	}
	b.syncAll()
	if told := b.match(); told != 10 {
		t.Fatalf("told %d at the end", told)
	}
}

// The leader's own log counts only once it is on its disk.
func TestTheLeaderCountsWhatItsDiskHolds(t *testing.T) {
	b := newBench(t, "b", HardState{Term: 2}, run(2, 4, 2)...)
	b.step(Message{Kind: MsgAppend, Index: 4, LogTerm: 2, Entries: run(5, 6, 2)})
	b.step(Message{Kind: MsgTimeoutNow})
	b.sync()
	b.sync()
	b.step(Message{Kind: MsgVoteResponse, Term: 3, From: "c"})
	if b.raft.Role() != Leader {
		t.Fatal("not elected")
	}
	b.step(Message{Kind: MsgAppendResponse, Term: 3, From: "c", Index: 7})
	if b.raft.CommitIndex() >= 7 {
		t.Fatal("its own entry counted before the write")
	}
	b.syncAll()
	if b.raft.CommitIndex() != 7 {
		t.Fatalf("commit %d", b.raft.CommitIndex())
	}
}
