package raft

import "time"

// ID names one incarnation of a member's disk; a wiped disk comes back under a new one.
type ID string

// Term counts elections, Index numbers the entries of the log.
type (
	Term  uint64
	Index uint64
)

// Member is one controller of the group; without Voter it is a learner.
type Member struct {
	ID      ID
	Inner   string
	Control string
	Site    string
	Voter   bool
}

// Entry is one entry of the log. A change of members carries the whole new set.
type Entry struct {
	Term    Term
	Index   Index
	Members []Member
	Data    []byte
}

// Snapshot stands for the log up to and with Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members []Member
	Data    []byte
}

// HardState must be on disk before it is acted on.
type HardState struct {
	Term Term
	Vote ID
}

// MessageKind tells messages apart. The numbers are sent.
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

// Message goes from one member to another.
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
	Chunk    *SnapshotChunk `wire:"Part"`
	// Idle is set by a member that has known no leader since its start; Life is the
	// incarnation of that start and Age how long ago it was. See startState.
	Idle        bool
	Incarnation uint64        `wire:"Life"`
	SinceStart  time.Duration `wire:"Age"`
}

// fromLeader tells that only the leader of its term sends such a message.
func (m *Message) fromLeader() bool {
	return m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgSnapshotChunk
}

// IsBulk tells whether a message carries entries or a part of a snapshot, which may take
// long on a thin link.
func (m *Message) IsBulk() bool {
	return len(m.Entries) > 0 || m.Chunk != nil || m.Snapshot != nil
}

// Size is about the bytes that a message takes on its way.
func (m *Message) Size() (size int) {
	size = entryOverhead
	for i := range m.Entries {
		size += len(m.Entries[i].Data) + entryOverhead
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}

// Rejection is an invalid message, or a snapshot chunk that was damaged on its way;
// nothing was taken from it.
type Rejection struct {
	From   ID
	Kind   MessageKind
	Reason string
}

// Write is one write for the disk: the log is cut from TruncateFrom on where that is
// set, then the entries are put behind. AfterSync goes out once it is synced.
type Write struct {
	HardState    *HardState
	TruncateFrom Index
	Entries      []Entry
	Snapshot     *Snapshot
	AfterSync    []Message
}

// Output is what one step asks of the driver: messages to send at once, writes in their
// order, committed entries to apply, and a snapshot to restore before them.
type Output struct {
	Messages  []Message
	Writes    []Write
	Committed []Entry
	Restore   *Snapshot
	Rejected  []Rejection
}
