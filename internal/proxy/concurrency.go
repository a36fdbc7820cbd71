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
	windowSamples   = 20
	slowShare       = 0.6
	decreaseAbove   = 0.22
	increaseBelow   = 0.12
	minConcurrency  = 3
	maxConcurrency  = 1 << 16
	priorityReserve = 0.08
	lowestPriority  = 3
)

// ConcurrencyLimiter is the bound at one service.
type ConcurrencyLimiter struct {
	mu          sync.Mutex
	limit       float64
	inFlight    int
	peak        int
	slow, total int
}

// NewConcurrencyLimiter begins without a bound to speak of.
func NewConcurrencyLimiter() (throttle *ConcurrencyLimiter) {
	return &ConcurrencyLimiter{limit: maxConcurrency}
}

// Acquire takes a place for a request of a rank, 0 being the highest.
func (t *ConcurrencyLimiter) Acquire(rank int) (entered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limit * (1 - priorityReserve*float64(min(max(rank, 0), lowestPriority)))
	if float64(t.inFlight+1) > max(limit, minConcurrency) {
		return false
	}
	t.inFlight++
	t.peak = max(t.peak, t.inFlight)
	return true
}

// Release gives the place back.
func (t *ConcurrencyLimiter) Release() {
	t.mu.Lock()
	t.inFlight--
	t.mu.Unlock()
}

// ObserveLatency takes the time of one whole answer against its aim.
func (t *ConcurrencyLimiter) ObserveLatency(took, aim time.Duration) {
	if aim <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	if float64(took) > slowShare*float64(aim) {
		t.slow++
	}
	if t.total < windowSamples {
		return
	}
	part := float64(t.slow) / float64(t.total)
	switch {
	case part > decreaseAbove:
		t.limit = max(minConcurrency, min(t.limit, float64(t.peak))*0.85)
	case part < increaseBelow && float64(t.peak) > 0.8*t.limit:
		t.limit = min(maxConcurrency, t.limit*1.1+1)
	}
	t.total, t.slow, t.peak = 0, 0, t.inFlight
}

// concurrencyLimiters keeps one for each service.
type concurrencyLimiters struct {
	mu        sync.Mutex
	byService map[string]*ConcurrencyLimiter
}

func (t *concurrencyLimiters) forService(service string) (throttle *ConcurrencyLimiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = map[string]*ConcurrencyLimiter{}
	}
	throttle = t.byService[service]
	if throttle == nil {
		throttle = NewConcurrencyLimiter()
		t.byService[service] = throttle
	}
	return throttle
}

// loads tells how many requests are at work at each service.
func (t *concurrencyLimiters) loads() (burdens []rpc.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, throttle := range t.byService {
		throttle.mu.Lock()
		atWork := throttle.inFlight
		throttle.mu.Unlock()
		burdens = append(burdens, rpc.Load{Service: rpc.ServiceName(service), InFlight: atWork})
	}
	return burdens
}
