package raft

import "testing"

// transferWhileWriting has a leader send its snapshot to a follower, a message each way in a step, while it writes
// entries and compacts its log every few steps. It gives the step at which the follower holds the log but for what is
// under way, -1 for never, and the longest log that the leader kept behind its snapshot.
func transferWhileWriting(t *testing.T, steps, compactEvery int) (heldAt, longest int) {
	t.Helper()
	leader, follower, state := pairForInstall(t)
	leader.raft.logTail = LogTail{Entries: 4, Bytes: 1 << 20}
	for step := range steps {
		for range 2 {
			_, _, _, out := leader.raft.Propose([]byte("x"))
			leader.take(out)
		}
		leader.syncAll()
		last := leader.raft.LastIndex()
		leader.acknowledge("c", last)
		if step%compactEvery == 0 {
			_, compacted := leader.raft.Compact(leader.raft.CommitIndex(), state)
			leader.take(compacted)
			leader.syncAll()
			longest = max(longest, int(leader.raft.snapshot.Index-leader.raft.logStart.index))
		}
		pass(leader, follower, nil)
		follower.syncAll()
		pass(follower, leader, nil)
		if last-leader.raft.peers["b"].match <= 4 {
			return step, longest
		}
	}
	return -1, longest
}

// Guards against a log that is cut again and again while a member still receives the snapshot that it lies behind.
func TestASnapshotIsOfUseThoughTheLogIsCutMeanwhile(t *testing.T) {
	if heldAt, longest := transferWhileWriting(t, 400, 2); heldAt < 0 || longest > transferTailFactor*4 {
		t.Errorf("held at step %d, the longest log behind the snapshot had %d entries", heldAt, longest)
	}
}
