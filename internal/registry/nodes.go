package registry

import (
	"slices"
	"time"

	"tinpin/internal/rpc"
)

// NodeTimeouts are how long a node may send no heartbeat before it counts as absent,
// and before it is removed.
type NodeTimeouts struct{ Absent, Expired time.Duration }

// presence is what the registry knows of a node's heartbeats.
type presence struct {
	lastHeartbeat time.Duration
	absent        bool
}

// NodeRegistry is the leader's view of the nodes. A node whose heartbeats stop is
// absent after a short time and removed after a longer one. Members of the shard map
// are the nodes that are neither removed nor stopping.
type NodeRegistry struct {
	timeouts  NodeTimeouts
	Nodes     *ChangeLog[rpc.NodeID, rpc.Node]
	presences map[rpc.NodeID]*presence
}

// NewNodeRegistry makes an empty registry.
func NewNodeRegistry(counter *RevisionCounter, timeouts NodeTimeouts) (registry *NodeRegistry) {
	return &NodeRegistry{
		timeouts:  timeouts,
		Nodes:     NewChangeLog[rpc.NodeID, rpc.Node](counter),
		presences: map[rpc.NodeID]*presence{},
	}
}

// Heartbeat notes a heartbeat. It reports whether the node is new, and whether
// anything that others should know has changed.
func (r *NodeRegistry) Heartbeat(now time.Duration, node rpc.Node) (joined, changed bool) {
	known := r.presences[node.ID]
	if known == nil {
		known = &presence{}
		r.presences[node.ID] = known
		joined = true
	}
	changed = known.absent
	known.lastHeartbeat, known.absent = now, false
	if r.Nodes.Set(node.ID, node) {
		changed = true
	}
	return joined, changed
}

// Tick finds the nodes that have become absent, and removes those that have expired.
func (r *NodeRegistry) Tick(now time.Duration) (lost []rpc.NodeID, changed bool) {
	for id, known := range r.presences {
		sinceHeartbeat := now - known.lastHeartbeat
		if sinceHeartbeat > r.timeouts.Absent && !known.absent {
			known.absent, changed = true, true
			lost = append(lost, id)
		}
		if sinceHeartbeat > r.timeouts.Expired {
			delete(r.presences, id)
			r.Nodes.Remove(id)
			changed = true
		}
	}
	return lost, changed
}

// Absent lists the registered nodes that are absent or stopping, in order.
func (r *NodeRegistry) Absent() (absent []rpc.NodeID) {
	for id, known := range r.presences {
		if node, found := r.Nodes.Get(id); found && (known.absent || node.Stopping) {
			absent = append(absent, id)
		}
	}
	slices.Sort(absent)
	return absent
}

// Count is how many nodes are registered, absent ones included.
func (r *NodeRegistry) Count() (count int) { return len(r.presences) }

// Present reports whether a node is registered and not absent.
func (r *NodeRegistry) Present(id rpc.NodeID) (present bool) {
	known := r.presences[id]
	return known != nil && !known.absent
}

// Members lists the nodes that belong to the shard map, in order.
func (r *NodeRegistry) Members() (members []rpc.NodeID) {
	r.Nodes.Each(func(id rpc.NodeID, node rpc.Node) {
		if !node.Stopping {
			members = append(members, id)
		}
	})
	slices.Sort(members)
	return members
}
