// Gate closes a service to retries while the service as a whole is slow or
// fails: repeats would only lengthen its queues, and first attempts must not
// suffer for them. A trickle stays, and once answers come in time again the
// way is opened over some seconds, so that retries come back without a jump.
package retry

import "time"

const (
	gateSamples     = 10
	closeAbove      = 0.5
	reopenBelow     = 0.2
	trickleFraction = 0.05
	rampTime        = 5 * time.Second
)

// CircuitGate of one service at one node.
type CircuitGate struct {
	inTime, late int
	closed       bool
	reopenedAt   time.Duration
	ramping      bool
	credit       float64
}

// Record takes what became of one attempt: whether it was answered in time. It
// tells whether the gate was shut or opened by that.
func (g *CircuitGate) Record(now time.Duration, inTime bool) (turned bool) {
	if inTime {
		g.inTime++
	} else {
		g.late++
	}
	seen := g.inTime + g.late
	if seen < gateSamples {
		return false
	}
	part := float64(g.late) / float64(seen)
	g.inTime, g.late = 0, 0
	switch {
	case part > closeAbove:
		turned = !g.closed
		g.closed, g.ramping, g.credit = true, false, 0
	case part < reopenBelow && g.closed:
		turned = true
		g.closed, g.ramping, g.reopenedAt = false, true, now
	}
	return turned
}

// PassFraction is the part of the retries that may pass now.
func (g *CircuitGate) PassFraction(now time.Duration) (part float64) {
	switch {
	case g.closed:
		return trickleFraction
	case g.ramping:
		return min(1, trickleFraction+(1-trickleFraction)*float64(now-g.reopenedAt)/float64(rampTime))
	}
	return 1
}

// Allow lets one retry through or not.
func (g *CircuitGate) Allow(now time.Duration) (passes bool) {
	g.credit = min(2, g.credit+g.PassFraction(now))
	if g.credit < 1-1e-9 {
		return false
	}
	g.credit--
	return true
}
