// Directions are the answers of the directory: the ready daemons nearest to
// the client, never one that is stopping or not heard, from more than one site
// where there are any, and some answer while any daemon is known at all. Where
// keyed ways of a host are bound to some regions, clients from elsewhere are
// sent to daemons of those regions: the requests have to go there anyhow, and
// only there may their answers be kept for a repeat.
package passage

import (
	"math/rand"
	"sort"
	"time"

	"tinpin/internal/dayplan"
	"tinpin/internal/parley"
)

const (
	directionsTTL  = 2 * time.Second
	directionsMost = 64
	directionsFew  = 2
)

// Directions lists front addresses for a client of a site and a host's homes.
// Under a day's plan a region is drawn by the weights, within the homes, and
// takes the place of the client's own; where nobody is ready there, the answer
// is as it is without a plan.
func Directions(fellows map[parley.FellowID]parley.Fellow, absent map[parley.FellowID]bool, homes []string, weights dayplan.Weights, region, site string) (addresses []string) {
	if drawn := draw(fellows, absent, homes, weights, region); drawn != "" && drawn != region {
		region, site = drawn, ""
	}
	away := !allowed(homes, parley.RegionName(region))
	distance := func(fellow parley.Fellow) (far int) {
		switch {
		case away && allowed(homes, fellow.Region) || !away && string(fellow.Site) == site:
			return 0
		case string(fellow.Region) == region:
			return 1
		}
		return 2
	}
	pick := func(unheard bool) (near [3][]string) {
		for id, fellow := range fellows {
			if !fellow.Ready || fellow.Stopping || fellow.Front == "" || absent[id] != unheard {
				continue
			}
			far := distance(fellow)
			near[far] = append(near[far], fellow.Front)
		}
		for i := range near {
			sort.Strings(near[i])
		}
		return near
	}
	for _, unheard := range []bool{false, true} {
		near := pick(unheard)
		addresses = append(addresses, near[0]...)
		if len(addresses) < directionsFew {
			addresses = append(addresses, near[1]...)
		}
		if len(addresses) < directionsFew {
			addresses = append(addresses, near[2]...)
		}
		if len(addresses) > 0 {
			break
		}
	}
	if len(addresses) > directionsMost {
		// Not always the same ones, so that all of a large site carry.
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:directionsMost]
	}
	return addresses
}

// draw picks a region by weight, of those that are homes and have a daemon that
// is ready; a client's own region is kept where it has its part.
func draw(fellows map[parley.FellowID]parley.Fellow, absent map[parley.FellowID]bool, homes []string, weights dayplan.Weights, own string) (region string) {
	if weights == nil {
		return ""
	}
	serving := map[parley.RegionName]bool{}
	for id, fellow := range fellows {
		if fellow.Ready && !fellow.Stopping && fellow.Front != "" && !absent[id] {
			serving[fellow.Region] = true
		}
	}
	sum := 0
	var names []parley.RegionName
	for name, weight := range weights {
		if weight > 0 && serving[name] && allowed(homes, name) {
			names = append(names, name)
			sum += weight
		}
	}
	if sum == 0 {
		return ""
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	at := rand.Intn(sum)
	for _, name := range names {
		if at -= weights[name]; at < 0 {
			return string(name)
		}
	}
	return own
}
