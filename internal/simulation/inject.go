package simulation

// Faults are injected here, and the losses are counted: a controller counts as lost while
// it is down, frozen, slowed or partitioned, and for catch_up after it is back. Disks are
// lost only within the tolerated losses; a controller that keeps its disk may end at any time.

import (
	"fmt"
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

// maxLeaveTime is three quarters of the time that a controller has to end.
const maxLeaveTime = 3750 * time.Millisecond

func (c *Controller) faulty() (isFaulty bool) {
	now := c.cluster.events.now
	return !c.up || c.leavingNow || c.frozen || now < c.slowUntil || now < c.stalledUntil || now < c.fullUntil || c.cluster.network.isPartitioned(c)
}

// watchLosses counts the losses; while more are faulty than are tolerated, nobody's
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

// canLose tells whether this controller may lose its disk now.
func (w *Cluster) canLose(controller *Controller) (allowed bool) {
	lost := w.updateLosses()
	if controller.lost() {
		lost--
	}
	return lost < w.options.Losses
}

// later runs something for a controller unless its process has changed meanwhile.
func (c *Controller) later(span time.Duration, run func()) {
	incarnation := c.incarnation
	c.cluster.events.After(span, func() {
		if c.incarnation == incarnation {
			run()
		}
	})
}

// restartAfter starts a controller after a time.
func (c *Controller) restartAfter(span time.Duration) { c.cluster.events.After(span, c.start) }

// wipe replaces the disk of a controller that is down by an empty one.
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

// bugInitialSnapshot is the injected bug's first snapshot, as if all started for the first time.
func (w *Cluster) bugInitialSnapshot() (base raft.Snapshot) {
	base = raft.Snapshot{Index: 1, Term: 1}
	for i := range 3 {
		host := fmt.Sprintf("core-%d", i)
		base.Members = append(base.Members, raft.Member{ID: raft.ID("founder-" + host), Inner: host, Voter: true})
	}
	return base
}

// inject carries out one fault.
func (w *Cluster) inject(fault Fault) {
	controllers := w.remaining()
	controller := controllers[fault.Controller%len(controllers)]
	rng := rand.New(rand.NewSource(fault.Seed))
	if leader := w.establishedLeader(); leader != nil && rng.Intn(3) == 0 {
		controller = leader
	}
	span := fault.Span
	w.logEvent("fault: %s of %s for %s", fault.Kind, controller.host, span)
	switch fault.Kind {
	case Freeze:
		controller.freeze()
		controller.later(span, controller.resume)
	case Slow:
		controller.slowUntil = w.events.now + span
	case Clock:
		stepClocks(controllers, controller, rng)
	case Cut, OneWay:
		w.cutOff(controllers, controller, fault, rng)
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

// stepClocks moves the wall clock of one controller, or of all.
func stepClocks(controllers []*Controller, controller *Controller, rng *rand.Rand) {
	step := time.Duration(rng.Intn(7200)-3600) * time.Second
	for all := rng.Intn(2) == 0; len(controllers) > 0; controllers = controllers[1:] {
		if all || controllers[0] == controller {
			controllers[0].wallClockOffset += step
		}
	}
}

// cutOff partitions a controller from all others, for OneWay in one direction only.
func (w *Cluster) cutOff(controllers []*Controller, controller *Controller, fault Fault, rng *rand.Rand) {
	in, out := true, true
	if fault.Kind == OneWay {
		in = rng.Intn(2) == 0
		out = !in
	}
	for _, other := range controllers {
		if other != controller && out {
			w.network.partition(controller, other, fault.Span)
		}
		if other != controller && in {
			w.network.partition(other, controller, fault.Span)
		}
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

// replace has a new controller take the place of one that is gone for good.
func (w *Cluster) replace(controller *Controller, span time.Duration) {
	controller.gone = true
	w.startReplacement(span)
}

func (w *Cluster) startReplacement(span time.Duration) (controller *Controller) {
	w.identities++
	host := w.newHost()
	controller = w.addController(host, raft.ID(fmt.Sprintf("%s-%d", host, w.identities)), raft.Snapshot{})
	controller.far = w.options.FarLink > 0
	controller.lostAt = w.events.now
	controller.restartAfter(span)
	return controller
}

// stopAndReplace asks a controller to stop, which leaves the membership and ends; its
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
		w.logEvent("%s is gone", controller.host)
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

// heal ends all faults.
func (w *Cluster) heal() {
	w.logEvent("faults over")
	w.network.cut, w.network.delayed = map[link]int{}, map[link][]func(){}
	w.network.lossyUntil, w.network.dropAnswersUntil, w.requestBurstUntil = 0, 0, 0
	for _, controller := range w.remaining() {
		controller.slowUntil, controller.stalledUntil, controller.fullUntil = 0, 0, 0
		controller.resume()
		controller.start()
	}
}
