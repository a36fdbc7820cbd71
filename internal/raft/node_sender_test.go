package raft

import (
	"testing"
	"time"
)

// Entries and parts have a stream of their own; beats, votes and answers go
// beside it.
func TestLargeMessagesHaveTheirOwnLane(t *testing.T) {
	for _, c := range []struct {
		message Message
		bulk    bool
	}{
		{Message{Kind: MsgAppend, To: "b"}, false},
		{Message{Kind: MsgAppend, To: "b", Entries: run(2, 3, 1)}, true},
		{Message{Kind: MsgSnapshotChunk, To: "b", Chunk: &SnapshotChunk{}}, true},
		{Message{Kind: MsgSnapshot, To: "b", Snapshot: &Snapshot{}}, true},
		{Message{Kind: MsgSnapshotChunkResponse, To: "b"}, false},
		{Message{Kind: MsgVote, To: "b"}, false},
	} {
		if got := pathOf(c.message); got != (sendPath{"b", c.bulk}) {
			t.Errorf("kind %d goes over %v", c.message.Kind, got)
		}
	}
}

func TestACallCarriesNoMoreThanPassesInItsTime(t *testing.T) {
	s := &peerSender{queue: make(chan Message, 512)}
	for i := 0; i < 100; i++ {
		s.queue <- Message{Kind: MsgAppend, Entries: []Entry{{Data: make([]byte, 3000)}}}
	}
	left, calls := 100, 0
	var kept *Message
	for left > 0 {
		first := kept
		if first == nil {
			message := <-s.queue
			first = &message
		}
		var messages []Message
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
	s.queue <- Message{Kind: MsgAppend}
	if messages, next, _, open := s.nextBatch(Message{Chunk: &SnapshotChunk{Data: make([]byte, maxCallBytes)}}); len(messages) != 1 || next == nil || !open {
		t.Fatalf("%d messages with a large one", len(messages))
	}
}
