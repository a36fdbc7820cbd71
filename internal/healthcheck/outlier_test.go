package healthcheck

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// outlierSimulation reports outcomes of a service of so many endpoints to a detector; failing
// is the part of an endpoint's requests from a zone that fail.
type outlierSimulation struct {
	detector *OutlierDetector
	now      time.Duration
	size     int
	state    uint64
	ejected  map[rpc.EndpointID]string
	seen     map[string]bool
}

func newOutlierSimulation(size int) *outlierSimulation {
	return &outlierSimulation{detector: NewOutlierDetector(), size: size, ejected: map[rpc.EndpointID]string{}, seen: map[string]bool{}, state: 1}
}

func (h *outlierSimulation) random() float64 {
	h.state = h.state*6364136223846793005 + 1442695040888963407
	return float64(h.state>>11) / (1 << 53)
}

func (h *outlierSimulation) run(span time.Duration, zones []rpc.ZoneName, failing func(n int, zone rpc.ZoneName) float64) {
	for end := h.now + span; h.now < end; h.now += 500 * time.Millisecond {
		for _, zone := range zones {
			sum := rpc.OutcomeCount{Service: "s", Zone: zone}
			for n := range h.size {
				row := rpc.OutcomeCount{Endpoint: rpc.EndpointID(fmt.Sprint("i-", n)), Service: "s", Zone: zone}
				for range 2 {
					if h.random() < failing(n, zone) {
						row.Failed++
					} else {
						row.Succeeded++
					}
				}
				sum.Succeeded, sum.Failed = sum.Succeeded+row.Succeeded, sum.Failed+row.Failed
				if row.Failed > 0 || h.ejected[row.Endpoint] != "" {
					h.detector.Add(h.now, row)
				}
			}
			h.detector.Add(h.now, sum)
		}
		for id, ejected := range h.detector.Tick(h.now, map[rpc.ServiceName]int{"s": h.size}) {
			h.seen[string(id)+" "+ejected] = true
			if h.ejected[id] = ejected; ejected == "" {
				delete(h.ejected, id)
			}
		}
	}
}

var oneZone = []rpc.ZoneName{"here"}

func TestOutlierIsEjected(t *testing.T) {
	h := newOutlierSimulation(20)
	h.run(20*time.Second, oneZone, func(int, rpc.ZoneName) float64 { return 0.005 })
	if len(h.ejected) != 0 {
		t.Fatalf("rare failures: ejected %v", h.ejected)
	}
	failingThree := func(n int, _ rpc.ZoneName) float64 {
		if n < 3 {
			return 0.45
		}
		return 0.005
	}
	h.run(3*time.Second, oneZone, failingThree)
	if len(h.ejected) != 3 || h.ejected["i-0"] != rpc.EjectedForAllZones {
		t.Fatalf("of three failing endpoints %v are ejected", h.ejected)
	}
	h.run(12*time.Second, oneZone, func(int, rpc.ZoneName) float64 { return 0 })
	if len(h.ejected) != 0 {
		t.Fatalf("healthy again, but still ejected: %v", h.ejected)
	}
}

func TestNothingIsEjectedWhenAllFail(t *testing.T) {
	h := newOutlierSimulation(20)
	h.run(10*time.Second, oneZone, func(int, rpc.ZoneName) float64 { return 0.6 })
	if len(h.ejected) != 0 {
		t.Fatalf("everything fails, yet %v are ejected", h.ejected)
	}
	h = newOutlierSimulation(20)
	h.run(10*time.Second, oneZone, func(n int, _ rpc.ZoneName) float64 {
		if n < 7 {
			return 0.9
		}
		return 0
	})
	if maxEjected := int(maxEjectedPart * float64(h.size)); len(h.ejected) > maxEjected {
		t.Fatalf("%d are ejected, the limit is %d", len(h.ejected), maxEjected)
	}
}

func TestOutlierForOneZone(t *testing.T) {
	h := newOutlierSimulation(20)
	h.run(5*time.Second, []rpc.ZoneName{"here", "there"}, func(n int, zone rpc.ZoneName) float64 {
		if n == 0 && zone == "there" {
			return 0.8
		}
		return 0.005
	})
	if !h.seen["i-0 there"] || h.seen["i-0 here"] {
		t.Fatalf("ejected: %v", h.seen)
	}
}

// An endpoint that relapses is ejected for longer each time.
func TestEjectionGrowsWithEachRelapse(t *testing.T) {
	h := newOutlierSimulation(20)
	always := func(n int, _ rpc.ZoneName) float64 {
		if n == 0 {
			return 1
		}
		return 0
	}
	in := 0
	h.run(40*time.Second, oneZone, func(n int, zone rpc.ZoneName) float64 {
		if n == 0 && h.ejected["i-0"] == "" {
			in++
		}
		return always(n, zone)
	})
	if in > 40 {
		t.Fatalf("an endpoint that always fails was in use for %d of 160 draws", in)
	}
}
