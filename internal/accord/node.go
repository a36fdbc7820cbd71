// Node drives one core: a duty steps the agreement, another writes the disk,
// one per fellow core sends, all joined by bounded rings. Wishes that wait
// together become one log entry. A wish whose fate cannot be known is answered
// as unclear, never as refused.
package accord

import (
	"encoding/hex"
	"math/rand"
	"net"
	"os"
	"sync"
	"time"

	crand "crypto/rand"

	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/chronicle"
	"tinpin/internal/events"
	"tinpin/internal/parley"
	"tinpin/internal/props"
)

const (
	tickSpan     = 25 * time.Millisecond
	beatTicks    = 2
	electTicks   = 9
	maxInFlight  = 3
	staleWish    = 700 * time.Millisecond
	courierDial  = 120 * time.Millisecond
	maxWishes    = 2048
	compactCount = 4000
	compactBytes = 12 << 20
	departTicks  = 320
)

// Answer is what became of a wish.
type Answer struct {
	Result Result
	// Clear is false where nobody can tell whether the wish was carried out.
	Clear bool
	// Refused tells that it was not and will not be carried out.
	Refused bool
}

type wish struct {
	command Command
	done    chan Answer
	born    time.Time
}

type pendingEntry struct {
	term   Term
	wishes []wish
}

type syncedNote struct {
	orders int
	index  Index
	term   Term
}

// Node is one core.
type Node struct {
	props   props.Props
	log     *events.Log
	self    Member
	raft    *Raft
	store   *Store
	birth   time.Time
	inbox   chan []Message
	wishes  chan wish
	synced  chan syncedNote
	disk    chan []Write
	tells   chan func()
	stop    chan struct{}
	stopped sync.WaitGroup

	mu      sync.RWMutex
	state   *State
	role    Role
	settled bool
	leader  ID
	term    Term
	members []Member
	book    map[ID]string
	seeds   []string

	senders map[ID]*sender
	pending map[Index]pendingEntry
	joiners map[ID]joiner
	logSize int
	loaded  Index
	ticks   int
	heardAt int

	// Chronicle remembers what became of changes here.
	Chronicle *chronicle.Chronicle

	// OnChange is called after the state changed, OnRole when leadership came or went.
	OnChange func()
	OnRole   func(leads bool, term Term)
}

type joiner struct {
	member Member
	at     int
}

// OpenNode opens the disk and makes the core ready to run.
func OpenNode(p props.Props, log *events.Log) (node *Node, err error) {
	if p.Data == "" {
		return nil, Class.New("data is empty: an accord daemon needs a folder")
	}
	if err = os.MkdirAll(p.Data, 0o755); err != nil {
		return nil, Class.Wrap(err)
	}
	store, err := OpenStore(p.Data, vfs.Default)
	if err != nil {
		return nil, err
	}
	id, hard, base, entries, err := store.Load()
	if err != nil {
		return nil, err
	}
	node = &Node{
		props: p, log: log, store: store, birth: time.Now(),
		inbox: make(chan []Message, 256), wishes: make(chan wish, maxWishes), synced: make(chan syncedNote, 256),
		disk: make(chan []Write, 1024), tells: make(chan func(), 64), stop: make(chan struct{}),
		book: map[ID]string{}, senders: map[ID]*sender{}, pending: map[Index]pendingEntry{}, joiners: map[ID]joiner{},
		seeds: p.Seeds, Chronicle: chronicle.New(log), OnChange: func() {}, OnRole: func(bool, Term) {},
	}
	inner := p.Inner("accord")
	if id == "" {
		id, base = Identity(p)
		if err = store.Found(id, base); err != nil {
			return nil, err
		}
	}
	node.self = Member{ID: id, Inner: inner, Control: p.Control, Site: p.Site}
	if node.state, err = Thaw(base.Data, node.Now()); err != nil {
		return nil, err
	}
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	luck := rand.New(rand.NewSource(int64(seed[0]) | int64(seed[1])<<8 | int64(seed[2])<<16 | int64(seed[3])<<24))
	node.raft = NewRaft(id, Pace{Beat: beatTicks, Election: electTicks}, luck, hard, base, entries)
	node.loaded = node.raft.Last()
	node.publish()
	return node, nil
}

