package healthcheck

import (
	"time"

	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

// warmupTolerance is by how much the end of a warm-up may move without being a change:
// reports of the same end differ by their way to the leader.
const warmupTolerance = 400 * time.Millisecond

// neverReported is the time of the last report of an owner whose states have aged.
const neverReported = -1

// serviceOwner is the node whose reports on a service are taken.
type serviceOwner struct {
	node       rpc.NodeID
	lastReport time.Duration
	// complete tells that the node has reported on all endpoints of the service.
	complete bool
}

// StateCache is the leader's collection of the states of endpoints. It keeps the last
// report of each in a change log, so that nodes are sent each change. It rejects the
// reports of a node that the newest shard map has replaced as owner, once the
// successor has made its first complete report. A state whose owner has not reported
// for too long becomes unknown; the design that sharded probing follows sets no such
// limit.
type StateCache struct {
	States    *registry.ChangeLog[rpc.EndpointID, rpc.EndpointState]
	warmUntil map[rpc.EndpointID]time.Duration
	serviceOf map[rpc.EndpointID]rpc.ServiceName
	owners    map[rpc.ServiceName]*serviceOwner
	ring      *Ring
	maxAge    time.Duration
}

// NewStateCache makes an empty cache. States older than maxAge are unknown.
func NewStateCache(counter *registry.RevisionCounter, maxAge time.Duration) (cache *StateCache) {
	return &StateCache{
		States:    registry.NewChangeLog[rpc.EndpointID, rpc.EndpointState](counter),
		warmUntil: map[rpc.EndpointID]time.Duration{},
		serviceOf: map[rpc.EndpointID]rpc.ServiceName{},
		owners:    map[rpc.ServiceName]*serviceOwner{},
		ring:      NewRing(nil),
		maxAge:    maxAge,
	}
}

// SetShardMap takes the newest map.
func (c *StateCache) SetShardMap(shards rpc.ShardMap) { c.ring = NewRing(shards.Members) }

// Owner is the node that should probe a service by the newest map.
func (c *StateCache) Owner(service rpc.ServiceName, absent []rpc.NodeID) (owner rpc.NodeID) {
	isAbsent := make(map[rpc.NodeID]bool, len(absent))
	for _, id := range absent {
		isAbsent[id] = true
	}
	return c.ring.Owner(service, isAbsent)
}

// Report takes the report of a node. It says whether the report was accepted and
// whether it changed a state.
func (c *StateCache) Report(
	now time.Duration, report rpc.HealthReport, absent map[rpc.NodeID]bool,
) (accepted, changed bool) {
	rightful := c.ring.Owner(report.Service, absent)
	owner := c.owners[report.Service]
	if owner == nil {
		owner = &serviceOwner{}
		c.owners[report.Service] = owner
	}
	if report.Node != rightful && owner.node == rightful && owner.complete {
		return false, false
	}
	if owner.node != report.Node {
		owner.node, owner.complete = report.Node, false
	}
	owner.complete = owner.complete || report.Full
	owner.lastReport = now
	for _, state := range report.States {
		c.serviceOf[state.Endpoint] = report.Service
		if c.store(now, state) {
			changed = true
		}
	}
	return true, changed
}

// store keeps a state unless it says what the cache has already.
func (c *StateCache) store(now time.Duration, state rpc.EndpointState) (changed bool) {
	until := time.Duration(0)
	if state.WarmupRemaining > 0 {
		until = now + state.WarmupRemaining
	}
	old, known := c.States.Get(state.Endpoint)
	sameWarmup := (old.WarmupRemaining > 0) == (state.WarmupRemaining > 0) &&
		(state.WarmupRemaining == 0 || (until-c.warmUntil[state.Endpoint]).Abs() < warmupTolerance)
	if known && old.Health == state.Health && old.EjectedFor == state.EjectedFor && sameWarmup {
		return false
	}
	c.warmUntil[state.Endpoint] = until
	return c.States.Set(state.Endpoint, state)
}

// SetWarmingUp notes that an endpoint is warming up until its owner says otherwise.
func (c *StateCache) SetWarmingUp(
	now time.Duration, endpoint rpc.EndpointID, service rpc.ServiceName, remaining time.Duration,
) {
	if remaining <= 0 {
		return
	}
	old, _ := c.States.Get(endpoint)
	c.serviceOf[endpoint] = service
	c.store(now, rpc.EndpointState{
		Endpoint: endpoint, Health: old.Health, EjectedFor: old.EjectedFor, WarmupRemaining: remaining,
	})
}

// WarmupUntil is the end of an endpoint's warm-up, 0 for none.
func (c *StateCache) WarmupUntil(endpoint rpc.EndpointID) (until time.Duration) {
	return c.warmUntil[endpoint]
}

// WarmingUp appends the endpoints whose warm-up does not end before a time.
func (c *StateCache) WarmingUp(after time.Duration, into []rpc.EndpointID) (endpoints []rpc.EndpointID) {
	for endpoint, until := range c.warmUntil {
		if until > 0 && until >= after {
			into = append(into, endpoint)
		}
	}
	return into
}

// Tick lets the states of owners that have not reported for too long become unknown.
func (c *StateCache) Tick(now time.Duration) (changed bool) {
	for service, owner := range c.owners {
		if owner.lastReport < 0 || now-owner.lastReport <= c.maxAge {
			continue
		}
		owner.lastReport, owner.complete = neverReported, false
		if c.forgetHealth(now, service) {
			changed = true
		}
	}
	return changed
}

// forgetHealth makes the health of a service's endpoints unknown.
func (c *StateCache) forgetHealth(now time.Duration, service rpc.ServiceName) (changed bool) {
	for endpoint, of := range c.serviceOf {
		if of != service {
			continue
		}
		if state, known := c.States.Get(endpoint); known && state.Health != rpc.HealthUnknown {
			state.Health, state.WarmupRemaining = rpc.HealthUnknown, max(0, c.warmUntil[endpoint]-now)
			if c.States.Set(endpoint, state) {
				changed = true
			}
		}
	}
	return changed
}

// Remove forgets an endpoint that has left the list.
func (c *StateCache) Remove(endpoint rpc.EndpointID) {
	c.States.Remove(endpoint)
	delete(c.warmUntil, endpoint)
	delete(c.serviceOf, endpoint)
}

// WithRemainingWarmup replaces the warm-up time of a state by what is left of it now.
func (c *StateCache) WithRemainingWarmup(now time.Duration, state rpc.EndpointState) (current rpc.EndpointState) {
	if state.WarmupRemaining > 0 {
		state.WarmupRemaining = max(0, c.warmUntil[state.Endpoint]-now)
	}
	return state
}
