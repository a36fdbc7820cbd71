package node

import (
	"testing"
	"time"

	"tinpin/internal/raft"
)

// Entries and parts have a stream of their own; beats, votes and answers go
// beside it.
func TestLargeMessagesHaveTheirOwnLane(t *testing.T) {
	for _, c := range []struct {
		message raft.Message
		bulk    bool
	}{
		{raft.Message{Kind: raft.MsgAppend, To: "b"}, false},
		{raft.Message{Kind: raft.MsgAppend, To: "b", Entries: []raft.Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}}}, true},
		{raft.Message{Kind: raft.MsgSnapshotChunk, To: "b", Chunk: &raft.SnapshotChunk{}}, true},
		{raft.Message{Kind: raft.MsgSnapshot, To: "b", Snapshot: &raft.Snapshot{}}, true},
		{raft.Message{Kind: raft.MsgSnapshotChunkResponse, To: "b"}, false},
		{raft.Message{Kind: raft.MsgVote, To: "b"}, false},
	} {
		if got := pathOf(c.message); got != (sendPath{"b", c.bulk}) {
			t.Errorf("kind %d goes over %v", c.message.Kind, got)
		}
	}
}

func TestACallCarriesNoMoreThanPassesInItsTime(t *testing.T) {
	s := &peerSender{queue: make(chan raft.Message, 512)}
	for i := 0; i < 100; i++ {
		s.queue <- raft.Message{Kind: raft.MsgAppend, Entries: []raft.Entry{{Data: make([]byte, 3000)}}}
	}
	left, calls := 100, 0
	var kept *raft.Message
	for left > 0 {
		first := kept
		if first == nil {
			message := <-s.queue
			first = &message
		}
		var messages []raft.Message
		var size int
		messages, kept, size, _ = s.nextBatch(*first)
		if size > maxCallBytes || len(messages) == 0 {
			t.Fatalf("%d messages of %d bytes", len(messages), size)
		}
		// 1 Mbit/s is 125,000 bytes a second.
		if needs := time.Duration(size) * time.Second / 125_000; needs >= callTimeout(size)/2 {
			t.Fatalf("%d bytes need %v, and have %v", size, needs, callTimeout(size))
		}
		left -= len(messages)
		calls++
	}
	if left != 0 || calls != 10 {
		t.Fatalf("%d calls, %d left", calls, left)
	}
	if callTimeout(0) != 500*time.Millisecond || callTimeout(50_000) != 1500*time.Millisecond {
		t.Fatal("a call's time is a floor and what its size needs")
	}
	// One message that is larger than a call goes alone.
	s.queue <- raft.Message{Kind: raft.MsgAppend}
	if messages, next, _, open := s.nextBatch(raft.Message{Chunk: &raft.SnapshotChunk{Data: make([]byte, maxCallBytes)}}); len(messages) != 1 || next == nil || !open {
		t.Fatalf("%d messages with a large one", len(messages))
	}
}
