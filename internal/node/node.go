package node

import (
	crand "crypto/rand"
	"errors"
	"math/rand"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/membership"
	"tinpin/internal/raft"
	"tinpin/internal/settings"
	"tinpin/internal/statemachine"
	"tinpin/internal/storage"
)

const (
	maxInFlight       = 3
	proposalTimeout   = 700 * time.Millisecond
	peerDialTimeout   = 120 * time.Millisecond
	maxProposals      = 2048
	compactCount      = 4000
	compactBytes      = 12 << 20
	rejectionLogTicks = 40
)

// Node is one controller's part of the group.
type Node struct {
	settings  settings.Settings
	log       *eventlog.Logger
	self      raft.Member
	raft      *raft.Replica
	store     *storage.Store
	startedAt time.Time
	inbox     chan []raft.Message
	proposals chan proposal
	// droppedProposals counts those that nobody waited for any more.
	droppedProposals atomic.Int64
	syncedWrites     chan int
	writes           chan []raft.Write
	calls            chan func()
	stop             chan struct{}
	goroutines       sync.WaitGroup

	lease           atomic.Pointer[lease]
	mu              sync.RWMutex
	state           *statemachine.State
	role            raft.Role
	leaderHeardAt   time.Duration
	committedInTerm bool
	leader          raft.ID
	term            raft.Term
	members         []raft.Member
	peerAddresses   map[raft.ID]string
	seeds           []string

	senders            map[sendPath]*peerSender
	pending            map[raft.Index]pendingEntry
	joinCandidates     map[raft.ID]joinCandidate
	leaving            map[raft.ID]int
	rejectedCandidates map[raft.ID]int
	departing          bool
	membersChanged     bool
	waiting            waitingChange

	policy *membership.Policy

	logSize        int
	replayEnd      raft.Index
	rejections     rejectionLog
	ticks          int
	leaderSeenTick int

	// History remembers what became of changes here.
	History *history.Recorder

	// OnChange is called after the state changed, OnLeadership when leadership came or went.
	OnChange     func()
	OnLeadership func(leads bool, term raft.Term)
}

// OpenNode opens the disk and makes the node ready to run.
func OpenNode(p settings.Settings, log *eventlog.Logger) (node *Node, err error) {
	if p.DataDirectory == "" {
		return nil, raft.Class.New("data is empty: a controller needs a folder")
	}
	if err = os.MkdirAll(p.DataDirectory, 0o755); err != nil {
		return nil, raft.Class.Wrap(err)
	}
	store, err := storage.OpenStore(p.DataDirectory, storage.WaitingFS(p.DataDirectory, log))
	if err != nil {
		log.Emit(eventlog.RecordCorrupt, eventlog.KeyError, err.Error())
		return nil, err
	}
	id, hard, base, entries, err := store.Load()
	if err != nil {
		log.Emit(eventlog.RecordCorrupt, eventlog.KeyError, err.Error())
		return nil, errors.Join(err, store.Close())
	}
	node = &Node{
		settings: p, log: log, store: store, startedAt: time.Now(),
		inbox: make(chan []raft.Message, 256), proposals: make(chan proposal, maxProposals), syncedWrites: make(chan int, 256),
		writes: make(chan []raft.Write, 1024), calls: make(chan func(), 64), stop: make(chan struct{}),
		peerAddresses: map[raft.ID]string{}, senders: map[sendPath]*peerSender{}, pending: map[raft.Index]pendingEntry{}, joinCandidates: map[raft.ID]joinCandidate{},
		leaving: map[raft.ID]int{}, rejectedCandidates: map[raft.ID]int{}, policy: membership.NewPolicy(p.ToleratedMachineLosses, p.ToleratedZoneLosses, p.Bounds.CatchUp),
		seeds: p.Seeds, History: history.New(log), OnChange: func() {}, OnLeadership: func(bool, raft.Term) {},
	}
	inner := p.ControllerInternalAddress()
	if id == "" {
		id, base = NewIdentity(p)
		if err = store.Initialize(id, base); err != nil {
			return nil, err
		}
	}
	node.self = raft.Member{ID: id, Inner: inner, Control: p.ControlAddress, Site: p.Zone}
	if node.state, err = statemachine.Restore(base.Data, node.Now()); err != nil {
		return nil, err
	}
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	random := rand.New(rand.NewSource(int64(seed[0]) | int64(seed[1])<<8 | int64(seed[2])<<16 | int64(seed[3])<<24))
	node.raft = raft.New(id, raft.DefaultTiming(), random, hard, base, entries)
	node.replayEnd = node.raft.LastIndex()
	node.publishStatus()
	return node, nil
}

