package retry

import "time"

const (
	// gateSamples is how many attempts are judged together.
	gateSamples = 10
	// closeAbove and reopenBelow are fractions of late attempts; the distance
	// between them keeps the gate from swinging.
	closeAbove  = 0.5
	reopenBelow = 0.2
	// trickleFraction of the retries pass a closed gate.
	trickleFraction = 0.05
	// rampTime is how long a reopened gate takes to let all retries pass.
	rampTime = 5 * time.Second
	// roundingSlack: sums of fractions fall short of whole numbers by a little.
	roundingSlack = 1e-9
)

// CircuitGate holds back the retries of one service at one node while the
// service as a whole is slow or fails: repeats would only lengthen its queues,
// and first attempts must not suffer for them. A trickle passes, and once
// attempts are in time again the gate opens over rampTime, so that retries come
// back without a jump. Closed means here that retries do not pass.
type CircuitGate struct {
	inTime, late int
	closed       bool
	reopenedAt   time.Duration
	ramping      bool
	credit       float64
}

// Record counts one attempt by whether its response came in time, and tells
// whether the gate closed or reopened by that.
func (g *CircuitGate) Record(now time.Duration, inTime bool) (changed bool) {
	if inTime {
		g.inTime++
	} else {
		g.late++
	}
	samples := g.inTime + g.late
	if samples < gateSamples {
		return false
	}
	lateFraction := float64(g.late) / float64(samples)
	g.inTime, g.late = 0, 0
	switch {
	case lateFraction > closeAbove:
		changed = !g.closed
		g.closed, g.ramping, g.credit = true, false, 0
	case lateFraction < reopenBelow && g.closed:
		changed = true
		g.closed, g.ramping, g.reopenedAt = false, true, now
	}
	return changed
}

// PassFraction is the fraction of the retries that may pass now.
func (g *CircuitGate) PassFraction(now time.Duration) (fraction float64) {
	switch {
	case g.closed:
		return trickleFraction
	case g.ramping:
		return min(1, trickleFraction+(1-trickleFraction)*float64(now-g.reopenedAt)/float64(rampTime))
	}
	return 1
}

// Allow tells whether one retry may pass.
func (g *CircuitGate) Allow(now time.Duration) (allowed bool) {
	g.credit = min(2, g.credit+g.PassFraction(now))
	if g.credit < 1-roundingSlack {
		return false
	}
	g.credit--
	return true
}
