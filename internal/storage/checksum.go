package storage

// Each record begins with a header: a marker byte that no record of an older version begins
// with, the version of the format, and a crc32c of key and value. A store of an older version
// gets headers for all its records in one sync when it is first opened; from then on a record
// without a header is as corrupt as one whose checksum is wrong.

import (
	"encoding/binary"
	"errors"

	"github.com/cockroachdb/pebble"
	"github.com/zeebo/errs"

	"tinpin/internal/binaryformat"
	"tinpin/internal/raft"
)

// ErrCorrupt is the class of errors of records that are not what was written.
var ErrCorrupt = errs.Class("corrupt record")

const (
	recordMarker       = 0
	recordVersion      = 1
	checksumHeaderSize = 6
)

var keyFormat = []byte("f")

func recordChecksum(key, value []byte) uint32 {
	return binaryformat.ExtendChecksum(binaryformat.Checksum(append(append([]byte(nil), key...), recordVersion)), value)
}

func addChecksum(key, value []byte) (data []byte) {
	data = make([]byte, 0, checksumHeaderSize+len(value))
	data = append(data, recordMarker, recordVersion)
	data = binary.BigEndian.AppendUint32(data, recordChecksum(key, value))
	return append(data, value...)
}

func verifyChecksum(key, data []byte) (value []byte, err error) {
	if len(data) < checksumHeaderSize || data[0] != recordMarker || data[1] != recordVersion {
		return nil, ErrCorrupt.New("%q has no checksum", key)
	}
	value = data[checksumHeaderSize:]
	if binary.BigEndian.Uint32(data[2:]) != recordChecksum(key, value) {
		return nil, ErrCorrupt.New("%q has a wrong checksum", key)
	}
	return value, nil
}

// addMissingChecksums adds the header to all records of a store of an older version.
func (s *Store) addMissingChecksums() (err error) {
	value, closer, err := s.db.Get(keyFormat)
	if err == nil {
		_, err = verifyChecksum(keyFormat, value)
		return errors.Join(err, closer.Close())
	}
	if !errors.Is(err, pebble.ErrNotFound) {
		return raft.Class.Wrap(err)
	}
	iter, err := s.db.NewIter(nil)
	if err != nil {
		return raft.Class.Wrap(err)
	}
	batch := s.db.NewBatch()
	for valid := iter.First(); valid; valid = iter.Next() {
		_ = batch.Set(iter.Key(), addChecksum(iter.Key(), iter.Value()), nil)
	}
	if err = iter.Close(); err != nil {
		return raft.Class.Wrap(err)
	}
	_ = batch.Set(keyFormat, addChecksum(keyFormat, nil), nil)
	return raft.Class.Wrap(batch.Commit(pebble.Sync))
}
