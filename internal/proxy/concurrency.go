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

// ConcurrencyLimiter bounds the requests that this node has in flight at one service, by what it
// observes: when many responses come near or past their target latency, the backends' queues are full
// of requests that will be late, and sending fewer serves more in time. It knows no capacity; it goes
// down from what was in flight when responses turned slow and feels its way up again. Requests of lower
// priority are rejected sooner.
type ConcurrencyLimiter struct {
	mu          sync.Mutex
	limit       float64
	inFlight    int
	peak        int
	slow, total int
}

// NewConcurrencyLimiter begins with the largest limit.
func NewConcurrencyLimiter() (limiter *ConcurrencyLimiter) {
	return &ConcurrencyLimiter{limit: maxConcurrency}
}

// Acquire admits a request of a priority, 0 being the highest, or rejects it.
func (l *ConcurrencyLimiter) Acquire(priority int) (admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit * (1 - priorityReserve*float64(min(max(priority, 0), lowestPriority)))
	if float64(l.inFlight+1) > max(limit, minConcurrency) {
		return false
	}
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return true
}

// Release ends a request that was admitted.
func (l *ConcurrencyLimiter) Release() {
	l.mu.Lock()
	l.inFlight--
	l.mu.Unlock()
}

// ObserveLatency takes how long one complete response took, and its target latency.
func (l *ConcurrencyLimiter) ObserveLatency(took, target time.Duration) {
	if target <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if float64(took) > slowShare*float64(target) {
		l.slow++
	}
	if l.total < windowSamples {
		return
	}
	slowFraction := float64(l.slow) / float64(l.total)
	switch {
	case slowFraction > decreaseAbove:
		l.limit = max(minConcurrency, min(l.limit, float64(l.peak))*0.85)
	case slowFraction < increaseBelow && float64(l.peak) > 0.8*l.limit:
		l.limit = min(maxConcurrency, l.limit*1.1+1)
	}
	l.total, l.slow, l.peak = 0, 0, l.inFlight
}

// concurrencyLimiters keeps a limiter for each service.
type concurrencyLimiters struct {
	mu        sync.Mutex
	byService map[string]*ConcurrencyLimiter
}

func (l *concurrencyLimiters) forService(service string) (limiter *ConcurrencyLimiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = map[string]*ConcurrencyLimiter{}
	}
	limiter = l.byService[service]
	if limiter == nil {
		limiter = NewConcurrencyLimiter()
		l.byService[service] = limiter
	}
	return limiter
}

// loads tells how many requests are in flight at each service.
func (l *concurrencyLimiters) loads() (loads []rpc.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, limiter := range l.byService {
		limiter.mu.Lock()
		inFlight := limiter.inFlight
		limiter.mu.Unlock()
		loads = append(loads, rpc.Load{Service: rpc.ServiceName(service), InFlight: inFlight})
	}
	return loads
}