// Identity decides who a core with an empty disk is: a founder where the
// whole system starts for the first time and it is among the seeds, else a
// newcomer that has to be taken in.
func Identity(p props.Props) (id ID, base Snapshot) {
	var founders []Member
	founder := false
	for _, seed := range p.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		member := Member{ID: ID("founder-" + host), Inner: p.Accord(seed), Control: seed, Voter: true}
		founders = append(founders, member)
		founder = founder || host == p.Address
	}
	if p.FirstStart && founder {
		return ID("founder-" + p.Address), Snapshot{Index: 1, Term: 1, Members: founders}
	}
	var luck [8]byte
	_, _ = crand.Read(luck[:])
	return ID(p.Address + "-" + hex.EncodeToString(luck[:])), Snapshot{}
}

// Now is this core's steady clock.
func (n *Node) Now() time.Duration { return time.Since(n.birth) }

// Run starts the duties.
func (n *Node) Run() {
	n.stopped.Add(2)
	go n.council()
	go n.scribe()
}

// Close hands leadership over if held, and stops.
func (n *Node) Close() {
	done := make(chan struct{})
	select {
	case n.tells <- func() { n.carry(n.raft.Resign()); close(done) }:
		select {
		case <-done:
		case <-time.After(200 * time.Millisecond):
		}
	case <-time.After(200 * time.Millisecond):
	}
	time.Sleep(50 * time.Millisecond)
	close(n.stop)
	// A disk that stands still must not hold the end up.
	closed := make(chan struct{})
	go func() {
		n.stopped.Wait()
		_ = n.store.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(300 * time.Millisecond):
	}
}

// SetSeeds takes changed seeds up.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	n.seeds = seeds
	n.mu.Unlock()
}

// Read gives the state to look at under its lock.
func (n *Node) Read(look func(state *State)) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	look(n.state)
}

// Standing tells who leads, as this core knows.
func (n *Node) Standing() (leads, settled bool, term Term, leader Member, members []Member) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	leader, _ = find(n.members, n.leader)
	return n.role == Leader, n.settled, n.term, leader, n.members
}

// Self is this core as a member.
func (n *Node) Self() Member { return n.self }

// Wish puts a command before the cores and waits for its outcome.
func (n *Node) Wish(command Command, limit time.Duration) (answer Answer) {
	return n.Wishes([]Command{command}, limit)[0]
}

// Wishes puts several commands at once.
func (n *Node) Wishes(commands []Command, limit time.Duration) (answers []Answer) {
	answers = make([]Answer, len(commands))
	done := make([]chan Answer, len(commands))
	now := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for i, command := range commands {
		done[i] = make(chan Answer, 1)
		select {
		case n.wishes <- wish{command, done[i], now}:
		default:
			done[i] <- Answer{Refused: true}
		}
	}
	for i := range done {
		select {
		case answers[i] = <-done[i]:
		case <-timer.C:
			for ; i < len(done); i++ {
				select {
				case answers[i] = <-done[i]:
				default:
				}
			}
			return answers
		}
	}
	return answers
}

// Batch is what one core sends another.
type Batch struct {
	From     ID
	Inner    string
	Messages []Message
}

// JoinAsk asks to be taken in.
type JoinAsk struct{ Member Member }

// JoinReply names the leader where it is another.
type JoinReply struct {
	Leader bool
	Inners []string
}

// Empty is an answer that says nothing.
type Empty struct{}

// Desk takes inner calls from other cores.
type Desk struct{ node *Node }

// Desk gives the receiver for inner calls.
func (n *Node) Desk() (desk *Desk) { return &Desk{n} }

// Step takes messages of the agreement.
func (d *Desk) Step(batch Batch, _ *Empty) (err error) {
	d.node.mu.Lock()
	d.node.book[batch.From] = batch.Inner
	d.node.mu.Unlock()
	select {
	case d.node.inbox <- batch.Messages:
	default:
	}
	return nil
}

// Join notes a core that wants to be taken in.
func (d *Desk) Join(ask JoinAsk, reply *JoinReply) (err error) {
	leads, _, _, _, members := d.node.Standing()
	reply.Leader = leads
	for _, member := range members {
		reply.Inners = append(reply.Inners, member.Inner)
	}
	if !leads {
		return nil
	}
	select {
	case d.node.tells <- func() { d.node.joiners[ask.Member.ID] = joiner{ask.Member, d.node.ticks} }:
	default:
	}
	return nil
}

