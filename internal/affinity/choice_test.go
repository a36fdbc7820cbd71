package affinity

import (
	"fmt"
	"testing"

	"tinpin/internal/rpc"
)

// evenFactor is by how much the busiest backend may pass the mean share of
// sessions, at 200 sessions a backend; docs/affinity.md states it.
const evenFactor = 1.25

func candidates(count, weight int) (all []Candidate) {
	for i := 0; i < count; i++ {
		all = append(all, Candidate{rpc.EndpointID(fmt.Sprint("i-", i)), weight})
	}
	return all
}

func session(n int) rpc.SessionID { return SessionIDOf("s", nil, fmt.Sprint("caller ", n)) }

func TestNewSessionsSpreadEvenly(t *testing.T) {
	all, counts := candidates(20, 3), map[rpc.EndpointID]int{}
	for n := 0; n < 4000; n++ {
		counts[Choose(session(n), all)]++
	}
	for id, count := range counts {
		if float64(count) > 200*evenFactor || float64(count) < 200/evenFactor {
			t.Errorf("%s has %d of 4000 sessions, the mean is 200", id, count)
		}
	}
	heavy := append(candidates(10, 1), Candidate{"heavy", 10})
	got := 0
	for n := 0; n < 4000; n++ {
		if Choose(session(n), heavy) == "heavy" {
			got++
		}
	}
	if got < 1850 || got > 2150 {
		t.Errorf("a backend with half of all slots begins %d of 4000 sessions", got)
	}
}

func TestAddedBackendTakesItsShareOnly(t *testing.T) {
	before, after := candidates(19, 3), candidates(20, 3)
	taken := 0
	for n := 0; n < 4000; n++ {
		was, is := Choose(session(n), before), Choose(session(n), after)
		if was != is {
			if is != "i-19" {
				t.Fatalf("session %d went from %s to %s", n, was, is)
			}
			taken++
		}
		// The order in which a node sees the backends does not matter.
		reversed := append([]Candidate{}, after...)
		for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
			reversed[i], reversed[j] = reversed[j], reversed[i]
		}
		if Choose(session(n), reversed) != is {
			t.Fatal("the choice depends on the order")
		}
	}
	if taken < 140 || taken > 260 {
		t.Fatalf("the new backend takes %d of 4000 sessions", taken)
	}
	if Choose("x", nil) != "" {
		t.Fatal("a choice among none")
	}
}
