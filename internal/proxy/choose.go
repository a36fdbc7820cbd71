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
	penaltyOutsideSubset   = 0.1
	penaltyOtherZone       = 0.5
	penaltyNotOverflowZone = 1.5
	penaltyOtherRegion     = 0.5
	penaltyOtherRegionMS   = 100
	penaltySuspectMS       = 500
	penaltyNotInPlanMS     = 5000
	defaultLatencyMS       = 120
	// targetLatencyPart of a way's aim is what an answer is taken to need while nothing is
	// known of its service.
	targetLatencyPart = 0.28
	// goodCostFactor is how many calm times an answer may be expected to take before
	// others than a daemon's own few are looked at.
	goodCostFactor = 1.6
	// largeBorderFactor makes borders dearer for large answers.
	largeBorderFactor = 3
	// failureWeight is how much what failed here lately weighs.
	failureWeight = 3
	// trialProbability of the requests that may be repeated try a backend that is set
	// aside, each at most once in trialPause.
	trialProbability = 0.1
	trialInterval    = time.Second
)

// Criteria says what a backend is wanted for.
type Criteria struct {
	Service rpc.ServiceName
	// TargetLatency is the time within which the answer is wanted, 0 where none is set.
	TargetLatency time.Duration
	Homes         []string
	Tried         []rpc.EndpointID
	// Idempotent tells that the request may run twice.
	Idempotent bool
	// PlanWeights are the day's plan, nil where there is none: regions that it gives
	// nothing are asleep and used only where no other can serve.
	PlanWeights schedule.Weights
	// OverflowZone is another site that this request should go to, so that sites of a
	// region are pressed alike.
	OverflowZone rpc.ZoneName
	// Bound is the one backend that it may be, where the request's session is bound.
	Bound rpc.EndpointID
	// Large tells that the answer may be a large one.
	Large bool
}

// expectedLatencyMS is what an answer is taken to need, in milliseconds, while nothing is
// known: a part of what its operator aims at.
func (w Criteria) expectedLatencyMS() (pace float64) {
	if w.TargetLatency <= 0 {
		return defaultLatencyMS
	}
	return targetLatencyPart * float64(w.TargetLatency) / float64(time.Millisecond)
}

func (w Criteria) wasTried(id rpc.EndpointID) bool {
	for _, tried := range w.Tried {
		if tried == id {
			return true
		}
	}
	return false
}

// selection weighs backends for one round.
type selection struct {
	state          *ClusterState
	snapshot       *Snapshot
	criteria       Criteria
	now            time.Duration
	maxConnections int
	calmLatencyMS  float64
	borderFactor   float64

	best, fallback         *Backend
	bestCost, fallbackCost float64
	anyUsable              bool
	trial                  *Backend
}

// chooseEndpoint names the backend, or tells whether there is any at all. The daemon's
// own few are looked at first, the rest only where those have nothing good.
func (w *ClusterState) chooseEndpoint(scene *Snapshot, wanted Criteria) (chosenServer *Backend, any bool) {
	c := &selection{state: w, snapshot: scene, criteria: wanted, now: w.clock.Now(), calmLatencyMS: wanted.expectedLatencyMS(), borderFactor: 1}
	if service := scene.View.Services[string(wanted.Service)]; service != nil {
		c.maxConnections = service.MaxConnections
	}
	if wanted.Large {
		c.borderFactor = largeBorderFactor
	}
	if wanted.Bound != "" {
		server := scene.server(wanted.Service, wanted.Bound)
		if server == nil {
			return nil, false
		}
		c.calmLatencyMS = server.stats.BaselineLatency(c.calmLatencyMS)
		if c.consider(server, true); c.best == nil {
			c.best = c.fallback
		}
		return c.best, c.anyUsable
	}
	near, beyond := scene.Preferred[wanted.Service], scene.Others[wanted.Service]
	if len(near) > 0 {
		c.calmLatencyMS = near[0].stats.BaselineLatency(c.calmLatencyMS)
	} else if len(beyond) > 0 {
		c.calmLatencyMS = beyond[0].stats.BaselineLatency(c.calmLatencyMS)
	}
	for _, server := range near {
		c.consider(server, true)
	}
	if wanted.OverflowZone != "" || c.best == nil || c.bestCost > goodCostFactor*c.calmLatencyMS {
		// A region that is asleep costs so much that this looks further too.
		for _, server := range beyond {
			c.consider(server, false)
		}
	}
	if c.trial != nil && rand.Float64() < trialProbability {
		c.trial.noteTrial(c.now)
		return c.trial, c.anyUsable
	}
	if c.best == nil {
		c.best = c.fallback
	}
	return c.best, c.anyUsable
}

