package raft

// What the simulation in raft_test, which drives the replica under the policy of
// package membership, sets and reads of a replica beside the exported methods.

// SnapshotChunkBytes is the size of a chunk unless a test sets another.
const SnapshotChunkBytes = snapshotChunkBytes

// SetChunkBytes sets the size of a snapshot's chunks.
func (r *Replica) SetChunkBytes(size uint64) { r.chunkBytes = size }

// ID is the replica's own.
func (r *Replica) ID() ID { return r.id }

// Votes tells whether a member votes, as this replica knows.
func (r *Replica) Votes(id ID) bool { return r.isVoter(id) }

// CountVoters is the number of voters, as this replica knows.
func (r *Replica) CountVoters() int { return r.voterCount() }

// MatchIndex is up to where a leader knows a peer's log to be its own.
func (r *Replica) MatchIndex(id ID) Index { return r.peers[id].match }