// council is the duty that steps the agreement.
func (n *Node) council() {
	defer n.stopped.Done()
	ticker := time.NewTicker(tickSpan)
	defer ticker.Stop()
	for {
		var wishes <-chan wish
		if len(n.pending) < maxInFlight && n.raft.Open() || n.raft.Role() != Leader {
			wishes = n.wishes
		}
		select {
		case <-n.stop:
			return
		case batch := <-n.inbox:
			for _, message := range batch {
				n.carry(n.raft.Step(message))
			}
		case first := <-wishes:
			n.propose(first)
		case note := <-n.synced:
			n.carry(n.raft.Synced(note.orders, note.index, note.term))
		case tell := <-n.tells:
			tell()
		case <-ticker.C:
			n.ticks++
			n.carry(n.raft.Tick())
			if n.ticks%5 == 0 {
				n.keepHouse()
			}
		}
	}
}

func (n *Node) propose(first wish) {
	var batch []wish
	size := 0
	now := time.Now()
	for next, more := first, true; more && len(batch) < 256 && size < 1<<20; {
		// A wish whose caller must have given up is refused, not carried out:
		// a backlog would otherwise be worked off for nobody.
		if now.Sub(next.born) > staleWish {
			next.done <- Answer{Refused: true}
		} else {
			batch = append(batch, next)
			size += len(next.command.Body)
		}
		select {
		case next = <-n.wishes:
		default:
			more = false
		}
		if more && (len(batch) == 256 || size >= 1<<20) {
			batch = append(batch, next)
		}
	}
	if len(batch) == 0 {
		return
	}
	commands := make([]Command, len(batch))
	for i := range batch {
		commands[i] = batch[i].command
	}
	data := Inscribe(commands)
	index, term, accepted, out := n.raft.Propose(data)
	if !accepted {
		for i := range batch {
			batch[i].done <- Answer{Refused: true}
		}
		return
	}
	n.pending[index] = pendingEntry{term, batch}
	n.carry(out)
}

// carry does what a step asked for.
func (n *Node) carry(out Output) {
	for _, message := range out.Send {
		n.post(message)
	}
	if len(out.Writes) > 0 {
		for _, write := range out.Writes {
			for i := range write.Entries {
				n.logSize += len(write.Entries[i].Data) + 32
			}
		}
		select {
		case n.disk <- out.Writes:
		case <-n.stop:
			return
		}
	}
	if out.Restore != nil {
		state, err := Thaw(out.Restore.Data, n.Now())
		if err != nil {
			n.log.Say(events.DiskFailed, "problem", err.Error())
			os.Exit(1)
		}
		n.mu.Lock()
		n.state = state
		n.mu.Unlock()
		n.OnChange()
	}
	changed := false
	for _, entry := range out.Apply {
		changed = n.apply(entry) || changed
	}
	n.publish()
	if changed {
		n.OnChange()
	}
	if len(out.Apply) > 0 && (n.raft.Commit()-n.raft.Base() > compactCount || n.logSize > compactBytes) {
		n.compact()
	}
}

// noteOrders marks the documents, retirements and moves that changed.
func (n *Node) noteOrders(before uint64, quiet bool) {
	for kind, document := range n.state.Documents {
		if document.Rev > before {
			n.Chronicle.Note(chronicle.Document, string(kind), "applied", document.Stamp(), document.Rev, quiet)
		}
	}
	for id, retired := range n.state.Retired {
		if retired.Rev > before {
			n.Chronicle.Note(chronicle.Retirement, string(id), "applied", retired.Stamp(), retired.Rev, quiet)
		}
	}
	if move := n.state.Move; move.Rev > before {
		n.Chronicle.Note(chronicle.Move, "day-plan", "applied", move.Stamp(), move.Rev, quiet)
	}
}

func (n *Node) apply(entry Entry) (changed bool) {
	commands, err := Decipher(entry.Data)
	if err != nil {
		n.log.Say(events.DiskFailed, "index", uint64(entry.Index), "problem", err.Error())
		os.Exit(1)
	}
	now := n.Now()
	results := make([]Result, len(commands))
	n.mu.Lock()
	before := n.state.Rev
	for i, command := range commands {
		results[i] = n.state.Apply(uint64(entry.Index), command, now)
	}
	changed = n.state.Rev != before
	if changed {
		n.noteOrders(before, entry.Index <= n.loaded)
		for _, item := range n.state.Canon.Since(before) {
			n.Chronicle.Note(chronicle.Item, item.Path(), "applied", item.Stamp(), item.Rev, entry.Index <= n.loaded)
		}
		for _, evacuation := range n.state.Evacuations {
			if evacuation.Rev > before {
				n.Chronicle.Note(chronicle.Evacuation, evacuation.Site, "applied", evacuation.Stamp(), evacuation.Rev, entry.Index <= n.loaded)
			}
		}
	}
	n.mu.Unlock()
	waiting, known := n.pending[entry.Index]
	if known {
		delete(n.pending, entry.Index)
		for i := range waiting.wishes {
			answer := Answer{}
			if waiting.term == entry.Term && i < len(results) {
				answer = Answer{Result: results[i], Clear: true}
			}
			waiting.wishes[i].done <- answer
		}
	}
	return changed
}

