// Strike brings the troubles about, and keeps the account of what is lost: a
// core counts as lost while it is down, frozen, slowed or cut off, and for
// catch_up after it is back. Disks are lost only within the losses that are
// borne; whatever keeps its disk may go at any time.
package simulation

import (
	"fmt"
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

// leaveMost is three quarters of the time that a core has to end.
const leaveMost = 3750 * time.Millisecond

func (c *Core) troubled() (troubled bool) {
	now := c.world.agenda.now
	return !c.up || c.leavingNow || c.frozen || now < c.slowUntil || now < c.stalled || now < c.fullUntil || c.world.network.parted(c)
}

// watch keeps the account; while more are in trouble than are borne, nobody's
// time to catch up runs.
func (w *World) watch() {
	w.agenda.After(50*time.Millisecond, w.watch)
	w.account()
}

func (w *World) account() (lost int) {
	now, troubled := w.agenda.now, 0
	for _, core := range w.standing() {
		if core.troubled() {
			troubled++
			core.lostAt = now
		}
	}
	for _, core := range w.standing() {
		if core.lost() {
			lost++
			if troubled > w.options.Losses || now < w.network.lossy {
				core.lostAt = now
			}
		}
	}
	return lost
}

func (c *Core) lost() (lost bool) { return c.world.agenda.now-c.lostAt < c.world.options.CatchUp }

// bearable tells whether this core may lose its disk now.
func (w *World) bearable(core *Core) (bearable bool) {
	lost := w.account()
	if core.lost() {
		lost--
	}
	return lost < w.options.Losses
}

// later carries something out for a core unless its process has changed meanwhile.
func (c *Core) later(span time.Duration, run func()) {
	life := c.life
	c.world.agenda.After(span, func() {
		if c.life == life {
			run()
		}
	})
}

// again starts a core after a time.
func (c *Core) again(span time.Duration) { c.world.agenda.After(span, c.start) }

// wipe takes the disk of a core that is down.
func (c *Core) wipe() {
	w := c.world
	_ = c.disk.Close()
	w.lives++
	id, base := raft.ID(fmt.Sprintf("%s-%d", c.host, w.lives)), raft.Snapshot{}
	if w.options.Plant == RestartVotes {
		id, base = c.disk.id, w.founding()
	}
	disk, err := newDisk(id, base, w.options.Plant)
	if err != nil {
		w.fail("%v", err)
		return
	}
	c.disk, c.member.ID = disk, id
}

// founding is the planted fault's first snapshot, as if all started for the first time.
func (w *World) founding() (base raft.Snapshot) {
	base = raft.Snapshot{Index: 1, Term: 1}
	for i := range 3 {
		host := fmt.Sprintf("core-%d", i)
		base.Members = append(base.Members, raft.Member{ID: raft.ID("founder-" + host), Inner: host, Voter: true})
	}
	return base
}

// strike brings one trouble about.
func (w *World) strike(trouble Trouble) {
	cores := w.standing()
	core := cores[trouble.Core%len(cores)]
	luck := rand.New(rand.NewSource(trouble.Luck))
	if leader := w.settled(); leader != nil && luck.Intn(3) == 0 {
		core = leader
	}
	span := trouble.Span
	w.note("trouble: %s of %s for %s", trouble.Kind, core.host, span)
	switch trouble.Kind {
	case Freeze:
		core.freeze()
		core.later(span, core.thaw)
	case Slow:
		core.slowUntil = w.agenda.now + span
	case Clock:
		step := time.Duration(luck.Intn(7200)-3600) * time.Second
		for all := luck.Intn(2) == 0; len(cores) > 0; cores = cores[1:] {
			if all || cores[0] == core {
				cores[0].wall += step
			}
		}
	case Cut, OneWay:
		in, out := true, true
		if trouble.Kind == OneWay {
			in = luck.Intn(2) == 0
			out = !in
		}
		for _, other := range cores {
			if other != core && out {
				w.network.part(core, other, span)
			}
			if other != core && in {
				w.network.part(other, core, span)
			}
		}
	case Reset:
		w.network.resets[core]++
	case Lossy:
		w.network.lossy = w.agenda.now + span
	case Answers:
		w.network.answers = w.agenda.now + span
	case Kill, Power:
		core.end(trouble.Kind == Power)
		core.again(span / 2)
	case PowerAll:
		for _, each := range cores {
			each.end(true)
			each.again(span/2 + time.Duration(luck.Intn(300))*time.Millisecond)
		}
	case Wipe:
		if w.bearable(core) {
			core.end(true)
			core.wipe()
			core.again(span / 2)
		}
	case WipeRest:
		w.wipeRest(core, luck, span)
	case Replace:
		if w.bearable(core) {
			core.end(true)
			w.replace(core, span/2)
		}
	case Supersede:
		w.supersede(core, luck, span)
	case Flap:
		w.flap(core, 2+luck.Intn(4), span)
	case Stall:
		core.stalled = w.agenda.now + span
	case Full:
		core.fullUntil = w.agenda.now + span
	case Storm:
		w.storm = w.agenda.now + span + time.Second
	}
}

// wipeRest is the closing fault: some lose their disks, all others lose power.
func (w *World) wipeRest(core *Core, luck *rand.Rand, span time.Duration) {
	if w.account() > 0 {
		return
	}
	cores := w.standing()
	first := luck.Intn(len(cores))
	for _, each := range cores {
		each.end(true)
		each.again(span/2 + time.Duration(luck.Intn(300))*time.Millisecond)
	}
	for i := range w.options.Losses {
		cores[(first+i)%len(cores)].wipe()
	}
}

// replace has a new core take the place of one that is gone for good.
func (w *World) replace(core *Core, span time.Duration) {
	core.gone = true
	w.successor(span)
}

func (w *World) successor(span time.Duration) (core *Core) {
	w.lives++
	host := w.newHost()
	core = w.addCore(host, raft.ID(fmt.Sprintf("%s-%d", host, w.lives)), raft.Snapshot{})
	core.lostAt = w.agenda.now
	core.again(span)
	return core
}

// supersede asks a core to stop, which leaves by agreement and ends; its
// successor may be there before that or come after it.
func (w *World) supersede(core *Core, luck *rand.Rand, span time.Duration) {
	if !w.bearable(core) || !core.up || core.frozen || core.leavingNow {
		return
	}
	core.lostAt = w.agenda.now
	var successor *Core
	if luck.Intn(2) == 0 {
		successor = w.successor(0)
	}
	core.leave(w.agenda.now+leaveMost, func() {
		core.end(false)
		core.gone = true
		w.note("%s has gone", core.host)
		if successor == nil {
			successor = w.successor(span / 4)
		}
		successor.lostAt = w.agenda.now
	})
}

func (w *World) flap(core *Core, times int, span time.Duration) {
	if times == 0 || core.gone || w.ending {
		return
	}
	core.end(false)
	core.again(span / 3)
	w.agenda.After(span, func() { w.flap(core, times-1, span) })
}

// heal ends all troubles.
func (w *World) heal() {
	w.note("calm")
	w.network.cut, w.network.late = map[way]int{}, map[way][]func(){}
	w.network.lossy, w.network.answers, w.storm = 0, 0, 0
	for _, core := range w.standing() {
		core.slowUntil, core.stalled, core.fullUntil = 0, 0, 0
		core.thaw()
		core.start()
	}
}
