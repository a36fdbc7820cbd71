package coordinator

import "tinpin/internal/rpc"

const (
	// maxOutcomeRows is how many rows of outcomes one heartbeat may bring,
	// maxPendingRows how many wait for one owner.
	maxOutcomeRows = 256
	maxPendingRows = 16 * maxOutcomeRows
)

// outcomeRelay passes what became of the nodes' requests on to the nodes that
// own the services, with their next heartbeats.
type outcomeRelay struct {
	pendingByOwner map[rpc.NodeID][]rpc.OutcomeCount
	// ownerByService caches who owns a service until the nodes change.
	ownerByService map[rpc.ServiceName]rpc.NodeID
}

func newOutcomeRelay() (r outcomeRelay) {
	return outcomeRelay{
		pendingByOwner: map[rpc.NodeID][]rpc.OutcomeCount{},
		ownerByService: map[rpc.ServiceName]rpc.NodeID{},
	}
}

func (r *outcomeRelay) forgetOwners() { r.ownerByService = map[rpc.ServiceName]rpc.NodeID{} }

// add keeps a row for an owner, unless too many wait for it already.
func (r *outcomeRelay) add(owner rpc.NodeID, row rpc.OutcomeCount) {
	if pending := r.pendingByOwner[owner]; len(pending) < maxPendingRows {
		r.pendingByOwner[owner] = append(pending, row)
	}
}

// take gives what waits for a node, once.
func (r *outcomeRelay) take(owner rpc.NodeID) (rows []rpc.OutcomeCount) {
	rows = r.pendingByOwner[owner]
	delete(r.pendingByOwner, owner)
	return rows
}

// relayOutcomes keeps a node's outcomes for the owners of the services, leaving
// out what names an unknown service or a backend of another; the caller holds mu.
func (c *Coordinator) relayOutcomes(request rpc.HeartbeatRequest) {
	for _, row := range request.Outcomes[:min(len(request.Outcomes), maxOutcomeRows)] {
		if c.routingTable.Services[string(row.Service)] == nil {
			continue
		}
		if row.Endpoint != "" {
			if endpoint, listed := c.endpoints.Endpoints.Get(row.Endpoint); !listed || endpoint.Service != row.Service {
				continue
			}
		}
		row.Zone = request.Zone
		c.outcomes.add(c.owner(row.Service), row)
	}
}

// owner names the node that probes a service's backends.
func (c *Coordinator) owner(service rpc.ServiceName) (owner rpc.NodeID) {
	owner, known := c.outcomes.ownerByService[service]
	if !known {
		owner = c.health.Owner(service, c.nodes.absent)
		c.outcomes.ownerByService[service] = owner
	}
	return owner
}
