package raft

// What is sent, and the JSON of a member, are as they were before the names of the types
// were changed.

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/binaryformat"
)

var sentMembers = []Member{
	{ID: "founder-10.0.2.1", Inner: "10.0.2.1:7100", Control: "10.0.2.1:7200", Site: "east-1", Voter: true},
	{ID: "founder-10.0.2.2", Inner: "10.0.2.2:7100", Control: "10.0.2.2:7200", Site: "east-2", Voter: true},
	{ID: "founder-10.0.2.3", Inner: "10.0.2.3:7100", Control: "10.0.2.3:7200", Site: "west-1", Voter: true},
}

// Checksums that were sent with a chunk of a snapshot are the ones that are computed now.
func TestChecksumsHold(t *testing.T) {
	part := SnapshotChunk{Index: 40, Term: 6, Members: sentMembers, TotalBytes: 7, Offset: 2, SnapshotChecksum: binaryformat.Checksum([]byte("state\x00\xff")), Data: []byte("ate\x00\xff")}
	got := []uint32{part.SnapshotChecksum, part.sum()}
	if diff := cmp.Diff([]uint32{1802194548, 3866943754}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Numbers that are sent are the ones that were.
func TestSentConstantsHold(t *testing.T) {
	messages := []MessageKind{MsgPreVote, MsgPreVoteResponse, MsgVote, MsgVoteResponse, MsgAppend, MsgAppendResponse, MsgSnapshot, MsgTimeoutNow, MsgHeartbeatResponse, MsgSnapshotChunk, MsgSnapshotChunkResponse}
	for i, kind := range messages {
		if int(kind) != i+1 {
			t.Errorf("message %d has the number %d", i+1, kind)
		}
	}
}

// A core's status reply lists the members as JSON under the names of the fields.
func TestAMemberIsWrittenAsJSONAsItWas(t *testing.T) {
	got, err := json.Marshal(sentMembers[0])
	if err != nil {
		t.Fatal(err)
	}
	want := `{"ID":"founder-10.0.2.1","Inner":"10.0.2.1:7100","Control":"10.0.2.1:7200","Site":"east-1","Voter":true}`
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
