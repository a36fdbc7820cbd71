// The words of the agreement: what members, entries and snapshots are, the
// messages between cores, and what one step asks of the one who drives it.
package raft

import "time"

// ID names one life of a core's disk; a wiped disk comes back under a new one.
type ID string

// Term counts elections, Index the places of the log.
type (
	Term  uint64
	Index uint64
)

// Member is one core of the group.
type Member struct {
	ID      ID
	Inner   string
	Control string
	Site    string
	Voter   bool
}

// Entry is one place of the log. A change of members carries the whole new set.
type Entry struct {
	Term    Term
	Index   Index
	Members []Member
	Data    []byte
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members []Member
	Data    []byte
}

// HardState is what must be on disk before it is acted on.
type HardState struct {
	Term Term
	Vote ID
}

// MessageKind tells messages apart.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgSnapshot
	MsgTimeoutNow
	MsgHeartbeatResponse
	MsgSnapshotChunk
	MsgSnapshotChunkResponse
)

// Message goes from one core to another.
type Message struct {
	Kind     MessageKind
	From, To ID
	Term     Term
	Index    Index
	LogTerm  Term
	Commit   Index
	Entries  []Entry
	Reject   bool
	Hint     Index
	Round    uint64
	Snapshot *Snapshot
	Force    bool
	Part     *SnapshotChunk
	// Idle, Life and Age are of a core that has known no leader since its start:
	// that it says so, which start that was, and how long ago.
	Idle bool
	Life uint64
	Age  time.Duration
}

// fromLeader tells that only the leader of its term sends such a message.
func (m *Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgSnapshotChunk
}

// size is about what a message weighs on its way.
func (m *Message) size() (size int) {
	size = entryOverhead
	for i := range m.Entries {
		size += len(m.Entries[i].Data) + entryOverhead
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	if m.Part != nil {
		size += len(m.Part.Data)
	}
	return size
}

// Rejection is a message that could not be, or a snapshot that was spoiled on its
// way; nothing was taken from it.
type Rejection struct {
	From   ID
	Kind   MessageKind
	Reason string
}

// Write is one order for the disk: the log is cut from Cut on where that is
// set, then the entries are put behind. After goes out once it is synced.
type Write struct {
	HardState    *HardState
	TruncateFrom Index
	Entries      []Entry
	Snapshot     *Snapshot
	AfterSync    []Message
}

// Output is what one step asks for.
type Output struct {
	Messages  []Message
	Writes    []Write
	Committed []Entry
	Restore   *Snapshot
	Rejected  []Rejection
}
