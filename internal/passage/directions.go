// Directions are the answers of the directory: the ready daemons nearest to
// the client, never one that is stopping or not heard, from more than one site
// where there are any, and some answer while any daemon is known at all.
package passage

import (
	"sort"
	"time"

	"tinpin/internal/parley"
)

const (
	directionsTTL  = 2 * time.Second
	directionsMost = 64
	directionsFew  = 2
)

// Directions lists front addresses for a client of a site.
func Directions(fellows map[parley.FellowID]parley.Fellow, absent map[parley.FellowID]bool, region, site string) (addresses []string) {
	pick := func(unheard bool) (near [3][]string) {
		for id, fellow := range fellows {
			if !fellow.Ready || fellow.Stopping || fellow.Front == "" || absent[id] != unheard {
				continue
			}
			switch {
			case string(fellow.Site) == site:
				near[0] = append(near[0], fellow.Front)
			case string(fellow.Region) == region:
				near[1] = append(near[1], fellow.Front)
			default:
				near[2] = append(near[2], fellow.Front)
			}
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
		addresses = addresses[:directionsMost]
	}
	return addresses
}
