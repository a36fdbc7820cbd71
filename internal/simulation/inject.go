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

func (c *Controller) faulty() (isFaulty bool) {
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
	now, faultyCount := w.events.now, 0
	for _, controller := range w.remaining() {
		if controller.faulty() {
			faultyCount++
			controller.lostAt = now
		}
	}
	for _, controller := range w.remaining() {
		if controller.lost() {
			lost++
			if faultyCount > w.options.Losses || now < w.network.lossyUntil {
				controller.lostAt = now
			}
		}
	}
	return lost
}

func (c *Controller) lost() (lost bool) {
	return c.cluster.events.now-c.lostAt < c.cluster.options.CatchUp
}

// canLose tells whether this core may lose its disk now.
func (w *Cluster) canLose(controller *Controller) (allowed bool) {
	lost := w.updateLosses()
	if controller.lost() {
		lost--
	}
	return lost < w.options.Losses
}

// later carries something out for a core unless its process has changed meanwhile.
func (c *Controller) later(span time.Duration, run func()) {
	incarnation := c.incarnation
	c.cluster.events.After(span, func() {
		if c.incarnation == incarnation {
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
	controllers := w.remaining()
	controller := controllers[fault.Controller%len(controllers)]
	rng := rand.New(rand.NewSource(fault.Seed))
	if leader := w.establishedLeader(); leader != nil && rng.Intn(3) == 0 {
		controller = leader
	}
	span := fault.Span
	w.logEvent("trouble: %s of %s for %s", fault.Kind, controller.host, span)
	switch fault.Kind {
	case Freeze:
		controller.freeze()
		controller.later(span, controller.resume)
	case Slow:
		controller.slowUntil = w.events.now + span
	case Clock:
		step := time.Duration(rng.Intn(7200)-3600) * time.Second
		for all := rng.Intn(2) == 0; len(controllers) > 0; controllers = controllers[1:] {
			if all || controllers[0] == controller {
				controllers[0].wallClockOffset += step
			}
		}
	case Cut, OneWay:
		in, out := true, true
		if fault.Kind == OneWay {
			in = rng.Intn(2) == 0
			out = !in
		}
		for _, other := range controllers {
			if other != controller && out {
				w.network.partition(controller, other, span)
			}
			if other != controller && in {
				w.network.partition(other, controller, span)
			}
		}
	case Reset:
		w.network.resets[controller]++
	case Lossy:
		w.network.lossyUntil = w.events.now + span
	case Answers:
		w.network.dropAnswersUntil = w.events.now + span
	case Kill, Power:
		controller.end(fault.Kind == Power)
		controller.restartAfter(span / 2)
	case PowerAll:
		for _, each := range controllers {
			each.end(true)
			each.restartAfter(span/2 + time.Duration(rng.Intn(300))*time.Millisecond)
		}
	case Wipe:
		if w.canLose(controller) {
			controller.end(true)
			controller.wipe()
			controller.restartAfter(span / 2)
		}
	case WipeRest:
		w.wipeRest(controller, rng, span)
	case Replace:
		if w.canLose(controller) {
			controller.end(true)
			w.replace(controller, span/2)
		}
	case Supersede:
		w.stopAndReplace(controller, rng, span)
	case Flap:
		w.flap(controller, 2+rng.Intn(4), span)
	case Stall:
		controller.stalledUntil = w.events.now + span
	case Full:
		controller.fullUntil = w.events.now + span
	case Storm:
		w.requestBurstUntil = w.events.now + span + time.Second
	}
}

// wipeRest is the closing fault: some lose their disks, all others lose power.
func (w *Cluster) wipeRest(controller *Controller, rng *rand.Rand, span time.Duration) {
	if w.updateLosses() > 0 {
		return
	}
	controllers := w.remaining()
	first := rng.Intn(len(controllers))
	for _, each := range controllers {
		each.end(true)
		each.restartAfter(span/2 + time.Duration(rng.Intn(300))*time.Millisecond)
	}
	for i := range w.options.Losses {
		controllers[(first+i)%len(controllers)].wipe()
	}
}

// replace has a new core take the place of one that is gone for good.
func (w *Cluster) replace(controller *Controller, span time.Duration) {
	controller.gone = true
	w.startReplacement(span)
}

func (w *Cluster) startReplacement(span time.Duration) (controller *Controller) {
	w.identities++
	host := w.newHost()
	controller = w.addController(host, raft.ID(fmt.Sprintf("%s-%d", host, w.identities)), raft.Snapshot{})
	controller.lostAt = w.events.now
	controller.restartAfter(span)
	return controller
}

// stopAndReplace asks a core to stop, which leaves by agreement and ends; its
// successor may be there before that or come after it.
func (w *Cluster) stopAndReplace(controller *Controller, rng *rand.Rand, span time.Duration) {
	if !w.canLose(controller) || !controller.up || controller.frozen || controller.leavingNow {
		return
	}
	controller.lostAt = w.events.now
	var successor *Controller
	if rng.Intn(2) == 0 {
		successor = w.startReplacement(0)
	}
	controller.leave(w.events.now+maxLeaveTime, func() {
		controller.end(false)
		controller.gone = true
		w.logEvent("%s has gone", controller.host)
		if successor == nil {
			successor = w.startReplacement(span / 4)
		}
		successor.lostAt = w.events.now
	})
}

func (w *Cluster) flap(controller *Controller, times int, span time.Duration) {
	if times == 0 || controller.gone || w.ending {
		return
	}
	controller.end(false)
	controller.restartAfter(span / 3)
	w.events.After(span, func() { w.flap(controller, times-1, span) })
}

// heal ends all troubles.
func (w *Cluster) heal() {
	w.logEvent("calm")
	w.network.cut, w.network.delayed = map[link]int{}, map[link][]func(){}
	w.network.lossyUntil, w.network.dropAnswersUntil, w.requestBurstUntil = 0, 0, 0
	for _, controller := range w.remaining() {
		controller.slowUntil, controller.stalledUntil, controller.fullUntil = 0, 0, 0
		controller.resume()
		controller.start()
	}
}
