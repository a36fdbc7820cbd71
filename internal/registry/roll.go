// Roll is the leader's view of the passage daemons, fed by their beats. A
// daemon whose beats stop is held absent after a short bound and struck off
// after a longer one; the members of the shard map are those that are not
// struck off and not stopping.
package registry

import (
	"sort"
	"time"

	"tinpin/internal/rpc"
)

// RollBounds are the waits of the roll.
type RollBounds struct{ Absent, Struck time.Duration }

type attendance struct {
	heard  time.Duration
	absent bool
}

// Roll keeps the fellows.
type Roll struct {
	bounds  RollBounds
	Fellows *Ledger[rpc.NodeID, rpc.Node]
	seen    map[rpc.NodeID]*attendance
}

// NewRoll is an empty roll.
func NewRoll(clock *Clock, bounds RollBounds) (roll *Roll) {
	return &Roll{bounds: bounds, Fellows: NewLedger[rpc.NodeID, rpc.Node](clock), seen: map[rpc.NodeID]*attendance{}}
}

// Beat notes a beat.
func (r *Roll) Beat(now time.Duration, fellow rpc.Node) (joined, changed bool) {
	seen := r.seen[fellow.ID]
	if seen == nil {
		seen = &attendance{}
		r.seen[fellow.ID] = seen
		joined = true
	}
	changed = seen.absent
	seen.heard, seen.absent = now, false
	if r.Fellows.Set(fellow.ID, fellow) {
		changed = true
	}
	return joined, changed
}

// Tick strikes off who was not heard.
func (r *Roll) Tick(now time.Duration) (lost []rpc.NodeID, changed bool) {
	for id, seen := range r.seen {
		silence := now - seen.heard
		if silence > r.bounds.Absent && !seen.absent {
			seen.absent, changed = true, true
			lost = append(lost, id)
		}
		if silence > r.bounds.Struck {
			delete(r.seen, id)
			r.Fellows.Drop(id)
			changed = true
		}
	}
	return lost, changed
}

// Absent lists the fellows on the roll that are not heard or are stopping.
func (r *Roll) Absent() (absent []rpc.NodeID) {
	for id, seen := range r.seen {
		if fellow, known := r.Fellows.Get(id); known && (seen.absent || fellow.Stopping) {
			absent = append(absent, id)
		}
	}
	sort.Slice(absent, func(i, j int) bool { return absent[i] < absent[j] })
	return absent
}

// Count is how many fellows are on the roll.
func (r *Roll) Count() (count int) { return len(r.seen) }

// Here tells whether a fellow is heard.
func (r *Roll) Here(id rpc.NodeID) bool {
	seen := r.seen[id]
	return seen != nil && !seen.absent
}

// Members lists who belongs to the shard map.
func (r *Roll) Members() (members []rpc.NodeID) {
	r.Fellows.Each(func(id rpc.NodeID, fellow rpc.Node) {
		if !fellow.Stopping {
			members = append(members, id)
		}
	})
	sort.Slice(members, func(i, j int) bool { return members[i] < members[j] })
	return members
}
