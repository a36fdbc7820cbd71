// Raft is the agreement among the cores, as a pure state machine: it is given
// messages, ticks, proposals and reports of finished writes, and returns what
// is to be sent, written and applied. It reads no clock, disk or network; its
// only luck is the seeded source it is made with. Pre-vote, check-quorum,
// leadership transfer, learners, snapshots and membership changes of one
// member at a time are kept; a membership change binds from the moment it is
// in the log. The leader counts its own log only once its disk has reported
// it, so a stalled disk holds up its own vote but not the group's.
package accord

import (
	"math/rand"
	"sort"
)

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

// Write is one order for the disk; After goes out once it is synced.
type Write struct {
	Hard     *Hard
	Entries  []Entry
	Snapshot *Snapshot
	After    []Message
	Last     Index
	LastTerm Term
}

// Output is what one step asks for.
type Output struct {
	Send    []Message
	Writes  []Write
	Apply   []Entry
	Restore *Snapshot
}

// Role of a core in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

type progress struct {
	match, next Index
	heard       int
	ackRound    uint64
	pending     int
	sentSnap    Index
}

// Pace holds the figures of time, counted in ticks.
type Pace struct {
	Beat, Election int
}

const maxBatch = 256 << 10

// Raft is one core's part of the agreement.
type Raft struct {
	id         ID
	pace       Pace
	luck       *rand.Rand
	hard       Hard
	role       Role
	leader     ID
	members    []Member
	base       Snapshot
	log        []Entry
	commit     Index
	applied    Index
	synced     Index
	elapsed    int
	timeout    int
	votes      map[ID]bool
	pre        bool
	peers      map[ID]*progress
	round      uint64
	quorumAt   int
	lag        int
	transfer   ID
	transferAt int
	issued     uint64
	done       uint64
	stuck      int
	out        Output
}

// NewRaft starts from what the disk holds.
func NewRaft(id ID, pace Pace, luck *rand.Rand, hard Hard, base Snapshot, log []Entry) (raft *Raft) {
	raft = &Raft{id: id, pace: pace, luck: luck, hard: hard, base: base, log: log}
	raft.commit, raft.applied = base.Index, base.Index
	raft.synced = raft.lastIndex()
	raft.refreshMembers()
	// A core that has just started knows of no leader and asks early; where
	// there is one, the pre-vote fails and harms nothing.
	raft.timeout = 2 + luck.Intn(pace.Election/2+1)
	return raft
}

// Facts for those outside.
func (r *Raft) Role() Role        { return r.role }
func (r *Raft) LeaderID() ID      { return r.leader }
func (r *Raft) Term() Term        { return r.hard.Term }
func (r *Raft) Members() []Member { return r.members }
func (r *Raft) Commit() Index     { return r.commit }
func (r *Raft) Last() Index       { return r.lastIndex() }
func (r *Raft) Base() Index       { return r.base.Index }

// Settled tells whether the leader has committed an entry of its own term.
func (r *Raft) Settled() bool {
	return r.role == Leader && r.termAt(r.commit) == r.hard.Term
}

// Heard gives the ticks since a member was last heard, for the leader.
func (r *Raft) Heard(id ID) (ticks int, known bool) {
	p, known := r.peers[id]
	if !known {
		return 0, false
	}
	return p.heard, true
}

// CaughtUp tells whether a member's disk has all that is committed.
func (r *Raft) CaughtUp(id ID) bool {
	p, known := r.peers[id]
	return known && p.match >= r.commit && p.heard < 2*r.pace.Election
}

func (r *Raft) lastIndex() Index {
	if len(r.log) == 0 {
		return r.base.Index
	}
	return r.log[len(r.log)-1].Index
}

func (r *Raft) termAt(index Index) Term {
	if index == r.base.Index {
		return r.base.Term
	}
	if index < r.base.Index || index > r.lastIndex() {
		return 0
	}
	return r.log[index-r.base.Index-1].Term
}

