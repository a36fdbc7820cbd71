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

// NodeTimeouts are the waits of the roll.
type NodeTimeouts struct{ Absent, Expired time.Duration }

type presence struct {
	lastHeartbeat time.Duration
	absent        bool
}

// NodeRegistry keeps the fellows.
type NodeRegistry struct {
	timeouts  NodeTimeouts
	Nodes     *ChangeLog[rpc.NodeID, rpc.Node]
	presences map[rpc.NodeID]*presence
}

// NewNodeRegistry is an empty roll.
func NewNodeRegistry(clock *RevisionCounter, bounds NodeTimeouts) (roll *NodeRegistry) {
	return &NodeRegistry{timeouts: bounds, Nodes: NewChangeLog[rpc.NodeID, rpc.Node](clock), presences: map[rpc.NodeID]*presence{}}
}

// Heartbeat notes a beat.
func (r *NodeRegistry) Heartbeat(now time.Duration, fellow rpc.Node) (joined, changed bool) {
	seen := r.presences[fellow.ID]
	if seen == nil {
		seen = &presence{}
		r.presences[fellow.ID] = seen
		joined = true
	}
	changed = seen.absent
	seen.lastHeartbeat, seen.absent = now, false
	if r.Nodes.Set(fellow.ID, fellow) {
		changed = true
	}
	return joined, changed
}

// Tick strikes off who was not heard.
func (r *NodeRegistry) Tick(now time.Duration) (lost []rpc.NodeID, changed bool) {
	for id, seen := range r.presences {
		silence := now - seen.lastHeartbeat
		if silence > r.timeouts.Absent && !seen.absent {
			seen.absent, changed = true, true
			lost = append(lost, id)
		}
		if silence > r.timeouts.Expired {
			delete(r.presences, id)
			r.Nodes.Remove(id)
			changed = true
		}
	}
	return lost, changed
}

// Absent lists the fellows on the roll that are not heard or are stopping.
func (r *NodeRegistry) Absent() (absent []rpc.NodeID) {
	for id, seen := range r.presences {
		if fellow, known := r.Nodes.Get(id); known && (seen.absent || fellow.Stopping) {
			absent = append(absent, id)
		}
	}
	sort.Slice(absent, func(i, j int) bool { return absent[i] < absent[j] })
	return absent
}

// Count is how many fellows are on the roll.
func (r *NodeRegistry) Count() (count int) { return len(r.presences) }

// Present tells whether a fellow is heard.
func (r *NodeRegistry) Present(id rpc.NodeID) bool {
	seen := r.presences[id]
	return seen != nil && !seen.absent
}

// Members lists who belongs to the shard map.
func (r *NodeRegistry) Members() (members []rpc.NodeID) {
	r.Nodes.Each(func(id rpc.NodeID, fellow rpc.Node) {
		if !fellow.Stopping {
			members = append(members, id)
		}
	})
	sort.Slice(members, func(i, j int) bool { return members[i] < members[j] })
	return members
}
