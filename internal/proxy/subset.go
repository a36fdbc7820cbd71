// Subset gives each daemon its own few backends of a service to use first.
// Where every daemon uses every backend, streams and handshakes grow with
// daemons times backends and no daemon sees enough of any one backend to judge
// it. So each backend is used first by a fixed number of the ready daemons of
// its own site: those that rank highest for it by hash. Every backend is in
// equally many subsets, all daemons reckon alike, and a daemon more or less
// moves only its own share. The others remain as a fallback.
package proxy

import (
	"tinpin/internal/healthcheck"
	"tinpin/internal/rpc"
)

// Subset tells which backends of a site a daemon uses first.
type Subset struct {
	self            rpc.NodeID
	nodes           []rpc.NodeID
	nodesPerBackend int
}

// minSubsetSize is how many backends of a service a daemon should have to choose
// among; where a site has few, more daemons share each.
const minSubsetSize = 6

// NewSubset reckons with the ready daemons of self's site, self among them.
func NewSubset(self rpc.NodeID, site rpc.ZoneName, fellows map[rpc.NodeID]rpc.Node, sharers int) (subset Subset) {
	subset = Subset{self: self, nodes: []rpc.NodeID{self}}
	for id, fellow := range fellows {
		if id != self && fellow.Zone == site && fellow.Ready && !fellow.Stopping {
			subset.nodes = append(subset.nodes, id)
		}
	}
	subset.nodesPerBackend = max(1, sharers)
	return subset
}

// NodesPerBackend is how many daemons use each backend of a service first that has so
// many at the site.
func (s Subset) NodesPerBackend(backends int) (sharers int) {
	least := (minSubsetSize*len(s.nodes) + max(1, backends) - 1) / max(1, backends)
	return min(max(s.nodesPerBackend, least), len(s.nodes))
}

// Contains tells whether self is among so many that use the backend first.
func (s Subset) Contains(server rpc.EndpointID, sharers int) (holds bool) {
	if sharers >= len(s.nodes) {
		return true
	}
	own := healthcheck.Rank(string(s.self), string(server))
	before := 0
	for _, id := range s.nodes {
		if id == s.self {
			continue
		}
		if rank := healthcheck.Rank(string(id), string(server)); rank < own || rank == own && id < s.self {
			if before++; before >= sharers {
				return false
			}
		}
	}
	return true
}
