// Choose picks the backend for a round from the scene: of those that may take
// the request, the one that promises the soonest answer, by what the backend
// told of its load or else by what this daemon has there, with a handicap for
// each border crossed, since bytes over borders are dear and slow. A backend
// that is cold is used only under a leased share of its cold rate.
package proxy

import (
	"math/rand"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

// Handicaps, in parts of what an answer takes when its service is calm, or in
// milliseconds.
const (
	handicapBeyond = 0.1
	handicapSite   = 0.5
	handicapAway   = 1.5
	handicapRegion = 0.5
	handicapFar    = 100
	handicapDoubt  = 500
	handicapAsleep = 5000
	usualPace      = 120
	// aimPart of a way's aim is what an answer is taken to need while nothing is
	// known of its service.
	aimPart = 0.28
	// goodCost is how many calm times an answer may be expected to take before
	// others than a daemon's own few are looked at.
	goodCost = 1.6
	// largeBorder makes borders dearer for large answers.
	largeBorder = 3
	// badWeight is how much what failed here lately weighs.
	badWeight = 3
	// trialPart of the requests that may be repeated try a backend that is set
	// aside, each at most once in trialPause.
	trialPart  = 0.1
	trialPause = time.Second
)

// Wanted says what a backend is wanted for.
type Wanted struct {
	Service rpc.ServiceName
	// Aim is the time within which the answer is wanted, 0 where none is set.
	Aim   time.Duration
	Homes []string
	Tried []rpc.ServerID
	// Repeatable tells that the request may run twice.
	Repeatable bool
	// Weights are the day's plan, nil where there is none: regions that it gives
	// nothing are asleep and used only where no other can serve.
	Weights schedule.Weights
	// Away is another site that this request should go to, so that sites of a
	// region are pressed alike.
	Away rpc.SiteName
	// Only is the one backend that it may be, where the request's session is bound.
	Only rpc.ServerID
	// Large tells that the answer may be a large one.
	Large bool
}

// pace is what an answer is taken to need, in milliseconds, while nothing is
// known: a part of what its operator aims at.
func (w Wanted) pace() (pace float64) {
	if w.Aim <= 0 {
		return usualPace
	}
	return aimPart * float64(w.Aim) / float64(time.Millisecond)
}

func (w Wanted) tried(id rpc.ServerID) bool {
	for _, tried := range w.Tried {
		if tried == id {
			return true
		}
	}
	return false
}

func allowed(homes []string, region rpc.RegionName) bool {
	if len(homes) == 0 {
		return true
	}
	for _, home := range homes {
		if home == string(region) {
			return true
		}
	}
	return false
}

// chooser weighs backends for one round.
type chooser struct {
	world   *World
	scene   *Scene
	wanted  Wanted
	now     time.Duration
	streams int
	calm    float64
	border  float64

	best, out         *Server
	bestCost, outCost float64
	any               bool
	trial             *Server
}

// choose names the backend, or tells whether there is any at all. The daemon's
// own few are looked at first, the rest only where those have nothing good.
func (w *World) choose(scene *Scene, wanted Wanted) (chosenServer *Server, any bool) {
	c := &chooser{world: w, scene: scene, wanted: wanted, now: w.clock.Now(), calm: wanted.pace(), border: 1}
	if service := scene.View.Services[string(wanted.Service)]; service != nil {
		c.streams = service.Streams
	}
	if wanted.Large {
		c.border = largeBorder
	}
	if wanted.Only != "" {
		server := scene.server(wanted.Service, wanted.Only)
		if server == nil {
			return nil, false
		}
		c.calm = server.habit.Calm(c.calm)
		if c.weigh(server, true); c.best == nil {
			c.best = c.out
		}
		return c.best, c.any
	}
	near, beyond := scene.Near[wanted.Service], scene.Beyond[wanted.Service]
	if len(near) > 0 {
		c.calm = near[0].habit.Calm(c.calm)
	} else if len(beyond) > 0 {
		c.calm = beyond[0].habit.Calm(c.calm)
	}
	for _, server := range near {
		c.weigh(server, true)
	}
	if wanted.Away != "" || c.best == nil || c.bestCost > goodCost*c.calm {
		// A region that is asleep costs so much that this looks further too.
		for _, server := range beyond {
			c.weigh(server, false)
		}
	}
	if c.trial != nil && rand.Float64() < trialPart {
		c.trial.try(c.now)
		return c.trial, c.any
	}
	if c.best == nil {
		c.best = c.out
	}
	return c.best, c.any
}

// weigh takes one backend into account.
func (c *chooser) weigh(server *Server, near bool) {
	w, now := c.world, c.now
	if c.scene.Evacuate[server.Site] || !allowed(c.wanted.Homes, server.Region) || c.wanted.tried(server.ID) {
		return
	}
	if !w.Orders.Sends(now, server.ID) && (c.wanted.Only == "" || !w.Orders.Keeps(now, server.ID, c.wanted.Service)) {
		c.any = true
		return
	}
	share := max(1, c.scene.Sharers)
	if near {
		share = min(share, max(1, c.scene.Share[c.wanted.Service]))
	}
	server.mu.Lock()
	if server.Draining {
		server.mu.Unlock()
		return
	}
	c.any = true
	slots := max(1, server.Slots)
	room := max(2, (3*slots+share-1)/share)
	if c.streams > 0 {
		room = min(room, max(1, c.streams/share))
	}
	cold := now < server.coldTill
	pace := server.pace
	if server.paceAt == 0 {
		pace = c.calm
	} else if age := now - server.paceAt; age > 5*time.Second {
		pace = min(pace, c.calm)
	}
	jobs, told := server.jobs(now, share)
	queue := jobs / float64(slots)
	if !told {
		queue = min(queue, float64(server.burden))
	}
	cost := pace * (1 + queue)
	if server.doubted(now, c.calm) {
		cost += handicapDoubt
	}
	cost *= 1 + badWeight*server.badness(now)
	aside, trialDue := server.aside, now >= server.trialAt
	out, down, burden := now < server.outTill, server.health == rpc.Down, server.burden
	allowance := 0
	if cold {
		allowance = server.cold.Sum(now)
	}
	server.mu.Unlock()
	if burden >= room {
		return
	}
	if cold {
		if float64(allowance)+1 > w.Share(rpc.ColdRate, string(server.ID)) || burden > 0 {
			return
		}
		cost = 2*cost + 100
	}
	asleep := c.wanted.Weights != nil && c.wanted.Weights[server.Region] == 0
	if asleep {
		cost += handicapAsleep
	}
	switch {
	case c.wanted.Away != "":
		if server.Site != c.wanted.Away {
			cost += handicapAway * c.calm
		}
	case near:
	case string(server.Site) == w.props.Zone:
		cost += handicapBeyond * c.calm
	case string(server.Region) == w.props.Region:
		cost += handicapSite * c.calm * c.border
	default:
		cost += (handicapFar + handicapRegion*c.calm) * c.border
	}
	cost *= 0.85 + 0.3*rand.Float64()
	if aside && !down && !out && near && trialDue && c.wanted.Repeatable {
		c.trial = server
	}
	if out || down || aside {
		if !(down && out) && (c.out == nil || cost < c.outCost) {
			c.out, c.outCost = server, cost
		}
		return
	}
	if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = server, cost
	}
}

// try notes that a backend that is set aside gets a request.
func (s *Server) try(now time.Duration) {
	s.mu.Lock()
	s.trialAt = now + trialPause
	s.mu.Unlock()
}

// target picks a way's service by weight, with a number from 0 to 1.
func target(way *config.Way, draw float64) (service rpc.ServiceName) {
	if len(way.Targets) == 1 {
		return rpc.ServiceName(way.Targets[0].Service)
	}
	sum := 0.0
	for _, part := range way.Targets {
		sum += part.Weight
	}
	at := draw * sum
	for _, part := range way.Targets {
		if at -= part.Weight; at < 0 {
			return rpc.ServiceName(part.Service)
		}
	}
	return rpc.ServiceName(way.Targets[len(way.Targets)-1].Service)
}
