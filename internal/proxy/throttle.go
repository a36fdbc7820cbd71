// Throttle bounds what this daemon has at work at one service, by what it sees:
// when many answers come near or past their aim, the backends' queues are full
// of requests that will be late, and sending fewer serves more in time. It
// knows no capacity; it goes down from what was at work when answers turned
// slow and feels its way up again. Requests of lower rank find it full sooner.
package proxy

import (
	"sync"
	"time"

	"tinpin/internal/rpc"
)

const (
	throttleSamples = 20
	throttleSlow    = 0.6
	throttleCut     = 0.22
	throttleGrow    = 0.12
	throttleLeast   = 3
	throttleMost    = 1 << 16
	rankPart        = 0.08
	rankMost        = 3
)

// Throttle is the bound at one service.
type Throttle struct {
	mu          sync.Mutex
	limit       float64
	atWork      int
	peak        int
	slow, total int
}

// NewThrottle begins without a bound to speak of.
func NewThrottle() (throttle *Throttle) { return &Throttle{limit: throttleMost} }

// Enter takes a place for a request of a rank, 0 being the highest.
func (t *Throttle) Enter(rank int) (entered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limit * (1 - rankPart*float64(min(max(rank, 0), rankMost)))
	if float64(t.atWork+1) > max(limit, throttleLeast) {
		return false
	}
	t.atWork++
	t.peak = max(t.peak, t.atWork)
	return true
}

// Leave gives the place back.
func (t *Throttle) Leave() {
	t.mu.Lock()
	t.atWork--
	t.mu.Unlock()
}

// Learn takes the time of one whole answer against its aim.
func (t *Throttle) Learn(took, aim time.Duration) {
	if aim <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	if float64(took) > throttleSlow*float64(aim) {
		t.slow++
	}
	if t.total < throttleSamples {
		return
	}
	part := float64(t.slow) / float64(t.total)
	switch {
	case part > throttleCut:
		t.limit = max(throttleLeast, min(t.limit, float64(t.peak))*0.85)
	case part < throttleGrow && float64(t.peak) > 0.8*t.limit:
		t.limit = min(throttleMost, t.limit*1.1+1)
	}
	t.total, t.slow, t.peak = 0, 0, t.atWork
}

// throttles keeps one for each service.
type throttles struct {
	mu   sync.Mutex
	held map[string]*Throttle
}

func (t *throttles) of(service string) (throttle *Throttle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil {
		t.held = map[string]*Throttle{}
	}
	throttle = t.held[service]
	if throttle == nil {
		throttle = NewThrottle()
		t.held[service] = throttle
	}
	return throttle
}

// burdens tells how many requests are at work at each service.
func (t *throttles) burdens() (burdens []rpc.Burden) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, throttle := range t.held {
		throttle.mu.Lock()
		atWork := throttle.atWork
		throttle.mu.Unlock()
		burdens = append(burdens, rpc.Burden{Service: rpc.ServiceName(service), AtWork: atWork})
	}
	return burdens
}
