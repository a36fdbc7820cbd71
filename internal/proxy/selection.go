package proxy

import (
	"math/rand"
	"time"

	"tinpin/internal/balancer"
	"tinpin/internal/config"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

const (
	// canaryProbability is how often an idempotent request tries a backend that is
	// ejected, where there is one; each is tried at most once in canaryInterval.
	canaryProbability = 0.1
	canaryInterval    = time.Second
	// minJitter and jitter spread the costs, so that nodes that know the same do
	// not all choose the same backend.
	minJitter = 0.85
	jitter    = 0.3
)

// Criteria says what a backend is wanted for.
type Criteria struct {
	Service rpc.ServiceName
	// TargetLatency is the time within which the response is wanted, 0 where none is set.
	TargetLatency time.Duration
	Homes         []string
	Attempted     []rpc.EndpointID
	// Idempotent tells that the request may run twice.
	Idempotent bool
	// PlanWeights are the schedule's weights, nil where there is none: regions that
	// it gives nothing are used only where no other can serve.
	PlanWeights schedule.Weights
	// OverflowZone is another zone that this request should go to, so that zones of a
	// region are loaded alike.
	OverflowZone rpc.ZoneName
	// Bound is the one backend that it may be, where the request's session is bound.
	Bound rpc.EndpointID
	// Large tells that the response may be a large one.
	Large bool
}

func (c *Criteria) wasAttempted(id rpc.EndpointID) bool {
	for _, attempted := range c.Attempted {
		if attempted == id {
			return true
		}
	}
	return false
}

// selection is one choice of a backend: the cheapest so far of those that have
// nothing against them, and of those that are a last resort.
type selection struct {
	state          *ClusterState
	snapshot       *Snapshot
	criteria       Criteria
	now            time.Duration
	maxConnections int
	pricing        balancer.Pricing

	best, fallback         *Backend
	bestCost, fallbackCost float64
	// canary is an ejected backend that this request may try.
	canary *Backend
	// anyUsable is set once there is a backend that could serve, if perhaps not now.
	anyUsable bool
}

// chooseEndpoint chooses the backend with the least cost, with some jitter; none
// where all are full, and then reports whether there is any at all. The node's
// subset is looked at first, the rest only where that has nothing acceptable.
func (s *ClusterState) chooseEndpoint(snapshot *Snapshot, criteria Criteria) (chosen *Backend, anyUsable bool) {
	c := &selection{state: s, snapshot: snapshot, criteria: criteria, now: s.clock.Now()}
	if service := snapshot.View.Services[string(criteria.Service)]; service != nil {
		c.maxConnections = service.MaxConnections
	}
	if criteria.Bound != "" {
		return c.chooseBound()
	}
	preferred, others := snapshot.Preferred[criteria.Service], snapshot.Others[criteria.Service]
	switch {
	case len(preferred) > 0:
		c.setPricing(preferred[0])
	case len(others) > 0:
		c.setPricing(others[0])
	}
	for _, backend := range preferred {
		c.consider(backend, true)
	}
	if criteria.OverflowZone != "" || c.best == nil || !c.pricing.Acceptable(c.bestCost) {
		for _, backend := range others {
			c.consider(backend, false)
		}
	}
	if c.canary != nil && rand.Float64() < canaryProbability {
		c.canary.noteCanary(c.now)
		return c.canary, c.anyUsable
	}
	return c.bestOrFallback()
}

// chooseBound is the choice where a session is bound to one backend.
func (c *selection) chooseBound() (chosen *Backend, anyUsable bool) {
	backend := c.snapshot.backend(c.criteria.Service, c.criteria.Bound)
	if backend == nil {
		return nil, false
	}
	c.setPricing(backend)
	c.consider(backend, true)
	return c.bestOrFallback()
}

func (c *selection) bestOrFallback() (chosen *Backend, anyUsable bool) {
	if c.best == nil {
		return c.fallback, c.anyUsable
	}
	return c.best, c.anyUsable
}

// setPricing prices the choice by the service of a backend.
func (c *selection) setPricing(backend *Backend) {
	baseline := backend.stats.BaselineLatency(balancer.ExpectedLatencyMS(c.criteria.TargetLatency))
	c.pricing = balancer.NewPricing(baseline, c.criteria.Large)
}

// consider takes one backend into account.
func (c *selection) consider(backend *Backend, preferred bool) {
	if !c.permitted(backend) {
		return
	}
	nodes := max(1, c.snapshot.ReadyNodes)
	if preferred {
		nodes = min(nodes, max(1, c.snapshot.NodesPerBackend[c.criteria.Service]))
	}
	var observed balancer.Observation
	if !backend.observe(c.now, nodes, c.pricing.BaselineMS, &observed) {
		return
	}
	c.anyUsable = true
	if observed.InFlight >= balancer.Capacity(observed.Slots, nodes, c.maxConnections) {
		return
	}
	cost := observed.CostMS()
	if observed.WarmingUp {
		leased := c.state.Leased(rpc.WarmupRate, string(backend.ID))
		if float64(observed.WarmUpSends)+1 > leased || observed.InFlight > 0 {
			return
		}
		cost = balancer.WarmUpCostMS(cost)
	}
	cost = c.placed(cost, backend, preferred) * (minJitter + jitter*rand.Float64())
	if preferred && c.criteria.Idempotent && observed.TakesCanary() {
		c.canary = backend
	}
	if observed.LastResort() {
		c.rankFallback(backend, &observed, cost)
	} else if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = backend, cost
	}
}

