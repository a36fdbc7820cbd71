package simulation

// Disk is the disk of one controller: the real store over a file system in memory that
// keeps only what was synced when power is lost, and then perhaps a part of the record that
// was being written. Beside it stands what the disk must hold, so that what is read back can
// be compared with what was written.

import (
	"io"
	"math/rand"
	"os"
	"strings"

	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/raft"
	"tinpin/internal/storage"
)

const folder = "data"

// Disk of one controller.
type Disk struct {
	fs          *vfs.MemFS
	store       *storage.Store
	id          raft.ID
	injectedBug InjectedBug

	// What must be on disk.
	hard raft.HardState
	base raft.Snapshot
	log  []raft.Entry
}

// newDisk formats the disk of one controller.
func newDisk(id raft.ID, base raft.Snapshot, injectedBug InjectedBug) (disk *Disk, err error) {
	disk = &Disk{fs: vfs.NewStrictMem(), id: id, base: base, injectedBug: injectedBug}
	if err = disk.fs.MkdirAll(folder, 0o755); err != nil {
		return nil, Class.Wrap(err)
	}
	root, err := disk.fs.OpenDir("/")
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if err = root.Sync(); err != nil {
		return nil, Class.Wrap(err)
	}
	if disk.store, err = storage.OpenStore(folder, disk.fs); err != nil {
		return nil, Class.Wrap(err)
	}
	return disk, Class.Wrap(disk.store.Initialize(id, base))
}

// Load opens the disk and tells what it holds, and an error where that is not
// what was written to it.
func (d *Disk) Load() (hard raft.HardState, base raft.Snapshot, log []raft.Entry, err error) {
	if d.store == nil {
		if d.store, err = storage.OpenStore(folder, d.fs); err != nil {
			return hard, base, nil, Class.Wrap(err)
		}
	}
	id, hard, base, log, err := d.store.Load()
	switch {
	case err != nil:
		return hard, base, log, Class.Wrap(err)
	case id != d.id:
		return hard, base, log, Class.New("the disk of %s gave back the id %q", d.id, id)
	case hard != d.hard && d.injectedBug != LoseVote:
		return hard, base, log, Class.New("the disk of %s gave back term %d and vote %q for %d and %q", d.id, hard.Term, hard.Vote, d.hard.Term, d.hard.Vote)
	case base.Index != d.base.Index || base.Term != d.base.Term:
		return hard, base, log, Class.New("the disk of %s gave back a snapshot of %d for one of %d", d.id, base.Index, d.base.Index)
	case len(log) != len(d.log):
		return hard, base, log, Class.New("the disk of %s gave back a log up to %d, written was one up to %d", d.id, int(base.Index)+len(log), d.Last())
	}
	for i := range log {
		if log[i].Term != d.log[i].Term {
			return hard, base, log, Class.New("the disk of %s gave back entry %d of term %d for term %d", d.id, log[i].Index, log[i].Term, d.log[i].Term)
		}
	}
	return hard, base, log, nil
}

// Last is the last index that is on disk.
func (d *Disk) Last() (last raft.Index) { return d.base.Index + raft.Index(len(d.log)) }

// Holds tells whether an entry of that index and term is on disk.
func (d *Disk) Holds(index raft.Index, term raft.Term) (holds bool) {
	if index <= d.base.Index {
		return true
	}
	return index <= d.Last() && (term == 0 || d.log[index-d.base.Index-1].Term == term)
}

// Write carries writes out.
func (d *Disk) Write(writes []raft.Write) (err error) {
	if d.injectedBug == CutTail {
		if err = d.writeUncut(writes); err != nil {
			return err
		}
	}
	carried := writes
	if d.injectedBug == LoseVote {
		carried = append([]raft.Write(nil), writes...)
		for i := range carried {
			carried[i].HardState = nil
		}
	}
	if err = d.store.Write(carried); err != nil {
		return Class.Wrap(err)
	}
	reload, last := false, d.Last()
	for _, write := range writes {
		if write.HardState != nil {
			d.hard = *write.HardState
		}
		if write.Snapshot != nil {
			reload = true
		}
		if len(write.Entries) > 0 {
			d.extend(write.Entries)
		}
	}
	switch {
	case reload:
		_, _, d.base, d.log, err = d.store.Load()
	case d.Last() < last:
		// The cut has to be whole in this write: power may go at any moment from here.
		_, _, _, err = d.Load()
	}
	return err
}

