package simulation

import (
	"testing"
	"time"
)

// Histories that can and cannot be explained.
func TestHistoryLinearizability(t *testing.T) {
	set := func(version uint64, content string) call { return call{verb: set, version: version, content: content} }
	yes, no, open := observation{outcome: confirmed}, observation{outcome: refused}, observation{}
	seen := func(version uint64, content string) observation { return observation{confirmed, version, content} }
	look := call{verb: read}
	type line struct {
		call     call
		observed observation
	}
	for name, c := range map[string]struct {
		shape Shape
		right bool
		lines []line
	}{
		"one after another":              {Versioned, true, []line{{set(1, "a"), yes}, {look, seen(1, "a")}, {set(2, "b"), yes}, {look, seen(2, "b")}}},
		"an old answer":                  {Versioned, false, []line{{set(1, "a"), yes}, {set(2, "b"), yes}, {look, seen(1, "a")}}},
		"a lost write":                   {Versioned, false, []line{{set(1, "a"), yes}, {look, seen(0, "")}}},
		"two contents":                   {Versioned, false, []line{{set(1, "a"), yes}, {set(1, "b"), yes}}},
		"another content is refused":     {Versioned, true, []line{{set(1, "a"), yes}, {set(1, "b"), no}, {set(1, "a"), yes}}},
		"sent again after another":       {Versioned, true, []line{{set(1, "a"), yes}, {set(2, "b"), yes}, {set(1, "a"), yes}, {look, seen(2, "b")}}},
		"refused though it was taken":    {Versioned, false, []line{{set(1, "a"), yes}, {set(2, "b"), yes}, {set(1, "a"), no}}},
		"refused though it is new":       {Versioned, false, []line{{set(1, "a"), yes}, {set(2, "b"), no}}},
		"open, carried out":              {Versioned, true, []line{{set(1, "a"), open}, {look, seen(0, "")}, {look, seen(1, "a")}}},
		"open, then undone":              {Versioned, false, []line{{set(1, "a"), open}, {look, seen(1, "a")}, {look, seen(0, "")}}},
		"open, never carried out":        {Versioned, true, []line{{set(1, "a"), open}, {set(1, "b"), yes}, {look, seen(1, "b")}}},
		"open, taken, another confirmed": {Versioned, false, []line{{set(1, "a"), open}, {look, seen(1, "a")}, {set(1, "b"), yes}}},
		"on and off":                     {Flag, true, []line{{set(0, "active"), yes}, {look, seen(0, "active")}, {set(0, ""), yes}, {look, seen(0, "")}}},
		"an evacuation lost":             {Flag, false, []line{{set(0, "active"), yes}, {look, seen(0, "")}}},
		"one run":                        {Key, true, []line{{set(0, "r"), yes}, {set(0, "s"), no}, {set(0, "r"), yes}, {look, seen(0, "r")}}},
		"two runs":                       {Key, false, []line{{set(0, "r"), yes}, {set(0, "s"), yes}}},
		"denied for nobody":              {Key, false, []line{{set(0, "r"), no}}},
	} {
		history := &History{shape: c.shape, name: name}
		for i, line := range c.lines {
			op := history.begin(i, line.call, time.Duration(2*i))
			history.end(op, line.observed, time.Duration(2*i+1))
		}
		if right, sure := history.Check(time.Minute); right != c.right || !sure {
			t.Errorf("%s: explained %v, sure %v", name, right, sure)
		}
	}
}
