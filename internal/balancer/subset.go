package balancer

import (
	"tinpin/internal/healthcheck"
	"tinpin/internal/rpc"
)

// Subset tells which backends of its zone a node uses first.
//
// Where every node uses every backend, connections and handshakes grow with nodes
// times backends, and no node sees enough of any one backend to judge it. So each
// backend is used first by a fixed number of the ready nodes of its own zone: those
// that rank highest for it by hash. Every backend is in equally many subsets, all
// nodes reckon alike, and a node more or less moves only its own share. The other
// backends remain as a fallback.
type Subset struct {
	self            rpc.NodeID
	nodes           []rpc.NodeID
	nodesPerBackend int
}

// minSubsetSize is how many backends of a service a node should have to choose
// among; where a zone has few, more nodes share each.
const minSubsetSize = 6

// NewSubset reckons with the ready nodes of self's zone, self among them.
func NewSubset(self rpc.NodeID, zone rpc.ZoneName, nodes map[rpc.NodeID]rpc.Node, nodesPerBackend int) (subset Subset) {
	subset = Subset{self: self, nodes: []rpc.NodeID{self}}
	for id, node := range nodes {
		if id != self && node.Zone == zone && node.Ready && !node.Stopping {
			subset.nodes = append(subset.nodes, id)
		}
	}
	subset.nodesPerBackend = max(1, nodesPerBackend)
	return subset
}

// NodesPerBackend is how many nodes use each backend of a service first that has
// so many in the zone.
func (s Subset) NodesPerBackend(backends int) (nodes int) {
	minNodes := (minSubsetSize*len(s.nodes) + max(1, backends) - 1) / max(1, backends)
	return min(max(s.nodesPerBackend, minNodes), len(s.nodes))
}

// Contains reports whether self is among so many nodes that use the backend first.
func (s Subset) Contains(backend rpc.EndpointID, nodesPerBackend int) bool {
	if nodesPerBackend >= len(s.nodes) {
		return true
	}
	own := healthcheck.Rank(string(s.self), string(backend))
	before := 0
	for _, id := range s.nodes {
		if id == s.self {
			continue
		}
		if rank := healthcheck.Rank(string(id), string(backend)); rank < own || rank == own && id < s.self {
			if before++; before >= nodesPerBackend {
				return false
			}
		}
	}
	return true
}
