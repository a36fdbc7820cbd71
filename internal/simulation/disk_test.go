package simulation

import (
	"math/rand"
	"testing"

	"tinpin/internal/raft"
)

func entryOf(index raft.Index, term raft.Term) (entry raft.Entry) {
	return raft.Entry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

func newTestDisk(t *testing.T, bug InjectedBug) (disk *Disk) {
	t.Helper()
	disk, err := newDisk("a", raft.Snapshot{Index: 1, Term: 1}, bug)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = disk.Close() })
	return disk
}

// An entry of an older term takes the place of two newer ones: the second must
// be gone in the same write, and where the injected bug leaves it, it is found.
func TestTruncationOutsideItsWriteIsFound(t *testing.T) {
	for _, bug := range []InjectedBug{"", CutTail} {
		disk := newTestDisk(t, bug)
		if err := disk.Write([]raft.Write{{Entries: []raft.Entry{entryOf(2, 6), entryOf(3, 6)}}}); err != nil {
			t.Fatal(err)
		}
		err := disk.Write([]raft.Write{{TruncateFrom: 2, Entries: []raft.Entry{entryOf(2, 5)}}})
		if found := err != nil; found != (bug == CutTail) {
			t.Errorf("%q: %v", bug, err)
		}
	}
}

// A write that power cut short is there whole or not at all, and all before it is.
func TestTornWriteIsAtomic(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		disk := newTestDisk(t, "")
		if err := disk.Write([]raft.Write{{HardState: &raft.HardState{Term: 2, Vote: "b"}}, {Entries: []raft.Entry{entryOf(2, 2)}}}); err != nil {
			t.Fatal(err)
		}
		under := []raft.Write{{HardState: &raft.HardState{Term: 3}}, {TruncateFrom: 2, Entries: []raft.Entry{entryOf(2, 3), entryOf(3, 3)}}}
		if err := disk.LosePower(under, rand.New(rand.NewSource(seed))); err != nil {
			t.Fatal(err)
		}
		if hard, _, log, err := disk.Load(); err != nil || hard.Term != 2 || len(log) != 1 {
			t.Fatalf("seed %d: %v, %d entries, %v", seed, hard, len(log), err)
		}
	}
}
