package healthcheck

import (
	"maps"
	"slices"
	"time"

	"tinpin/internal/rpc"
)

// TakeoverDelay is how long an owner may be missing before the next on the ring takes
// over. The design that sharded probing follows knows no such limit.
const TakeoverDelay = 1300 * time.Millisecond

// ProbeAssignment decides, on one node, which services the node probes. It follows
// the shard map as "Health Monitor Sharding" has its client do: a changed map is not
// applied at once but an interval later, and maps that arrive meanwhile are applied
// with it; a service that no applied map has covered is probed by every node; and a
// node that has had no leader for an interval probes everything. There is one
// exception: while the leader says that an owner is absent, the next on the ring takes
// over at once, and the map stays as it is.
type ProbeAssignment struct {
	self     rpc.NodeID
	interval time.Duration
	now      time.Duration

	// applied is the map in use with its ring; pending is to be applied when due.
	applied rpc.ShardMap
	ring    *Ring
	pending *rpc.ShardMap
	due     time.Duration

	// absent are the nodes that the leader does not hear; missing are the members of
	// the applied map that the newest one lacks, with the time since when.
	absent  map[rpc.NodeID]bool
	missing map[rpc.NodeID]time.Duration

	services map[rpc.ServiceName]bool
	// covered are the services that an applied map has covered.
	covered map[rpc.ServiceName]bool

	hasLeader    bool
	leaderLostAt time.Duration
	// withoutLeader tells that there was no leader for an interval.
	withoutLeader bool
}

// NewProbeAssignment starts without a map and without a leader.
func NewProbeAssignment(self rpc.NodeID, interval, now time.Duration) (assignment *ProbeAssignment) {
	return &ProbeAssignment{
		self: self, interval: interval, ring: NewRing(nil),
		absent: map[rpc.NodeID]bool{}, missing: map[rpc.NodeID]time.Duration{},
		services: map[rpc.ServiceName]bool{}, covered: map[rpc.ServiceName]bool{},
		leaderLostAt: now,
	}
}

// SetShardMap takes a map from the leader. The first since a map was applied starts
// the interval, later ones only replace what will be applied. The service of a member
// that the newest map lacks is taken over meanwhile: at once if it was absent before,
// else after TakeoverDelay, since a new leader's map grows as the nodes find it.
func (a *ProbeAssignment) SetShardMap(now time.Duration, shards rpc.ShardMap) {
	a.now = now
	if a.pending == nil {
		a.due = now + a.interval
	}
	a.pending = &shards
	present := make(map[rpc.NodeID]bool, len(shards.Members))
	for _, member := range shards.Members {
		present[member] = true
		delete(a.missing, member)
	}
	for _, member := range a.applied.Members {
		if _, known := a.missing[member]; !present[member] && !known {
			a.missing[member] = now
			if a.absent[member] {
				a.missing[member] = now - TakeoverDelay
			}
		}
	}
}

// SetAbsent takes the nodes that the leader does not hear.
func (a *ProbeAssignment) SetAbsent(ids []rpc.NodeID) {
	a.absent = make(map[rpc.NodeID]bool, len(ids))
	for _, id := range ids {
		a.absent[id] = true
	}
}

// SetServices takes the configured services.
func (a *ProbeAssignment) SetServices(names []rpc.ServiceName) {
	a.services = make(map[rpc.ServiceName]bool, len(names))
	for _, name := range names {
		a.services[name] = true
	}
	for name := range a.covered {
		if !a.services[name] {
			delete(a.covered, name)
		}
	}
}

// SetHasLeader notes whether there is a leader.
func (a *ProbeAssignment) SetHasLeader(now time.Duration, hasLeader bool) {
	if a.hasLeader && !hasLeader {
		a.leaderLostAt = now
	}
	a.hasLeader = hasLeader
	if hasLeader {
		a.withoutLeader = false
	}
}

// WithoutLeader reports whether the node probes everything for want of a leader.
func (a *ProbeAssignment) WithoutLeader() (without bool) { return a.withoutLeader }

// AppliedMap is the map in use.
func (a *ProbeAssignment) AppliedMap() (shards rpc.ShardMap) { return a.applied }

// Tick moves time on. It reports whether a map was applied, and whether the node has
// been without a leader for an interval just now.
func (a *ProbeAssignment) Tick(now time.Duration) (applied, lostLeader bool) {
	a.now = now
	if !a.hasLeader && !a.withoutLeader && now-a.leaderLostAt >= a.interval {
		a.withoutLeader, lostLeader = true, true
	}
	if a.pending != nil && now >= a.due {
		a.applied, a.pending = *a.pending, nil
		a.ring = NewRing(a.applied.Members)
		a.missing = map[rpc.NodeID]time.Duration{}
		applied = true
	}
	if applied && a.applied.Revision > 0 {
		for name := range a.services {
			a.covered[name] = true
		}
	}
	return applied, lostLeader
}

// HasUncovered reports whether a service waits for a map to cover it.
func (a *ProbeAssignment) HasUncovered() (has bool) { return len(a.covered) < len(a.services) }

// CoverNewServices starts the interval for services that came without a change of the
// map: the map in use will cover them.
func (a *ProbeAssignment) CoverNewServices(now time.Duration) {
	if a.HasUncovered() && a.pending == nil && a.applied.Revision > 0 {
		again := a.applied
		a.SetShardMap(now, again)
	}
}

// Owner is the node that probes a service by the map in use, or that has taken over.
func (a *ProbeAssignment) Owner(service rpc.ServiceName) (owner rpc.NodeID) {
	absent := a.absent
	if len(a.missing) > 0 {
		absent = maps.Clone(a.absent)
		for member, since := range a.missing {
			if a.now-since >= TakeoverDelay {
				absent[member] = true
			}
		}
	}
	return a.ring.Owner(service, absent)
}

// Probes reports whether this node probes a service now.
func (a *ProbeAssignment) Probes(service rpc.ServiceName) (probes bool) {
	return a.withoutLeader || !a.covered[service] || a.Owner(service) == a.self
}

// AssignedServices lists what this node probes now, in order.
func (a *ProbeAssignment) AssignedServices() (services []rpc.ServiceName) {
	for name := range a.services {
		if a.Probes(name) {
			services = append(services, name)
		}
	}
	slices.Sort(services)
	return services
}

// AbsentNodes are the nodes that the leader does not hear. The map must not be changed.
func (a *ProbeAssignment) AbsentNodes() (absent map[rpc.NodeID]bool) { return a.absent }
