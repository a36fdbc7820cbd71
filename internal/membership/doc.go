// Package membership decides which controllers should vote: what the leader sees of the
// members goes in (View), at most one change of one member comes out (Decision).
//
// It owns how many should vote, after which silence a member goes, the order of the changes,
// who may join, who may leave at once, and the memory of voters that failed (Policy). It does
// not own the log that a change goes into (package raft, which knows nothing of it), how a
// View is gathered, or how controllers ask to join and to leave (package node). It reads no
// clock, disk or network and has no randomness.
//
// A voter that is lost is removed before its successor is promoted, because it counts for
// nothing and the smaller group needs no more members than before; a voter that leaves but
// still answers is removed after its successor was promoted, so that at each instant as many
// losses are borne as before. Its times follow the settings.
//
// A Policy belongs to one goroutine, the one that steps the Replica: in a controller the
// event loop of node. VotersForLosses may be called from any.
package membership
