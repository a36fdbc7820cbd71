// Core drives one core as a node does, in simulated time: it ticks the
// agreement, carries its messages, has its disk write, applies what is
// committed to the real state, puts wishes together, cuts the log and keeps
// house. While it is frozen what comes to it waits; its steady clock runs on.
package simulation

import (
	"errors"
	"math/rand"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

const (
	patience    = 900 * time.Millisecond
	staleWish   = 700 * time.Millisecond
	mostPending = 3
	mostHeld    = 400
	compactMost = 60
	joinAge     = 100
	tailMost    = 20
)

// Answer is what became of a wish.
type Answer struct {
	Result statemachine.Result
	Clear  bool
}

type wish struct {
	command statemachine.Command
	born    time.Duration
	done    func(answer Answer)
}

type pendingEntry struct {
	term   raft.Term
	wishes []wish
}

type joiner struct {
	member raft.Member
	at     int
}

// Core is one machine of the core, with the process on it.
type Core struct {
	world  *World
	host   string
	member raft.Member
	disk   *Disk
	luck   *rand.Rand

	up, gone   bool
	life       int
	raft       *raft.Replica
	state      *statemachine.State
	pending    map[raft.Index]pendingEntry
	wishes     []wish
	joiners    []joiner
	leaving    map[raft.ID]int
	leavingNow bool
	membership *raft.Policy
	ticks      int
	heardAt    int

	queue   []raft.Write
	writing []raft.Write

	frozen    bool
	held      []func()
	heldTick  bool
	slowUntil time.Duration
	busyUntil time.Duration
	tickDue   bool
	stalled   time.Duration
	fullUntil time.Duration
	wall      time.Duration
	lease     Lease

	// lostAt is when the core was last lost, in the sense of the losses borne.
	lostAt time.Duration
}

// start runs the process from what its disk holds.
func (c *Core) start() {
	w := c.world
	if c.up || c.gone {
		return
	}
	hard, base, log, err := c.disk.Load()
	if err != nil {
		w.fail("%v", err)
		return
	}
	w.witness.Loaded(c.host, base, log)
	if w.broken != "" {
		return
	}
	c.life++
	c.member.ID = c.disk.id
	c.raft = raft.New(c.disk.id, raft.DefaultTiming(), rand.New(rand.NewSource(c.luck.Int63())), hard, base, log)
	if c.state, err = statemachine.Restore(base.Data, w.agenda.now); err != nil {
		w.fail("%s: the snapshot of %d cannot be read: %v", c.host, base.Index, err)
		return
	}
	c.up, c.frozen, c.held, c.heldTick, c.tickDue = true, false, nil, false, false
	c.raft.SetLogTail(raft.LogTail{Entries: tailMost, Bytes: 1 << 20})
	c.lease, c.leaving, c.leavingNow, c.membership = Lease{}, map[raft.ID]int{}, false, w.newMembership()
	c.pending, c.wishes, c.joiners, c.queue, c.writing = map[raft.Index]pendingEntry{}, nil, nil, nil, nil
	c.stalled, c.slowUntil, c.busyUntil, c.ticks, c.heardAt = 0, 0, 0, 0, 0
	w.note("%s starts as %s with term %d, a snapshot of %d and a log up to %d", c.host, c.member.ID, hard.Term, base.Index, c.raft.LastIndex())
	c.scheduleTick(c.life)
}

// end ends the process; with the power goes all that was not synced.
func (c *Core) end(power bool) {
	if !c.up {
		return
	}
	c.up, c.frozen, c.held = false, false, nil
	c.lostAt = c.world.agenda.now
	var err error
	switch {
	case power:
		err = c.disk.LosePower(c.writing, c.luck)
	default:
		if len(c.writing) > 0 && c.luck.Intn(2) == 0 {
			err = c.disk.Write(c.writing)
		}
		_ = c.disk.Close()
	}
	if err != nil {
		c.world.fail("%s: %v", c.host, err)
	}
	c.queue, c.writing = nil, nil
	for _, waiting := range c.wishes {
		c.world.drop(waiting)
	}
	c.wishes, c.pending = nil, map[raft.Index]pendingEntry{}
}

func (c *Core) scheduleTick(life int) {
	c.world.agenda.After(raft.TickInterval, func() {
		if !c.up || c.life != life {
			return
		}
		c.scheduleTick(life)
		if c.frozen {
			c.heldTick = true
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
func (c *Core) receive(run func()) {
	if !c.up {
		return
	}
	if c.frozen {
		if len(c.held) < mostHeld {
			c.held = append(c.held, run)
		}
		return
	}
	now := c.world.agenda.now
	if now >= c.slowUntil && now >= c.busyUntil {
		run()
		return
	}
	if now < c.slowUntil {
		c.busyUntil = max(c.busyUntil, now) + time.Duration(2+c.luck.Intn(24))*time.Millisecond
	}
	life := c.life
	c.world.agenda.After(c.busyUntil-now, func() {
		switch {
		case !c.up || c.life != life:
		case c.frozen:
			c.receive(run)
		default:
			run()
		}
	})
}

func (c *Core) freeze() { c.frozen, c.heldTick = c.up, false }

// thaw wakes the process: mostly its handlers run before its first tick, and
// not always in the order in which they were called.
func (c *Core) thaw() {
	if !c.up || !c.frozen {
		return
	}
	c.frozen = false
	c.lostAt = c.world.agenda.now
	held := c.held
	c.held = nil
	if c.luck.Intn(2) == 0 {
		c.luck.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	}
	tick := c.heldTick && !c.tickDue
	if tick && c.luck.Intn(4) == 0 {
		tick = false
		c.tick()
	}
	life := c.life
	for _, run := range held {
		if c.up && c.life == life {
			run()
		}
	}
	if tick && c.up && c.life == life {
		c.tick()
	}
}

func (c *Core) tick() {
	c.tickDue = false
	c.ticks++
	c.carry(c.at().Tick())
	if c.ticks%houseTicks == 0 && c.up {
		c.keepHouse()
	}
	c.propose()
}

// step takes a message from another core.
func (c *Core) step(message raft.Message) {
	if c.world.options.Plant == LateSnapshot && c.dropBehind(message) {
		return
	}
	c.carry(c.at().Step(message))
	c.propose()
}

// dropBehind is the planted fault of a late snapshot: the log is put away for it.
func (c *Core) dropBehind(message raft.Message) (dropped bool) {
	snapshot := message.Snapshot
	if message.Kind != raft.MsgSnapshot || snapshot == nil || message.Term < c.raft.Term() || message.To != c.member.ID ||
		snapshot.Index >= c.raft.LastIndex() || len(c.queue)+len(c.writing) > 0 {
		return false
	}
	state, err := statemachine.Restore(snapshot.Data, c.world.agenda.now)
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
	c.raft = raft.New(c.member.ID, raft.DefaultTiming(), rand.New(rand.NewSource(c.luck.Int63())), hard, *snapshot, nil)
	return true
}

// carry does what a step asked for.
func (c *Core) carry(out raft.Output) {
	w := c.world
	c.lease.end(c)
	for _, message := range out.Messages {
		c.post(message)
	}
	if len(out.Writes) > 0 {
		c.queue = append(c.queue, out.Writes...)
		switch w.options.Plant {
		case ForgetSync:
			c.report(out.Writes)
		case EarlyTell:
			for _, write := range out.Writes {
				for _, message := range write.AfterSync {
					c.post(message)
				}
			}
		}
		c.write()
	}
	if out.Restore != nil {
		state, err := statemachine.Restore(out.Restore.Data, w.agenda.now)
		if err != nil {
			w.fail("%s: the snapshot of %d cannot be read: %v", c.host, out.Restore.Index, err)
			return
		}
		w.witness.Restored(c.host, *out.Restore)
		c.state = state
	}
	for _, entry := range out.Committed {
		c.apply(entry)
	}
	if c.raft.Role() == raft.Leader {
		w.witness.Leads(c.raft.Term(), c.member.ID)
	} else {
		c.forsake()
	}
	c.lease.renew(c)
	if c.raft.LeaderID() != "" {
		c.heardAt = c.ticks
	}
	if len(out.Committed) > 0 && c.raft.CommitIndex()-c.raft.SnapshotIndex() > compactMost {
		c.compact()
	}
}

// forsake leaves those without a clear answer whose entries another leader decides on.
func (c *Core) forsake() {
	for _, index := range sortedKeys(c.pending) {
		for _, waiting := range c.pending[index].wishes {
			c.answer(waiting, Answer{Clear: c.world.options.Plant == UnclearNo, Result: statemachine.Result{Err: errors.New("not carried out")}})
		}
	}
	clear(c.pending)
}

func (c *Core) answer(waiting wish, answer Answer) { waiting.done(answer) }

func (c *Core) apply(entry raft.Entry) {
	w := c.world
	w.witness.Applied(c.host, entry)
	commands, err := statemachine.DecodeCommands(entry.Data)
	if err != nil {
		w.fail("%s: entry %d: %v", c.host, entry.Index, err)
		return
	}
	results := make([]statemachine.Result, len(commands))
	for i, command := range commands {
		results[i] = w.options.Plant.bend(c.state, command, c.state.Apply(uint64(entry.Index), command, w.agenda.now))
	}
	waiting, known := c.pending[entry.Index]
	if !known {
		return
	}
	delete(c.pending, entry.Index)
	for i := range waiting.wishes {
		if waiting.term == entry.Term && i < len(results) {
			c.answer(waiting.wishes[i], Answer{Result: results[i], Clear: true})
		} else {
			c.answer(waiting.wishes[i], Answer{})
		}
	}
}

func (c *Core) compact() {
	data, err := c.state.Snapshot()
	if err != nil {
		c.world.fail("%s: the state cannot be written: %v", c.host, err)
		return
	}
	if done, out := c.raft.Compact(c.raft.CommitIndex(), data); done {
		c.carry(out)
	}
}

// write has the disk take up what waits, if it is idle.
func (c *Core) write() {
	if len(c.writing) > 0 || len(c.queue) == 0 {
		return
	}
	c.writing, c.queue = c.queue, nil
	c.finishIn(time.Duration(800+c.luck.Intn(2500)) * time.Microsecond)
}

func (c *Core) finishIn(span time.Duration) {
	life := c.life
	c.world.agenda.After(span, func() {
		if !c.up || c.life != life {
			return
		}
		now := c.world.agenda.now
		if now < c.stalled {
			c.finishIn(c.stalled - now)
			return
		}
		if now < c.fullUntil {
			c.carry(c.raft.TransferLeadership())
			c.finishIn(80 * time.Millisecond)
			return
		}
		writes := c.writing
		if err := c.disk.Write(writes); err != nil {
			c.world.fail("%s: %v", c.host, err)
			return
		}
		c.world.witness.Wrote(c.host, writes)
		c.writing = nil
		if c.world.options.Plant != ForgetSync {
			c.receive(func() { c.report(writes) })
		}
		c.write()
	})
}

// report tells the agreement what is on disk, and sends what waited for it.
func (c *Core) report(writes []raft.Write) {
	for _, write := range writes {
		if c.world.options.Plant != EarlyTell {
			for _, message := range write.AfterSync {
				c.post(message)
			}
		}
	}
	c.carry(c.at().ReportSynced(len(writes)))
	c.propose()
}

func (c *Core) post(message raft.Message) {
	c.world.witness.Sends(c, message)
	c.world.network.post(c, message)
}

// put asks for a command to be carried out.
func (c *Core) put(command statemachine.Command, done func(answer Answer)) {
	open, life := true, c.life
	once := func(answer Answer) {
		if open {
			open = false
			done(answer)
		}
	}
	c.wishes = append(c.wishes, wish{command, c.world.agenda.now, once})
	c.world.agenda.After(patience, func() {
		if c.up && c.life == life {
			c.receive(func() { once(Answer{}) })
		}
	})
	c.propose()
}

// propose puts the wishes that wait together into the log.
func (c *Core) propose() {
	for c.up && len(c.wishes) > 0 && (c.raft.Role() != raft.Leader || c.raft.AcceptsProposals() && len(c.pending) < mostPending) {
		var batch []wish
		for _, waiting := range c.wishes {
			if c.world.agenda.now-waiting.born > staleWish || c.raft.Role() != raft.Leader {
				c.answer(waiting, Answer{})
				continue
			}
			batch = append(batch, waiting)
		}
		c.wishes = nil
		if len(batch) == 0 {
			return
		}
		commands := make([]statemachine.Command, len(batch))
		for i := range batch {
			commands[i] = batch[i].command
		}
		index, term, accepted, out := c.raft.Propose(statemachine.EncodeCommands(commands))
		if !accepted {
			for _, waiting := range batch {
				c.answer(waiting, Answer{})
			}
			return
		}
		c.pending[index] = pendingEntry{term, batch}
		if c.world.options.Plant == LoneCommit {
			for _, waiting := range batch {
				c.answer(waiting, Answer{Clear: true, Result: statemachine.Result{Granted: true}})
			}
		}
		c.carry(out)
	}
}

// leads tells whether this core may answer as the leader does.
func (c *Core) leads() (leads bool) { return c.raft.CommittedInTerm() }

// fresh tells whether it may answer from its state at this moment.
func (c *Core) fresh() (fresh bool) { return c.leads() && c.lease.covers(c) }

// at gives the agreement the steady time.
func (c *Core) at() (state *raft.Replica) { return c.raft.At(c.world.agenda.now) }
