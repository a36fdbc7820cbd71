package raft

import "tinpin/internal/binaryformat"

const (
	// snapshotChunkBytes passes a link of 1 Mbit/s well within the time of a call.
	snapshotChunkBytes = 32 << 10
	// maxInflightChunks keeps the link busy while an answer is on its way.
	maxInflightChunks = 2
	// maxSnapshotBytes bounds what a member receives.
	maxSnapshotBytes = 256 << 20
)

// SnapshotChunk is a piece of a snapshot's data. Whole is the crc32c of all the data, Sum
// that of this chunk with its fields.
type SnapshotChunk struct {
	Index            Index
	Term             Term
	Members          []Member
	TotalBytes       uint64 `wire:"Total"`
	Offset           uint64
	SnapshotChecksum uint32 `wire:"Whole"`
	ChunkChecksum    uint32 `wire:"Sum"`
	Data             []byte
}

// snapshot is the snapshot that the chunk is part of, with data.
func (p *SnapshotChunk) snapshot(data []byte) *Snapshot {
	return &Snapshot{Index: p.Index, Term: p.Term, Members: p.Members, Data: data}
}

// sum is the checksum of the chunk's fields and data.
func (p *SnapshotChunk) sum() uint32 {
	var head []byte
	for _, number := range []uint64{uint64(p.Index), uint64(p.Term), p.TotalBytes, p.Offset, uint64(p.SnapshotChecksum)} {
		head = binaryformat.AppendUint(head, number)
	}
	for _, member := range p.Members {
		head = binaryformat.AppendBytes(head, member.ID)
		head = binaryformat.AppendBytes(head, member.Inner)
		head = binaryformat.AppendBytes(head, member.Control)
		head = binaryformat.AppendBytes(head, member.Site)
		voter := uint64(0)
		if member.Voter {
			voter = 1
		}
		head = binaryformat.AppendUint(head, voter)
	}
	return binaryformat.ExtendChecksum(binaryformat.Checksum(head), p.Data)
}

// snapshotTransfer is what a member keeps of a snapshot on its way in.
type snapshotTransfer struct {
	chunkBytes uint64
	incoming   *incomingSnapshot
}

// outgoingSnapshot is a snapshot on its way to one member.
type outgoingSnapshot struct {
	snapshot                Snapshot
	checksum                uint32
	ackedOffset, sentOffset uint64
	inflightChunks          int
}

func (s *outgoingSnapshot) total() uint64 { return uint64(len(s.snapshot.Data)) }

// rewind sends again what has not been acknowledged; where all has, the last chunk, so
// that the member answers with what it has.
func (s *outgoingSnapshot) rewind(size uint64) {
	s.sentOffset, s.inflightChunks = s.ackedOffset, 0
	if s.ackedOffset == s.total() {
		s.sentOffset -= min(s.sentOffset, size)
	}
}

// sendChunks keeps chunks of a snapshot in flight. A transfer that has made progress is
// not given up for a newer snapshot.
func (r *Replica) sendChunks(id ID, p *progress) {
	if s := p.outgoing; s == nil || s.snapshot.Index <= p.match || s.ackedOffset == 0 && s.snapshot.Index < r.snapshot.Index {
		p.outgoing = &outgoingSnapshot{snapshot: r.snapshot, checksum: binaryformat.Checksum(r.snapshot.Data)}
		p.stalledTicks = 0
	}
	s := p.outgoing
	for s.inflightChunks < maxInflightChunks && (s.sentOffset < s.total() || s.total() == 0 && s.inflightChunks == 0) {
		end := min(s.sentOffset+r.chunkBytes, s.total())
		part := &SnapshotChunk{
			Index: s.snapshot.Index, Term: s.snapshot.Term, Members: s.snapshot.Members,
			TotalBytes: s.total(), Offset: s.sentOffset, SnapshotChecksum: s.checksum, Data: s.snapshot.Data[s.sentOffset:end:end],
		}
		part.ChunkChecksum = part.sum()
		r.send(Message{Kind: MsgSnapshotChunk, To: id, Chunk: part, Round: r.heartbeatRound})
		s.sentOffset = end
		s.inflightChunks++
	}
}

