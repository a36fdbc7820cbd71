package proxy

import (
	"cmp"
	"slices"

	"tinpin/internal/balancer"
	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

// Snapshot is one version of the ClusterState as requests read it. It is immutable
// but for the backends' own state.
type Snapshot struct {
	View *config.RoutingTable
	// Services are the backends of each service, sorted by id.
	Services map[rpc.ServiceName][]*Backend
	// Preferred are the backends of a service that this node uses first, Others
	// all the rest; NodesPerBackend is how many nodes use each preferred one first.
	Preferred, Others map[rpc.ServiceName][]*Backend
	NodesPerBackend   map[rpc.ServiceName]int
	Evacuated         map[rpc.ZoneName]bool
	Nodes             map[rpc.NodeID]rpc.Node
	// ReadyNodes counts the nodes that send requests to the backends now.
	ReadyNodes int
	// Configured is set once all of the configuration has arrived: until then, a
	// route that is missing proves nothing.
	Configured bool
	// ListComplete is set once a whole endpoint list has arrived.
	ListComplete bool
	Revision     uint64
}

// backendCount counts the backends of all services.
func (s *Snapshot) backendCount() (count int) {
	for _, backends := range s.Services {
		count += len(backends)
	}
	return count
}

// Snapshot gives the newest one.
func (s *ClusterState) Snapshot() *Snapshot { return s.snapshot.Load() }

// publishSnapshot builds a new snapshot and shows it to requests; the caller holds
// the lock.
func (s *ClusterState) publishSnapshot() {
	s.configured = s.configured || s.known.LastItem == rpc.AfterAllItems && !s.config.Empty()
	snapshot := &Snapshot{
		View: s.view, Services: s.backendsByService(),
		Evacuated: map[rpc.ZoneName]bool{}, Nodes: map[rpc.NodeID]rpc.Node{},
		Preferred: map[rpc.ServiceName][]*Backend{}, Others: map[rpc.ServiceName][]*Backend{},
		NodesPerBackend: map[rpc.ServiceName]int{},
		Configured:      s.configured, ListComplete: s.listComplete, Revision: s.known.LogIndex,
	}
	for zone, evacuation := range s.evacuations {
		if evacuation.Active {
			snapshot.Evacuated[zone] = true
		}
	}
	for id, node := range s.nodes {
		snapshot.Nodes[id] = node
		if node.Ready && !node.Stopping {
			snapshot.ReadyNodes++
		}
	}
	s.splitBySubset(snapshot)
	s.snapshot.Store(snapshot)
}

// backendsByService sorts the backends of each service by id.
func (s *ClusterState) backendsByService() (services map[rpc.ServiceName][]*Backend) {
	services = map[rpc.ServiceName][]*Backend{}
	for _, backend := range s.backends {
		services[backend.Service] = append(services[backend.Service], backend)
	}
	for _, backends := range services {
		slices.SortFunc(backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	return services
}

// splitBySubset parts the backends of each service into those of this node's subset
// and the others.
func (s *ClusterState) splitBySubset(snapshot *Snapshot) {
	subset := balancer.NewSubset(
		rpc.NodeID(s.settings.Name), rpc.ZoneName(s.settings.Zone), s.nodes, s.settings.SubsetSize,
	)
	for service, backends := range snapshot.Services {
		inZone := 0
		for _, backend := range backends {
			if string(backend.Zone) == s.settings.Zone {
				inZone++
			}
		}
		nodes := subset.NodesPerBackend(inZone)
		snapshot.NodesPerBackend[service] = nodes
		for _, backend := range backends {
			if string(backend.Zone) == s.settings.Zone && subset.Contains(backend.ID, nodes) {
				snapshot.Preferred[service] = append(snapshot.Preferred[service], backend)
			} else {
				snapshot.Others[service] = append(snapshot.Others[service], backend)
			}
		}
	}
}
