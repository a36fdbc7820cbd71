package raft

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"tinpin/internal/binaryformat"
)

// mark is all of a core that a refused message may not change.
func (b *bench) mark() string {
	r := b.raft
	return fmt.Sprint(r.hardState, r.role, r.leader, r.members, r.snapshot, r.entries, r.commitIndex, r.appliedIndex, r.syncedIndex, r.elapsedTicks, r.leaderSilentTicks, len(b.queued), r.incoming == nil, r.peers["c"])
}

func TestImpossibleMessagesAreRefusedAndChangeNothing(t *testing.T) {
	good := Snapshot{Index: 20, Term: 3, Members: trio}
	part := SnapshotChunk{Index: 20, Term: 3, Members: trio, TotalBytes: 4, Data: []byte("data")}
	with := func(change func(p *SnapshotChunk)) *SnapshotChunk { p := part; change(&p); return &p }
	cases := map[string]Message{
		"no kind": {}, "unknown kind": {Kind: MsgSnapshotChunkResponse + 1}, "no sender": {Kind: MsgAppend, From: "-", Index: 5, LogTerm: 2}, "itself": {Kind: MsgAppend, From: "b", Index: 5, LogTerm: 2},
		"a term beyond all": {Kind: MsgVote, Term: 1 << 60, Index: 9, LogTerm: 3}, "an index beyond all": {Kind: MsgAppend, Index: 1 << 60, LogTerm: 2},
		"a hint beyond all": {Kind: MsgPreVoteResponse, Hint: 1 << 60}, "a log's term above its own": {Kind: MsgAppend, Index: 10, LogTerm: 4},
		"index 0 with entries": {Kind: MsgAppend, Entries: run(1, 2, 2)}, "index without term": {Kind: MsgAppend, Index: 5}, "term without index": {Kind: MsgAppend, LogTerm: 2},
		"a gap": {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: []Entry{entry(11, 3), entry(13, 3)}}, "not behind its index": {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: run(12, 13, 3)},
		"terms going down": {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: []Entry{entry(11, 3), entry(12, 2)}}, "an entry's term above its own": {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: run(11, 11, 4)},
		"an entry below the term before it": {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: run(11, 11, 1)},
		"a member without id":               {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: []Entry{{Term: 3, Index: 11, Members: []Member{{Voter: true}}}}},
		"a member twice":                    {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: []Entry{{Term: 3, Index: 11, Members: append(trio[:2:2], trio[0])}}},
		"nobody votes":                      {Kind: MsgAppend, Index: 10, LogTerm: 2, Entries: []Entry{{Term: 3, Index: 11, Members: []Member{{ID: "a"}}}}},
		"another committed entry":           {Kind: MsgAppend, Index: 4, LogTerm: 2, Entries: run(5, 6, 3)}, "another committed place": {Kind: MsgAppend, Index: 5, LogTerm: 1},
		"a second leader":    {Kind: MsgAppend, From: "c", Index: 10, LogTerm: 2},
		"entries in a vote":  {Kind: MsgVote, Term: 4, Index: 10, LogTerm: 2, Entries: run(2, 3, 2)},
		"install of nothing": {Kind: MsgSnapshot}, "a snapshot in an append": {Kind: MsgAppend, Index: 5, LogTerm: 2, Snapshot: &good},
		"a snapshot without members": {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 20, Term: 3}}, "a snapshot of place 0": {Kind: MsgSnapshot, Snapshot: &Snapshot{Term: 3, Members: trio}},
		"a snapshot of a later term":    {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 20, Term: 4, Members: trio}},
		"a snapshot that goes back":     {Kind: MsgSnapshot, Snapshot: &Snapshot{Index: 20, Term: 1, Members: trio}},
		"a part without members":        {Kind: MsgSnapshotChunk, Chunk: with(func(p *SnapshotChunk) { p.Members = nil })},
		"a part beyond its end":         {Kind: MsgSnapshotChunk, Chunk: with(func(p *SnapshotChunk) { p.Offset = 2 })},
		"a part of too much":            {Kind: MsgSnapshotChunk, Chunk: with(func(p *SnapshotChunk) { p.TotalBytes = maxSnapshotBytes + 1 })},
		"a part with a wrong checksum":  {Kind: MsgSnapshotChunk, Chunk: &part},
		"a part and a snapshot at once": {Kind: MsgSnapshotChunk, Chunk: &part, Snapshot: &good},
	}
	for name, m := range cases {
		b := newBench(t, "b", HardState{Term: 3}, run(2, 10, 2)...)
		b.step(Message{Kind: MsgAppend, Term: 3, Index: 10, LogTerm: 2, Commit: 7})
		before := b.mark()
		m.To = "b"
		switch m.From {
		case "":
			m.From = "a"
		case "-":
			m.From = ""
		}
		if m.Term == 0 {
			m.Term = 3
		}
		out := b.raft.Step(m)
		if len(out.Rejected) != 1 || len(out.Messages)+len(out.Writes)+len(out.Committed) != 0 || out.Restore != nil {
			t.Errorf("%s: %+v", name, out)
		}
		if after := b.mark(); after != before {
			t.Errorf("%s changed\n%s\n%s", name, before, after)
		}
	}
	b := newBench(t, "b", HardState{Term: 3}, run(2, 10, 2)...)
	if out := b.raft.Step(Message{Kind: MsgAppend, From: "a", To: "b"}); len(out.Rejected) != 1 {
		t.Errorf("a message without a term: %+v", out)
	}
	// A leader hears of no entry that it has not, nor of a round to come, nor of
	// another leader in its term.
	b.elect()
	b.told = nil
	for _, m := range []Message{{Kind: MsgAppendResponse, Index: 99}, {Kind: MsgAppendResponse, Index: 5, Round: 99}, {Kind: MsgHeartbeatResponse, Round: 99}, {Kind: MsgAppend, Index: 5, LogTerm: 2}} {
		before := b.mark()
		m.From, m.To, m.Term = "c", "b", b.raft.Term()
		if out := b.raft.Step(m); len(out.Rejected) != 1 || b.mark() != before {
			t.Errorf("%+v: %+v", m, out)
		}
	}
}

