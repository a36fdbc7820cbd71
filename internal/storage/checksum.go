package storage

// Each record on a core's disk is sealed: a mark that no record of an older
// version begins with, the version of the form, and a crc32c of the key and the
// value. A disk of an older version is sealed as a whole, in one sync, when it is
// opened first; from then on a record without its seal is as spoiled as one
// whose checksum is wrong.

import (
	"encoding/binary"
	"errors"

	"github.com/cockroachdb/pebble"
	"github.com/zeebo/errs"

	"tinpin/internal/binaryformat"
	"tinpin/internal/raft"
)

// Spoiled marks records that are not what was written.
var Spoiled = errs.Class("spoiled record")

const (
	sealMark    = 0
	sealVersion = 1
	sealSize    = 6
)

var keyForm = []byte("f")

func sealSum(key, value []byte) uint32 {
	return binaryformat.ExtendChecksum(binaryformat.Checksum(append(append([]byte(nil), key...), sealVersion)), value)
}

func seal(key, value []byte) (data []byte) {
	data = make([]byte, 0, sealSize+len(value))
	data = append(data, sealMark, sealVersion)
	data = binary.BigEndian.AppendUint32(data, sealSum(key, value))
	return append(data, value...)
}

func unseal(key, data []byte) (value []byte, err error) {
	if len(data) < sealSize || data[0] != sealMark || data[1] != sealVersion {
		return nil, Spoiled.New("%q has no seal", key)
	}
	value = data[sealSize:]
	if binary.BigEndian.Uint32(data[2:]) != sealSum(key, value) {
		return nil, Spoiled.New("%q has a wrong checksum", key)
	}
	return value, nil
}

// sealAll seals the records of an older version.
func (s *Store) sealAll() (err error) {
	value, closer, err := s.db.Get(keyForm)
	if err == nil {
		_, err = unseal(keyForm, value)
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
		_ = batch.Set(iter.Key(), seal(iter.Key(), iter.Value()), nil)
	}
	if err = iter.Close(); err != nil {
		return raft.Class.Wrap(err)
	}
	_ = batch.Set(keyForm, seal(keyForm, nil), nil)
	return raft.Class.Wrap(batch.Commit(pebble.Sync))
}
