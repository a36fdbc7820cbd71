package storage

// What controllers store, as it was written before the names of the types were changed:
// whole write directories in three forms, and each record of them by itself. The
// fixtures are read and compared value by value, and are never written over.

import (
	"bytes"
	"encoding/hex"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/google/go-cmp/cmp"

	"tinpin/internal/dedup"
	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
	"tinpin/internal/testutil/storedstate"
	"tinpin/internal/testutil/wiretest"
)

var (
	storedMembers = []raft.Member{
		{ID: "founder-10.0.2.1", Inner: "10.0.2.1:7100", Control: "10.0.2.1:7200", Site: "east-1", Voter: true},
		{ID: "founder-10.0.2.2", Inner: "10.0.2.2:7100", Control: "10.0.2.2:7200", Site: "east-2", Voter: true},
		{ID: "founder-10.0.2.3", Inner: "10.0.2.3:7100", Control: "10.0.2.3:7200", Site: "west-1", Voter: true},
	}
	storedLearner  = raft.Member{ID: "10.0.2.4-0102030405060708", Inner: "10.0.2.4:7100", Control: "10.0.2.4:7200", Site: "west-2"}
	storedID       = raft.ID("founder-10.0.2.1")
	storedHard     = raft.HardState{Term: 8, Vote: "founder-10.0.2.2"}
	storedSnapshot = raft.Snapshot{Index: 40, Term: 6, Members: storedMembers, Data: []byte("state\x00\xff")}
)

// wireFixtures are the records of the disk.
func wireFixtures() (fixtures []wiretest.Fixture) {
	return []wiretest.Fixture{
		{Name: "hard_state", Value: storedHard},
		{Name: "core_id", Value: storedID},
		{Name: "snapshot", Value: storedSnapshot},
		{Name: "membership", Value: append([]raft.Member{storedLearner}, storedMembers...)},
	}
}

func TestStoredRecordsAreReadAsTheyWere(t *testing.T) {
	wiretest.Check(t, wireFixtures())
}

// storedLog is the log behind the snapshot: a command of each kind, a change of
// members, the barrier of a new term, and a last entry that another took the place of.
func storedLog() (log []raft.Entry) {
	return []raft.Entry{
		{Index: 30, Term: 6, Data: statemachine.EncodeCommands(storedstate.EachKind())},
		{Index: 31, Term: 6, Members: append(append([]raft.Member(nil), storedMembers...), storedLearner)},
		{Index: 32, Term: 7, Data: statemachine.EncodeCommands([]statemachine.Command{{Kind: statemachine.CommandBarrier}})},
		{Index: 33, Term: 8, Data: []byte{1, byte(statemachine.CommandReleaseClaim), 0, 0, 5, 'k', 'e', 'y', '-', '1', 8, 'd', 'i', 'g', 'e', 's', 't', '-', '1', 6, 'n', 'o', 'd', 'e', '-', '1', 128, 128, 128, 128, 128, 32, 0}},
	}
}

