// Package storage keeps one controller's part of the raft log on disk with pebble: its hard
// state, the entries of the log, the newest snapshot and its own id.
//
// It owns the keys and the encoding of the records, their checksums, the reading of older
// forms, and what happens while the disk is full. It does not own what the records mean
// (package raft) or when they are written (package node). Writes that are given together
// share one sync. What a newer leader cuts off goes with the write that replaces it; a disk
// of an older version may still hold such entries, which are known by a term lower than the
// one before them and dropped when read. Any other break in the log is an error.
//
// A Store belongs to one goroutine at a time: Load and Found before the node runs, Write
// from its writer alone. Close may be called from another once the writer has stopped.
package storage
