package schedule

import (
	"time"

	"tinpin/internal/rpc"
)

// Schedule turns a plan and a moment into weights. Spans are placed on the
// calendar by the moments they begin at, not by asking what the clock on the
// wall shows now: where summer time ends and an hour comes twice, a span that
// has begun stays begun, and where an hour is left out its spans begin at the
// change.

// WeightSum is the sum of a target's weights.
const WeightSum = 1000

// Weights is the weight of each region in thousandths; nil where the plan says
// nothing for the moment, so that nearness alone decides.
type Weights map[rpc.RegionName]int

type placed struct {
	begin, end time.Time
	span       Span
}

// at gives a moment of a local day. A time that summer time leaves out is the
// moment of the change.
func (t *Target) at(day time.Time, minute int) (moment time.Time) {
	return time.Date(day.Year(), day.Month(), day.Day(), minute/60, minute%60, 0, 0, t.location)
}

// around gives the span that holds at a moment and the one before it.
func (t *Target) around(now time.Time) (holding, before *placed) {
	local := now.In(t.location)
	for shift := -2; shift <= 1; shift++ {
		day := local.AddDate(0, 0, shift)
		for _, span := range t.Spans {
			begin := t.at(day, int(span.From))
			last := day
			if span.To <= span.From {
				last = day.AddDate(0, 0, 1)
			}
			end := t.at(last, int(span.To))
			if begin.After(now) || !end.After(begin) {
				continue
			}
			if holding == nil || !begin.Before(holding.begin) {
				before = holding
				holding = &placed{begin, end, span}
			}
		}
	}
	return holding, before
}

// Weights gives what the plan wants at a moment, its ramp included.
func (t *Target) Weights(now time.Time) (weights Weights) {
	holding, before := t.around(now)
	if holding == nil || !now.Before(holding.end) {
		return nil
	}
	wanted := holding.span.thousandths()
	ramp := time.Duration(holding.span.Ramp)
	into := now.Sub(holding.begin)
	if before == nil || before.end.Before(holding.begin) || ramp <= 0 || into >= ramp {
		return wanted
	}
	return blend(before.span.thousandths(), wanted, float64(into)/float64(ramp))
}

func (s Span) thousandths() (weights Weights) {
	sum := 0.0
	for _, weight := range s.Weights {
		sum += weight
	}
	parts := map[rpc.RegionName]float64{}
	for region, weight := range s.Weights {
		parts[region] = weight / sum
	}
	return round(parts)
}

func blend(from, to Weights, part float64) (weights Weights) {
	parts := map[rpc.RegionName]float64{}
	for region, weight := range from {
		parts[region] += (1 - part) * float64(weight) / WeightSum
	}
	for region, weight := range to {
		parts[region] += part * float64(weight) / WeightSum
	}
	return round(parts)
}

// round makes whole thousandths that sum to Whole; the largest takes the rest.
func round(parts map[rpc.RegionName]float64) (weights Weights) {
	weights = Weights{}
	var most rpc.RegionName
	sum := 0
	for region, part := range parts {
		weights[region] = int(part*WeightSum + 0.5)
		sum += weights[region]
		if most == "" || weights[region] > weights[most] || weights[region] == weights[most] && region < most {
			most = region
		}
	}
	weights[most] += WeightSum - sum
	return weights
}

// StepToward moves weights toward others by no more than a part of all callers.
func StepToward(from, to Weights, most int) (next Weights, there bool) {
	if from == nil || to == nil {
		return to, true
	}
	gain := 0
	for region, weight := range to {
		gain += max(0, weight-from[region])
	}
	if gain <= most {
		return to, true
	}
	return blend(from, to, float64(most)/float64(gain)), false
}

func (w Weights) equal(other Weights) bool {
	if (w == nil) != (other == nil) {
		return false
	}
	for region, weight := range w {
		if other[region] != weight {
			return false
		}
	}
	for region, weight := range other {
		if w[region] != weight {
			return false
		}
	}
	return true
}
