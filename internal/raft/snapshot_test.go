package raft

import (
	"bytes"
	"testing"

	"tinpin/internal/binaryformat"
)

// pairForInstall is a leader whose log begins behind a state of 1,000 bytes, and a
// follower that has nothing; parts are of 100.
func pairForInstall(t *testing.T) (leader, follower *bench, state []byte) {
	state = bytes.Repeat([]byte("0123456789"), 100)
	leader = newBench(t, "a", HardState{Term: 2}, run(2, 50, 2)...)
	leader.raft.chunkBytes, leader.raft.logTail = 100, LogTail{}
	leader.elect()
	leader.step(Message{Kind: MsgAppendResponse, Term: 3, From: "c", Index: 51})
	_, out := leader.raft.Compact(50, state)
	leader.take(out)
	leader.syncAll()
	follower = newBench(t, "b", HardState{Term: 2})
	leader.told = nil
	leader.raft.restartReplication("b", leader.raft.peers["b"])
	leader.take(leader.raft.takeOutput())
	return leader, follower, state
}

// pass carries what one core said to the other, but for what is lost.
func pass(from, to *bench, lost func(m Message) bool) (passed []Message) {
	said := from.told
	from.told = nil
	for _, m := range said {
		if m.To == to.raft.id && (lost == nil || !lost(m)) {
			passed = append(passed, m)
			to.take(to.raft.Step(m))
		}
	}
	return passed
}

func isPart(m Message) bool { return m.Kind == MsgSnapshotChunk }

func TestASnapshotGoesInPartsFewAtATime(t *testing.T) {
	leader, follower, state := pairForInstall(t)
	parts := 0
	for i := 0; i < 100 && follower.raft.LastIndex() < 51; i++ {
		now := 0
		for _, m := range pass(leader, follower, nil) {
			if isPart(m) {
				now++
				if len(m.Chunk.Data) > 100 {
					t.Fatalf("a part of %d bytes", len(m.Chunk.Data))
				}
			}
		}
		if parts += now; now > maxInflightChunks {
			t.Fatalf("%d parts at a time", now)
		}
		if len(follower.rest) == 0 && (leader.raft.CaughtUp("b") || leader.raft.peers["b"].match > 1) {
			t.Fatal("a member that is taking in a snapshot counts as caught up")
		}
		pass(follower, leader, nil)
		follower.syncAll()
		pass(follower, leader, nil)
	}
	if parts != 10 || follower.raft.LastIndex() != 51 || len(follower.rest) != 1 || !bytes.Equal(follower.rest[0].Data, state) {
		t.Fatalf("%d parts, ends at %d, %d restored", parts, follower.raft.LastIndex(), len(follower.rest))
	}
	if lag, _ := leader.raft.Lag("b"); lag != 0 || !leader.raft.CaughtUp("b") {
		t.Fatal("not caught up at the end")
	}
}

// After a cut the member says what it has, and the leader goes on from there.
func TestASnapshotResumesAfterACut(t *testing.T) {
	leader, follower, _ := pairForInstall(t)
	sent := map[uint64]int{}
	count := func(messages []Message) {
		for _, m := range messages {
			if isPart(m) {
				sent[m.Chunk.Offset]++
			}
		}
	}
	for i := 0; i < 400 && follower.raft.LastIndex() < 51; i++ {
		cut := i > 3 && i < 60
		lost := func(m Message) bool { return cut }
		if !cut {
			leader.step(Message{Kind: MsgAppendResponse, Term: 3, From: "c", Index: 51})
		}
		leader.raft.peers["c"].silentTicks = 0
		count(pass(leader, follower, lost))
		pass(follower, leader, lost)
		follower.syncAll()
		pass(follower, leader, lost)
		leader.take(leader.raft.Tick())
		leader.syncAll()
	}
	if follower.raft.LastIndex() != 51 {
		t.Fatalf("ends at %d", follower.raft.LastIndex())
	}
	for offset := uint64(0); offset < 1000; offset += 100 {
		if sent[offset] < 1 || sent[offset] > 2 {
			t.Errorf("the part at %d arrived %d times", offset, sent[offset])
		}
	}
	if again := len(sent); again != 10 {
		t.Errorf("%d offsets were sent", again)
	}
}