// permitted reports whether a request may go to a backend at all.
func (c *selection) permitted(backend *Backend) bool {
	if c.snapshot.Evacuated[backend.Zone] || !config.AllowsRegion(c.criteria.Homes, string(backend.Region)) ||
		c.criteria.wasAttempted(backend.ID) {
		return false
	}
	policies := c.state.Policies
	if policies.AcceptsNew(c.now, backend.ID) ||
		c.criteria.Bound != "" && policies.KeepsSessions(c.now, backend.ID, c.criteria.Service) {
		return true
	}
	c.anyUsable = true
	return false
}

// placed adds to a cost what the backend's place costs.
func (c *selection) placed(cost float64, backend *Backend, preferred bool) float64 {
	if c.criteria.PlanWeights != nil && c.criteria.PlanWeights[backend.Region] == 0 {
		cost = balancer.NotInPlanCostMS(cost)
	}
	if c.criteria.OverflowZone != "" {
		if backend.Zone != c.criteria.OverflowZone {
			cost = c.pricing.NotOverflowZone(cost)
		}
		return cost
	}
	return c.pricing.AtDistance(cost, c.distance(backend, preferred))
}

// distance tells how far a backend is.
func (c *selection) distance(backend *Backend, preferred bool) balancer.Distance {
	switch {
	case preferred:
		return balancer.InSubset
	case string(backend.Zone) == c.state.settings.Zone:
		return balancer.SameZone
	case string(backend.Region) == c.state.settings.Region:
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

// rankFallback compares a backend of last resort with the cheapest so far.
func (c *selection) rankFallback(backend *Backend, observed *balancer.Observation, cost float64) {
	if !observed.Excluded() && (c.fallback == nil || cost < c.fallbackCost) {
		c.fallback, c.fallbackCost = backend, cost
	}
}

// observe fills in what is known of a backend that so many nodes share; false where
// it is draining.
func (b *Backend) observe(now time.Duration, nodes int, baseline float64, observed *balancer.Observation) (known bool) {
	b.mu.Lock()
	if b.Draining {
		b.mu.Unlock()
		return false
	}
	observed.Slots, observed.InFlight = max(1, b.Slots), b.inFlight
	observed.LatencyMS = balancer.CurrentLatencyMS(b.latency, baseline, b.latencyAt != 0, now-b.latencyAt)
	queued, reported := b.queuedRequests(now, nodes)
	observed.Queue = queued / float64(observed.Slots)
	if !reported {
		observed.Queue = min(observed.Queue, float64(b.inFlight))
	}
	observed.Overdue = b.overdue(now, baseline)
	observed.RecentFailures = b.recentFailures(now)
	observed.Unhealthy, observed.Ejected = b.health == rpc.Unhealthy, b.ejected
	observed.Unavailable = now < b.unavailableUntil
	observed.CanaryDue = now >= b.nextCanaryAt
	if observed.WarmingUp = now < b.warmUpUntil; observed.WarmingUp {
		observed.WarmUpSends = b.warmUpSends.Sum(now)
	}
	b.mu.Unlock()
	return true
}

// noteCanary notes that an ejected backend gets a request.
func (b *Backend) noteCanary(now time.Duration) {
	b.mu.Lock()
	b.nextCanaryAt = now + canaryInterval
	b.mu.Unlock()
}

// pickTarget picks a route's service by weight, with a number from 0 to 1.
func pickTarget(route *config.Route, draw float64) (service rpc.ServiceName) {
	if len(route.Targets) == 1 {
		return rpc.ServiceName(route.Targets[0].Service)
	}
	sum := 0.0
	for _, part := range route.Targets {
		sum += part.Weight
	}
	point := draw * sum
	for _, part := range route.Targets {
		if point -= part.Weight; point < 0 {
			return rpc.ServiceName(part.Service)
		}
	}
	return rpc.ServiceName(route.Targets[len(route.Targets)-1].Service)
}