// writeUncut is the injected bug of a truncation that is not in the write of what
// replaces the tail: for a moment the disk holds both.
func (d *Disk) writeUncut(writes []raft.Write) (err error) {
	for _, write := range writes {
		if write.TruncateFrom <= d.base.Index || len(write.Entries) == 0 || write.Snapshot != nil || len(writes) > 1 {
			continue
		}
		first := write.Entries[:1]
		if err = d.store.Write([]raft.Write{{Entries: first}}); err != nil {
			return Class.Wrap(err)
		}
		d.extend(first)
		if _, _, _, err = d.Load(); err != nil {
			return err
		}
	}
	return nil
}

// extend writes entries after the log, replacing those of the same index and above.
func (d *Disk) extend(entries []raft.Entry) {
	first := entries[0].Index
	if first <= d.base.Index {
		return
	}
	if keep := int(first - d.base.Index - 1); keep < len(d.log) {
		d.log = d.log[:keep:keep]
	}
	d.log = append(d.log, entries...)
}

// Close ends a process whose machine stays up.
func (d *Disk) Close() (err error) {
	if d.store == nil {
		return nil
	}
	err = d.store.Close()
	d.store = nil
	return err
}

// LosePower ends the machine; of the writes in flight a part may be on disk.
func (d *Disk) LosePower(under []raft.Write, rng *rand.Rand) (err error) {
	if d.store == nil {
		return nil
	}
	d.fs.SetIgnoreSyncs(true)
	var name string
	var torn []byte
	if len(under) > 0 {
		if err = d.store.Write(under); err != nil {
			return Class.Wrap(err)
		}
		if name, torn, err = d.newestLog(); err != nil {
			return err
		}
	}
	_ = d.Close()
	d.fs.ResetToSyncedState()
	d.fs.SetIgnoreSyncs(false)
	if name == "" {
		return nil
	}
	return d.tear(name, torn, rng)
}

func (d *Disk) newestLog() (name string, data []byte, err error) {
	names, err := d.fs.List(folder)
	if err != nil {
		return "", nil, Class.Wrap(err)
	}
	for _, candidate := range names {
		if strings.HasSuffix(candidate, ".log") && candidate > name {
			name = candidate
		}
	}
	data, err = d.read(name)
	return name, data, err
}

func (d *Disk) read(name string) (data []byte, err error) {
	file, err := d.fs.Open(d.fs.PathJoin(folder, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, Class.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	data, err = io.ReadAll(file)
	return data, Class.Wrap(err)
}

// tear puts a part of what was not synced behind what was, short of the whole:
// a record that lies whole on disk is one that was written.
func (d *Disk) tear(name string, complete []byte, rng *rand.Rand) (err error) {
	kept, err := d.read(name)
	if err != nil || len(kept) == 0 || len(complete) <= len(kept)+1 {
		return err
	}
	part := append(kept, complete[len(kept):len(kept)+1+rng.Intn(len(complete)-len(kept)-1)]...)
	file, err := d.fs.Create(d.fs.PathJoin(folder, name))
	if err != nil {
		return Class.Wrap(err)
	}
	if _, err = file.Write(part); err != nil {
		return Class.Wrap(err)
	}
	if err = file.Sync(); err != nil {
		return Class.Wrap(err)
	}
	if err = file.Close(); err != nil {
		return Class.Wrap(err)
	}
	root, err := d.fs.OpenDir(folder)
	if err != nil {
		return Class.Wrap(err)
	}
	return Class.Wrap(root.Sync())
}
