package accord

import (
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// bench steps one core by hand; its disk carries orders out only when told.
type bench struct {
	t      *testing.T
	raft   *Raft
	disk   *simDisk
	queued []Write
	told   []Message
	rest   []*Snapshot
	apply  []Index
}

var trio = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}

func newBench(t *testing.T, id ID, hard Hard, log ...Entry) (b *bench) {
	base := Snapshot{Index: 1, Term: 1, Members: trio}
	b = &bench{t: t, disk: &simDisk{id: id, hard: hard, base: base, log: map[Index]Entry{}}}
	for _, each := range log {
		b.disk.log[each.Index] = each
	}
	b.raft = NewRaft(id, Pace{beatTicks, electTicks}, rand.New(rand.NewSource(1)), hard, base, log)
	return b
}

func (b *bench) take(out Output) {
	b.told = append(b.told, out.Send...)
	b.queued = append(b.queued, out.Writes...)
	if out.Restore != nil {
		b.rest = append(b.rest, out.Restore)
	}
	for _, each := range out.Apply {
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
	b.disk.carry(write, planted{})
	b.told = append(b.told, write.After...)
	if len(write.Entries) > 0 || write.Snapshot != nil && write.LastTerm != 0 {
		b.take(b.raft.Synced(1, write.Last, write.LastTerm))
	} else {
		b.take(b.raft.Synced(1, 0, 0))
	}
}

func (b *bench) syncAll() {
	for len(b.queued) > 0 {
		b.sync()
	}
}

// match is the highest place that was told as held, since asked last.
func (b *bench) match() (index Index) {
	for _, m := range b.told {
		if m.Kind == TellAppend && !m.Reject {
			index = max(index, m.Index)
		}
	}
	b.told = nil
	return index
}

func run(from, to Index, term Term) (entries []Entry) {
	for index := from; index <= to; index++ {
		entries = append(entries, entry(index, term))
	}
	return entries
}

// held is the log as it would be loaded.
func (b *bench) held() (entries []Entry) {
	for index := b.disk.base.Index + 1; ; index++ {
		each, known := b.disk.log[index]
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
	b := newBench(t, "b", Hard{Term: 2})
	b.step(Message{Kind: Append, Index: 1, LogTerm: 1, Commit: 5, Entries: run(2, 30, 2)})
	b.syncAll()
	if told := b.match(); told != 30 || b.raft.Commit() != 5 {
		t.Fatalf("told %d, commit %d", told, b.raft.Commit())
	}
	install := Message{Kind: Install, Snapshot: &Snapshot{Index: 18, Term: 2, Members: trio}}
	for round := 0; round < 2; round++ {
		b.step(install)
		b.syncAll()
		b.want(30, 2)
		if told := b.match(); told != 18 || b.raft.Commit() != 18 || len(b.rest) != 0 {
			t.Fatalf("told %d, commit %d, %d restored", told, b.raft.Commit(), len(b.rest))
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
		b.step(Message{Kind: Install, Snapshot: &old})
		b.syncAll()
		b.want(30, 2)
		if b.raft.Commit() != 18 || len(b.rest) != 0 || b.raft.Base() != 1 {
			t.Fatalf("an old snapshot of %d left commit %d", old.Index, b.raft.Commit())
		}
	}
}

// Where the log differs from the snapshot, nothing of it stays.
func TestSnapshotOfAnotherTermEndsTheLog(t *testing.T) {
	b := newBench(t, "b", Hard{Term: 2}, run(2, 30, 2)...)
	b.step(Message{Kind: Install, Term: 4, Snapshot: &Snapshot{Index: 18, Term: 3, Members: trio}})
	b.syncAll()
	b.want(18, 3)
	if told := b.match(); told != 18 || b.raft.Commit() != 18 || len(b.held()) != 0 || len(b.rest) != 1 {
		t.Fatalf("told %d, commit %d, %d on disk", told, b.raft.Commit(), len(b.held()))
	}
}
