// Watch decides, on one daemon, which services it probes. It is the shard
// client of the source: a changed map is not acted on at once but send_interval
// later, and then only real moves of ownership count; maps that arrive within
// that time are taken in one go; a service that no settled map has covered is
// probed by everybody; without a leader for send_interval everything is
// probed. The one exception: while the leader says an owner is absent, the
// next on the ring stands in for it at once, with the map left as it is.
package healthcheck

import (
	"maps"
	"sort"
	"time"

	"tinpin/internal/rpc"
)

// ProbeAssignment is the shard client's state.
type ProbeAssignment struct {
	self          rpc.NodeID
	interval      time.Duration
	ring          *Ring
	applied       rpc.ShardMap
	pending       *rpc.ShardMap
	due           time.Duration
	absent        map[rpc.NodeID]bool
	missing       map[rpc.NodeID]time.Duration
	now           time.Duration
	covered       map[rpc.ServiceName]bool
	services      map[rpc.ServiceName]bool
	leaderLostAt  time.Duration
	hasLeader     bool
	withoutLeader bool
}

// NewProbeAssignment starts without a map and without a leader.
func NewProbeAssignment(self rpc.NodeID, interval, now time.Duration) (watch *ProbeAssignment) {
	return &ProbeAssignment{self: self, interval: interval, ring: NewRing(nil), absent: map[rpc.NodeID]bool{}, missing: map[rpc.NodeID]time.Duration{}, covered: map[rpc.ServiceName]bool{}, services: map[rpc.ServiceName]bool{}, leaderLostAt: now}
}

// TakeoverDelay is how long an owner may be silent before the next on the ring stands
// in for it. The source knows no such bound.
const TakeoverDelay = 1300 * time.Millisecond

// SetShardMap takes a map from the leader; the first since the last one applied
// starts the timer, later ones only replace what it will apply. A member of
// the map in use that the newest one lacks is stood in for meanwhile: at once
// if it was absent before, else after a moment, since a new leader's map grows
// as the fellows find it.
func (w *ProbeAssignment) SetShardMap(now time.Duration, shards rpc.ShardMap) {
	w.now = now
	if w.pending == nil {
		w.due = now + w.interval
	}
	w.pending = &shards
	present := make(map[rpc.NodeID]bool, len(shards.Members))
	for _, member := range shards.Members {
		present[member] = true
		delete(w.missing, member)
	}
	for _, member := range w.applied.Members {
		if _, known := w.missing[member]; !present[member] && !known {
			w.missing[member] = now
			if w.absent[member] {
				w.missing[member] = now - TakeoverDelay
			}
		}
	}
}

// SetAbsent takes the leader's word on who is not heard.
func (w *ProbeAssignment) SetAbsent(ids []rpc.NodeID) {
	w.absent = make(map[rpc.NodeID]bool, len(ids))
	for _, id := range ids {
		w.absent[id] = true
	}
}

// SetServices takes the configured services.
func (w *ProbeAssignment) SetServices(names []rpc.ServiceName) {
	w.services = make(map[rpc.ServiceName]bool, len(names))
	for _, name := range names {
		w.services[name] = true
	}
	for name := range w.covered {
		if !w.services[name] {
			delete(w.covered, name)
		}
	}
}

// SetHasLeader notes whether there is a leader.
func (w *ProbeAssignment) SetHasLeader(now time.Duration, led bool) {
	if w.hasLeader && !led {
		w.leaderLostAt = now
	}
	w.hasLeader = led
	if led {
		w.withoutLeader = false
	}
}

// WithoutLeader tells whether the daemon probes everything for want of a leader.
func (w *ProbeAssignment) WithoutLeader() bool { return w.withoutLeader }

// AppliedMap is the map in use.
func (w *ProbeAssignment) AppliedMap() rpc.ShardMap { return w.applied }

// Tick moves time on.
func (w *ProbeAssignment) Tick(now time.Duration) (applied, wentHeadless bool) {
	w.now = now
	if !w.hasLeader && !w.withoutLeader && now-w.leaderLostAt >= w.interval {
		w.withoutLeader, wentHeadless = true, true
	}
	if w.pending != nil && now >= w.due {
		w.applied, w.pending = *w.pending, nil
		w.ring = NewRing(w.applied.Members)
		w.missing = map[rpc.NodeID]time.Duration{}
		applied = true
	}
	if w.applied.Revision > 0 && (applied || w.pending == nil) {
		for name := range w.services {
			if !w.covered[name] && applied {
				w.covered[name] = true
			}
		}
	}
	return applied, wentHeadless
}

// HasUncovered tells whether a service waits for a map to cover it.
func (w *ProbeAssignment) HasUncovered() bool { return len(w.covered) < len(w.services) }

// CoverNewServices starts the timer for services that came without a change of map.
func (w *ProbeAssignment) CoverNewServices(now time.Duration) {
	if w.HasUncovered() && w.pending == nil && w.applied.Revision > 0 {
		again := w.applied
		w.SetShardMap(now, again)
	}
}

// Owner names who watches a service by the map in use, or who stands in.
func (w *ProbeAssignment) Owner(service rpc.ServiceName) (owner rpc.NodeID) {
	away := w.absent
	if len(w.missing) > 0 {
		away = maps.Clone(w.absent)
		for member, since := range w.missing {
			if w.now-since >= TakeoverDelay {
				away[member] = true
			}
		}
	}
	return w.ring.Owner(service, away)
}

// Probes tells whether this daemon probes a service now.
func (w *ProbeAssignment) Probes(service rpc.ServiceName) bool {
	return w.withoutLeader || !w.covered[service] || w.Owner(service) == w.self
}

// AssignedServices lists what this daemon probes now, in order.
func (w *ProbeAssignment) AssignedServices() (duties []rpc.ServiceName) {
	for name := range w.services {
		if w.Probes(name) {
			duties = append(duties, name)
		}
	}
	sort.Slice(duties, func(i, j int) bool { return duties[i] < duties[j] })
	return duties
}

// AbsentNodes is the leader's last word on who is not heard.
func (w *ProbeAssignment) AbsentNodes() (absent map[rpc.NodeID]bool) { return w.absent }