func (r *Raft) entriesFrom(index Index, most int) (entries []Entry) {
	if index <= r.base.Index || index > r.lastIndex() {
		return nil
	}
	rest := r.log[index-r.base.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data) + 64
		if i > 0 && size > most {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (r *Raft) refreshMembers() {
	r.members = r.base.Members
	for i := range r.log {
		if r.log[i].Members != nil {
			r.members = r.log[i].Members
		}
	}
	if r.role != Leader {
		return
	}
	for _, member := range r.members {
		if _, known := r.peers[member.ID]; !known && member.ID != r.id {
			r.peers[member.ID] = &progress{next: r.lastIndex() + 1}
		}
	}
	for id := range r.peers {
		if _, known := find(r.members, id); !known {
			delete(r.peers, id)
		}
	}
}

func find(members []Member, id ID) (member Member, known bool) {
	for _, member = range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (r *Raft) voter(id ID) bool {
	member, known := find(r.members, id)
	return known && member.Voter
}

func (r *Raft) voters() (count int) {
	for _, member := range r.members {
		if member.Voter {
			count++
		}
	}
	return count
}

func (r *Raft) resetTimer() {
	r.elapsed = 0
	r.timeout = r.pace.Election + r.luck.Intn(r.pace.Election+1)
}

func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.out.Send = append(r.out.Send, m)
}

// write queues an order for the disk; the answers behind it wait for the sync.
func (r *Raft) write(w Write) {
	for i := range w.After {
		w.After[i].From = r.id
		if w.After[i].Term == 0 {
			w.After[i].Term = r.hard.Term
		}
	}
	r.issued++
	w.Last = r.lastIndex()
	w.LastTerm = r.termAt(w.Last)
	r.out.Writes = append(r.out.Writes, w)
}

func (r *Raft) flush() (out Output) {
	r.advance()
	out = r.out
	r.out = Output{}
	return out
}

func (r *Raft) follow(term Term, leader ID) {
	if term > r.hard.Term {
		r.hard = Hard{Term: term}
		hard := r.hard
		r.write(Write{Hard: &hard})
	}
	r.role, r.leader, r.pre, r.transfer = Follower, leader, false, ""
	r.peers, r.votes = nil, nil
	r.resetTimer()
}

// Tick moves the steady clock on by one tick.
func (r *Raft) Tick() (out Output) {
	r.elapsed++
	if r.issued > r.done {
		r.stuck++
	} else {
		r.stuck = 0
	}
	if r.role != Leader {
		// A core whose disk stands still could not win and would only raise terms.
		if r.elapsed >= r.timeout && r.voter(r.id) && r.stuck < r.pace.Election {
			r.campaign(true, false)
		}
		return r.flush()
	}
	alive := 0
	for _, member := range r.members {
		p := r.peers[member.ID]
		if p != nil {
			p.heard++
		}
		if member.Voter && (member.ID == r.id || p != nil && p.heard < r.pace.Election) {
			alive++
		}
	}
	if alive <= r.voters()/2 || !r.voter(r.id) {
		r.quorumAt++
		if r.quorumAt > r.pace.Election/2 {
			r.follow(r.hard.Term, "")
			return r.flush()
		}
	} else {
		r.quorumAt = 0
	}
	if r.synced < r.commit {
		r.lag++
	} else {
		r.lag = 0
	}
	if r.transfer != "" {
		if r.transferAt++; r.transferAt > r.pace.Election {
			r.transfer = ""
		} else {
			r.relieve()
		}
	}
	if r.lag > r.pace.Election && r.transfer == "" {
		r.HandOver()
	}
	if r.elapsed >= r.pace.Beat {
		r.elapsed = 0
		r.round++
		for _, member := range r.members {
			if p := r.peers[member.ID]; p != nil {
				p.pending = 0
				r.replicate(member.ID, p, true)
			}
		}
	}
	return r.flush()
}

// HandOver asks the best caught-up voter to take the leadership.
func (r *Raft) HandOver() {
	if r.role != Leader {
		return
	}
	var best ID
	var bestMatch Index
	for _, member := range r.members {
		p := r.peers[member.ID]
		if p != nil && member.Voter && p.heard < r.pace.Election && p.match >= r.commit && (best == "" || p.match > bestMatch) {
			best, bestMatch = member.ID, p.match
		}
	}
	if best != "" {
		r.transfer, r.transferAt = best, 0
		r.relieve()
	}
}

// relieve tells the successor to stand once it has the whole log.
func (r *Raft) relieve() {
	if p := r.peers[r.transfer]; p != nil && p.match == r.lastIndex() {
		r.send(Message{Kind: TimeoutNow, To: r.transfer})
	}
}

// Open tells whether the leader takes proposals now, or hands over.
func (r *Raft) Open() bool { return r.role == Leader && r.transfer == "" }

// Resign hands the leadership over and returns what to send.
func (r *Raft) Resign() (out Output) {
	r.HandOver()
	return r.flush()
}

func (r *Raft) campaign(pre, force bool) {
	r.resetTimer()
	r.role, r.leader, r.pre = Candidate, "", pre
	r.votes = map[ID]bool{r.id: true}
	term := r.hard.Term + 1
	kind := AskPreVote
	if !pre {
		kind = AskVote
		r.hard = Hard{Term: term, Vote: r.id}
	}
	var asks []Message
	for _, member := range r.members {
		if member.Voter && member.ID != r.id {
			asks = append(asks, Message{Kind: kind, To: member.ID, Term: term, Index: r.lastIndex(), LogTerm: r.termAt(r.lastIndex()), Force: force})
		}
	}
	if pre {
		for _, ask := range asks {
			r.send(ask)
		}
	} else {
		hard := r.hard
		r.write(Write{Hard: &hard, After: asks})
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	yes := 0
	for id, granted := range r.votes {
		if granted && r.voter(id) {
			yes++
		}
	}
	if yes <= r.voters()/2 {
		return
	}
	if r.pre {
		r.campaign(false, false)
		return
	}
	r.lead()
}

func (r *Raft) lead() {
	r.role, r.leader, r.transfer = Leader, r.id, ""
	r.elapsed, r.quorumAt, r.lag = 0, 0, 0
	r.peers = map[ID]*progress{}
	r.refreshMembers()
	r.push(Entry{})
}

func (r *Raft) push(entry Entry) (index Index) {
	entry.Term, entry.Index = r.hard.Term, r.lastIndex()+1
	r.log = append(r.log, entry)
	if entry.Members != nil {
		r.refreshMembers()
	}
	r.write(Write{Entries: []Entry{entry}})
	for _, member := range r.members {
		if p := r.peers[member.ID]; p != nil {
			r.replicate(member.ID, p, false)
		}
	}
	return entry.Index
}

// Propose puts data into the log; it fails on any but the leader.
func (r *Raft) Propose(data []byte) (index Index, term Term, accepted bool, out Output) {
	if !r.Open() {
		return 0, 0, false, Output{}
	}
	index = r.push(Entry{Data: data})
	return index, r.hard.Term, true, r.flush()
}

// Change puts a new set of members into the log, one change at a time, and
// only once the leader has committed in its own term.
func (r *Raft) Change(members []Member) (accepted bool, out Output) {
	if !r.Settled() || r.changing() {
		return false, Output{}
	}
	r.push(Entry{Members: members})
	return true, r.flush()
}

func (r *Raft) changing() bool {
	for i := len(r.log) - 1; i >= 0 && r.log[i].Index > r.commit; i-- {
		if r.log[i].Members != nil {
			return true
		}
	}
	return false
}

func (r *Raft) replicate(id ID, p *progress, beat bool) {
	if p.next <= r.base.Index {
		if p.sentSnap == r.base.Index && !(beat && p.heard > 0 && r.round%8 == 0) {
			if beat {
				r.send(Message{Kind: Append, To: id, Index: r.base.Index, LogTerm: r.base.Term, Commit: 0, Round: r.round})
			}
			return
		}
		p.sentSnap = r.base.Index
		snapshot := r.base
		r.send(Message{Kind: Install, To: id, Snapshot: &snapshot, Round: r.round})
		return
	}
	if p.pending >= 8 && !beat {
		return
	}
	if beat && p.match+1 < p.next && p.heard > r.pace.Beat*2 {
		p.next = p.match + 1
		if p.next <= r.base.Index {
			r.replicate(id, p, beat)
			return
		}
	}
	entries := r.entriesFrom(p.next, maxBatch)
	if len(entries) == 0 && !beat {
		return
	}
	r.send(Message{Kind: Append, To: id, Index: p.next - 1, LogTerm: r.termAt(p.next - 1), Commit: r.commit, Entries: entries, Round: r.round})
	p.pending++
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
	}
}

func (r *Raft) advance() {
	if r.role == Leader {
		var matches []Index
		for _, member := range r.members {
			if !member.Voter {
				continue
			}
			if member.ID == r.id {
				matches = append(matches, r.synced)
			} else if p := r.peers[member.ID]; p != nil {
				matches = append(matches, p.match)
			}
		}
		if len(matches) > 0 {
			sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
			agreed := matches[len(matches)/2]
			if agreed > r.commit && r.termAt(agreed) == r.hard.Term {
				r.commit = agreed
			}
		}
	}
	for r.applied < r.commit && r.applied < r.lastIndex() {
		r.applied++
		r.out.Apply = append(r.out.Apply, r.log[r.applied-r.base.Index-1])
	}
}

// Synced reports that the disk has carried out so many orders and holds the
// log up to index of that term.
func (r *Raft) Synced(orders int, index Index, term Term) (out Output) {
	r.done += uint64(orders)
	if index > r.synced && r.termAt(index) == term {
		r.synced = index
	}
	return r.flush()
}

// Compact cuts the log behind an applied place.
func (r *Raft) Compact(index Index, data []byte) (snapshot Snapshot, done bool) {
	if index <= r.base.Index || index > r.applied {
		return snapshot, false
	}
	members := r.base.Members
	for i := range r.log {
		if r.log[i].Index <= index && r.log[i].Members != nil {
			members = r.log[i].Members
		}
	}
	snapshot = Snapshot{Index: index, Term: r.termAt(index), Members: members, Data: data}
	r.log = append([]Entry(nil), r.log[index-r.base.Index:]...)
	r.base = snapshot
	r.issued++
	return snapshot, true
}

// Step takes a message from another core.
func (r *Raft) Step(m Message) (out Output) {
	if m.To != r.id {
		return Output{}
	}
	switch m.Kind {
	case AskPreVote:
		fresh := r.leader != "" && r.elapsed < r.pace.Election && r.role != Candidate
		if r.role == Leader {
			fresh = true
		}
		granted := m.Term > r.hard.Term && !fresh && r.upToDate(m)
		r.send(Message{Kind: TellPreVote, To: m.From, Term: m.Term, Reject: !granted, Hint: Index(r.hard.Term)})
		return r.flush()
	case TellPreVote:
		if r.role == Candidate && r.pre && m.Term == r.hard.Term+1 {
			r.votes[m.From] = !m.Reject
			if m.Reject && Term(m.Hint) > r.hard.Term {
				r.follow(Term(m.Hint), "")
			} else {
				r.countVotes()
			}
		}
		return r.flush()
	case AskVote:
		if m.Term > r.hard.Term {
			if !m.Force && r.leader != "" && r.elapsed < r.pace.Election {
				return Output{}
			}
			r.follow(m.Term, "")
		}
	default:
		if m.Term > r.hard.Term {
			leader := ID("")
			if m.Kind == Append || m.Kind == Install {
				leader = m.From
			}
			r.follow(m.Term, leader)
		}
	}
	if m.Term < r.hard.Term {
		if m.Kind == Append || m.Kind == Install {
			r.send(Message{Kind: TellAppend, To: m.From, Reject: true, Index: m.Index, Hint: r.lastIndex()})
		}
		return r.flush()
	}
	switch m.Kind {
	case AskVote:
		granted := (r.hard.Vote == "" || r.hard.Vote == m.From) && r.upToDate(m)
		tell := Message{Kind: TellVote, To: m.From, Reject: !granted}
		if granted {
			r.hard.Vote = m.From
			hard := r.hard
			r.resetTimer()
			r.write(Write{Hard: &hard, After: []Message{tell}})
		} else {
			r.send(tell)
		}
	case TellVote:
		if r.role == Candidate && !r.pre {
			r.votes[m.From] = !m.Reject
			r.countVotes()
		}
	case Append:
		r.takeAppend(m)
	case Install:
		r.takeInstall(m)
	case TellAppend:
		r.takeTell(m)
	case TimeoutNow:
		if r.voter(r.id) {
			r.campaign(false, true)
		}
	}
	return r.flush()
}

func (r *Raft) upToDate(m Message) bool {
	last := r.lastIndex()
	lastTerm := r.termAt(last)
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
}

func (r *Raft) heed(m Message) {
	if r.role != Follower {
		r.role, r.votes, r.pre = Follower, nil, false
	}
	r.leader = m.From
	r.elapsed = 0
}

func (r *Raft) takeAppend(m Message) {
	r.heed(m)
	if m.Index < r.base.Index {
		r.send(Message{Kind: TellAppend, To: m.From, Index: r.base.Index, Round: m.Round})
		return
	}
	if m.Index > r.lastIndex() || r.termAt(m.Index) != m.LogTerm {
		hint := r.lastIndex()
		if m.Index <= hint {
			hint = m.Index - 1
		}
		if hint < r.commit {
			hint = r.commit
		}
		r.send(Message{Kind: TellAppend, To: m.From, Index: m.Index, Reject: true, Hint: hint, Round: m.Round})
		return
	}
	var fresh []Entry
	for i, entry := range m.Entries {
		if entry.Index <= r.lastIndex() && r.termAt(entry.Index) == entry.Term {
			continue
		}
		fresh = m.Entries[i:]
		break
	}
	matched := m.Index + Index(len(m.Entries))
	tell := Message{Kind: TellAppend, To: m.From, Index: matched, Round: m.Round}
	if len(fresh) > 0 {
		first := fresh[0].Index
		if first <= r.commit {
			return
		}
		cut := first <= r.lastIndex()
		r.log = append(r.log[:first-r.base.Index-1:first-r.base.Index-1], fresh...)
		if r.synced >= first {
			r.synced = first - 1
		}
		changed := cut
		for i := range fresh {
			changed = changed || fresh[i].Members != nil
		}
		if changed {
			r.refreshMembers()
		}
		r.write(Write{Entries: fresh, After: []Message{tell}})
	} else if matched > r.synced {
		r.write(Write{After: []Message{tell}})
	} else {
		r.send(tell)
	}
	commit := m.Commit
	if commit > matched {
		commit = matched
	}
	if commit > r.commit {
		r.commit = commit
	}
}

func (r *Raft) takeInstall(m Message) {
	r.heed(m)
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index <= r.commit {
		r.send(Message{Kind: TellAppend, To: m.From, Index: r.commit, Round: m.Round})
		return
	}
	r.base = *snapshot
	r.log = nil
	r.commit, r.applied, r.synced = snapshot.Index, snapshot.Index, 0
	r.refreshMembers()
	r.out.Restore = snapshot
	r.write(Write{Snapshot: snapshot, After: []Message{{Kind: TellAppend, To: m.From, Index: snapshot.Index, Round: m.Round}}})
}

func (r *Raft) takeTell(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard = 0
	if m.Round > p.ackRound {
		p.ackRound = m.Round
	}
	if p.pending > 0 {
		p.pending--
	}
	if m.Reject {
		if m.Index >= p.match {
			next := m.Hint + 1
			if next <= p.match {
				next = p.match + 1
			}
			if next < p.next {
				p.next = next
			}
			p.sentSnap = 0
			r.replicate(m.From, p, false)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		if m.From == r.transfer {
			r.relieve()
		}
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	if p.next <= r.lastIndex() {
		r.replicate(m.From, p, false)
	}
}
