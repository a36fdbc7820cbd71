package simulation

// Network carries messages between controllers and calls to them. Links are cut one
// way or both; what is under way through a cut may come late, once it heals.

import (
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

type link struct{ from, to *Controller }

// Network of one run.
type Network struct {
	cluster          *Cluster
	rng              *rand.Rand
	cut              map[link]int
	delayed          map[link][]func()
	lossyUntil       time.Duration
	dropAnswersUntil time.Duration
	resets           map[*Controller]int
}

func newNetwork(cluster *Cluster, rng *rand.Rand) (network *Network) {
	return &Network{cluster: cluster, rng: rng, cut: map[link]int{}, delayed: map[link][]func(){}, resets: map[*Controller]int{}}
}

func (n *Network) delay() (span time.Duration) {
	span = time.Duration(300+n.rng.Intn(2500)) * time.Microsecond
	if n.cluster.events.now < n.lossyUntil && n.rng.Intn(4) == 0 {
		span += time.Duration(n.rng.Intn(400)) * time.Millisecond
	}
	return span
}

// linkDelay is how long a message takes from one controller to another.
func (n *Network) linkDelay(path link) (span time.Duration) {
	span = n.delay()
	if path.from.far != path.to.far {
		span += n.cluster.options.FarLink
	}
	return span
}

// post carries a message of the agreement.
func (n *Network) post(from *Controller, message raft.Message) {
	copies, lost := 1, 0
	if n.cluster.events.now < n.lossyUntil {
		lost = 20
		if n.rng.Intn(8) == 0 {
			copies = 2
		}
	}
	if n.rng.Intn(1000) < 2+10*lost {
		return
	}
	for _, to := range n.cluster.controllers {
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

// call carries a call from one controller to another.
func (n *Network) call(from, to *Controller, run func()) {
	path := link{from, to}
	resets, incarnation := n.resets[from]+n.resets[to], to.incarnation
	deliver := func() {
		if n.resets[from]+n.resets[to] == resets && to.incarnation == incarnation {
			to.receive(run)
		}
	}
	if n.cut[path] > 0 {
		if n.rng.Intn(3) == 0 && len(n.delayed[path]) < 64 {
			n.delayed[path] = append(n.delayed[path], deliver)
		}
		return
	}
	n.cluster.events.After(n.linkDelay(path), deliver)
}

// partition cuts a link for a time.
func (n *Network) partition(from, to *Controller, span time.Duration) {
	path := link{from, to}
	n.cut[path]++
	n.cluster.events.After(span, func() {
		if n.cut[path]--; n.cut[path] > 0 {
			return
		}
		delete(n.cut, path)
		late := n.delayed[path]
		delete(n.delayed, path)
		for _, deliver := range late {
			n.cluster.events.After(n.linkDelay(path)+time.Duration(n.rng.Intn(60))*time.Millisecond, deliver)
		}
	})
}

// isPartitioned tells whether a controller cannot reach another, one way or the other.
func (n *Network) isPartitioned(controller *Controller) (parted bool) {
	for _, other := range n.cluster.controllers {
		if other != controller && !other.gone && (n.cut[link{controller, other}] > 0 || n.cut[link{other, controller}] > 0) {
			return true
		}
	}
	return false
}

// ask carries a caller's call to a controller, and its answer back. The caller hears
// nothing where the call or the answer is lost; it gives up by itself.
func (n *Network) ask(to *Controller, handle func(reply func(back func()))) {
	if !to.up {
		return
	}
	resets, incarnation := n.resets[to], to.incarnation
	complete := func() bool { return n.resets[to] == resets }
	n.cluster.events.After(n.delay(), func() {
		if !complete() || to.incarnation != incarnation {
			return
		}
		to.receive(func() {
			handle(func(back func()) {
				if n.cluster.events.now < n.dropAnswersUntil && n.rng.Intn(2) == 0 {
					return
				}
				n.cluster.events.After(n.delay(), func() {
					if complete() {
						back()
					}
				})
			})
		})
	})
}