// FuzzMessages gives a core messages made of the input; whatever comes, its log
// has no gap, its terms don't go down, nothing committed is taken back, and what
// is refused changes nothing.
func FuzzMessages(f *testing.F) {
	for seed := int64(0); seed < 30; seed++ {
		data := make([]byte, 400)
		rand.New(rand.NewSource(seed)).Read(data)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := newBench(t, "b", HardState{Term: 2}, run(2, 6, 2)...)
		next := func() (value int) {
			if len(data) > 0 {
				value, data = int(data[0]), data[1:]
			}
			return value
		}
		committed := map[Index]Term{}
		for len(data) > 0 {
			m := Message{
				Kind: MessageKind(next() % 13), From: trio[next()%3].ID, To: "b", Term: b.raft.Term() + Term(next()%4) - 1,
				Index: Index(next() % 12), LogTerm: Term(next() % 6), Commit: Index(next() % 12), Hint: Index(next() % 12),
				Reject: next()%2 == 0, Round: uint64(next() % 4),
			}
			if m.Kind == MsgAppend && next()%4 > 0 {
				m.LogTerm = b.raft.termAt(m.Index)
			}
			for i, count := 0, next()%4; i < count; i++ {
				m.Entries = append(m.Entries, Entry{Term: Term(next() % 6), Index: m.Index + Index(i+next()%9/8) + 1})
			}
			end := position{Index(next() % 16), Term(next() % 6)}
			if m.Kind == MsgSnapshot || next()%16 == 0 {
				m.Snapshot = &Snapshot{Index: end.index, Term: end.term, Members: trio[:next()%4]}
			}
			if m.Kind == MsgSnapshotChunk || next()%16 == 0 {
				whole := bytes.Repeat([]byte{byte(end.index)}, 8)
				offset := next() % 9
				m.Chunk = &SnapshotChunk{Index: end.index, Term: end.term, Members: trio[:next()%4], TotalBytes: 8, Offset: uint64(offset), SnapshotChecksum: binaryformat.Checksum(whole), Data: whole[offset:min(offset+next()%5, 8)]}
				m.Chunk.ChunkChecksum = m.Chunk.sum()
			}
			before := b.mark()
			out := b.raft.Step(m)
			if len(out.Rejected) > 0 && m.Kind != MsgSnapshotChunk && b.mark() != before {
				t.Fatalf("%+v was refused and changed\n%s\n%s", m, before, b.mark())
			}
			b.take(out)
			if next()%2 == 0 {
				b.syncAll()
			}
			if next()%8 == 0 {
				b.take(b.raft.Tick())
			}
			r := b.raft
			if r.commitIndex > r.lastIndex() || r.appliedIndex > r.commitIndex || r.snapshot.Index > r.commitIndex || r.syncedIndex > r.lastIndex() {
				t.Fatalf("base %d, applied %d, commit %d, synced %d, last %d", r.snapshot.Index, r.appliedIndex, r.commitIndex, r.syncedIndex, r.lastIndex())
			}
			term := r.logStart.term
			for i, each := range r.entries {
				if each.Index != r.logStart.index+Index(i)+1 || each.Term < term || each.Term > r.hardState.Term {
					t.Fatalf("entry %d of term %d behind term %d in term %d", each.Index, each.Term, term, r.hardState.Term)
				}
				term = each.Term
			}
			for index := r.logStart.index + 1; index <= r.commitIndex; index++ {
				if was, known := committed[index]; known && was != r.termAt(index) {
					t.Fatalf("committed %d went from term %d to %d", index, was, r.termAt(index))
				}
				committed[index] = r.termAt(index)
			}
		}
	})
}
