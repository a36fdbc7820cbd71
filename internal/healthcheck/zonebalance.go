package healthcheck

import (
	"slices"
	"sort"
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
	// forgottenDemand is the demand below which a zone without requests is forgotten.
	forgottenDemand = 0.05
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
	return &ZoneBalancer{demand: map[ServiceZone]float64{}, overflows: map[ServiceZone]rpc.ZoneOverflow{}, updatedAt: -time.Hour}
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
func (b *ZoneBalancer) Update(now time.Duration, inFlight, slots map[ServiceZone]float64, region func(rpc.ZoneName) string) {
	b.updatedAt = now
	b.smooth(inFlight)
	b.overflows = map[ServiceZone]rpc.ZoneOverflow{}
	for service, regions := range b.loads(slots, region) {
		for _, load := range regions {
			if load.slots > 0 {
				most := max(freeUtilization, maxRelativeUtilization*load.demand/load.slots)
				b.level(service, load.zones, most, slots)
			}
		}
	}
}

// smooth lets the demand follow the requests in flight.
func (b *ZoneBalancer) smooth(inFlight map[ServiceZone]float64) {
	for place := range b.demand {
		if _, reported := inFlight[place]; !reported {
			if b.demand[place] *= 1 - demandSmoothing; b.demand[place] < forgottenDemand {
				delete(b.demand, place)
			}
		}
	}
	for place, requests := range inFlight {
		b.demand[place] += (requests - b.demand[place]) * demandSmoothing
	}
}

// loads sums demand and slots by service and region.
func (b *ZoneBalancer) loads(slots map[ServiceZone]float64, region func(rpc.ZoneName) string) (loads map[rpc.ServiceName]map[string]*regionLoad) {
	loads = map[rpc.ServiceName]map[string]*regionLoad{}
	add := func(place ServiceZone, demand, slots float64) {
		if loads[place.Service] == nil {
			loads[place.Service] = map[string]*regionLoad{}
		}
		name := region(place.Zone)
		load := loads[place.Service][name]
		if load == nil {
			load = &regionLoad{}
			loads[place.Service][name] = load
		}
		load.demand += demand
		load.slots += slots
		if !slices.Contains(load.zones, place.Zone) {
			load.zones = append(load.zones, place.Zone)
		}
	}
	for place, demand := range b.demand {
		add(place, demand, 0)
	}
	for place, count := range slots {
		add(place, 0, count)
	}
	return loads
}

// level computes the overflows of one service within one region, so that no zone has
// more than a part of its slots in flight.
func (b *ZoneBalancer) level(service rpc.ServiceName, zones []rpc.ZoneName, most float64, slots map[ServiceZone]float64) {
	sort.Slice(zones, func(i, k int) bool { return zones[i] < zones[k] })
	spare := map[rpc.ZoneName]float64{}
	total := 0.0
	for _, zone := range zones {
		place := ServiceZone{service, zone}
		if left := most*slots[place] - b.demand[place]; left > 0 {
			spare[zone] = left
			total += left
		}
	}
	if total <= 0 {
		return
	}
	for _, zone := range zones {
		place := ServiceZone{service, zone}
		excess := b.demand[place] - most*slots[place]
		if excess <= 0 || b.demand[place] <= 0 {
			continue
		}
		overflow := rpc.ZoneOverflow{Service: service}
		for _, other := range zones {
			part := int(1000 * excess / b.demand[place] * spare[other] / total)
			if part > 0 {
				overflow.Targets = append(overflow.Targets, rpc.ZoneWeight{Zone: other, Weight: part})
				overflow.Permille += part
			}
		}
		if overflow.Permille >= minOverflowPermille {
			b.overflows[place] = overflow
		}
	}
}

// Overflows lists what the nodes of a zone send to other zones, in order of services.
func (b *ZoneBalancer) Overflows(zone rpc.ZoneName) (overflows []rpc.ZoneOverflow) {
	for place, overflow := range b.overflows {
		if place.Zone == zone {
			overflows = append(overflows, overflow)
		}
	}
	sort.Slice(overflows, func(i, k int) bool { return overflows[i].Service < overflows[k].Service })
	return overflows
}
