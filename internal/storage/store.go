package storage

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/binaryformat"
	"tinpin/internal/raft"
)

// Store is the disk of one controller.
type Store struct{ db *pebble.DB }

var (
	keyID       = []byte("i")
	keyHard     = []byte("h")
	keySnapshot = []byte("s")
	keyLogEnd   = []byte("m")
)

func keyEntry(index raft.Index) (key []byte) {
	return binary.BigEndian.AppendUint64([]byte("l"), uint64(index))
}

type silentLogger struct{}

func (silentLogger) Infof(string, ...interface{})              {}
func (silentLogger) Errorf(string, ...interface{})             {}
func (silentLogger) Fatalf(format string, args ...interface{}) { panic("pebble: " + format) }

// OpenStore opens or makes the store in a folder.
func OpenStore(folder string, fs vfs.FS) (store *Store, err error) {
	cache := pebble.NewCache(2 << 20)
	defer cache.Unref()
	options := &pebble.Options{
		FS: fs, Cache: cache, MemTableSize: 4 << 20, MemTableStopWritesThreshold: 4,
		MaxOpenFiles: 64, Logger: silentLogger{}, DisableAutomaticCompactions: false,
		L0CompactionThreshold: 4, L0StopWritesThreshold: 64,
	}
	options.MaxConcurrentCompactions = func() int { return 1 }
	db, err := pebble.Open(folder, options)
	if err != nil {
		return nil, raft.Class.Wrap(err)
	}
	store = &Store{db: db}
	if err = store.addMissingChecksums(); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return store, nil
}

// Close closes the store.
func (s *Store) Close() (err error) { return s.db.Close() }

func (s *Store) get(key []byte, into any) (found bool, err error) {
	value, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, raft.Class.Wrap(err)
	}
	defer func() { _ = closer.Close() }()
	if value, err = verifyChecksum(key, value); err != nil {
		return false, err
	}
	if err = gob.NewDecoder(bytes.NewReader(value)).Decode(into); err != nil {
		return false, ErrCorrupt.New("%q cannot be read: %v", key, err)
	}
	return true, nil
}

func encode(value any) (data []byte) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

func writeEntry(entry raft.Entry) (data []byte) {
	data = binary.AppendUvarint(nil, uint64(entry.Term))
	var members []byte
	if entry.Members != nil {
		members = encode(entry.Members)
	}
	data = binaryformat.AppendBytes(data, members)
	return append(data, entry.Data...)
}

func readEntry(index raft.Index, data []byte) (entry raft.Entry, err error) {
	r := &binaryformat.Reader{Rest: data}
	entry.Index, entry.Term = index, raft.Term(r.Uint())
	members := r.Bytes()
	if r.Malformed {
		return entry, ErrCorrupt.New("log entry %d cannot be read", index)
	}
	if len(members) > 0 {
		if err = gob.NewDecoder(bytes.NewReader(members)).Decode(&entry.Members); err != nil {
			return entry, ErrCorrupt.New("log entry %d cannot be read: %v", index, err)
		}
	}
	entry.Data = append([]byte(nil), r.Rest...)
	return entry, nil
}

// Load reads what the disk holds.
func (s *Store) Load() (id raft.ID, hard raft.HardState, base raft.Snapshot, log []raft.Entry, err error) {
	if _, err = s.get(keyID, &id); err != nil {
		return
	}
	if _, err = s.get(keyHard, &hard); err != nil {
		return
	}
	if _, err = s.get(keySnapshot, &base); err != nil {
		return
	}
	iter, err := s.db.NewIter(&pebble.IterOptions{LowerBound: keyEntry(base.Index + 1), UpperBound: keyLogEnd})
	if err != nil {
		err = raft.Class.Wrap(err)
		return
	}
	defer func() { err = errors.Join(err, iter.Close()) }()
	next, term := base.Index+1, base.Term
	for valid := iter.First(); valid; valid = iter.Next() {
		index := raft.Index(binary.BigEndian.Uint64(iter.Key()[1:]))
		var value []byte
		var entry raft.Entry
		if value, err = verifyChecksum(iter.Key(), iter.Value()); err != nil {
			err = ErrCorrupt.New("log entry %d: %v", index, err)
			return
		}
		if entry, err = readEntry(index, value); err != nil {
			return
		}
		if entry.Term < term {
			break
		}
		if index != next {
			err = raft.Class.New("log entry %d is missing", next)
			return
		}
		log = append(log, entry)
		next, term = next+1, entry.Term
	}
	if id == "" && (hard != raft.HardState{} || base.Index > 0 || len(log) > 0) {
		err = ErrCorrupt.New("the disk holds a log and no id")
	}
	return
}

func put(batch *pebble.Batch, key, value []byte) { _ = batch.Set(key, addChecksum(key, value), nil) }

// Initialize writes the id of a new disk and its first snapshot.
func (s *Store) Initialize(id raft.ID, base raft.Snapshot) (err error) {
	batch := s.db.NewBatch()
	put(batch, keyID, encode(id))
	put(batch, keySnapshot, encode(base))
	return raft.Class.Wrap(batch.Commit(pebble.Sync))
}

// Write carries out writes in their order with one sync.
func (s *Store) Write(writes []raft.Write) (err error) {
	batch := s.db.NewBatch()
	for _, write := range writes {
		if write.HardState != nil {
			put(batch, keyHard, encode(*write.HardState))
		}
		if write.TruncateFrom > 0 {
			_ = batch.DeleteRange(keyEntry(write.TruncateFrom), keyLogEnd, nil)
		}
		if write.Snapshot != nil {
			put(batch, keySnapshot, encode(*write.Snapshot))
			_ = batch.DeleteRange(keyEntry(0), keyEntry(write.Snapshot.Index+1), nil)
		}
		for _, entry := range write.Entries {
			put(batch, keyEntry(entry.Index), writeEntry(entry))
		}
	}
	if batch.Empty() {
		return nil
	}
	return raft.Class.Wrap(batch.Commit(pebble.Sync))
}
