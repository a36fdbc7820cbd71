// Directions are the answers of the directory: the ready daemons nearest to
// the client, never one that is stopping or not heard, from more than one site
// where there are any, and some answer while any daemon is known at all. Where
// keyed ways of a host are bound to some regions, clients from elsewhere are
// sent to daemons of those regions: the requests have to go there anyhow, and
// only there may their answers be kept for a repeat. Where there are many, each
// client gets a few of its own, which stay the same from answer to answer, since
// clients drop streams to those an answer lacks; and one of another site among
// them, since a client that knows its own site only is lost with it.
package proxy

import (
	"math/rand"
	"sort"
	"time"

	"tinpin/internal/healthcheck"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

const (
	directoryTTL        = 2 * time.Second
	minDirectoryAnswers = 2
	// maxOwnZoneAnswers is how many of its own site a client gets where there are so
	// many, and directionsAway how many of others beside them.
	maxOwnZoneAnswers   = 6
	maxOtherZoneAnswers = 1
)

// DirectoryAnswer lists front addresses for a client of a site and a host's homes.
// Under a day's plan a region is drawn by the weights, within the homes, and
// takes the place of the client's own; where nobody is ready there, the answer
// is as it is without a plan.
func DirectoryAnswer(fellows map[rpc.NodeID]rpc.Node, absent map[rpc.NodeID]bool, homes []string, weights schedule.Weights, region, site, client string) (addresses []string) {
	if drawn := drawRegion(fellows, absent, homes, weights, region); drawn != "" && drawn != region {
		region, site = drawn, ""
	}
	away := !regionAllowed(homes, rpc.RegionName(region))
	distance := func(fellow rpc.Node) (far int) {
		switch {
		case away && regionAllowed(homes, fellow.Region) || !away && string(fellow.Zone) == site:
			return 0
		case string(fellow.Region) == region:
			return 1
		}
		return 2
	}
	pick := func(unheard bool) (near [3][]directoryCandidate) {
		for id, fellow := range fellows {
			if !fellow.Ready || fellow.Stopping || fellow.FrontendAddress == "" || absent[id] != unheard {
				continue
			}
			far := distance(fellow)
			near[far] = append(near[far], directoryCandidate{fellow.FrontendAddress, id})
		}
		return near
	}
	for _, unheard := range []bool{false, true} {
		near := pick(unheard)
		addresses = append(addresses, pickForClient(near[0], client, maxOwnZoneAnswers)...)
		if len(addresses) < minDirectoryAnswers {
			addresses = append(addresses, pickForClient(near[1], client, maxOwnZoneAnswers)...)
		}
		if len(addresses) < minDirectoryAnswers {
			addresses = append(addresses, pickForClient(near[2], client, maxOwnZoneAnswers)...)
		}
		if len(addresses) == maxOwnZoneAnswers && !away {
			if others := append(pickForClient(near[1], client, maxOtherZoneAnswers), pickForClient(near[2], client, maxOtherZoneAnswers)...); len(others) > 0 {
				addresses = append(addresses, others[:maxOtherZoneAnswers]...)
			}
		}
		if len(addresses) > 0 {
			break
		}
	}
	return addresses
}

// directoryCandidate is one daemon that an answer may name.
type directoryCandidate struct {
	address string
	id      rpc.NodeID
}

// pickForClient picks a client's own of many: those that rank highest for it, so that a
// daemon more or less changes the answers of its own clients only.
func pickForClient(all []directoryCandidate, client string, most int) (fronts []string) {
	if len(all) > most {
		ranks := make(map[rpc.NodeID]uint64, len(all))
		for _, one := range all {
			ranks[one.id] = healthcheck.Rank(string(one.id), client)
		}
		sort.Slice(all, func(i, j int) bool {
			if ranks[all[i].id] != ranks[all[j].id] {
				return ranks[all[i].id] < ranks[all[j].id]
			}
			return all[i].id < all[j].id
		})
		all = all[:most]
	}
	for _, one := range all {
		fronts = append(fronts, one.address)
	}
	sort.Strings(fronts)
	return fronts
}

// drawRegion picks a region by weight, of those that are homes and have a daemon that
// is ready; a client's own region is kept where it has its part.
func drawRegion(fellows map[rpc.NodeID]rpc.Node, absent map[rpc.NodeID]bool, homes []string, weights schedule.Weights, own string) (region string) {
	if weights == nil {
		return ""
	}
	serving := map[rpc.RegionName]bool{}
	for id, fellow := range fellows {
		if fellow.Ready && !fellow.Stopping && fellow.FrontendAddress != "" && !absent[id] {
			serving[fellow.Region] = true
		}
	}
	sum := 0
	var names []rpc.RegionName
	for name, weight := range weights {
		if weight > 0 && serving[name] && regionAllowed(homes, name) {
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
