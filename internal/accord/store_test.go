package accord

import (
	"strings"
	"testing"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/google/go-cmp/cmp"
)

func entry(index Index, term Term) Entry {
	return Entry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

// After a loss of power the disk holds what was synced, whole, and nothing
// that was written behind it.
func TestLossOfPowerKeepsWhatWasSynced(t *testing.T) {
	disk := vfs.NewStrictMem()
	if err := disk.MkdirAll("data", 0o755); err != nil {
		t.Fatal(err)
	}
	if root, err := disk.OpenDir("/"); err != nil || root.Sync() != nil {
		t.Fatal("the folder itself must last", err)
	}
	store, err := OpenStore("data", disk)
	if err != nil {
		t.Fatal(err)
	}
	base := Snapshot{Index: 1, Term: 1, Members: []Member{{ID: "a", Voter: true}}}
	if err = store.Found("a", base); err != nil {
		t.Fatal(err)
	}
	if err = store.Write([]Write{{Hard: &Hard{Term: 3, Vote: "b"}}, {Entries: []Entry{entry(2, 3), entry(3, 3)}}}); err != nil {
		t.Fatal(err)
	}
	disk.SetIgnoreSyncs(true)
	if err = store.Write([]Write{{Hard: &Hard{Term: 4}, Entries: []Entry{entry(4, 4)}}}); err != nil {
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
	if err != nil || id != "a" || hard != (Hard{Term: 3, Vote: "b"}) {
		t.Fatal(id, hard, err)
	}
	if diff := cmp.Diff(base, found); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff([]Entry{entry(2, 3), entry(3, 3)}, log); diff != "" {
		t.Fatal(diff)
	}
}

func TestLoadDropsACutTailAndRefusesAHole(t *testing.T) {
	store, err := OpenStore("data", vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	_ = store.Found("a", Snapshot{Index: 1, Term: 1})
	_ = store.Write([]Write{{Entries: []Entry{entry(2, 2), entry(3, 2), entry(4, 2)}}})
	// A newer leader's entry replaces the second; the third is left behind.
	_ = store.Write([]Write{{Entries: []Entry{entry(3, 5)}}})
	if _, _, _, log, loadErr := store.Load(); loadErr != nil || len(log) != 2 || log[1].Term != 5 {
		t.Fatal(log, loadErr)
	}
	_ = store.Write([]Write{{Entries: []Entry{entry(6, 6)}}})
	_ = store.Write([]Write{{Entries: []Entry{entry(4, 5)}}})
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
	_ = store.Found("a", Snapshot{Index: 1, Term: 1})
	_ = store.Write([]Write{{Entries: []Entry{entry(2, 2), entry(3, 2), entry(4, 2)}}})
	_ = store.Write([]Write{{Snapshot: &Snapshot{Index: 3, Term: 2, Data: []byte("cut")}}})
	if _, _, base, log, loadErr := store.Load(); loadErr != nil || base.Index != 3 || len(log) != 1 || log[0].Index != 4 {
		t.Fatal(base, log, loadErr)
	}
	// One that is taken from a leader ends the whole log, also what lies above.
	_ = store.Write([]Write{{Cut: 1, Snapshot: &Snapshot{Index: 3, Term: 9}}})
	if _, _, base, log, loadErr := store.Load(); loadErr != nil || base.Term != 9 || len(log) != 0 {
		t.Fatal(base, log, loadErr)
	}
}