// consider takes one backend into account.
func (c *selection) consider(server *Backend, near bool) {
	w, now := c.state, c.now
	if c.snapshot.Evacuated[server.Zone] || !config.AllowsRegion(c.criteria.Homes, string(server.Region)) || c.criteria.wasTried(server.ID) {
		return
	}
	if !w.Policies.AcceptsNew(now, server.ID) && (c.criteria.Bound == "" || !w.Policies.KeepsSessions(now, server.ID, c.criteria.Service)) {
		c.anyUsable = true
		return
	}
	share := max(1, c.snapshot.ReadyNodes)
	if near {
		share = min(share, max(1, c.snapshot.NodesPerBackend[c.criteria.Service]))
	}
	server.mu.Lock()
	if server.Draining {
		server.mu.Unlock()
		return
	}
	c.anyUsable = true
	slots := max(1, server.Slots)
	room := max(2, (3*slots+share-1)/share)
	if c.maxConnections > 0 {
		room = min(room, max(1, c.maxConnections/share))
	}
	cold := now < server.warmUpUntil
	pace := server.latency
	if server.latencyAt == 0 {
		pace = c.calmLatencyMS
	} else if age := now - server.latencyAt; age > 5*time.Second {
		pace = min(pace, c.calmLatencyMS)
	}
	jobs, told := server.queuedRequests(now, share)
	queue := jobs / float64(slots)
	if !told {
		queue = min(queue, float64(server.inFlight))
	}
	cost := pace * (1 + queue)
	if server.overdue(now, c.calmLatencyMS) {
		cost += penaltySuspectMS
	}
	cost *= 1 + failureWeight*server.recentFailures(now)
	aside, trialDue := server.ejected, now >= server.nextTrialAt
	out, down, burden := now < server.unavailableUntil, server.health == rpc.Unhealthy, server.inFlight
	allowance := 0
	if cold {
		allowance = server.warmUpSends.Sum(now)
	}
	server.mu.Unlock()
	if burden >= room {
		return
	}
	if cold {
		if float64(allowance)+1 > w.Leased(rpc.WarmupRate, string(server.ID)) || burden > 0 {
			return
		}
		cost = 2*cost + 100
	}
	asleep := c.criteria.PlanWeights != nil && c.criteria.PlanWeights[server.Region] == 0
	if asleep {
		cost += penaltyNotInPlanMS
	}
	switch {
	case c.criteria.OverflowZone != "":
		if server.Zone != c.criteria.OverflowZone {
			cost += penaltyNotOverflowZone * c.calmLatencyMS
		}
	case near:
	case string(server.Zone) == w.settings.Zone:
		cost += penaltyOutsideSubset * c.calmLatencyMS
	case string(server.Region) == w.settings.Region:
		cost += penaltyOtherZone * c.calmLatencyMS * c.borderFactor
	default:
		cost += (penaltyOtherRegionMS + penaltyOtherRegion*c.calmLatencyMS) * c.borderFactor
	}
	cost *= 0.85 + 0.3*rand.Float64()
	if aside && !down && !out && near && trialDue && c.criteria.Idempotent {
		c.trial = server
	}
	if out || down || aside {
		if !(down && out) && (c.fallback == nil || cost < c.fallbackCost) {
			c.fallback, c.fallbackCost = server, cost
		}
		return
	}
	if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = server, cost
	}
}

// noteTrial notes that a backend that is set aside gets a request.
func (s *Backend) noteTrial(now time.Duration) {
	s.mu.Lock()
	s.nextTrialAt = now + trialInterval
	s.mu.Unlock()
}

// pickTarget picks a way's service by weight, with a number from 0 to 1.
func pickTarget(way *config.Route, draw float64) (service rpc.ServiceName) {
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