// Now is this node's steady clock.
func (n *Node) Now() time.Duration { return time.Since(n.startedAt) }

// Run starts the event loop and the write loop.
func (n *Node) Run() {
	n.goroutines.Add(2)
	go n.eventLoop()
	go n.writeLoop()
}

// Close stops the node. Leave comes before, where others go on.
func (n *Node) Close() {
	close(n.stop)
	// A disk that stands still must not hold the end up.
	closed := make(chan struct{})
	go func() {
		n.goroutines.Wait()
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

// ReadState calls look with the state while its lock is held.
func (n *Node) ReadState(look func(state *statemachine.State)) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	look(n.state)
}

// Status reports the leader that this node knows. A leader that was not heard from for the
// longest election timeout is not named.
func (n *Node) Status() (leads, settled bool, term raft.Term, leader raft.Member, members []raft.Member) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.role == raft.Leader || n.Now()-n.leaderHeardAt < raft.LeaderHintElections*raft.ElectionTicks*raft.TickInterval {
		leader, _ = raft.FindMember(n.members, n.leader)
	}
	return n.role == raft.Leader, n.committedInTerm, n.term, leader, n.members
}

// Self is this node as a member.
func (n *Node) Self() raft.Member { return n.self }

// Empty is a response without content.
type Empty struct{}

// Service receives the calls of other controllers.
type Service struct{ node *Node }

// Service is the receiver to register for calls of other controllers.
func (n *Node) Service() *Service { return &Service{n} }

// eventLoop steps the replica. The replica, the pending proposals and what the membership
// policy needs belong to its goroutine alone; others reach them through calls.
func (n *Node) eventLoop() {
	defer n.goroutines.Done()
	ticker := time.NewTicker(raft.TickInterval)
	defer ticker.Stop()
	for {
		var proposals <-chan proposal
		if len(n.pending) < maxInFlight && n.raft.AcceptsProposals() || n.raft.Role() != raft.Leader {
			proposals = n.proposals
		}
		select {
		case <-n.stop:
			return
		case batch := <-n.inbox:
			for _, message := range batch {
				n.handleOutput(n.raft.At(n.Now()).Step(message))
			}
		case first := <-proposals:
			n.proposeBatch(first)
		case orders := <-n.syncedWrites:
			n.handleOutput(n.raft.At(n.Now()).ReportSynced(orders))
		case tell := <-n.calls:
			tell()
		case <-ticker.C:
			n.ticks++
			n.handleOutput(n.raft.At(n.Now()).Tick())
			if n.ticks%reconcileTicks == 0 {
				n.reconcileMembers()
			} else if n.membersChanged && n.raft.CommittedInTerm() {
				n.changeMembers()
			}
		}
	}
}

// handleOutput carries out what a step asked for. The lease is revoked before anything is
// sent that may let another lead, and extended by publishStatus after all was applied.
func (n *Node) handleOutput(out raft.Output) {
	n.revokeLease()
	for _, message := range out.Messages {
		n.send(message)
	}
	for _, refusal := range out.Rejected {
		n.rejections.record(n.log, n.ticks, refusal)
	}
	if len(out.Writes) > 0 && !n.queueWrites(out.Writes) {
		return
	}
	if out.Restore != nil {
		n.restoreState(out.Restore)
	}
	changed := false
	for _, entry := range out.Committed {
		changed = n.apply(entry) || changed
	}
	n.publishStatus()
	if changed {
		n.OnChange()
	}
	if len(out.Committed) > 0 && (n.raft.CommitIndex()-n.raft.SnapshotIndex() > compactCount || n.logSize > compactBytes) {
		n.compact()
	}
}

// queueWrites hands writes to the write loop; it is false where the node stops.
func (n *Node) queueWrites(writes []raft.Write) (queued bool) {
	for _, write := range writes {
		for i := range write.Entries {
			n.logSize += len(write.Entries[i].Data) + 32
		}
	}
	select {
	case n.writes <- writes:
		return true
	case <-n.stop:
		return false
	}
}

// restoreState replaces the state by that of a snapshot; a node that cannot read it ends.
func (n *Node) restoreState(snapshot *raft.Snapshot) {
	state, err := statemachine.Restore(snapshot.Data, n.Now())
	if err != nil {
		n.log.Emit(eventlog.DiskWriteFailed, eventlog.KeyError, err.Error())
		os.Exit(1)
	}
	n.mu.Lock()
	n.state = state
	n.mu.Unlock()
	n.OnChange()
}

