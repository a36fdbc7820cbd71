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
	pendingByOwner map[rpc.FellowID][]rpc.Tally
	// ownerByService caches who owns a service until the nodes change.
	ownerByService map[rpc.ServiceName]rpc.FellowID
}

func newOutcomeRelay() (r outcomeRelay) {
	return outcomeRelay{pendingByOwner: map[rpc.FellowID][]rpc.Tally{}, ownerByService: map[rpc.ServiceName]rpc.FellowID{}}
}

func (r *outcomeRelay) forgetOwners() { r.ownerByService = map[rpc.ServiceName]rpc.FellowID{} }

// add keeps a row for an owner, unless too many wait for it already.
func (r *outcomeRelay) add(owner rpc.FellowID, row rpc.Tally) {
	if pending := r.pendingByOwner[owner]; len(pending) < maxPendingRows {
		r.pendingByOwner[owner] = append(pending, row)
	}
}

// take gives what waits for a node, once.
func (r *outcomeRelay) take(owner rpc.FellowID) (rows []rpc.Tally) {
	rows = r.pendingByOwner[owner]
	delete(r.pendingByOwner, owner)
	return rows
}

// relayOutcomes keeps a node's outcomes for the owners of the services, leaving
// out what names an unknown service or a backend of another; the caller holds mu.
func (c *Coordinator) relayOutcomes(request rpc.BeatAsk) {
	for _, row := range request.Tallies[:min(len(request.Tallies), maxOutcomeRows)] {
		if c.view.Services[string(row.Service)] == nil {
			continue
		}
		if row.Server != "" {
			if server, listed := c.endpoints.Servers.Get(row.Server); !listed || server.Service != row.Service {
				continue
			}
		}
		row.Site = request.Site
		c.outcomes.add(c.owner(row.Service), row)
	}
}

// owner names the node that probes a service's backends.
func (c *Coordinator) owner(service rpc.ServiceName) (owner rpc.FellowID) {
	owner, known := c.outcomes.ownerByService[service]
	if !known {
		owner = c.health.Owner(service, c.nodes.absent)
		c.outcomes.ownerByService[service] = owner
	}
	return owner
}
