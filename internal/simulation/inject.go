package simulation

// Strike brings the troubles about, and keeps the account of what is lost: a
// core counts as lost while it is down, frozen, slowed or cut off, and for
// catch_up after it is back. Disks are lost only within the losses that are
// borne; whatever keeps its disk may go at any time.

import (
	"fmt"
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

// maxLeaveTime is three quarters of the time that a core has to end.
const maxLeaveTime = 3750 * time.Millisecond

func (c *Controller) faulty() (troubled bool) {
	now := c.cluster.events.now
	return !c.up || c.leavingNow || c.frozen || now < c.slowUntil || now < c.stalledUntil || now < c.fullUntil || c.cluster.network.isPartitioned(c)
}

// watchLosses keeps the account; while more are in trouble than are borne, nobody's
// time to catch up runs.
func (w *Cluster) watchLosses() {
	w.events.After(50*time.Millisecond, w.watchLosses)
	w.updateLosses()
}

func (w *Cluster) updateLosses() (lost int) {
	now, troubled := w.events.now, 0
	for _, core := range w.remaining() {
		if core.faulty() {
			troubled++
			core.lostAt = now
		}
	}
	for _, core := range w.remaining() {
		if core.lost() {
			lost++
			if troubled > w.options.Losses || now < w.network.lossyUntil {
				core.lostAt = now
			}
		}
	}
	return lost
}

func (c *Controller) lost() (lost bool) {
	return c.cluster.events.now-c.lostAt < c.cluster.options.CatchUp
}

// canLose tells whether this core may lose its disk now.
func (w *Cluster) canLose(core *Controller) (bearable bool) {
	lost := w.updateLosses()
	if core.lost() {
		lost--
	}
	return lost < w.options.Losses
}

// later carries something out for a core unless its process has changed meanwhile.
func (c *Controller) later(span time.Duration, run func()) {
	life := c.incarnation
	c.cluster.events.After(span, func() {
		if c.incarnation == life {
			run()
		}
	})
}

// restartAfter starts a core after a time.
func (c *Controller) restartAfter(span time.Duration) { c.cluster.events.After(span, c.start) }

// wipe takes the disk of a core that is down.
func (c *Controller) wipe() {
	w := c.cluster
	_ = c.disk.Close()
	w.identities++
	id, base := raft.ID(fmt.Sprintf("%s-%d", c.host, w.identities)), raft.Snapshot{}
	if w.options.InjectedBug == RestartVotes {
		id, base = c.disk.id, w.bugInitialSnapshot()
	}
	disk, err := newDisk(id, base, w.options.InjectedBug)
	if err != nil {
		w.fail("%v", err)
		return
	}
	c.disk, c.member.ID = disk, id
}

// bugInitialSnapshot is the planted fault's first snapshot, as if all started for the first time.
func (w *Cluster) bugInitialSnapshot() (base raft.Snapshot) {
	base = raft.Snapshot{Index: 1, Term: 1}
	for i := range 3 {
		host := fmt.Sprintf("core-%d", i)
		base.Members = append(base.Members, raft.Member{ID: raft.ID("founder-" + host), Inner: host, Voter: true})
	}
	return base
}

// inject brings one trouble about.
func (w *Cluster) inject(fault Fault) {
	cores := w.remaining()
	core := cores[fault.Core%len(cores)]
	rng := rand.New(rand.NewSource(fault.Seed))
	if leader := w.establishedLeader(); leader != nil && rng.Intn(3) == 0 {
		core = leader
	}
	span := fault.Span
	w.logEvent("trouble: %s of %s for %s", fault.Kind, core.host, span)
	switch fault.Kind {
	case Freeze:
		core.freeze()
		core.later(span, core.resume)
	case Slow:
		core.slowUntil = w.events.now + span
	case Clock:
		step := time.Duration(rng.Intn(7200)-3600) * time.Second
		for all := rng.Intn(2) == 0; len(cores) > 0; cores = cores[1:] {
			if all || cores[0] == core {
				cores[0].wallClockOffset += step
			}
		}
	case Cut, OneWay:
		in, out := true, true
		if fault.Kind == OneWay {
			in = rng.Intn(2) == 0
			out = !in
		}
		for _, other := range cores {
			if other != core && out {
				w.network.partition(core, other, span)
			}
			if other != core && in {
				w.network.partition(other, core, span)
			}
		}
	case Reset:
		w.network.resets[core]++
	case Lossy:
		w.network.lossyUntil = w.events.now + span
	case Answers:
		w.network.dropAnswersUntil = w.events.now + span
	case Kill, Power:
		core.end(fault.Kind == Power)
		core.restartAfter(span / 2)
	case PowerAll:
		for _, each := range cores {
			each.end(true)
			each.restartAfter(span/2 + time.Duration(rng.Intn(300))*time.Millisecond)
		}
	case Wipe:
		if w.canLose(core) {
			core.end(true)
			core.wipe()
			core.restartAfter(span / 2)
		}
	case WipeRest:
		w.wipeRest(core, rng, span)
	case Replace:
		if w.canLose(core) {
			core.end(true)
			w.replace(core, span/2)
		}
	case Supersede:
		w.stopAndReplace(core, rng, span)
	case Flap:
		w.flap(core, 2+rng.Intn(4), span)
	case Stall:
		core.stalledUntil = w.events.now + span
	case Full:
		core.fullUntil = w.events.now + span
	case Storm:
		w.requestBurstUntil = w.events.now + span + time.Second
	}
}

// wipeRest is the closing fault: some lose their disks, all others lose power.
func (w *Cluster) wipeRest(core *Controller, rng *rand.Rand, span time.Duration) {
	if w.updateLosses() > 0 {
		return
	}
	cores := w.remaining()
	first := rng.Intn(len(cores))
	for _, each := range cores {
		each.end(true)
		each.restartAfter(span/2 + time.Duration(rng.Intn(300))*time.Millisecond)
	}
	for i := range w.options.Losses {
		cores[(first+i)%len(cores)].wipe()
	}
}

// replace has a new core take the place of one that is gone for good.
func (w *Cluster) replace(core *Controller, span time.Duration) {
	core.gone = true
	w.startReplacement(span)
}

func (w *Cluster) startReplacement(span time.Duration) (core *Controller) {
	w.identities++
	host := w.newHost()
	core = w.addCore(host, raft.ID(fmt.Sprintf("%s-%d", host, w.identities)), raft.Snapshot{})
	core.lostAt = w.events.now
	core.restartAfter(span)
	return core
}

// stopAndReplace asks a core to stop, which leaves by agreement and ends; its
// successor may be there before that or come after it.
func (w *Cluster) stopAndReplace(core *Controller, rng *rand.Rand, span time.Duration) {
	if !w.canLose(core) || !core.up || core.frozen || core.leavingNow {
		return
	}
	core.lostAt = w.events.now
	var successor *Controller
	if rng.Intn(2) == 0 {
		successor = w.startReplacement(0)
	}
	core.leave(w.events.now+maxLeaveTime, func() {
		core.end(false)
		core.gone = true
		w.logEvent("%s has gone", core.host)
		if successor == nil {
			successor = w.startReplacement(span / 4)
		}
		successor.lostAt = w.events.now
	})
}

func (w *Cluster) flap(core *Controller, times int, span time.Duration) {
	if times == 0 || core.gone || w.ending {
		return
	}
	core.end(false)
	core.restartAfter(span / 3)
	w.events.After(span, func() { w.flap(core, times-1, span) })
}

// heal ends all troubles.
func (w *Cluster) heal() {
	w.logEvent("calm")
	w.network.cut, w.network.delayed = map[link]int{}, map[link][]func(){}
	w.network.lossyUntil, w.network.dropAnswersUntil, w.requestBurstUntil = 0, 0, 0
	for _, core := range w.remaining() {
		core.slowUntil, core.stalledUntil, core.fullUntil = 0, 0, 0
		core.resume()
		core.start()
	}
}