func (n *Node) compact() {
	n.mu.RLock()
	data, err := n.state.Freeze()
	n.mu.RUnlock()
	if err != nil {
		n.log.Say(events.DiskFailed, "problem", err.Error())
		return
	}
	snapshot, done := n.raft.Compact(n.raft.Commit(), data)
	if !done {
		return
	}
	n.logSize = 0
	select {
	case n.disk <- []Write{{Snapshot: &snapshot, Last: snapshot.Index + 1, LastTerm: 0}}:
	case <-n.stop:
	}
	n.log.Say(events.SnapshotTaken, "index", uint64(snapshot.Index), "bytes", len(data))
}

// publish makes the standing of the agreement known to other duties.
func (n *Node) publish() {
	role, leader, term, settled := n.raft.Role(), n.raft.LeaderID(), n.raft.Term(), n.raft.Settled()
	n.mu.Lock()
	before := n.role == Leader && n.settled
	was := n.term
	n.role, n.leader, n.term, n.settled = role, leader, term, settled
	members := n.raft.Members()
	if len(members) != len(n.members) || len(members) > 0 && &members[0] != &n.members[0] {
		n.members = members
		for _, member := range members {
			n.book[member.ID] = member.Inner
		}
	}
	n.mu.Unlock()
	if leader != "" {
		n.heardAt = n.ticks
	}
	after := role == Leader && settled
	if before && (!after || was != term) {
		n.log.Say(events.LeaderLost, "term", uint64(was))
		n.OnRole(false, was)
	}
	if after && (!before || was != term) {
		n.log.Say(events.LeaderWon, "term", uint64(term))
		n.OnRole(true, term)
	}
	if role != Leader && len(n.pending) > 0 {
		for index, waiting := range n.pending {
			for i := range waiting.wishes {
				waiting.wishes[i].done <- Answer{}
			}
			delete(n.pending, index)
		}
	}
}

// keepHouse takes newcomers in, lets the departed go, expires old keys and,
// where this core is no member, asks to become one.
func (n *Node) keepHouse() {
	if n.raft.Role() != Leader {
		_, member := find(n.raft.Members(), n.self.ID)
		if (!member || n.ticks-n.heardAt > 2*electTicks) && n.ticks%10 == 0 {
			go n.askToJoin()
		}
		return
	}
	if !n.raft.Settled() {
		return
	}
	for id, joiner := range n.joiners {
		if n.ticks-joiner.at > 100 {
			delete(n.joiners, id)
		}
	}
	var waiting []Member
	for _, joiner := range n.joiners {
		waiting = append(waiting, joiner.member)
	}
	next, change := NextMembers(n.raft.Members(), n.self, waiting, Voters(n.props.MachineLosses), n.raft.CaughtUp, func(id ID) bool {
		ticks, known := n.raft.Heard(id)
		return known && ticks > departTicks
	})
	if change {
		accepted, out := n.raft.Change(next)
		if accepted {
			n.log.Say(events.MemberChanged, "members", len(next))
			n.carry(out)
		}
	}
	if n.ticks%25 == 0 {
		n.mu.RLock()
		upto := n.state.Expirable(n.Now(), n.props.Bounds.KeyWindow+15*time.Second)
		n.mu.RUnlock()
		if upto > 0 {
			select {
			case n.wishes <- wish{Command{Kind: CommandExpire, Upto: upto}, make(chan Answer, 1), time.Now()}:
			default:
			}
		}
	}
}

// Voters is how many cores should vote, so that what was acknowledged outlasts
// the loss of so many: of twice as many and one, a majority is left.
func Voters(losses int) (wanted int) { return max(3, 2*losses+1) }