func TestPartsThatDoNotFitChangeNothing(t *testing.T) {
	data := bytes.Repeat([]byte("x"), 250)
	part := func(index Index, offset uint64) (p *SnapshotChunk) {
		p = &SnapshotChunk{Index: index, Term: 2, Members: trio, TotalBytes: 250, Offset: offset, SnapshotChecksum: binaryformat.Checksum(data), Data: data[offset:min(offset+100, 250)]}
		p.ChunkChecksum = p.sum()
		return p
	}
	b := newBench(t, "b", HardState{Term: 3})
	give := func(m Message) (tell Message, refused int) {
		b.told = nil
		m.Kind, m.From, m.To = MsgSnapshotChunk, "a", "b"
		if m.Term == 0 {
			m.Term = 3
		}
		out := b.raft.Step(m)
		b.take(out)
		for _, said := range b.told {
			tell = said
		}
		return tell, len(out.Rejected)
	}
	if tell, _ := give(Message{Chunk: part(20, 100)}); !tell.Reject || tell.Hint != 0 || b.raft.incoming != nil {
		t.Fatalf("a part from the middle: %+v", tell)
	}
	if tell, _ := give(Message{Chunk: part(20, 0)}); tell.Kind != MsgSnapshotChunkResponse || tell.Reject || tell.Hint != 100 {
		t.Fatalf("the first part: %+v", tell)
	}
	spoiled := part(20, 100)
	spoiled.Data = append([]byte{'y'}, spoiled.Data[1:]...)
	renamed := part(20, 100)
	renamed.Index = 30
	beyond := part(20, 200)
	beyond.Offset, beyond.ChunkChecksum = 240, 0
	beyond.ChunkChecksum = beyond.sum()
	huge := part(20, 0)
	huge.TotalBytes, huge.ChunkChecksum = maxSnapshotBytes+1, 0
	huge.ChunkChecksum = huge.sum()
	for name, m := range map[string]Message{
		"no part": {}, "spoiled": {Chunk: spoiled}, "renamed": {Chunk: renamed}, "beyond the end": {Chunk: beyond},
		"huge": {Chunk: huge}, "older snapshot": {Chunk: part(19, 0)},
	} {
		if tell, refused := give(m); refused != 1 || tell.Kind != 0 {
			t.Errorf("%s: refused %d, told %+v", name, refused, tell)
		}
	}
	for name, c := range map[string]struct {
		offset uint64
		reject bool
	}{"the first again": {0, false}, "the third too early": {200, true}} {
		if tell, refused := give(Message{Chunk: part(20, c.offset)}); refused != 0 || tell.Reject != c.reject || tell.Hint != 100 {
			t.Errorf("%s: %+v", name, tell)
		}
	}
	if have := len(b.raft.incoming.data); have != 100 || len(b.queued) != 0 || b.raft.LastIndex() != 1 {
		t.Fatalf("%d bytes are kept, %d orders", have, len(b.queued))
	}
	give(Message{Chunk: part(20, 100)})
	give(Message{Chunk: part(20, 200)})
	b.syncAll()
	if len(b.rest) != 1 || !bytes.Equal(b.rest[0].Data, data) || b.raft.LastIndex() != 20 {
		t.Fatalf("%d restored, ends at %d", len(b.rest), b.raft.LastIndex())
	}
	// A newer leader's snapshot replaces what was gathered of an older one's.
	give(Message{Chunk: part(30, 0)})
	if tell, _ := give(Message{Term: 4, Chunk: part(30, 100)}); !tell.Reject || tell.Hint != 0 {
		t.Fatalf("another leader's part: %+v", tell)
	}
}

// A whole snapshot whose checksum is wrong is dropped, and sent from the start.
func TestASpoiledSnapshotIsDropped(t *testing.T) {
	leader, follower, state := pairForInstall(t)
	refused := 0
	for i := 0; i < 100 && follower.raft.LastIndex() < 51; i++ {
		said := leader.told
		leader.told = nil
		for _, m := range said {
			if m.To != "b" {
				continue
			}
			if isPart(m) && m.Chunk.Offset == 300 && refused == 0 {
				spoiled := *m.Chunk
				spoiled.Data = append([]byte{'!'}, spoiled.Data[1:]...)
				spoiled.ChunkChecksum = spoiled.sum()
				m.Chunk = &spoiled
			}
			out := follower.raft.Step(m)
			if refused += len(out.Rejected); len(out.Rejected) > 0 {
				if len(out.Writes) != 0 || follower.raft.incoming != nil || out.Restore != nil || out.Rejected[0].Reason != "snapshot's checksum is wrong" {
					t.Fatalf("%+v", out)
				}
			}
			follower.take(out)
		}
		follower.syncAll()
		pass(follower, leader, nil)
	}
	if refused != 1 || follower.raft.LastIndex() != 51 || !bytes.Equal(follower.rest[0].Data, state) {
		t.Fatalf("refused %d, ends at %d", refused, follower.raft.LastIndex())
	}
}
