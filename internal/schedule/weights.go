package schedule

import (
	"time"

	"tinpin/internal/rpc"
)

// A span is in force from the moment at which it begins on the calendar, whatever
// local time it is now: where summer time ends and an hour comes twice, a span that has
// begun does not begin again, and where an hour is left out its spans begin at the
// change.

// WeightSum is the sum of a target's weights.
const WeightSum = 1000

// Weights is the weight of each region in thousandths; nil where the plan has no span
// for the moment, so that the distance of regions alone decides.
type Weights map[rpc.RegionName]int

// occurrence is a span on one day.
type occurrence struct {
	begin, end time.Time
	span       Span
}

// at gives the moment of a minute of a local day. A time that summer time leaves out is
// the moment of the change.
func (t *Target) at(day time.Time, minute int) (moment time.Time) {
	return time.Date(day.Year(), day.Month(), day.Day(), minute/60, minute%60, 0, 0, t.location)
}

// around gives the last span that began up to a moment, which may have ended, and the
// one before it. Each span begins once a day, so that both began within two days.
func (t *Target) around(now time.Time) (inForce, before *occurrence) {
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
			if inForce == nil || !begin.Before(inForce.begin) {
				before = inForce
				inForce = &occurrence{begin, end, span}
			}
		}
	}
	return inForce, before
}

// Weights gives the weights that the plan wants at a moment, its ramp included.
func (t *Target) Weights(now time.Time) (weights Weights) {
	inForce, before := t.around(now)
	if inForce == nil || !now.Before(inForce.end) {
		return nil
	}
	wanted := inForce.span.thousandths()
	ramp := time.Duration(inForce.span.Ramp)
	elapsed := now.Sub(inForce.begin)
	if before == nil || before.end.Before(inForce.begin) || ramp <= 0 || elapsed >= ramp {
		return wanted
	}
	return blend(before.span.thousandths(), wanted, float64(elapsed)/float64(ramp))
}

func (s Span) thousandths() (weights Weights) {
	sum := 0.0
	for _, weight := range s.Weights {
		sum += weight
	}
	fractions := map[rpc.RegionName]float64{}
	for region, weight := range s.Weights {
		fractions[region] = weight / sum
	}
	return toThousandths(fractions)
}

// blend gives weights between from and to; progress is 0 at from and 1 at to.
func blend(from, to Weights, progress float64) (weights Weights) {
	fractions := map[rpc.RegionName]float64{}
	for region, weight := range from {
		fractions[region] += (1 - progress) * float64(weight) / WeightSum
	}
	for region, weight := range to {
		fractions[region] += progress * float64(weight) / WeightSum
	}
	return toThousandths(fractions)
}

// toThousandths rounds fractions to thousandths that sum to WeightSum: the largest
// weight, of equals the one whose region sorts first, takes up the difference.
func toThousandths(fractions map[rpc.RegionName]float64) (weights Weights) {
	weights = Weights{}
	var largest rpc.RegionName
	sum := 0
	for region, fraction := range fractions {
		weights[region] = int(fraction*WeightSum + 0.5)
		sum += weights[region]
		if largest == "" || weights[region] > weights[largest] ||
			weights[region] == weights[largest] && region < largest {
			largest = region
		}
	}
	weights[largest] += WeightSum - sum
	return weights
}

// StepToward moves weights toward others by at most maxMove thousandths of the clients;
// reached tells that these are the wanted ones.
func StepToward(from, to Weights, maxMove int) (next Weights, reached bool) {
	if from == nil || to == nil {
		return to, true
	}
	gain := 0
	for region, weight := range to {
		gain += max(0, weight-from[region])
	}
	if gain <= maxMove {
		return to, true
	}
	return blend(from, to, float64(maxMove)/float64(gain)), false
}

// equal compares weights; an absent region counts as one of weight 0, but no weights
// differ from empty ones.
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
