// Cache is the state cache beside the leader. It takes reports, keeps the
// newest state of each backend in a ledger so that watchers get each change,
// and refuses a daemon that the newest map has replaced as owner, except until
// the successor's first full report. A state whose owner has not finished a
// round for too long is told as unknown: the source sets no such bound.
package healthcheck

import (
	"time"

	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

type serviceOwner struct {
	node       rpc.NodeID
	lastReport time.Duration
	complete   bool
}

// StateCache is the leader's collection of states.
type StateCache struct {
	States    *registry.ChangeLog[rpc.EndpointID, rpc.EndpointState]
	warmUntil map[rpc.EndpointID]time.Duration
	serviceOf map[rpc.EndpointID]rpc.ServiceName
	owners    map[rpc.ServiceName]*serviceOwner
	ring      *Ring
	maxAge    time.Duration
}

// NewStateCache is an empty cache; states older than age are unknown.
func NewStateCache(clock *registry.RevisionCounter, age time.Duration) (cache *StateCache) {
	return &StateCache{
		States: registry.NewChangeLog[rpc.EndpointID, rpc.EndpointState](clock), warmUntil: map[rpc.EndpointID]time.Duration{},
		serviceOf: map[rpc.EndpointID]rpc.ServiceName{}, owners: map[rpc.ServiceName]*serviceOwner{}, ring: NewRing(nil), maxAge: age,
	}
}

// SetShardMap takes the newest map.
func (c *StateCache) SetShardMap(shards rpc.ShardMap) { c.ring = NewRing(shards.Members) }

// Owner names who should watch a service by the newest map.
func (c *StateCache) Owner(service rpc.ServiceName, absent []rpc.NodeID) (owner rpc.NodeID) {
	away := make(map[rpc.NodeID]bool, len(absent))
	for _, id := range absent {
		away[id] = true
	}
	return c.ring.Owner(service, away)
}

// Report takes an owner's findings; absent are the fellows not heard.
func (c *StateCache) Report(now time.Duration, report rpc.HealthReport, absent map[rpc.NodeID]bool) (taken, changed bool) {
	rightful := c.ring.Owner(report.Service, absent)
	held := c.owners[report.Service]
	if held == nil {
		held = &serviceOwner{}
		c.owners[report.Service] = held
	}
	if report.Node != rightful && held.node == rightful && held.complete {
		return false, false
	}
	if held.node != report.Node {
		held.node, held.complete = report.Node, false
	}
	held.complete = held.complete || report.Full
	held.lastReport = now
	for _, state := range report.States {
		c.serviceOf[state.Endpoint] = report.Service
		if c.store(now, state) {
			changed = true
		}
	}
	return true, changed
}

func (c *StateCache) store(now time.Duration, state rpc.EndpointState) (changed bool) {
	until := time.Duration(0)
	if state.WarmupRemaining > 0 {
		until = now + state.WarmupRemaining
	}
	old, known := c.States.Get(state.Endpoint)
	shift := until - c.warmUntil[state.Endpoint]
	if shift < 0 {
		shift = -shift
	}
	if known && old.Health == state.Health && old.EjectedFor == state.EjectedFor && (old.WarmupRemaining > 0) == (state.WarmupRemaining > 0) && (state.WarmupRemaining == 0 || shift < 400*time.Millisecond) {
		return false
	}
	c.warmUntil[state.Endpoint] = until
	return c.States.Set(state.Endpoint, state)
}

// MarkWarmingUp marks backends as cold till their owner says otherwise.
func (c *StateCache) MarkWarmingUp(now time.Duration, server rpc.EndpointID, service rpc.ServiceName, cold time.Duration) {
	if cold <= 0 {
		return
	}
	old, _ := c.States.Get(server)
	c.serviceOf[server] = service
	c.store(now, rpc.EndpointState{Endpoint: server, Health: old.Health, EjectedFor: old.EjectedFor, WarmupRemaining: cold})
}

// WarmupUntil gives the end of a backend's cold spell on the leader's clock.
func (c *StateCache) WarmupUntil(server rpc.EndpointID) (until time.Duration) {
	return c.warmUntil[server]
}

// WarmingUp lists the backends whose cold spell ends after a moment.
func (c *StateCache) WarmingUp(after time.Duration, into []rpc.EndpointID) (cold []rpc.EndpointID) {
	for server, until := range c.warmUntil {
		if until > 0 && until >= after {
			into = append(into, server)
		}
	}
	return into
}

// Tick ages the states.
func (c *StateCache) Tick(now time.Duration) (changed bool) {
	for service, held := range c.owners {
		if held.lastReport < 0 || now-held.lastReport <= c.maxAge {
			continue
		}
		held.lastReport, held.complete = -1, false
		for server, of := range c.serviceOf {
			if of != service {
				continue
			}
			if old, known := c.States.Get(server); known && old.Health != rpc.HealthUnknown {
				old.Health, old.WarmupRemaining = rpc.HealthUnknown, max(0, c.warmUntil[server]-now)
				if c.States.Set(server, old) {
					changed = true
				}
			}
		}
	}
	return changed
}

// Remove forgets a backend that is gone.
func (c *StateCache) Remove(server rpc.EndpointID) {
	c.States.Remove(server)
	delete(c.warmUntil, server)
	delete(c.serviceOf, server)
}

// WithRemainingWarmup turns a state's cold spell into what is left of it now.
func (c *StateCache) WithRemainingWarmup(now time.Duration, state rpc.EndpointState) (left rpc.EndpointState) {
	if state.WarmupRemaining > 0 {
		state.WarmupRemaining = max(0, c.warmUntil[state.Endpoint]-now)
	}
	return state
}
