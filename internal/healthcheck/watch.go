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

// Watch is the shard client's state.
type Watch struct {
	self     rpc.NodeID
	interval time.Duration
	ring     *Ring
	applied  rpc.ShardMap
	waiting  *rpc.ShardMap
	due      time.Duration
	absent   map[rpc.NodeID]bool
	missing  map[rpc.NodeID]time.Duration
	now      time.Duration
	settled  map[rpc.ServiceName]bool
	services map[rpc.ServiceName]bool
	lostAt   time.Duration
	led      bool
	headless bool
}

// NewWatch starts without a map and without a leader.
func NewWatch(self rpc.NodeID, interval, now time.Duration) (watch *Watch) {
	return &Watch{self: self, interval: interval, ring: NewRing(nil), absent: map[rpc.NodeID]bool{}, missing: map[rpc.NodeID]time.Duration{}, settled: map[rpc.ServiceName]bool{}, services: map[rpc.ServiceName]bool{}, lostAt: now}
}

// StandIn is how long an owner may be silent before the next on the ring stands
// in for it. The source knows no such bound.
const StandIn = 1300 * time.Millisecond

// Map takes a map from the leader; the first since the last one applied
// starts the timer, later ones only replace what it will apply. A member of
// the map in use that the newest one lacks is stood in for meanwhile: at once
// if it was absent before, else after a moment, since a new leader's map grows
// as the fellows find it.
func (w *Watch) Map(now time.Duration, shards rpc.ShardMap) {
	w.now = now
	if w.waiting == nil {
		w.due = now + w.interval
	}
	w.waiting = &shards
	present := make(map[rpc.NodeID]bool, len(shards.Members))
	for _, member := range shards.Members {
		present[member] = true
		delete(w.missing, member)
	}
	for _, member := range w.applied.Members {
		if _, known := w.missing[member]; !present[member] && !known {
			w.missing[member] = now
			if w.absent[member] {
				w.missing[member] = now - StandIn
			}
		}
	}
}

// Absent takes the leader's word on who is not heard.
func (w *Watch) Absent(ids []rpc.NodeID) {
	w.absent = make(map[rpc.NodeID]bool, len(ids))
	for _, id := range ids {
		w.absent[id] = true
	}
}

// Services takes the configured services.
func (w *Watch) Services(names []rpc.ServiceName) {
	w.services = make(map[rpc.ServiceName]bool, len(names))
	for _, name := range names {
		w.services[name] = true
	}
	for name := range w.settled {
		if !w.services[name] {
			delete(w.settled, name)
		}
	}
}

// Led notes whether there is a leader.
func (w *Watch) Led(now time.Duration, led bool) {
	if w.led && !led {
		w.lostAt = now
	}
	w.led = led
	if led {
		w.headless = false
	}
}

// Headless tells whether the daemon probes everything for want of a leader.
func (w *Watch) Headless() bool { return w.headless }

// Applied is the map in use.
func (w *Watch) Applied() rpc.ShardMap { return w.applied }

// Tick moves time on.
func (w *Watch) Tick(now time.Duration) (applied, wentHeadless bool) {
	w.now = now
	if !w.led && !w.headless && now-w.lostAt >= w.interval {
		w.headless, wentHeadless = true, true
	}
	if w.waiting != nil && now >= w.due {
		w.applied, w.waiting = *w.waiting, nil
		w.ring = NewRing(w.applied.Members)
		w.missing = map[rpc.NodeID]time.Duration{}
		applied = true
	}
	if w.applied.Revision > 0 && (applied || w.waiting == nil) {
		for name := range w.services {
			if !w.settled[name] && applied {
				w.settled[name] = true
			}
		}
	}
	return applied, wentHeadless
}

// Unsettled tells whether a service waits for a map to cover it.
func (w *Watch) Unsettled() bool { return len(w.settled) < len(w.services) }

// Settle starts the timer for services that came without a change of map.
func (w *Watch) Settle(now time.Duration) {
	if w.Unsettled() && w.waiting == nil && w.applied.Revision > 0 {
		again := w.applied
		w.Map(now, again)
	}
}

// Owner names who watches a service by the map in use, or who stands in.
func (w *Watch) Owner(service rpc.ServiceName) (owner rpc.NodeID) {
	away := w.absent
	if len(w.missing) > 0 {
		away = maps.Clone(w.absent)
		for member, since := range w.missing {
			if w.now-since >= StandIn {
				away[member] = true
			}
		}
	}
	return w.ring.Owner(service, away)
}

// Probes tells whether this daemon probes a service now.
func (w *Watch) Probes(service rpc.ServiceName) bool {
	return w.headless || !w.settled[service] || w.Owner(service) == w.self
}

// Duties lists what this daemon probes now, in order.
func (w *Watch) Duties() (duties []rpc.ServiceName) {
	for name := range w.services {
		if w.Probes(name) {
			duties = append(duties, name)
		}
	}
	sort.Slice(duties, func(i, j int) bool { return duties[i] < duties[j] })
	return duties
}

// AbsentNow is the leader's last word on who is not heard.
func (w *Watch) AbsentNow() (absent map[rpc.NodeID]bool) { return w.absent }
