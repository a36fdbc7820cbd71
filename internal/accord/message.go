// The words of the agreement: what members, entries and snapshots are, the
// messages between cores, and what one step asks of the one who drives it.
package accord

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

// Hard is what must be on disk before it is acted on.
type Hard struct {
	Term Term
	Vote ID
}

// Kind tells messages apart.
type Kind uint8

// The kinds of messages.
const (
	AskPreVote Kind = iota + 1
	TellPreVote
	AskVote
	TellVote
	Append
	TellAppend
	Install
	TimeoutNow
	TellHeard
)

// Message goes from one core to another.
type Message struct {
	Kind     Kind
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
}

// Write is one order for the disk: the log is cut from Cut on where that is
// set, then the entries are put behind. After goes out once it is synced.
type Write struct {
	Hard     *Hard
	Cut      Index
	Entries  []Entry
	Snapshot *Snapshot
	After    []Message
}

// Output is what one step asks for.
type Output struct {
	Send    []Message
	Writes  []Write
	Apply   []Entry
	Restore *Snapshot
}
