package balancer

import (
	"testing"
	"time"
)

// Farther is dearer, and borders are dearer still for a large response.
func TestCostsGrowWithDistance(t *testing.T) {
	small, large := NewPricing(100, false), NewPricing(100, true)
	for _, c := range []struct {
		name         string
		distance     Distance
		small, large float64
	}{
		{"in the subset", InSubset, 40, 40},
		{"same zone", SameZone, 50, 50},
		{"same region", SameRegion, 90, 190},
		{"other region", OtherRegion, 190, 490},
	} {
		if got := small.AtDistance(40, c.distance); got != c.small {
			t.Errorf("%s: %g, want %g", c.name, got, c.small)
		}
		if got := large.AtDistance(40, c.distance); got != c.large {
			t.Errorf("%s, large: %g, want %g", c.name, got, c.large)
		}
	}
}

func TestCostsOfWhatIsObserved(t *testing.T) {
	for _, c := range []struct {
		name     string
		observed Observation
		want     float64
	}{
		{"idle", Observation{LatencyMS: 50}, 50},
		{"a queue of one for each slot", Observation{LatencyMS: 50, Queue: 1}, 100},
		{"overdue", Observation{LatencyMS: 50, Overdue: true}, 550},
		{"half of all failed", Observation{LatencyMS: 50, RecentFailures: 0.5}, 125},
	} {
		if got := c.observed.CostMS(); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

func TestCapacityIsSharedByTheNodes(t *testing.T) {
	for _, c := range []struct{ slots, nodes, maxConnections, want int }{
		{4, 1, 0, 12}, {4, 3, 0, 4}, {4, 3, 6, 2}, {1, 9, 0, 2}, {1, 9, 5, 1},
	} {
		if got := Capacity(c.slots, c.nodes, c.maxConnections); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

func TestLatencyOfAnOldMeasurement(t *testing.T) {
	for _, c := range []struct {
		name  string
		known bool
		age   time.Duration
		want  float64
	}{{"unknown", false, 0, 20}, {"fresh", true, time.Second, 80}, {"old", true, time.Minute, 20}} {
		if got := CurrentLatencyMS(80, 20, c.known, c.age); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}
