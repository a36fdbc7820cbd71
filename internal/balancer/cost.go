// Package balancer reckons where a request should go: what a backend costs, as the
// latency to expect of it, and which backends a node uses first. It is arithmetic
// on values and holds no state and no locks: the proxy observes its backends, asks
// for the cost of each and takes the cheapest. Everything may be called from any
// goroutine.
package balancer

import "time"

// Penalties, as parts of the service's baseline latency or in milliseconds.
const (
	penaltyOutsideSubset   = 0.1
	penaltyOtherZone       = 0.5
	penaltyNotOverflowZone = 1.5
	penaltyOtherRegion     = 0.5
	penaltyOtherRegionMS   = 100
	penaltyOverdueMS       = 500
	penaltyNotInPlanMS     = 5000
	penaltyWarmUpMS        = 100
	// warmUpFactor makes a backend that is warming up dearer than one that is not.
	warmUpFactor = 2
	// failureWeight is how much recent failures weigh.
	failureWeight = 3
	// largeResponseFactor makes zone and region borders dearer for large responses.
	largeResponseFactor = 3
	// acceptableFactor is how many baseline latencies a response may be expected to
	// take before backends outside the subset are looked at.
	acceptableFactor = 1.6
)

const (
	// DefaultLatencyMS is what a response is expected to take, in milliseconds,
	// where neither the service nor a target latency is known.
	DefaultLatencyMS = 120
	// targetLatencyPart of a route's target latency is expected while nothing is
	// known of its service.
	targetLatencyPart = 0.28
	// latencyMemory is how long a backend's latency stands against a lower baseline.
	latencyMemory = 5 * time.Second
	// queueDepth is how many requests for each of its slots a backend may hold.
	queueDepth = 3
)

// Distance is how far a backend is from this node.
type Distance uint8

// The distances.
const (
	// InSubset: the node uses the backend first.
	InSubset Distance = iota
	SameZone
	SameRegion
	OtherRegion
)

// Observation is what a node knows of one backend in the moment of a choice.
type Observation struct {
	Slots, InFlight int
	// LatencyMS is what a response takes, in milliseconds, where nothing waits.
	LatencyMS float64
	// Queue is how many requests are ahead for each slot.
	Queue float64
	// Overdue tells that a response is overdue and nothing else was heard.
	Overdue bool
	// RecentFailures is how much failed lately, 0 to 1.
	RecentFailures float64
	// Unhealthy is what the health checks say, Ejected what the outcomes of all
	// nodes say, Unavailable what this node saw itself.
	Unhealthy, Ejected, Unavailable bool
	// CanaryDue tells that a canary request may go to the backend though it is ejected.
	CanaryDue bool
	// WarmingUp backends take only what a lease allows; WarmUpSends counts what
	// this node sent within the lease's second.
	WarmingUp   bool
	WarmUpSends int
}

// LastResort tells that a backend is used only where no other can be.
func (o *Observation) LastResort() bool { return o.Unavailable || o.Unhealthy || o.Ejected }

// Excluded tells that a backend is not even a last resort: the health checks and
// this node's own attempts agree.
func (o *Observation) Excluded() bool { return o.Unhealthy && o.Unavailable }

// TakesCanary tells that a backend has nothing against it but its ejection, and that a
// canary request is due.
func (o *Observation) TakesCanary() bool {
	return o.Ejected && !o.Unhealthy && !o.Unavailable && o.CanaryDue
}

// CostMS is the latency to expect of a backend for the next request, in milliseconds.
func (o *Observation) CostMS() (cost float64) {
	cost = o.LatencyMS * (1 + o.Queue)
	if o.Overdue {
		cost += penaltyOverdueMS
	}
	return cost * (1 + failureWeight*o.RecentFailures)
}

// WarmUpCostMS is a cost for a backend that is warming up.
func WarmUpCostMS(cost float64) float64 { return warmUpFactor*cost + penaltyWarmUpMS }

// NotInPlanCostMS is a cost for a region that the schedule gives nothing now. It is
// so high that backends outside the subset are looked at as well.
func NotInPlanCostMS(cost float64) float64 { return cost + penaltyNotInPlanMS }

// ExpectedLatencyMS is what a response is expected to take, in milliseconds, while
// nothing is known of its service: a part of its target latency, if it has one.
func ExpectedLatencyMS(target time.Duration) float64 {
	if target <= 0 {
		return DefaultLatencyMS
	}
	return targetLatencyPart * float64(target) / float64(time.Millisecond)
}

// CurrentLatencyMS is a backend's latency by its age: a baseline where there is
// none, and no more than that where it is old.
func CurrentLatencyMS(latency, baseline float64, known bool, age time.Duration) float64 {
	switch {
	case !known:
		return baseline
	case age > latencyMemory:
		return min(latency, baseline)
	}
	return latency
}

// Capacity is how many requests this node may have in flight at a backend that so
// many nodes share; maxConnections bounds all of them together, 0 for no bound.
func Capacity(slots, nodes, maxConnections int) (capacity int) {
	capacity = max(2, (queueDepth*slots+nodes-1)/nodes)
	if maxConnections > 0 {
		capacity = min(capacity, max(1, maxConnections/nodes))
	}
	return capacity
}

// Pricing is what the costs of all backends for one request have in common.
type Pricing struct {
	// BaselineMS is the service's latency without load, in milliseconds.
	BaselineMS float64
	// borderFactor is how dear zone and region borders are.
	borderFactor float64
}

// NewPricing prices a request by its service's baseline latency and by whether its
// response may be a large one.
func NewPricing(baselineMS float64, large bool) (pricing Pricing) {
	pricing = Pricing{BaselineMS: baselineMS, borderFactor: 1}
	if large {
		pricing.borderFactor = largeResponseFactor
	}
	return pricing
}

// Acceptable tells that a cost is low enough not to look outside the subset.
func (p *Pricing) Acceptable(cost float64) bool { return cost <= acceptableFactor*p.BaselineMS }

// AtDistance is a cost for a backend at a distance: borders are dear and slow.
func (p *Pricing) AtDistance(cost float64, distance Distance) float64 {
	switch distance {
	case InSubset:
		return cost
	case SameZone:
		return cost + penaltyOutsideSubset*p.BaselineMS
	case SameRegion:
		return cost + penaltyOtherZone*p.BaselineMS*p.borderFactor
	}
	return cost + (penaltyOtherRegionMS+penaltyOtherRegion*p.BaselineMS)*p.borderFactor
}

// NotOverflowZone is a cost for a backend outside the zone that a request is to go to.
func (p *Pricing) NotOverflowZone(cost float64) float64 {
	return cost + penaltyNotOverflowZone*p.BaselineMS
}