// NextMembers is the next single change of membership, if one is due: a
// newcomer becomes a learner; a wiped or departed voter goes when a caught-up
// learner stands ready; a caught-up learner becomes a voter while there are
// fewer than wanted.
func NextMembers(members []Member, self Member, waiting []Member, wanted int, caughtUp func(ID) bool, departed func(ID) bool) (next []Member, change bool) {
	next = append([]Member(nil), members...)
	for _, newcomer := range waiting {
		if _, known := find(members, newcomer.ID); !known {
			newcomer.Voter = false
			return append(next, newcomer), true
		}
	}
	voters, ready := 0, -1
	for i, member := range members {
		if member.Voter {
			voters++
		} else if caughtUp(member.ID) {
			ready = i
		}
	}
	// A later member at the same address is the newer life of the same core.
	replaced := func(at int) bool {
		for _, newer := range members[at+1:] {
			if newer.Inner == members[at].Inner && (departed(members[at].ID) || caughtUp(newer.ID)) {
				return true
			}
		}
		return false
	}
	for i, member := range members {
		if member.ID == self.ID {
			continue
		}
		wiped := replaced(i)
		if member.Voter && wiped && ready >= 0 || member.Voter && departed(member.ID) && ready >= 0 || !member.Voter && (wiped && !caughtUp(member.ID) || departed(member.ID)) {
			return append(next[:i], next[i+1:]...), true
		}
	}
	if ready >= 0 && voters < wanted {
		next[ready].Voter = true
		return next, true
	}
	return nil, false
}

func (n *Node) askToJoin() {
	n.mu.RLock()
	targets := map[string]bool{}
	for _, seed := range n.seeds {
		targets[n.props.Accord(seed)] = true
	}
	for _, inner := range n.book {
		targets[inner] = true
	}
	n.mu.RUnlock()
	delete(targets, n.self.Inner)
	for target := range targets {
		caller := parley.NewCaller(target)
		var reply JoinReply
		if err := caller.Call("Accord.Join", JoinAsk{n.self}, &reply, 300*time.Millisecond); err == nil {
			n.mu.Lock()
			for _, inner := range reply.Inners {
				n.book[ID("heard-"+inner)] = inner
			}
			n.mu.Unlock()
		}
		caller.Close()
	}
}

// scribe is the duty that writes the disk.
func (n *Node) scribe() {
	defer n.stopped.Done()
	for {
		var writes []Write
		select {
		case <-n.stop:
			return
		case writes = <-n.disk:
		}
		for more := true; more && len(writes) < 512; {
			select {
			case next := <-n.disk:
				writes = append(writes, next...)
			default:
				more = false
			}
		}
		for pause := 20 * time.Millisecond; ; pause *= 2 {
			err := n.store.Write(writes)
			if err == nil {
				break
			}
			n.log.Say(events.DiskFailed, "problem", err.Error())
			select {
			case n.tells <- func() { n.carry(n.raft.Resign()) }:
			default:
			}
			if pause > time.Second {
				os.Exit(1)
			}
			time.Sleep(pause)
		}
		note := syncedNote{orders: len(writes)}
		for _, write := range writes {
			for _, message := range write.After {
				n.post(message)
			}
			if len(write.Entries) > 0 || write.Snapshot != nil && write.LastTerm != 0 {
				note.index, note.term = write.Last, write.LastTerm
			}
		}
		select {
		case n.synced <- note:
		case <-n.stop:
			return
		}
	}
}

// sender carries messages to one core.
type sender struct {
	ring   chan Message
	caller *parley.Caller
}

func (n *Node) post(message Message) {
	n.mu.Lock()
	inner := n.book[message.To]
	s := n.senders[message.To]
	if inner != "" && (s == nil || s.caller.Address != inner) {
		if s != nil {
			close(s.ring)
		}
		s = &sender{ring: make(chan Message, 512), caller: parley.NewCaller(inner)}
		n.senders[message.To] = s
		s.caller.DialWait = courierDial
		go n.courier(s)
	}
	if s != nil {
		select {
		case s.ring <- message:
		default:
		}
	}
	n.mu.Unlock()
}

func (n *Node) courier(s *sender) {
	defer s.caller.Close()
	for {
		var message Message
		var open bool
		select {
		case <-n.stop:
			return
		case message, open = <-s.ring:
			if !open {
				return
			}
		}
		batch := Batch{From: n.self.ID, Inner: n.self.Inner, Messages: []Message{message}}
		for more := true; more && len(batch.Messages) < 64; {
			select {
			case message, open = <-s.ring:
				if !open {
					return
				}
				batch.Messages = append(batch.Messages, message)
			default:
				more = false
			}
		}
		if err := s.caller.Call("Accord.Step", batch, &Empty{}, 500*time.Millisecond); err != nil {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-n.stop:
				return
			}
		}
	}
}
