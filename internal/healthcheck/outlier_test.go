package healthcheck

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// hearing plays outcomes of a service of so many backends into a judge; bad
// tells what part of a backend's requests from a site fail.
type hearing struct {
	judge *OutlierDetector
	now   time.Duration
	size  int
	luck  uint64
	aside map[rpc.EndpointID]string
	seen  map[string]bool
}

func newHearing(size int) *hearing {
	return &hearing{judge: NewOutlierDetector(), size: size, aside: map[rpc.EndpointID]string{}, seen: map[string]bool{}, luck: 1}
}

func (h *hearing) roll() float64 {
	h.luck = h.luck*6364136223846793005 + 1442695040888963407
	return float64(h.luck>>11) / (1 << 53)
}

func (h *hearing) play(span time.Duration, sites []rpc.ZoneName, bad func(n int, site rpc.ZoneName) float64) {
	for end := h.now + span; h.now < end; h.now += 500 * time.Millisecond {
		for _, site := range sites {
			whole := rpc.OutcomeCount{Service: "s", Zone: site}
			for n := range h.size {
				row := rpc.OutcomeCount{Endpoint: rpc.EndpointID(fmt.Sprint("i-", n)), Service: "s", Zone: site}
				for range 2 {
					if h.roll() < bad(n, site) {
						row.Failed++
					} else {
						row.Succeeded++
					}
				}
				whole.Succeeded, whole.Failed = whole.Succeeded+row.Succeeded, whole.Failed+row.Failed
				if row.Failed > 0 || h.aside[row.Endpoint] != "" {
					h.judge.Add(h.now, row)
				}
			}
			h.judge.Add(h.now, whole)
		}
		for id, aside := range h.judge.Tick(h.now, map[rpc.ServiceName]int{"s": h.size}) {
			h.seen[string(id)+" "+aside] = true
			if h.aside[id] = aside; aside == "" {
				delete(h.aside, id)
			}
		}
	}
}

var oneSite = []rpc.ZoneName{"here"}

func TestJudgeSetsAsideWhatStandsOut(t *testing.T) {
	h := newHearing(20)
	h.play(20*time.Second, oneSite, func(int, rpc.ZoneName) float64 { return 0.005 })
	if len(h.aside) != 0 {
		t.Fatalf("rare failures set aside %v", h.aside)
	}
	grey := func(n int, _ rpc.ZoneName) float64 {
		if n < 3 {
			return 0.45
		}
		return 0.005
	}
	h.play(3*time.Second, oneSite, grey)
	if len(h.aside) != 3 || h.aside["i-0"] != rpc.EjectedForAllZones {
		t.Fatalf("of three grey backends %v are set aside", h.aside)
	}
	h.play(12*time.Second, oneSite, func(int, rpc.ZoneName) float64 { return 0 })
	if len(h.aside) != 0 {
		t.Fatalf("well again, but still aside: %v", h.aside)
	}
}

func TestJudgeSpareWhatFailsAlike(t *testing.T) {
	h := newHearing(20)
	h.play(10*time.Second, oneSite, func(int, rpc.ZoneName) float64 { return 0.6 })
	if len(h.aside) != 0 {
		t.Fatalf("everything fails, yet %v are set aside", h.aside)
	}
	h = newHearing(20)
	h.play(10*time.Second, oneSite, func(n int, _ rpc.ZoneName) float64 {
		if n < 7 {
			return 0.9
		}
		return 0
	})
	if most := int(maxEjectedPart * float64(h.size)); len(h.aside) > most {
		t.Fatalf("%d are set aside, the bound is %d", len(h.aside), most)
	}
}

func TestJudgeTellsAskingSitesApart(t *testing.T) {
	h := newHearing(20)
	h.play(5*time.Second, []rpc.ZoneName{"here", "there"}, func(n int, site rpc.ZoneName) float64 {
		if n == 0 && site == "there" {
			return 0.8
		}
		return 0.005
	})
	if !h.seen["i-0 there"] || h.seen["i-0 here"] {
		t.Fatalf("set aside: %v", h.seen)
	}
}

// A backend that relapses waits longer each time.
func TestJudgeWaitsLongerAtEachRelapse(t *testing.T) {
	h := newHearing(20)
	always := func(n int, _ rpc.ZoneName) float64 {
		if n == 0 {
			return 1
		}
		return 0
	}
	in := 0
	h.play(40*time.Second, oneSite, func(n int, site rpc.ZoneName) float64 {
		if n == 0 && h.aside["i-0"] == "" {
			in++
		}
		return always(n, site)
	})
	if in > 40 {
		t.Fatalf("a backend that fails all was in use for %d of 160 draws", in)
	}
}
