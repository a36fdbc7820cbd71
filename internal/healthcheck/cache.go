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

type watched struct {
	by    rpc.NodeID
	fresh time.Duration
	full  bool
}

// Cache is the leader's collection of states.
type Cache struct {
	States *registry.Ledger[rpc.EndpointID, rpc.EndpointState]
	until  map[rpc.EndpointID]time.Duration
	of     map[rpc.EndpointID]rpc.ServiceName
	owners map[rpc.ServiceName]*watched
	ring   *Ring
	age    time.Duration
}

// NewCache is an empty cache; states older than age are unknown.
func NewCache(clock *registry.Clock, age time.Duration) (cache *Cache) {
	return &Cache{
		States: registry.NewLedger[rpc.EndpointID, rpc.EndpointState](clock), until: map[rpc.EndpointID]time.Duration{},
		of: map[rpc.EndpointID]rpc.ServiceName{}, owners: map[rpc.ServiceName]*watched{}, ring: NewRing(nil), age: age,
	}
}

// Shards takes the newest map.
func (c *Cache) Shards(shards rpc.ShardMap) { c.ring = NewRing(shards.Members) }

// Owner names who should watch a service by the newest map.
func (c *Cache) Owner(service rpc.ServiceName, absent []rpc.NodeID) (owner rpc.NodeID) {
	away := make(map[rpc.NodeID]bool, len(absent))
	for _, id := range absent {
		away[id] = true
	}
	return c.ring.Owner(service, away)
}

// Report takes an owner's findings; absent are the fellows not heard.
func (c *Cache) Report(now time.Duration, report rpc.HealthReport, absent map[rpc.NodeID]bool) (taken, changed bool) {
	rightful := c.ring.Owner(report.Service, absent)
	held := c.owners[report.Service]
	if held == nil {
		held = &watched{}
		c.owners[report.Service] = held
	}
	if report.Node != rightful && held.by == rightful && held.full {
		return false, false
	}
	if held.by != report.Node {
		held.by, held.full = report.Node, false
	}
	held.full = held.full || report.Full
	held.fresh = now
	for _, state := range report.States {
		c.of[state.Endpoint] = report.Service
		if c.put(now, state) {
			changed = true
		}
	}
	return true, changed
}

func (c *Cache) put(now time.Duration, state rpc.EndpointState) (changed bool) {
	until := time.Duration(0)
	if state.WarmupRemaining > 0 {
		until = now + state.WarmupRemaining
	}
	old, known := c.States.Get(state.Endpoint)
	shift := until - c.until[state.Endpoint]
	if shift < 0 {
		shift = -shift
	}
	if known && old.Health == state.Health && old.EjectedFor == state.EjectedFor && (old.WarmupRemaining > 0) == (state.WarmupRemaining > 0) && (state.WarmupRemaining == 0 || shift < 400*time.Millisecond) {
		return false
	}
	c.until[state.Endpoint] = until
	return c.States.Set(state.Endpoint, state)
}

// Suspect marks backends as cold till their owner says otherwise.
func (c *Cache) Suspect(now time.Duration, server rpc.EndpointID, service rpc.ServiceName, cold time.Duration) {
	if cold <= 0 {
		return
	}
	old, _ := c.States.Get(server)
	c.of[server] = service
	c.put(now, rpc.EndpointState{Endpoint: server, Health: old.Health, EjectedFor: old.EjectedFor, WarmupRemaining: cold})
}

// ColdUntil gives the end of a backend's cold spell on the leader's clock.
func (c *Cache) ColdUntil(server rpc.EndpointID) (until time.Duration) { return c.until[server] }

// Cold lists the backends whose cold spell ends after a moment.
func (c *Cache) Cold(after time.Duration, into []rpc.EndpointID) (cold []rpc.EndpointID) {
	for server, until := range c.until {
		if until > 0 && until >= after {
			into = append(into, server)
		}
	}
	return into
}

// Tick ages the states.
func (c *Cache) Tick(now time.Duration) (changed bool) {
	for service, held := range c.owners {
		if held.fresh < 0 || now-held.fresh <= c.age {
			continue
		}
		held.fresh, held.full = -1, false
		for server, of := range c.of {
			if of != service {
				continue
			}
			if old, known := c.States.Get(server); known && old.Health != rpc.HealthUnknown {
				old.Health, old.WarmupRemaining = rpc.HealthUnknown, max(0, c.until[server]-now)
				if c.States.Set(server, old) {
					changed = true
				}
			}
		}
	}
	return changed
}

// Drop forgets a backend that is gone.
func (c *Cache) Drop(server rpc.EndpointID) {
	c.States.Drop(server)
	delete(c.until, server)
	delete(c.of, server)
}

// Remaining turns a state's cold spell into what is left of it now.
func (c *Cache) Remaining(now time.Duration, state rpc.EndpointState) (left rpc.EndpointState) {
	if state.WarmupRemaining > 0 {
		state.WarmupRemaining = max(0, c.until[state.Endpoint]-now)
	}
	return state
}
