package storage

import (
	"testing"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/google/go-cmp/cmp"

	"tinpin/internal/raft"
)

func sealedStore(t *testing.T) (store *Store) {
	t.Helper()
	store, err := OpenStore("data", vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	if err = store.Initialize("a", raft.Snapshot{Index: 1, Term: 1, Members: trio, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	if err = store.Write([]raft.Write{{HardState: &raft.HardState{Term: 3, Vote: "b"}, Entries: run(2, 3, 3)}}); err != nil {
		t.Fatal(err)
	}
	return store
}

func (s *Store) raw(t *testing.T, key []byte) (data []byte) {
	t.Helper()
	value, closer, err := s.db.Get(key)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closer.Close() }()
	return append([]byte(nil), value...)
}

// A record that is changed in any byte, or cut at any, is an error and no state.
func TestASpoiledRecordIsAnErrorAndNoState(t *testing.T) {
	store := sealedStore(t)
	for _, key := range [][]byte{keyID, keyHard, keySnapshot, keyEntry(2), keyEntry(3)} {
		whole := store.raw(t, key)
		try := func(what string, at int, data []byte) {
			_ = store.db.Set(key, data, pebble.NoSync)
			if _, _, _, _, err := store.Load(); !ErrCorrupt.Has(err) {
				t.Errorf("%q, %s at %d: %v", key, what, at, err)
			}
		}
		for at := range whole {
			changed := append([]byte(nil), whole...)
			changed[at] ^= 0x41
			try("changed", at, changed)
			try("cut", at, whole[:at])
		}
		try("another's", 0, store.raw(t, keyFormat))
		_ = store.db.Set(key, whole, pebble.NoSync)
	}
	if _, _, _, log, err := store.Load(); err != nil || len(log) != 2 {
		t.Fatal(log, err)
	}
	_ = store.db.Delete(keyID, pebble.NoSync)
	if _, _, _, _, err := store.Load(); !ErrCorrupt.Has(err) {
		t.Fatalf("a log without an id gave %v", err)
	}
}

// A disk of an older version is read as it was, and sealed from then on.
func TestADiskWithoutSealsIsReadAndSealed(t *testing.T) {
	disk := vfs.NewMem()
	store, err := OpenStore("data", disk)
	if err != nil {
		t.Fatal(err)
	}
	base := raft.Snapshot{Index: 1, Term: 1, Members: trio, Data: []byte("state")}
	_ = store.db.Delete(keyFormat, nil)
	for key, value := range map[string][]byte{
		string(keyID): encode(raft.ID("a")), string(keyHard): encode(raft.HardState{Term: 3, Vote: "b"}), string(keySnapshot): encode(base),
		string(keyEntry(2)): writeEntry(entry(2, 3)), string(keyEntry(3)): writeEntry(raft.Entry{Index: 3, Term: 3, Members: trio}),
	} {
		_ = store.db.Set([]byte(key), value, nil)
	}
	_ = store.Close()
	for range 2 {
		if store, err = OpenStore("data", disk); err != nil {
			t.Fatal(err)
		}
		id, hard, found, log, loadErr := store.Load()
		if loadErr != nil || id != "a" || hard != (raft.HardState{Term: 3, Vote: "b"}) {
			t.Fatal(id, hard, loadErr)
		}
		if diff := cmp.Diff(base, found); diff != "" {
			t.Fatal(diff)
		}
		if diff := cmp.Diff([]raft.Entry{entry(2, 3), {Index: 3, Term: 3, Members: trio, Data: log[1].Data}}, log); diff != "" {
			t.Fatal(diff)
		}
		_ = store.Close()
	}
	if store, err = OpenStore("data", disk); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	_ = store.db.Set(keyHard, encode(raft.HardState{Term: 9}), nil)
	if _, _, _, _, err = store.Load(); !ErrCorrupt.Has(err) {
		t.Fatalf("a record without its seal on a sealed disk: %v", err)
	}
	_ = store.db.Set(keyFormat, []byte{0, 2, 0, 0, 0, 0}, nil)
	_ = store.Close()
	if _, err = OpenStore("data", disk); err == nil {
		t.Fatal("a disk of another form was opened")
	}
	store, _ = OpenStore("other", disk)
}
