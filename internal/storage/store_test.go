package storage

import (
	"strings"
	"testing"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/google/go-cmp/cmp"

	"tinpin/internal/raft"
)

// strictDisk is a disk with the data folder on it that loses what is not synced.
func strictDisk(t *testing.T) (disk *vfs.MemFS) {
	t.Helper()
	disk = vfs.NewStrictMem()
	if err := disk.MkdirAll("data", 0o755); err != nil {
		t.Fatal(err)
	}
	if root, err := disk.OpenDir("/"); err != nil || root.Sync() != nil {
		t.Fatal("the folder itself must last", err)
	}
	return disk
}

// After a loss of power the disk holds what was synced, whole, and nothing
// that was written behind it.
func TestLossOfPowerKeepsWhatWasSynced(t *testing.T) {
	disk := strictDisk(t)
	store, err := OpenStore("data", disk)
	if err != nil {
		t.Fatal(err)
	}
	base := raft.Snapshot{Index: 1, Term: 1, Members: []raft.Member{{ID: "a", Voter: true}}}
	if err = store.Initialize("a", base); err != nil {
		t.Fatal(err)
	}
	if err = store.Write([]raft.Write{{HardState: &raft.HardState{Term: 3, Vote: "b"}}, {Entries: []raft.Entry{entry(2, 3), entry(3, 3)}}}); err != nil {
		t.Fatal(err)
	}
	disk.SetIgnoreSyncs(true)
	if err = store.Write([]raft.Write{{HardState: &raft.HardState{Term: 4}, Entries: []raft.Entry{entry(4, 4)}}}); err != nil {
		t.Fatal(err)
	}
	_ = store.Close()
	disk.ResetToSyncedState()
	disk.SetIgnoreSyncs(false)
	store, err = OpenStore("data", disk)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	id, hard, found, log, err := store.Load()
	if err != nil || id != "a" || hard != (raft.HardState{Term: 3, Vote: "b"}) {
		t.Fatal(id, hard, err)
	}
	if diff := cmp.Diff(base, found); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff([]raft.Entry{entry(2, 3), entry(3, 3)}, log); diff != "" {
		t.Fatal(diff)
	}
}

func TestLoadDropsACutTailAndRefusesAHole(t *testing.T) {
	store, err := OpenStore("data", vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	_ = store.Initialize("a", raft.Snapshot{Index: 1, Term: 1})
	_ = store.Write([]raft.Write{{Entries: []raft.Entry{entry(2, 2), entry(3, 2), entry(4, 2)}}})
	// A newer leader's entry replaces the second; the third is left behind.
	_ = store.Write([]raft.Write{{Entries: []raft.Entry{entry(3, 5)}}})
	if _, _, _, log, loadErr := store.Load(); loadErr != nil || len(log) != 2 || log[1].Term != 5 {
		t.Fatal(log, loadErr)
	}
	_ = store.Write([]raft.Write{{Entries: []raft.Entry{entry(6, 6)}}})
	_ = store.Write([]raft.Write{{Entries: []raft.Entry{entry(4, 5)}}})
	if _, _, _, _, loadErr := store.Load(); loadErr == nil || !strings.Contains(loadErr.Error(), "5 is missing") {
		t.Fatalf("a hole in the log gave %v", loadErr)
	}
	_ = store.db.Set(keyEntry(3), []byte{0xff}, pebble.Sync)
	if _, _, _, _, loadErr := store.Load(); loadErr == nil || !strings.Contains(loadErr.Error(), "log entry 3") {
		t.Fatalf("a spoiled entry gave %v", loadErr)
	}
}

func TestASnapshotReplacesTheLogBehindIt(t *testing.T) {
	store, err := OpenStore("data", vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	_ = store.Initialize("a", raft.Snapshot{Index: 1, Term: 1})
	_ = store.Write([]raft.Write{{Entries: []raft.Entry{entry(2, 2), entry(3, 2), entry(4, 2)}}})
	_ = store.Write([]raft.Write{{Snapshot: &raft.Snapshot{Index: 3, Term: 2, Data: []byte("cut")}}})
	if _, _, base, log, loadErr := store.Load(); loadErr != nil || base.Index != 3 || len(log) != 1 || log[0].Index != 4 {
		t.Fatal(base, log, loadErr)
	}
	// One that is taken from a leader ends the whole log, also what lies above.
	_ = store.Write([]raft.Write{{TruncateFrom: 1, Snapshot: &raft.Snapshot{Index: 3, Term: 9}}})
	if _, _, base, log, loadErr := store.Load(); loadErr != nil || base.Term != 9 || len(log) != 0 {
		t.Fatal(base, log, loadErr)
	}
}

// What a newer leader's entry cuts off is gone from the disk with the same
// sync, also where its term is higher than that of the entry before it.
func TestACutTailDoesNotComeBack(t *testing.T) {
	disk := strictDisk(t)
	store, err := OpenStore("data", disk)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := raft.Snapshot{Index: 1, Term: 1, Members: trio}
	b := newReplica("b", raft.HardState{Term: 6}, snapshot, run(2, 8, 1)...)
	_ = store.Initialize("b", snapshot)
	_ = store.Write([]raft.Write{{Entries: run(2, 8, 1)}})
	write := func() {
		if err = store.Write(b.queued); err != nil {
			t.Fatal(err)
		}
		b.syncAll()
	}
	reload := func() (log []raft.Entry) {
		t.Helper()
		_ = store.Close()
		disk.ResetToSyncedState()
		if store, err = OpenStore("data", disk); err != nil {
			t.Fatal(err)
		}
		if _, _, _, log, err = store.Load(); err != nil {
			t.Fatal(err)
		}
		return log
	}
	b.step("b", raft.Message{Kind: raft.MsgAppend, Term: 6, Index: 8, LogTerm: 1, Entries: run(9, 10, 6)})
	write()
	if diff := cmp.Diff(append(run(2, 8, 1), run(9, 10, 6)...), reload()); diff != "" {
		t.Fatal(diff)
	}
	b.step("b", raft.Message{Kind: raft.MsgAppend, Term: 7, From: "c", Index: 8, LogTerm: 1, Entries: run(9, 9, 5)})
	write()
	if diff := cmp.Diff(append(run(2, 8, 1), run(9, 9, 5)...), reload()); diff != "" {
		t.Fatal(diff)
	}
	// Orders that share one sync keep their order: cut, put, cut again.
	b.step("b", raft.Message{Kind: raft.MsgAppend, Term: 8, Index: 8, LogTerm: 1, Entries: run(9, 12, 6)})
	b.step("b", raft.Message{Kind: raft.MsgAppend, Term: 9, From: "c", Index: 9, LogTerm: 6, Entries: run(10, 10, 7)})
	write()
	if diff := cmp.Diff(append(run(2, 8, 1), entry(9, 6), entry(10, 7)), reload()); diff != "" {
		t.Fatal(diff)
	}
	_ = store.Close()
}
