// Choose picks the backend for a round from the scene: of those that may take
// the request, the one that promises the soonest answer, with a handicap for
// each border crossed, since bytes over borders are dear and slow. A backend
// that is cold is used only under a leased share of its cold rate.
package passage

import (
	"math/rand"
	"time"

	"tinpin/internal/canon"
	"tinpin/internal/parley"
)

// Handicaps in milliseconds of expected time.
const (
	handicapSite   = 120
	handicapRegion = 260
	handicapDoubt  = 500
	usualPace      = 120
)

// Wanted says what a backend is wanted for.
type Wanted struct {
	Service parley.ServiceName
	Homes   []string
	Tried   []parley.ServerID
}

func (w Wanted) tried(id parley.ServerID) bool {
	for _, tried := range w.Tried {
		if tried == id {
			return true
		}
	}
	return false
}

func allowed(homes []string, region parley.RegionName) bool {
	if len(homes) == 0 {
		return true
	}
	for _, home := range homes {
		if home == string(region) {
			return true
		}
	}
	return false
}

// choose names the backend, or tells whether there is any at all.
func (w *World) choose(scene *Scene, wanted Wanted) (chosenServer *Server, any bool) {
	now := w.clock.Now()
	service := scene.View.Services[string(wanted.Service)]
	spread := max(1, scene.Sharers)
	bestCost := 0.0
	var outServer *Server
	outCost := 0.0
	for _, server := range scene.Services[wanted.Service] {
		if scene.Evacuate[server.Site] || !allowed(wanted.Homes, server.Region) || wanted.tried(server.ID) {
			continue
		}
		server.mu.Lock()
		if server.Draining {
			server.mu.Unlock()
			continue
		}
		any = true
		slots := max(1, server.Slots)
		room := max(2, (3*slots+spread-1)/spread)
		if service != nil && service.Streams > 0 {
			room = min(room, max(1, service.Streams/spread))
		}
		full := server.burden >= room
		cold := now < server.coldTill
		pace := server.pace
		if server.paceAt == 0 {
			pace = usualPace
		} else if age := now - server.paceAt; age > 5*time.Second {
			pace = min(pace, usualPace)
		}
		cost := pace * (1 + float64(server.burden)*min(1, float64(spread)/float64(slots)))
		if server.doubted(now) {
			cost += handicapDoubt
		}
		out, down, burden := now < server.outTill, server.health == parley.Down, server.burden
		allowance := 0
		if cold {
			allowance = server.cold.Sum(now)
		}
		server.mu.Unlock()
		if full {
			continue
		}
		if cold {
			if float64(allowance)+1 > w.Share(parley.ColdRate, string(server.ID)) || burden > 0 {
				continue
			}
			cost = 2*cost + 100
		}
		switch {
		case string(server.Site) == w.props.Site:
		case string(server.Region) == w.props.Region:
			cost += handicapSite
		default:
			cost += handicapRegion
		}
		cost *= 0.85 + 0.3*rand.Float64()
		if out || down {
			if down && out {
				continue
			}
			if outServer == nil || cost < outCost {
				outServer, outCost = server, cost
			}
			continue
		}
		if chosenServer == nil || cost < bestCost {
			chosenServer, bestCost = server, cost
		}
	}
	if chosenServer == nil {
		chosenServer = outServer
	}
	return chosenServer, any
}

// target picks a way's service by weight.
func target(way *canon.Way) (service parley.ServiceName) {
	if len(way.Targets) == 1 {
		return parley.ServiceName(way.Targets[0].Service)
	}
	sum := 0.0
	for _, part := range way.Targets {
		sum += part.Weight
	}
	at := rand.Float64() * sum
	for _, part := range way.Targets {
		if at -= part.Weight; at < 0 {
			return parley.ServiceName(part.Service)
		}
	}
	return parley.ServiceName(way.Targets[len(way.Targets)-1].Service)
}