// handleSnapshotChunkResponse goes on from the offset that a member has reached.
func (r *Replica) handleSnapshotChunkResponse(m Message) {
	p, _ := r.recordResponse(m)
	if p == nil {
		return
	}
	s := p.outgoing
	if s == nil || m.Index != s.snapshot.Index || m.LogTerm != s.snapshot.Term || uint64(m.Hint) > s.total() {
		return
	}
	offset := uint64(m.Hint)
	if offset > s.ackedOffset {
		p.stalledTicks = 0
	}
	if m.Reject || offset < s.ackedOffset {
		s.sentOffset, s.inflightChunks = offset, 0
	}
	s.ackedOffset = offset
	s.sentOffset = max(s.sentOffset, offset)
	s.inflightChunks = max(s.inflightChunks-1, 0)
	r.sendChunks(m.From, p)
}

// incomingSnapshot is what a member has received of one snapshot of one leader.
type incomingSnapshot struct {
	leaderTerm Term
	chunk      SnapshotChunk
	data       []byte
}

func (g *incomingSnapshot) matches(m Message) bool {
	return g != nil && g.leaderTerm == m.Term && g.chunk.Index == m.Chunk.Index && g.chunk.Term == m.Chunk.Term &&
		g.chunk.TotalBytes == m.Chunk.TotalBytes && g.chunk.SnapshotChecksum == m.Chunk.SnapshotChecksum
}

// supersededBy tells that a chunk is of a snapshot that replaces this one.
func (g *incomingSnapshot) supersededBy(m Message) bool {
	return g == nil || m.Term > g.leaderTerm || m.Term == g.leaderTerm && m.Chunk.Index > g.chunk.Index
}

func (r *Replica) sendChunkResponse(m Message, offset uint64, refused bool) {
	r.send(Message{
		Kind: MsgSnapshotChunkResponse, To: m.From, Index: m.Chunk.Index, LogTerm: m.Chunk.Term, Hint: Index(offset), Reject: refused,
		Round: r.confirmRound(m.Round),
	})
}

func (r *Replica) handleSnapshotChunk(m Message) {
	part := m.Chunk
	if part.ChunkChecksum != part.sum() {
		r.reject(m, "part's checksum is wrong")
		return
	}
	r.observeLeader(m)
	if part.Index <= r.commitIndex || r.termAt(part.Index) == part.Term {
		r.incoming = nil
		r.installSnapshot(Message{From: m.From, Round: m.Round, Snapshot: part.snapshot(nil)})
		return
	}
	if !r.incoming.matches(m) {
		if !r.incoming.supersededBy(m) {
			r.reject(m, "part of another snapshot")
			return
		}
		if part.Offset != 0 {
			r.sendChunkResponse(m, 0, true)
			return
		}
		r.incoming = &incomingSnapshot{leaderTerm: m.Term, chunk: *part}
		r.incoming.chunk.Data = nil
	}
	g := r.incoming
	if have := uint64(len(g.data)); part.Offset != have {
		r.sendChunkResponse(m, have, part.Offset > have)
		return
	}
	g.data = append(g.data, part.Data...)
	if uint64(len(g.data)) < part.TotalBytes {
		r.sendChunkResponse(m, uint64(len(g.data)), false)
		return
	}
	r.incoming = nil
	if binaryformat.Checksum(g.data) != part.SnapshotChecksum {
		r.reject(m, "snapshot's checksum is wrong")
		r.sendChunkResponse(m, 0, true)
		return
	}
	r.installSnapshot(Message{From: m.From, Round: m.Round, Snapshot: part.snapshot(g.data)})
}

// installSnapshot takes a whole snapshot in, unless the log holds what it stands for.
func (r *Replica) installSnapshot(m Message) {
	r.observeLeader(m)
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index <= r.commitIndex {
		r.sendAppendResponse(m, r.commitIndex)
		return
	}
	// The log holds its last entry, and so all that it stands for: what lies
	// behind may have been counted by the leader and stays.
	if r.termAt(snapshot.Index) == snapshot.Term {
		r.commitIndex = snapshot.Index
		r.sendAppendResponse(m, snapshot.Index)
		return
	}
	r.snapshot = *snapshot
	r.logStart, r.entries = position{snapshot.Index, snapshot.Term}, nil
	r.discardSyncs(0)
	r.commitIndex, r.appliedIndex = snapshot.Index, snapshot.Index
	r.refreshMembers()
	r.output.Restore = snapshot
	r.sendHeartbeatResponse(m.From, m.Round)
	r.write(Write{
		TruncateFrom: 1, Snapshot: snapshot,
		AfterSync: []Message{{Kind: MsgAppendResponse, To: m.From, Index: snapshot.Index, Round: m.Round}},
	})
}
