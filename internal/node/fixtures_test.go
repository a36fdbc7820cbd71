package node

// What controllers send each other, as it was sent before the names of the types were
// changed. The fixtures are read and compared value by value, and are never written over.

import (
	"testing"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/testutil/wiretest"
)

var (
	storedMembers = []raft.Member{
		{ID: "founder-10.0.2.1", Inner: "10.0.2.1:7100", Control: "10.0.2.1:7200", Site: "east-1", Voter: true},
		{ID: "founder-10.0.2.2", Inner: "10.0.2.2:7100", Control: "10.0.2.2:7200", Site: "east-2", Voter: true},
		{ID: "founder-10.0.2.3", Inner: "10.0.2.3:7100", Control: "10.0.2.3:7200", Site: "west-1", Voter: true},
	}
	storedSnapshot = raft.Snapshot{Index: 40, Term: 6, Members: storedMembers, Data: []byte("state\x00\xff")}
)

// callFixtures are the calls between controllers.
func callFixtures() (fixtures []wiretest.Fixture) {
	part := &raft.SnapshotChunk{Index: 40, Term: 6, Members: storedMembers, TotalBytes: 7, Offset: 2, SnapshotChecksum: 0xc0ffee01, ChunkChecksum: 0x7a5b0f11, Data: []byte("ate\x00\xff")}
	message := raft.Message{
		Kind: raft.MsgSnapshotChunk, From: "a", To: "b", Term: 8, Index: 44, LogTerm: 7, Commit: 43, Reject: true, Hint: 41, Round: 1 << 33, Force: true, Idle: true, Incarnation: 1<<63 + 1, SinceStart: 1500 * time.Millisecond,
		Entries: []raft.Entry{{Term: 7, Index: 45, Members: storedMembers, Data: []byte("entry\x00\xff")}}, Snapshot: &storedSnapshot, Chunk: part,
	}
	return []wiretest.Fixture{
		{Name: "core_step_request", Value: MessageBatch{From: "a", Address: "10.0.2.1:7100", Messages: []raft.Message{message, {Kind: raft.MsgHeartbeatResponse, From: "a", To: "b", Term: 8, Round: 9}}}},
		{Name: "core_step_reply", Value: Empty{}},
		{Name: "core_join_request", Value: JoinRequest{Member: storedMembers[0]}},
		{Name: "core_join_reply", Value: JoinResponse{Leader: true, MemberAddresses: []string{"10.0.2.1:7100", "10.0.2.2:7100"}}},
		{Name: "core_leave_request", Value: LeaveRequest{ID: "founder-10.0.2.1"}},
		{Name: "core_leave_reply", Value: LeaveResponse{Status: LeaveCompleted}},
	}
}

func TestCallsOfCoresAreReadAsTheyWere(t *testing.T) {
	wiretest.Check(t, callFixtures())
}

// Numbers that are sent are the ones that were.
func TestSentConstantsHold(t *testing.T) {
	if LeaveAsMember != 1 || LeavePending != 2 || LeaveCompleted != 3 {
		t.Error("partings have other numbers")
	}
}
