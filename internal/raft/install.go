// Installing a snapshot: the leader sends it in parts, few under way at a time,
// and goes on from where the member says it is; the member keeps what it has of
// one snapshot of one leader, refuses what does not fit, and takes the whole in
// only where its checksum is right.
package raft

import "tinpin/internal/binaryformat"

const (
	// partSize passes a link of 1 Mbit/s well within the time of a call.
	partSize = 32 << 10
	// partsUnderWay keeps the link busy while an answer is on its way.
	partsUnderWay = 2
	// mostSnapshot bounds what a member gathers.
	mostSnapshot = 256 << 20
)

// SnapshotChunk is a piece of a snapshot's data. Whole is the checksum of all of it, Sum
// that of the part with what it says of itself.
type SnapshotChunk struct {
	Index   Index
	Term    Term
	Members []Member
	Total   uint64
	Offset  uint64
	Whole   uint32
	Sum     uint32
	Data    []byte
}

func (p *SnapshotChunk) sum() uint32 {
	var head []byte
	for _, number := range []uint64{uint64(p.Index), uint64(p.Term), p.Total, p.Offset, uint64(p.Whole)} {
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

// sending is a snapshot on its way to one member.
type sending struct {
	snapshot    Snapshot
	whole       uint32
	acked, sent uint64
	underWay    int
}

func (s *sending) total() uint64 { return uint64(len(s.snapshot.Data)) }

// rewind sends again what has not been acknowledged; where all has, the last
// part, so that the member says what it has.
func (s *sending) rewind(size uint64) {
	s.sent, s.underWay = s.acked, 0
	if s.acked == s.total() {
		s.sent -= min(s.sent, size)
	}
}

// sendParts keeps parts of a snapshot under way. One that is being taken in is
// not given up for a newer one.
func (r *Replica) sendParts(id ID, p *progress) {
	if p.sending == nil || p.sending.snapshot.Index <= p.match || p.sending.acked == 0 && p.sending.snapshot.Index < r.base.Index {
		p.sending = &sending{snapshot: r.base, whole: binaryformat.Checksum(r.base.Data)}
		p.idle = 0
	}
	s := p.sending
	for s.underWay < partsUnderWay && (s.sent < s.total() || s.total() == 0 && s.underWay == 0) {
		end := min(s.sent+r.partSize, s.total())
		part := &SnapshotChunk{
			Index: s.snapshot.Index, Term: s.snapshot.Term, Members: s.snapshot.Members,
			Total: s.total(), Offset: s.sent, Whole: s.whole, Data: s.snapshot.Data[s.sent:end:end],
		}
		part.Sum = part.sum()
		r.send(Message{Kind: MsgSnapshotChunk, To: id, Part: part, Round: r.round})
		s.sent = end
		s.underWay++
	}
}

// takePartTell hears how far a member is with a snapshot.
func (r *Replica) takePartTell(m Message, p *progress) {
	s := p.sending
	if s == nil || m.Index != s.snapshot.Index || m.LogTerm != s.snapshot.Term || uint64(m.Hint) > s.total() {
		return
	}
	offset := uint64(m.Hint)
	if offset > s.acked {
		p.idle = 0
	}
	if m.Reject || offset < s.acked {
		s.sent, s.underWay = offset, 0
	}
	s.acked = offset
	s.sent = max(s.sent, offset)
	s.underWay = max(s.underWay-1, 0)
	r.sendParts(m.From, p)
}

// gathering is what a member has of a snapshot.
type gathering struct {
	leaderTerm Term
	part       SnapshotChunk
	data       []byte
}

func (g *gathering) of(m Message) bool {
	return g != nil && g.leaderTerm == m.Term && g.part.Index == m.Part.Index && g.part.Term == m.Part.Term &&
		g.part.Total == m.Part.Total && g.part.Whole == m.Part.Whole
}

// newer tells that a part is of a snapshot that replaces the one gathered.
func (g *gathering) newer(m Message) bool {
	return g == nil || m.Term > g.leaderTerm || m.Term == g.leaderTerm && m.Part.Index > g.part.Index
}

func (r *Replica) tellPart(m Message, offset uint64, refused bool) {
	r.send(Message{Kind: MsgSnapshotChunkResponse, To: m.From, Index: m.Part.Index, LogTerm: m.Part.Term, Hint: Index(offset), Reject: refused, Round: r.heardRound(m.Round)})
}

func (r *Replica) takePart(m Message) {
	part := m.Part
	if part.Sum != part.sum() {
		r.refuse(m, "part's checksum is wrong")
		return
	}
	r.heed(m)
	if part.Index <= r.commit || r.termAt(part.Index) == part.Term {
		r.gathering = nil
		r.takeInstall(Message{From: m.From, Round: m.Round, Snapshot: &Snapshot{Index: part.Index, Term: part.Term, Members: part.Members}})
		return
	}
	if !r.gathering.of(m) {
		if !r.gathering.newer(m) {
			r.refuse(m, "part of another snapshot")
			return
		}
		if part.Offset != 0 {
			r.tellPart(m, 0, true)
			return
		}
		r.gathering = &gathering{leaderTerm: m.Term, part: *part}
		r.gathering.part.Data = nil
	}
	g := r.gathering
	if have := uint64(len(g.data)); part.Offset != have {
		r.tellPart(m, have, part.Offset > have)
		return
	}
	g.data = append(g.data, part.Data...)
	if uint64(len(g.data)) < part.Total {
		r.tellPart(m, uint64(len(g.data)), false)
		return
	}
	r.gathering = nil
	if binaryformat.Checksum(g.data) != part.Whole {
		r.refuse(m, "snapshot's checksum is wrong")
		r.tellPart(m, 0, true)
		return
	}
	r.takeInstall(Message{From: m.From, Round: m.Round, Snapshot: &Snapshot{Index: part.Index, Term: part.Term, Members: part.Members, Data: g.data}})
}
