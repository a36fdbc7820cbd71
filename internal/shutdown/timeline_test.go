package shutdown

import (
	"slices"
	"testing"
	"time"
)

// The phases follow each other whatever the settings say, and leave time for answers.
func TestTimelineOfAnyGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, time.Second, 6 * time.Second, time.Minute} {
		for _, announce := range []time.Duration{0, time.Second, 3 * time.Second, time.Hour} {
			for _, work := range []time.Duration{0, grace / 3, time.Hour} {
				line := NewTimeline(grace, Needs{Announce: announce, Work: work})
				ends := []time.Duration{0, line.AcceptUntil, line.DrainUntil, line.CloseBy}
				if !slices.IsSorted(ends) || line.CloseBy > grace || line.AcceptUntil > max(line.DrainUntil-work, 0) {
					t.Errorf("grace %v, announce %v, work %v: %+v", grace, announce, work, line)
				}
			}
		}
	}
}

func TestWhatIsAccepted(t *testing.T) {
	line := NewTimeline(6*time.Second, Needs{Announce: 3 * time.Second, Work: 2 * time.Second})
	want := Timeline{
		AcceptUntil: 2800 * time.Millisecond, DrainUntil: 5600 * time.Millisecond, CloseBy: 5800 * time.Millisecond,
	}
	if line != want {
		t.Fatalf("%+v", line)
	}
	cases := map[string]struct {
		elapsed  time.Duration
		work     Work
		accepted bool
	}{
		"long work at the signal":             {0, Work{TimeLeft: time.Minute}, true},
		"long work while announcing":          {2799 * time.Millisecond, Work{TimeLeft: time.Minute}, true},
		"long work afterwards":                {2800 * time.Millisecond, Work{TimeLeft: 3 * time.Second}, false},
		"short work afterwards":               {2800 * time.Millisecond, Work{TimeLeft: 2 * time.Second}, true},
		"work that ends with the drain":       {5 * time.Second, Work{TimeLeft: 600 * time.Millisecond}, true},
		"work that ends after the drain":      {5 * time.Second, Work{TimeLeft: 601 * time.Millisecond}, false},
		"a delivery that fits":                {0, Work{TimeLeft: 5 * time.Second, Delivery: true}, true},
		"a delivery that may not end in time": {time.Second, Work{TimeLeft: 5 * time.Second, Delivery: true}, false},
	}
	for name, c := range cases {
		if accepted := line.Accepts(c.elapsed, c.work); accepted != c.accepted {
			t.Errorf("%s: accepted %v", name, accepted)
		}
	}
}