// recordChanges records the changed documents, retirements and schedule steps in the history.
func (n *Node) recordChanges(before uint64, quiet bool) {
	for kind, document := range n.state.Documents {
		if document.Rev > before {
			n.History.Record(history.Document, string(kind), "applied", document.Summary(), document.Rev, quiet)
		}
	}
	for id, retired := range n.state.Retirements {
		if retired.Rev > before {
			n.History.Record(history.Retirement, string(id), "applied", retired.Summary(), retired.Rev, quiet)
		}
	}
	if move := n.state.ScheduleStep; move.Rev > before {
		n.History.Record(history.ScheduleStep, "day-plan", "applied", move.Summary(), move.Rev, quiet)
	}
}

func (n *Node) apply(entry raft.Entry) (changed bool) {
	commands, err := statemachine.DecodeCommands(entry.Data)
	if err != nil {
		n.log.Emit(eventlog.DiskWriteFailed, eventlog.KeyIndex, uint64(entry.Index), eventlog.KeyError, err.Error())
		os.Exit(1)
	}
	now := n.Now()
	results := make([]statemachine.Result, len(commands))
	n.mu.Lock()
	before := n.state.Revision
	for i, command := range commands {
		results[i] = n.state.Apply(uint64(entry.Index), command, now)
	}
	changed = n.state.Revision != before
	if changed {
		n.recordChanges(before, entry.Index <= n.replayEnd)
		for _, item := range n.state.Config.Since(before) {
			n.History.Record(history.Item, item.Path(), "applied", item.Summary(), item.Rev, entry.Index <= n.replayEnd)
		}
		for _, evacuation := range n.state.Evacuations {
			if evacuation.Revision > before {
				n.History.Record(history.Evacuation, evacuation.Zone, "applied", evacuation.Summary(), evacuation.Revision, entry.Index <= n.replayEnd)
			}
		}
	}
	n.mu.Unlock()
	waiting, known := n.pending[entry.Index]
	if known {
		delete(n.pending, entry.Index)
		for i := range waiting.proposals {
			answer := Outcome{}
			if waiting.term == entry.Term && i < len(results) {
				answer = Outcome{Result: results[i], Known: true}
			}
			waiting.proposals[i].done <- answer
		}
	}
	return changed
}

func (n *Node) compact() {
	n.mu.RLock()
	data, err := n.state.Snapshot()
	n.mu.RUnlock()
	if err != nil {
		n.log.Emit(eventlog.DiskWriteFailed, eventlog.KeyError, err.Error())
		return
	}
	done, out := n.raft.Compact(n.raft.CommitIndex(), data)
	if !done {
		return
	}
	n.logSize = 0
	n.handleOutput(out)
	n.log.Emit(eventlog.SnapshotWritten, eventlog.KeyIndex, uint64(n.raft.SnapshotIndex()), eventlog.KeyBytes, len(data))
}

// publishStatus copies role, term, leader and members for other goroutines to read.
func (n *Node) publishStatus() {
	role, leader, term, settled := n.raft.Role(), n.raft.LeaderID(), n.raft.Term(), n.raft.CommittedInTerm()
	n.mu.Lock()
	before := n.role == raft.Leader && n.committedInTerm
	was := n.term
	n.role, n.leader, n.term, n.committedInTerm, n.leaderHeardAt = role, leader, term, settled, n.raft.LeaderHeardAt()
	members := n.raft.Members()
	if len(members) != len(n.members) || len(members) > 0 && &members[0] != &n.members[0] {
		n.members = members
		for _, member := range members {
			n.peerAddresses[member.ID] = member.Inner
		}
	}
	n.mu.Unlock()
	n.extendLease()
	if leader != "" {
		n.leaderSeenTick = n.ticks
	}
	after := role == raft.Leader && settled
	if before && (!after || was != term) {
		n.log.Emit(eventlog.LeadershipLost, eventlog.KeyTerm, uint64(was))
		n.OnLeadership(false, was)
	}
	if after && (!before || was != term) {
		n.log.Emit(eventlog.LeaderElected, eventlog.KeyTerm, uint64(term))
		n.OnLeadership(true, term)
	}
	if role != raft.Leader {
		n.abandonPending()
	}
}

// abandonPending answers all pending proposals as unknown: a later leader may commit them.
func (n *Node) abandonPending() {
	for index, waiting := range n.pending {
		for i := range waiting.proposals {
			waiting.proposals[i].done <- Outcome{}
		}
		delete(n.pending, index)
	}
}
