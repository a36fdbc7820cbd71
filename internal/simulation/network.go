// Network carries messages between cores and calls to them. Links are cut one
// way or both; what is under way through a cut may come late, once it heals.
package simulation

import (
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

type way struct{ from, to *Core }

// Network of one run.
type Network struct {
	world   *World
	luck    *rand.Rand
	cut     map[way]int
	late    map[way][]func()
	lossy   time.Duration
	answers time.Duration
	resets  map[*Core]int
}

func newNetwork(world *World, luck *rand.Rand) (network *Network) {
	return &Network{world: world, luck: luck, cut: map[way]int{}, late: map[way][]func(){}, resets: map[*Core]int{}}
}

func (n *Network) delay() (span time.Duration) {
	span = time.Duration(300+n.luck.Intn(2500)) * time.Microsecond
	if n.world.agenda.now < n.lossy && n.luck.Intn(4) == 0 {
		span += time.Duration(n.luck.Intn(400)) * time.Millisecond
	}
	return span
}

// post carries a message of the agreement.
func (n *Network) post(from *Core, message raft.Message) {
	copies, lost := 1, 0
	if n.world.agenda.now < n.lossy {
		lost = 20
		if n.luck.Intn(8) == 0 {
			copies = 2
		}
	}
	if n.luck.Intn(1000) < 2+10*lost {
		return
	}
	for _, to := range n.world.cores {
		if to.disk.id != message.To {
			continue
		}
		for range copies {
			n.call(from, to, func() {
				if to.member.ID == message.To {
					to.step(message)
				}
			})
		}
	}
}

// call carries something from one core to another.
func (n *Network) call(from, to *Core, run func()) {
	link := way{from, to}
	resets, life := n.resets[from]+n.resets[to], to.life
	deliver := func() {
		if n.resets[from]+n.resets[to] == resets && to.life == life {
			to.receive(run)
		}
	}
	if n.cut[link] > 0 {
		if n.luck.Intn(3) == 0 && len(n.late[link]) < 64 {
			n.late[link] = append(n.late[link], deliver)
		}
		return
	}
	n.world.agenda.After(n.delay(), deliver)
}

// part cuts a link for a time.
func (n *Network) part(from, to *Core, span time.Duration) {
	link := way{from, to}
	n.cut[link]++
	n.world.agenda.After(span, func() {
		if n.cut[link]--; n.cut[link] > 0 {
			return
		}
		delete(n.cut, link)
		late := n.late[link]
		delete(n.late, link)
		for _, deliver := range late {
			n.world.agenda.After(n.delay()+time.Duration(n.luck.Intn(60))*time.Millisecond, deliver)
		}
	})
}

// parted tells whether a core cannot speak with another, one way or the other.
func (n *Network) parted(core *Core) (parted bool) {
	for _, other := range n.world.cores {
		if other != core && !other.gone && (n.cut[way{core, other}] > 0 || n.cut[way{other, core}] > 0) {
			return true
		}
	}
	return false
}

// ask carries a caller's call to a core, and its answer back. The caller hears
// nothing where the call or the answer is lost; it gives up by itself.
func (n *Network) ask(to *Core, handle func(reply func(back func()))) {
	if !to.up {
		return
	}
	resets, life := n.resets[to], to.life
	whole := func() bool { return n.resets[to] == resets }
	n.world.agenda.After(n.delay(), func() {
		if !whole() || to.life != life {
			return
		}
		to.receive(func() {
			handle(func(back func()) {
				if n.world.agenda.now < n.answers && n.luck.Intn(2) == 0 {
					return
				}
				n.world.agenda.After(n.delay(), func() {
					if whole() {
						back()
					}
				})
			})
		})
	})
}
