package simulation

// A Controller drives one controller as package node does, in simulated time: it ticks
// raft, sends its messages, has its disk write, applies committed entries to the real
// state machine, batches proposals, compacts the log and reconciles membership. While it
// is frozen, calls to it are deferred; its monotonic clock runs on.

import (
	"errors"
	"math/rand"
	"time"

	"tinpin/internal/membership"
	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

const (
	proposalTimeout     = 900 * time.Millisecond
	staleProposalAge    = 700 * time.Millisecond
	maxPending          = 3
	maxDeferred         = 400
	compactionThreshold = 60
	maxJoinAge          = 100
	logTailEntries      = 20
)

// Answer is what became of a proposal.
type Answer struct {
	Result statemachine.Result
	Clear  bool
}

type proposal struct {
	command   statemachine.Command
	createdAt time.Duration
	done      func(answer Answer)
}

type pendingEntry struct {
	term      raft.Term
	proposals []proposal
}

type joiningController struct {
	member raft.Member
	at     int
}

// Controller is one machine, with the process on it.
type Controller struct {
	cluster *Cluster
	host    string
	// far tells that it lies in another region than the controllers of the start.
	far    bool
	member raft.Member
	disk   *Disk
	rng    *rand.Rand

	up, gone     bool
	incarnation  int
	raft         *raft.Replica
	state        *statemachine.State
	pending      map[raft.Index]pendingEntry
	proposals    []proposal
	joining      []joiningController
	leaving      map[raft.ID]int
	leavingNow   bool
	membership   *membership.Policy
	ticks        int
	leaderSeenAt int

	queue   []raft.Write
	writing []raft.Write

	frozen          bool
	deferred        []func()
	deferredTick    bool
	slowUntil       time.Duration
	busyUntil       time.Duration
	tickDue         bool
	stalledUntil    time.Duration
	fullUntil       time.Duration
	wallClockOffset time.Duration
	lease           Lease

	// lostAt is when the controller was last lost, in the sense of the tolerated losses.
	lostAt time.Duration
}

// start runs the process from what its disk holds.
func (c *Controller) start() {
	w := c.cluster
	if c.up || c.gone {
		return
	}
	hard, base, log, err := c.disk.Load()
	if err != nil {
		w.fail("%v", err)
		return
	}
	w.invariants.Loaded(c.host, base, log)
	if w.failure != "" {
		return
	}
	c.incarnation++
	c.member.ID = c.disk.id
	c.raft = raft.New(c.disk.id, raft.DefaultTiming(), rand.New(rand.NewSource(c.rng.Int63())), hard, base, log)
	if c.state, err = statemachine.Restore(base.Data, w.events.now); err != nil {
		w.fail("%s: the snapshot of %d cannot be read: %v", c.host, base.Index, err)
		return
	}
	c.up, c.frozen, c.deferred, c.deferredTick, c.tickDue = true, false, nil, false, false
	c.raft.SetLogTail(raft.LogTail{Entries: logTailEntries, Bytes: 1 << 20})
	c.lease, c.leaving, c.leavingNow, c.membership = Lease{}, map[raft.ID]int{}, false, w.newMembership()
	c.pending, c.proposals, c.joining, c.queue, c.writing = map[raft.Index]pendingEntry{}, nil, nil, nil, nil
	c.stalledUntil, c.slowUntil, c.busyUntil, c.ticks, c.leaderSeenAt = 0, 0, 0, 0, 0
	w.logEvent("%s starts as %s with term %d, a snapshot of %d and a log up to %d", c.host, c.member.ID, hard.Term, base.Index, c.raft.LastIndex())
	c.scheduleTick(c.incarnation)
}

// end ends the process; with the power goes all that was not synced.
func (c *Controller) end(power bool) {
	if !c.up {
		return
	}
	c.up, c.frozen, c.deferred = false, false, nil
	c.lostAt = c.cluster.events.now
	var err error
	switch {
	case power:
		err = c.disk.LosePower(c.writing, c.rng)
	default:
		if len(c.writing) > 0 && c.rng.Intn(2) == 0 {
			err = c.disk.Write(c.writing)
		}
		_ = c.disk.Close()
	}
	if err != nil {
		c.cluster.fail("%s: %v", c.host, err)
	}
	c.queue, c.writing = nil, nil
	// The callers of proposals whose process is gone get no answer.
	c.proposals, c.pending = nil, map[raft.Index]pendingEntry{}
}

func (c *Controller) scheduleTick(incarnation int) {
	c.cluster.events.After(raft.TickInterval, func() {
		if !c.up || c.incarnation != incarnation {
			return
		}
		c.scheduleTick(incarnation)
		if c.frozen {
			c.deferredTick = true
			return
		}
		if c.tickDue {
			return
		}
		c.tickDue = true
		c.receive(c.tick)
	})
}

// receive has the process do something now, or when it can.
func (c *Controller) receive(run func()) {
	if !c.up {
		return
	}
	if c.frozen {
		if len(c.deferred) < maxDeferred {
			c.deferred = append(c.deferred, run)
		}
		return
	}
	now := c.cluster.events.now
	if now >= c.slowUntil && now >= c.busyUntil {
		run()
		return
	}
	if now < c.slowUntil {
		c.busyUntil = max(c.busyUntil, now) + time.Duration(2+c.rng.Intn(24))*time.Millisecond
	}
	incarnation := c.incarnation
	c.cluster.events.After(c.busyUntil-now, func() {
		switch {
		case !c.up || c.incarnation != incarnation:
		case c.frozen:
			c.receive(run)
		default:
			run()
		}
	})
}

func (c *Controller) freeze() { c.frozen, c.deferredTick = c.up, false }

// resume wakes the process: mostly its handlers run before its first tick, and
// not always in the order in which they were called.
func (c *Controller) resume() {
	if !c.up || !c.frozen {
		return
	}
	c.frozen = false
	c.lostAt = c.cluster.events.now
	deferred := c.deferred
	c.deferred = nil
	if c.rng.Intn(2) == 0 {
		c.rng.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	}
	tick := c.deferredTick && !c.tickDue
	if tick && c.rng.Intn(4) == 0 {
		tick = false
		c.tick()
	}
	incarnation := c.incarnation
	for _, run := range deferred {
		if c.up && c.incarnation == incarnation {
			run()
		}
	}
	if tick && c.up && c.incarnation == incarnation {
		c.tick()
	}
}

func (c *Controller) tick() {
	c.tickDue = false
	c.ticks++
	c.perform(c.replica().Tick())
	if c.ticks%reconcileTicks == 0 && c.up {
		c.reconcileMembership()
	}
	c.propose()
}

// step takes a message from another controller.
func (c *Controller) step(message raft.Message) {
	if c.cluster.options.InjectedBug == LateSnapshot && c.dropBehind(message) {
		return
	}
	c.perform(c.replica().Step(message))
	c.propose()
}

// dropBehind is the injected bug of a late snapshot: the log is dropped for it.
func (c *Controller) dropBehind(message raft.Message) (dropped bool) {
	snapshot := message.Snapshot
	if message.Kind != raft.MsgSnapshot || snapshot == nil || message.Term < c.raft.Term() || message.To != c.member.ID ||
		snapshot.Index >= c.raft.LastIndex() || len(c.queue)+len(c.writing) > 0 {
		return false
	}
	state, err := statemachine.Restore(snapshot.Data, c.cluster.events.now)
	if err != nil {
		return false
	}
	hard := raft.HardState{Term: message.Term}
	if message.Term == c.disk.hard.Term {
		hard.Vote = c.disk.hard.Vote
	}
	write := raft.Write{HardState: &hard, TruncateFrom: 1, Snapshot: snapshot}
	if c.disk.Write([]raft.Write{write}) != nil {
		return false
	}
	c.disk.base, c.disk.log = *snapshot, nil
	c.state = state
	c.raft = raft.New(c.member.ID, raft.DefaultTiming(), rand.New(rand.NewSource(c.rng.Int63())), hard, *snapshot, nil)
	return true
}

// perform does what a step asked for.
func (c *Controller) perform(out raft.Output) {
	w := c.cluster
	c.lease.end(c)
	for _, message := range out.Messages {
		c.send(message)
	}
	if len(out.Writes) > 0 {
		c.queue = append(c.queue, out.Writes...)
		switch w.options.InjectedBug {
		case ForgetSync:
			c.report(out.Writes)
		case SendBeforeSync:
			for _, write := range out.Writes {
				for _, message := range write.AfterSync {
					c.send(message)
				}
			}
		}
		c.write()
	}
	if out.Restore != nil {
		state, err := statemachine.Restore(out.Restore.Data, w.events.now)
		if err != nil {
			w.fail("%s: the snapshot of %d cannot be read: %v", c.host, out.Restore.Index, err)
			return
		}
		w.invariants.Restored(c.host, *out.Restore)
		c.state = state
	}
	for _, entry := range out.Committed {
		c.apply(entry)
	}
	if c.raft.Role() == raft.Leader {
		w.invariants.Leads(c.raft.Term(), c.member.ID)
	} else {
		c.abandonPending()
	}
	c.lease.renew(c)
	if c.raft.LeaderID() != "" {
		c.leaderSeenAt = c.ticks
	}
	if len(out.Committed) > 0 && c.raft.CommitIndex()-c.raft.SnapshotIndex() > compactionThreshold {
		c.compact()
	}
}

// abandonPending leaves those without a clear answer whose entries another leader decides on.
func (c *Controller) abandonPending() {
	for _, index := range sortedKeys(c.pending) {
		for _, pending := range c.pending[index].proposals {
			c.answer(pending, Answer{Clear: c.cluster.options.InjectedBug == UnknownAsRejected, Result: statemachine.Result{Err: errors.New("not carried out")}})
		}
	}
	clear(c.pending)
}

func (c *Controller) answer(pending proposal, answer Answer) { pending.done(answer) }

func (c *Controller) apply(entry raft.Entry) {
	w := c.cluster
	w.invariants.Applied(c.host, entry)
	commands, err := statemachine.DecodeCommands(entry.Data)
	if err != nil {
		w.fail("%s: entry %d: %v", c.host, entry.Index, err)
		return
	}
	results := make([]statemachine.Result, len(commands))
	for i, command := range commands {
		results[i] = w.options.InjectedBug.alterResult(c.state, command, c.state.Apply(uint64(entry.Index), command, w.events.now))
	}
	pending, known := c.pending[entry.Index]
	if !known {
		return
	}
	delete(c.pending, entry.Index)
	for i := range pending.proposals {
		if pending.term == entry.Term && i < len(results) {
			c.answer(pending.proposals[i], Answer{Result: results[i], Clear: true})
		} else {
			c.answer(pending.proposals[i], Answer{})
		}
	}
}

func (c *Controller) compact() {
	data, err := c.state.Snapshot()
	if err != nil {
		c.cluster.fail("%s: the state cannot be written: %v", c.host, err)
		return
	}
	if done, out := c.raft.Compact(c.raft.CommitIndex(), data); done {
		c.perform(out)
	}
}

// write starts the next write of the queue, if the disk is idle.
func (c *Controller) write() {
	if len(c.writing) > 0 || len(c.queue) == 0 {
		return
	}
	c.writing, c.queue = c.queue, nil
	c.finishIn(time.Duration(800+c.rng.Intn(2500)) * time.Microsecond)
}

func (c *Controller) finishIn(span time.Duration) {
	incarnation := c.incarnation
	c.cluster.events.After(span, func() {
		if !c.up || c.incarnation != incarnation {
			return
		}
		now := c.cluster.events.now
		if now < c.stalledUntil {
			c.finishIn(c.stalledUntil - now)
			return
		}
		if now < c.fullUntil {
			c.perform(c.raft.TransferLeadership())
			c.finishIn(80 * time.Millisecond)
			return
		}
		writes := c.writing
		if err := c.disk.Write(writes); err != nil {
			c.cluster.fail("%s: %v", c.host, err)
			return
		}
		c.cluster.invariants.Wrote(c.host, writes)
		c.writing = nil
		if c.cluster.options.InjectedBug != ForgetSync {
			c.receive(func() { c.report(writes) })
		}
		c.write()
	})
}

// report tells raft what is on disk, and sends what waited for it.
func (c *Controller) report(writes []raft.Write) {
	for _, write := range writes {
		if c.cluster.options.InjectedBug != SendBeforeSync {
			for _, message := range write.AfterSync {
				c.send(message)
			}
		}
	}
	c.perform(c.replica().ReportSynced(len(writes)))
	c.propose()
}

func (c *Controller) send(message raft.Message) {
	c.cluster.invariants.Sends(c, message)
	c.cluster.network.post(c, message)
}

// submit asks for a command to be carried out.
func (c *Controller) submit(command statemachine.Command, done func(answer Answer)) {
	open, incarnation := true, c.incarnation
	once := func(answer Answer) {
		if open {
			open = false
			done(answer)
		}
	}
	c.proposals = append(c.proposals, proposal{command, c.cluster.events.now, once})
	c.cluster.events.After(proposalTimeout, func() {
		if c.up && c.incarnation == incarnation {
			c.receive(func() { once(Answer{}) })
		}
	})
	c.propose()
}

// propose batches the waiting proposals into one log entry.
func (c *Controller) propose() {
	for c.up && len(c.proposals) > 0 && (c.raft.Role() != raft.Leader || c.raft.AcceptsProposals() && len(c.pending) < maxPending) {
		var batch []proposal
		for _, pending := range c.proposals {
			if c.cluster.events.now-pending.createdAt > staleProposalAge || c.raft.Role() != raft.Leader {
				c.answer(pending, Answer{})
				continue
			}
			batch = append(batch, pending)
		}
		c.proposals = nil
		if len(batch) == 0 {
			return
		}
		commands := make([]statemachine.Command, len(batch))
		for i := range batch {
			commands[i] = batch[i].command
		}
		index, term, accepted, out := c.raft.Propose(statemachine.EncodeCommands(commands))
		if !accepted {
			for _, pending := range batch {
				c.answer(pending, Answer{})
			}
			return
		}
		c.pending[index] = pendingEntry{term, batch}
		if c.cluster.options.InjectedBug == CommitWithoutQuorum {
			for _, pending := range batch {
				c.answer(pending, Answer{Clear: true, Result: statemachine.Result{Granted: true}})
			}
		}
		c.perform(out)
	}
}

// isLeader tells whether this controller may answer as the leader does.
func (c *Controller) isLeader() (leads bool) { return c.raft.CommittedInTerm() }

// mayServeReads tells whether it may answer from its state at this moment.
func (c *Controller) mayServeReads() (fresh bool) { return c.isLeader() && c.lease.covers(c) }

// replica gives raft the simulated monotonic time.
func (c *Controller) replica() (state *raft.Replica) { return c.raft.At(c.cluster.events.now) }