func TestStoredLogEntriesAreReadAsTheyWere(t *testing.T) {
	for i, want := range storedLog()[:2] {
		name := []string{"log_entry.bin", "log_entry_membership.bin"}[i]
		got, err := readEntry(want.Index, wiretest.FileFixture(t, name, writeEntry(want)))
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	filled, count := reflect.New(reflect.TypeFor[raft.Entry]()).Elem(), 0
	wiretest.Fill(t, filled, &count)
	want := filled.Interface().(raft.Entry)
	got, err := readEntry(want.Index, writeEntry(want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("an entry with %d filled fields (-want +got):\n%s", count, diff)
	}
}

// The checksum of a record is computed as it was.
func TestRecordChecksumsHold(t *testing.T) {
	if got := recordChecksum(keyEntry(7), []byte("value")); got != 4062685565 {
		t.Errorf("the checksum of a record is %d", got)
	}
	if got := hex.EncodeToString(addChecksum(keyHard, []byte("value"))); got != "0001f95d0db676616c7565" {
		t.Errorf("a sealed record is %s", got)
	}
}

// Keys that are stored are the ones that were.
func TestStoredKeysHold(t *testing.T) {
	keys := [][]byte{keyID, keyHard, keySnapshot, keyLogEnd, keyFormat, keyEntry(258)}
	if diff := cmp.Diff([][]byte{[]byte("i"), []byte("h"), []byte("s"), []byte("m"), []byte("f"), []byte("l\x00\x00\x00\x00\x00\x00\x01\x02")}, keys); diff != "" {
		t.Errorf("keys of records (-want +got):\n%s", diff)
	}
}

// openFixture opens a copy of a stored write directory.
func openFixture(t *testing.T, name string) (store *Store, folder string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	store, err := OpenStore(folder, vfs.Default)
	if err != nil {
		t.Fatal(err)
	}
	return store, folder
}

// compareStore loads a store twice, the second time after it was opened again.
func compareStore(t *testing.T, name string, wantHard raft.HardState, wantBase raft.Snapshot, wantLog []raft.Entry, data any) {
	t.Helper()
	store, folder := openFixture(t, name)
	for range 2 {
		id, hard, base, log, err := store.Load()
		if err != nil || id != storedID || hard != wantHard {
			t.Fatal(id, hard, err)
		}
		if data != nil {
			if diff := cmp.Diff(data, wiretest.DecodeGob(t, base.Data, data)); diff != "" {
				t.Errorf("state of the snapshot (-want +got):\n%s", diff)
			}
			base.Data = nil
		}
		if diff := cmp.Diff(wantBase, base); diff != "" {
			t.Errorf("snapshot (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(wantLog, log); diff != "" {
			t.Errorf("log (-want +got):\n%s", diff)
		}
		if err = store.Close(); err != nil {
			t.Fatal(err)
		}
		if store, err = OpenStore(folder, vfs.Default); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// buildStore writes a directory in a temporary folder and keeps it as a fixture;
// each step has the store opened anew, so that tables come beside the journal.
func buildStore(t *testing.T, name string, steps ...func(store *Store) error) {
	t.Helper()
	if !wiretest.Missing(filepath.Join("testdata", name, "CURRENT")) {
		return
	}
	folder := filepath.Join(t.TempDir(), "data")
	for _, step := range steps {
		store, err := OpenStore(folder, vfs.Default)
		if err != nil {
			t.Fatal(err)
		}
		if err = step(store); err != nil {
			t.Fatal(err)
		}
		if err = store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	keepStore(t, folder, name)
}

func keepStore(t *testing.T, folder, name string) {
	t.Helper()
	if err := os.CopyFS(filepath.Join("testdata", name), os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
}

func TestAStoredDirectoryIsReadAsItWas(t *testing.T) {
	founding := raft.Snapshot{Index: 1, Term: 1, Members: storedMembers}
	last := raft.Index(len(storedstate.Commands) + 1)
	log := storedLog()
	buildStore(t, "store",
		func(store *Store) error {
			if err := store.Initialize(storedID, founding); err != nil {
				return err
			}
			var entries []raft.Entry
			for i, command := range storedstate.Commands {
				entries = append(entries, raft.Entry{Index: raft.Index(i + 2), Term: 6, Data: statemachine.EncodeCommands([]statemachine.Command{command})})
			}
			return store.Write([]raft.Write{{HardState: &raft.HardState{Term: 6}}, {Entries: entries}})
		},
		func(store *Store) error {
			data := wiretest.MostFrequent(func() []byte { return storedstate.SnapshotOf(t, storedstate.ApplyAll(t, storedstate.Commands)) })
			return store.Write([]raft.Write{{Snapshot: &raft.Snapshot{Index: last, Term: 6, Members: storedMembers, Data: data}}, {Entries: log[:2]}})
		},
		func(store *Store) error {
			if err := store.Write([]raft.Write{{HardState: &raft.HardState{Term: 7}}, {Entries: []raft.Entry{log[2], entry(33, 7), entry(34, 7)}}}); err != nil {
				return err
			}
			hard := storedHard
			return store.Write([]raft.Write{{HardState: &hard}, {TruncateFrom: 33, Entries: log[3:]}})
		})
	compareStore(t, "store", storedHard, raft.Snapshot{Index: last, Term: 6, Members: storedMembers}, log, storedstate.Value)
	store, _ := openFixture(t, "store")
	defer func() { _ = store.Close() }()
	for _, index := range []raft.Index{last, 34} {
		if _, _, err := store.db.Get(keyEntry(index)); !errors.Is(err, pebble.ErrNotFound) {
			t.Errorf("log entry %d, which was cut: %v", index, err)
		}
	}
}

// A state that is read from a stored snapshot is written out as it was, and knows
// which orders were taken.
func TestAStoredStateKnowsWhatWasTaken(t *testing.T) {
	store, _ := openFixture(t, "store")
	defer func() { _ = store.Close() }()
	_, _, base, _, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	state, err := statemachine.Restore(base.Data, 0)
	if err != nil {
		t.Fatal(err)
	}
	again := func(when string) {
		t.Helper()
		if diff := cmp.Diff(storedstate.Value, wiretest.DecodeGob(t, storedstate.SnapshotOf(t, state), storedstate.Form{})); diff != "" {
			t.Errorf("state %s (-want +got):\n%s", when, diff)
		}
	}
	again("written out again")
	for name, command := range map[string]statemachine.Command{
		"an evacuation": storedstate.Commands[2], "a withdrawn one": storedstate.Commands[4], "a retirement": storedstate.Commands[10], "one taken back": storedstate.Commands[14],
		"an overtaken policy":       storedstate.Commands[5],
		"a policy":                  {Kind: statemachine.CommandDocument, Subject: "drain-policy", Body: append([]byte(" "), storedstate.Documents["drain-policy"]...)},
		"an overtaken route":        {Kind: statemachine.CommandConfig, Body: []byte(storedstate.OvertakenRoute)},
		"a configuration in force":  storedstate.Commands[1],
		"a claim by its own holder": storedstate.Commands[22],
	} {
		if result := state.Apply(99, command, 0); !result.Granted && result.Held != command.Claim || result.Err != nil {
			t.Errorf("%s, sent again: %+v", name, result)
		}
	}
	if stands, taken := state.RetirementStatus("book-1"); stands || !taken {
		t.Error("a retirement that was taken back:", stands, taken)
	}
	for name, command := range map[string]statemachine.Command{
		"an evacuation": {Kind: statemachine.CommandStartEvacuation, Subject: "west-2", Claim: statemachine.Claim{Key: "order-1"}},
		"a policy":      {Kind: statemachine.CommandDocument, Subject: "drain-policy", Body: bytes.Replace([]byte(storedstate.OvertakenPolicy), []byte("serve"), []byte("stop"), 1)},
		"a route":       {Kind: statemachine.CommandConfig, Body: bytes.Replace([]byte(storedstate.OvertakenRoute), []byte("2s"), []byte("4s"), 1)},
	} {
		if result := state.Apply(99, command, 0); !result.Conflict() {
			t.Errorf("%s with other content under a number that was taken: %+v", name, result)
		}
	}
}

// A directory of a version that knew no seals is read, and sealed from then on.
func TestAStoredDirectoryWithoutSealsIsReadAsItWas(t *testing.T) {
	name := "store_unsealed"
	base := raft.Snapshot{Index: 29, Term: 6, Members: storedMembers}
	log := storedLog()[:3]
	if wiretest.Missing(filepath.Join("testdata", name, "CURRENT")) {
		folder := filepath.Join(t.TempDir(), "data")
		db, err := pebble.Open(folder, &pebble.Options{Logger: silentLogger{}})
		if err != nil {
			t.Fatal(err)
		}
		whole := base
		whole.Data = wiretest.MostFrequent(func() []byte { return encode(storedstate.Older(storedstate.Value)) })
		batch := db.NewBatch()
		_ = batch.Set(keyID, encode(storedID), nil)
		_ = batch.Set(keyHard, encode(storedHard), nil)
		_ = batch.Set(keySnapshot, encode(whole), nil)
		for _, entry := range log {
			_ = batch.Set(keyEntry(entry.Index), writeEntry(entry), nil)
		}
		if err = batch.Commit(pebble.Sync); err != nil {
			t.Fatal(err)
		}
		if err = db.Close(); err != nil {
			t.Fatal(err)
		}
		keepStore(t, folder, name)
	}
	compareStore(t, name, storedHard, base, log, storedstate.Older(storedstate.Value))
	store, _ := openFixture(t, name)
	defer func() { _ = store.Close() }()
	_, _, found, _, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	state, err := statemachine.Restore(found.Data, 0)
	if err != nil {
		t.Fatal(err)
	}
	// What it did not hold is empty, but for the columns, which its items give.
	want := storedstate.Value
	want.Documents, want.Overtaken, want.Orders = storedstate.WithdrawnPolicy, dedup.Snapshot{}, dedup.Snapshot{}
	want.Columns = maps.Clone(storedstate.Value.Columns)
	want.Columns["routes"] = []string{"name", "version", "hostname", "path_prefix", "route_type", "timeout", "traffic_split", "priority"}
	if diff := cmp.Diff(want, wiretest.DecodeGob(t, storedstate.SnapshotOf(t, state), storedstate.Form{})); diff != "" {
		t.Errorf("state of an older version (-want +got):\n%s", diff)
	}
	for _, key := range [][]byte{keyID, keyHard, keySnapshot, keyFormat, keyEntry(30)} {
		if _, err = verifyChecksum(key, store.raw(t, key)); err != nil {
			t.Error(err)
		}
	}
}

// Entries that an older version left behind a newer leader's are dropped.
func TestAStoredDirectoryWithACutTailIsReadAsItWas(t *testing.T) {
	base := raft.Snapshot{Index: 1, Term: 1, Members: storedMembers, Data: []byte("state\x00\xff")}
	buildStore(t, "store_cut_tail",
		func(store *Store) error {
			if err := store.Initialize(storedID, base); err != nil {
				return err
			}
			return store.Write([]raft.Write{{HardState: &raft.HardState{Term: 2}, Entries: run(2, 7, 2)}})
		},
		func(store *Store) error {
			hard := storedHard
			return store.Write([]raft.Write{{HardState: &hard, Entries: []raft.Entry{entry(4, 5)}}})
		})
	compareStore(t, "store_cut_tail", storedHard, base, []raft.Entry{entry(2, 2), entry(3, 2), entry(4, 5)}, nil)
	store, _ := openFixture(t, "store_cut_tail")
	defer func() { _ = store.Close() }()
	for index := raft.Index(5); index <= 7; index++ {
		if left, err := verifyChecksum(keyEntry(index), store.raw(t, keyEntry(index))); err != nil || !bytes.Equal(left, writeEntry(entry(index, 2))) {
			t.Errorf("what was left at %d: %x, %v", index, left, err)
		}
	}
}
