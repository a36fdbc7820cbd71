// Balance levels the burden between the sites of a region. Clients come to
// sites unevenly, and a daemon sees neither what others have at work nor how
// full the backends of another site are. So daemons tell what they have at
// work, by service, with their beats; the leader sets it against the slots of
// each site, and tells a site that is pressed well above its region which part
// of its requests to keep and where to send the rest. It follows from what the
// clients of each site bring, not from where it was served, so that daemons do
// not run after each other.
package healthcheck

import (
	"sort"
	"time"

	"tinpin/internal/rpc"
)

const (
	// freeUtilization is the part of its slots a site may always have at work,
	// balanceOver how far it may be above its region before it sends some away.
	freeUtilization        = 0.6
	maxRelativeUtilization = 1.1
	// demandSmoothing is how fast the reckoned demand follows, a turn.
	demandSmoothing = 0.25
	balanceInterval = 200 * time.Millisecond
	// minOverflowPermille is the least part worth sending away, in thousandths.
	minOverflowPermille = 40
)

// ServiceZone is one service at one site.
type ServiceZone struct {
	Service rpc.ServiceName
	Zone    rpc.ZoneName
}

// ZoneBalancer keeps the demand of each place.
type ZoneBalancer struct {
	demand    map[ServiceZone]float64
	overflows map[ServiceZone]rpc.ZoneOverflow
	updatedAt time.Duration
}

// NewZoneBalancer knows of no demand.
func NewZoneBalancer() (balance *ZoneBalancer) {
	return &ZoneBalancer{demand: map[ServiceZone]float64{}, overflows: map[ServiceZone]rpc.ZoneOverflow{}, updatedAt: -time.Hour}
}

// Due tells whether it is time for a turn.
func (b *ZoneBalancer) Due(now time.Duration) bool { return now-b.updatedAt >= balanceInterval }

// Update takes what is at work by the site it came to, and the slots of use at
// each, and reckons anew.
func (b *ZoneBalancer) Update(now time.Duration, atWork, slots map[ServiceZone]float64, region func(rpc.ZoneName) string) {
	b.updatedAt = now
	for place := range b.demand {
		if _, told := atWork[place]; !told {
			if b.demand[place] *= 1 - demandSmoothing; b.demand[place] < 0.05 {
				delete(b.demand, place)
			}
		}
	}
	for place, work := range atWork {
		b.demand[place] += (work - b.demand[place]) * demandSmoothing
	}
	type pool struct {
		demand, slots float64
		sites         []rpc.ZoneName
	}
	pools := map[rpc.ServiceName]map[string]*pool{}
	note := func(place ServiceZone, demand, slots float64) {
		if pools[place.Service] == nil {
			pools[place.Service] = map[string]*pool{}
		}
		in := region(place.Zone)
		if pools[place.Service][in] == nil {
			pools[place.Service][in] = &pool{}
		}
		held := pools[place.Service][in]
		held.demand += demand
		held.slots += slots
		for _, site := range held.sites {
			if site == place.Zone {
				return
			}
		}
		held.sites = append(held.sites, place.Zone)
	}
	for place, demand := range b.demand {
		note(place, demand, 0)
	}
	for place, count := range slots {
		note(place, 0, count)
	}
	b.overflows = map[ServiceZone]rpc.ZoneOverflow{}
	for service, regions := range pools {
		for _, held := range regions {
			if held.slots > 0 {
				b.level(service, held.sites, max(freeUtilization, maxRelativeUtilization*held.demand/held.slots), slots)
			}
		}
	}
}

// level reckons the spills of one service within one region, so that no site
// has more than a part of its slots at work.
func (b *ZoneBalancer) level(service rpc.ServiceName, sites []rpc.ZoneName, most float64, slots map[ServiceZone]float64) {
	sort.Slice(sites, func(i, k int) bool { return sites[i] < sites[k] })
	spare := map[rpc.ZoneName]float64{}
	total := 0.0
	for _, site := range sites {
		place := ServiceZone{service, site}
		if left := most*slots[place] - b.demand[place]; left > 0 {
			spare[site] = left
			total += left
		}
	}
	if total <= 0 {
		return
	}
	for _, site := range sites {
		place := ServiceZone{service, site}
		over := b.demand[place] - most*slots[place]
		if over <= 0 || b.demand[place] <= 0 {
			continue
		}
		spill := rpc.ZoneOverflow{Service: service}
		for _, other := range sites {
			part := int(1000 * over / b.demand[place] * spare[other] / total)
			if part > 0 {
				spill.Targets = append(spill.Targets, rpc.ZoneWeight{Zone: other, Weight: part})
				spill.Permille += part
			}
		}
		if spill.Permille >= minOverflowPermille {
			b.overflows[place] = spill
		}
	}
}

// Overflows lists what a site is to send away.
func (b *ZoneBalancer) Overflows(site rpc.ZoneName) (spills []rpc.ZoneOverflow) {
	for place, spill := range b.overflows {
		if place.Zone == site {
			spills = append(spills, spill)
		}
	}
	sort.Slice(spills, func(i, k int) bool { return spills[i].Service < spills[k].Service })
	return spills
}
