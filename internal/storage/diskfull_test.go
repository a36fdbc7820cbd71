package storage

import (
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/raft"
)

// fullFS takes no bytes while it is full.
type fullFS struct {
	vfs.FS
	full *atomic.Bool
}

type fullFile struct {
	vfs.File
	full *atomic.Bool
}

func (f fullFS) Create(name string) (file vfs.File, err error) {
	if file, err = f.FS.Create(name); err != nil {
		return nil, err
	}
	return fullFile{file, f.full}, nil
}

func (f fullFS) ReuseForWrite(from, to string) (file vfs.File, err error) {
	if file, err = f.FS.ReuseForWrite(from, to); err != nil {
		return nil, err
	}
	return fullFile{file, f.full}, nil
}

func (f fullFile) Write(data []byte) (written int, err error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// A write that finds the disk full is held and then carried out; the store is
// whole after it, and nothing that had to wait was told before.
func TestAFullDiskHoldsWritesUntilThereIsRoom(t *testing.T) {
	var full atomic.Bool
	var said []bool
	looked := make(chan struct{})
	room := SpaceWaiter{Folder: "data", Full: func(waits bool) { said = append(said, waits) }, Pause: func() { looked <- struct{}{} }}
	disk := vfs.NewMem()
	store, err := OpenStore("data", room.Wrap(fullFS{disk, &full}))
	if err != nil {
		t.Fatal(err)
	}
	if err = store.Initialize("a", raft.Snapshot{Index: 1, Term: 1, Members: []raft.Member{{ID: "a", Voter: true}}}); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	done := make(chan error, 1)
	go func() {
		done <- store.Write([]raft.Write{{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(2, 2)}}})
	}()
	for range 5 {
		<-looked
		select {
		case err = <-done:
			t.Fatalf("a write ended on a full disk: %v", err)
		default:
		}
	}
	full.Store(false)
	for ended := false; !ended; {
		select {
		case <-looked:
		case err = <-done:
			ended = true
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if len(said) != 2 || !said[0] || said[1] {
		t.Errorf("said %v", said)
	}
	if err = store.Close(); err != nil {
		t.Fatal(err)
	}
	if store, err = OpenStore("data", disk); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	if _, hard, _, log, loadErr := store.Load(); loadErr != nil || hard.Term != 2 || len(log) != 1 {
		t.Fatal(hard, log, loadErr)
	}
	if left, listErr := disk.List("data"); listErr != nil {
		t.Fatal(listErr)
	} else {
		for _, name := range left {
			if name == "room" {
				t.Error("what was tried is left behind")
			}
		}
	}
}
