package coordinator

import (
	"time"

	"tinpin/internal/healthcheck"
	"tinpin/internal/rpc"
)

// balanceZones recomputes which part of their requests zones should send to the
// backends of others; the caller holds mu.
func (c *Coordinator) balanceZones(now time.Duration) {
	region := func(zone rpc.ZoneName) string { return string(c.regionOf(zone)) }
	c.zoneBalance.Update(now, c.loadByZone(), c.slotsByZone(now), region)
}

// loadByZone sums the requests in flight that connected nodes report.
func (c *Coordinator) loadByZone() (inFlight map[healthcheck.ServiceZone]float64) {
	inFlight = map[healthcheck.ServiceZone]float64{}
	for id, loads := range c.followers.loadByNode {
		node, known := c.nodes.registry.Nodes.Get(id)
		if !known || !c.nodes.registry.Present(id) {
			continue
		}
		for _, load := range loads {
			if load.InFlight > 0 {
				inFlight[healthcheck.ServiceZone{Service: load.Service, Zone: node.Zone}] += float64(load.InFlight)
			}
		}
	}
	return inFlight
}

// slotsByZone sums the slots of the backends that can take their full load; a
// zone that has only others is there with none.
func (c *Coordinator) slotsByZone(now time.Duration) (slots map[healthcheck.ServiceZone]float64) {
	slots = map[healthcheck.ServiceZone]float64{}
	c.endpoints.Endpoints.Each(func(id rpc.EndpointID, endpoint rpc.Endpoint) {
		serviceZone := healthcheck.ServiceZone{Service: endpoint.Service, Zone: endpoint.Zone}
		if c.takesFullLoad(now, id, endpoint) {
			slots[serviceZone] += float64(max(1, endpoint.Slots))
		} else {
			slots[serviceZone] += 0
		}
	})
	return slots
}

func (c *Coordinator) takesFullLoad(now time.Duration, id rpc.EndpointID, endpoint rpc.Endpoint) bool {
	state, _ := c.health.States.Get(id)
	switch {
	case endpoint.Draining, c.evacuatedZones[endpoint.Zone], c.policies.drain.stopped(id):
		return false
	case state.Health == rpc.Unhealthy, state.EjectedFor != "", c.health.WarmupUntil(id) > now:
		return false
	}
	return true
}
