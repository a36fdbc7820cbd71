package storage

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

func FuzzEntryRecord(f *testing.F) {
	f.Add(writeEntry(entry(5, 300)))
	f.Add(writeEntry(raft.Entry{Term: 2, Members: trio}))
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := readEntry(5, data)
		if err != nil {
			if !ErrCorrupt.Has(err) {
				t.Fatal(err)
			}
			return
		}
		again, err := readEntry(5, writeEntry(read))
		if err != nil || again.Term != read.Term || len(again.Members) != len(read.Members) || !bytes.Equal(again.Data, read.Data) {
			t.Fatalf("%+v came back as %+v, %v", read, again, err)
		}
	})
}

func FuzzSnapshotRecord(f *testing.F) {
	state, _ := statemachine.NewState().Snapshot()
	f.Add(encode(raft.Snapshot{Index: 3, Term: 2, Members: trio, Data: state}), state)
	f.Add(addChecksum(keySnapshot, nil), []byte{0x7f})
	f.Fuzz(func(t *testing.T, record, state []byte) {
		store, err := OpenStore("data", vfs.NewMem())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = store.Close() }()
		_ = store.db.Set(keyID, addChecksum(keyID, encode(raft.ID("a"))), nil)
		_ = store.db.Set(keySnapshot, addChecksum(keySnapshot, record), nil)
		if _, _, _, _, err = store.Load(); err != nil && !ErrCorrupt.Has(err) {
			t.Fatal(err)
		}
		if _, err = verifyChecksum(keySnapshot, record); err == nil && len(record) < checksumHeaderSize {
			t.Fatal("a record without room for a seal has one")
		}
		if thawed, thawErr := statemachine.Restore(state, 0); thawErr == nil && thawed == nil {
			t.Fatal("no state and no error")
		}
	})
}
