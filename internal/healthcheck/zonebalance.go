package healthcheck

import (
	"cmp"
	"slices"
	"time"

	"tinpin/internal/rpc"
)

const (
	// freeUtilization is the part of its slots that a zone may always have in flight,
	// maxRelativeUtilization how far above its region it may be before it sends
	// requests away.
	freeUtilization        = 0.6
	maxRelativeUtilization = 1.1
	// demandSmoothing is the weight of the newest demand, balanceInterval the time
	// between two updates.
	demandSmoothing = 0.25
	balanceInterval = 200 * time.Millisecond
	// staleDemand is the demand below which a zone without requests is forgotten.
	staleDemand = 0.05
	// minOverflowPermille is the least part worth sending away, in thousandths.
	minOverflowPermille = 40
)

// ServiceZone is one service in one zone.
type ServiceZone struct {
	Service rpc.ServiceName
	Zone    rpc.ZoneName
}

// ZoneBalancer levels the load between the zones of a region. Clients come to zones
// unevenly, and a node sees neither what others have in flight nor how full the
// endpoints of another zone are. So nodes report what they have in flight by service
// with their heartbeats, and the leader compares it with the slots of each zone. A
// zone well above its region is told which part of its requests to keep and where to
// send the rest. The demand of a zone is what its clients bring, not what is served
// there, so that nodes do not follow each other's moves.
type ZoneBalancer struct {
	demand    map[ServiceZone]float64
	overflows map[ServiceZone]rpc.ZoneOverflow
	updatedAt time.Duration
}

// NewZoneBalancer makes a balancer without any demand.
func NewZoneBalancer() (balancer *ZoneBalancer) {
	return &ZoneBalancer{
		demand:    map[ServiceZone]float64{},
		overflows: map[ServiceZone]rpc.ZoneOverflow{},
		updatedAt: -time.Hour,
	}
}

// Due reports whether it is time for an update.
func (b *ZoneBalancer) Due(now time.Duration) (due bool) { return now-b.updatedAt >= balanceInterval }

// regionLoad is the load of one service in one region.
type regionLoad struct {
	demand, slots float64
	zones         []rpc.ZoneName
}

// Update takes the requests in flight by the zone that their clients came to, and the
// usable slots of each zone, and computes the overflows anew.
func (b *ZoneBalancer) Update(
	now time.Duration, inFlight, slots map[ServiceZone]float64, region func(rpc.ZoneName) string,
) {
	b.updatedAt = now
	b.smooth(inFlight)
	b.overflows = map[ServiceZone]rpc.ZoneOverflow{}
	for service, regions := range b.loads(slots, region) {
		for _, load := range regions {
			if load.slots > 0 {
				maxUtilization := max(freeUtilization, maxRelativeUtilization*load.demand/load.slots)
				b.level(service, load.zones, maxUtilization, slots)
			}
		}
	}
}

// smooth lets the demand follow the requests in flight.
func (b *ZoneBalancer) smooth(inFlight map[ServiceZone]float64) {
	for key := range b.demand {
		if _, reported := inFlight[key]; !reported {
			if b.demand[key] *= 1 - demandSmoothing; b.demand[key] < staleDemand {
				delete(b.demand, key)
			}
		}
	}
	for key, requests := range inFlight {
		b.demand[key] += (requests - b.demand[key]) * demandSmoothing
	}
}

// loads sums demand and slots by service and region.
func (b *ZoneBalancer) loads(
	slots map[ServiceZone]float64, region func(rpc.ZoneName) string,
) (loads map[rpc.ServiceName]map[string]*regionLoad) {
	loads = map[rpc.ServiceName]map[string]*regionLoad{}
	add := func(key ServiceZone, demand, slots float64) {
		if loads[key.Service] == nil {
			loads[key.Service] = map[string]*regionLoad{}
		}
		name := region(key.Zone)
		load := loads[key.Service][name]
		if load == nil {
			load = &regionLoad{}
			loads[key.Service][name] = load
		}
		load.demand += demand
		load.slots += slots
		if !slices.Contains(load.zones, key.Zone) {
			load.zones = append(load.zones, key.Zone)
		}
	}
	for key, demand := range b.demand {
		add(key, demand, 0)
	}
	for key, count := range slots {
		add(key, 0, count)
	}
	return loads
}

// level computes the overflows of one service within one region, so that no zone has
// more than a part of its slots in flight.
func (b *ZoneBalancer) level(
	service rpc.ServiceName, zones []rpc.ZoneName, maxUtilization float64, slots map[ServiceZone]float64,
) {
	slices.Sort(zones)
	spare := map[rpc.ZoneName]float64{}
	total := 0.0
	for _, zone := range zones {
		key := ServiceZone{service, zone}
		if left := maxUtilization*slots[key] - b.demand[key]; left > 0 {
			spare[zone] = left
			total += left
		}
	}
	if total <= 0 {
		return
	}
	for _, zone := range zones {
		key := ServiceZone{service, zone}
		excess := b.demand[key] - maxUtilization*slots[key]
		if excess <= 0 || b.demand[key] <= 0 {
			continue
		}
		overflow := rpc.ZoneOverflow{Service: service}
		for _, other := range zones {
			part := int(1000 * excess / b.demand[key] * spare[other] / total)
			if part > 0 {
				overflow.Targets = append(overflow.Targets, rpc.ZoneWeight{Zone: other, Weight: part})
				overflow.Permille += part
			}
		}
		if overflow.Permille >= minOverflowPermille {
			b.overflows[key] = overflow
		}
	}
}

// Overflows lists what the nodes of a zone send to other zones, in order of services.
func (b *ZoneBalancer) Overflows(zone rpc.ZoneName) (overflows []rpc.ZoneOverflow) {
	for key, overflow := range b.overflows {
		if key.Zone == zone {
			overflows = append(overflows, overflow)
		}
	}
	slices.SortFunc(overflows, func(a, b rpc.ZoneOverflow) int { return cmp.Compare(a.Service, b.Service) })
	return overflows
}
