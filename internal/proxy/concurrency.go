package proxy

import (
	"sync"
	"time"

	"tinpin/internal/rpc"
)

const (
	// windowSamples is how many responses one decision about the limit is based on.
	windowSamples = 20
	// slowShare is the part of the target latency beyond which a response counts as slow.
	slowShare = 0.6
	// The limit is decreased where more than decreaseAbove of the responses were slow, and increased
	// where fewer than increaseBelow were.
	decreaseAbove  = 0.22
	increaseBelow  = 0.12
	decreaseFactor = 0.85
	increaseFactor = 1.1
	// fullShare is the part of the limit that must have been in flight before it is increased.
	fullShare      = 0.8
	minConcurrency = 3
	maxConcurrency = 1 << 16
	// priorityReserve is the part of the limit that each step of priority leaves to higher ones, down
	// to lowestPriority.
	priorityReserve = 0.08
	lowestPriority  = 3
)

// ConcurrencyLimiter bounds the requests that this node has in flight at one service, by observed
// latency: when many responses come near or past their target latency, the backends' queues are full of
// requests that will be late, and sending fewer serves more in time. The capacity of the service is not
// known; the limit decreases from what was in flight when responses became slow and increases again step
// by step. Requests of lower priority are rejected sooner.
type ConcurrencyLimiter struct {
	mu       sync.Mutex
	limit    float64
	inFlight int
	// peak is the largest inFlight of the present window, slow and total count its responses.
	peak        int
	slow, total int
}

// NewConcurrencyLimiter starts with the largest limit.
func NewConcurrencyLimiter() *ConcurrencyLimiter {
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

// ObserveLatency records how long one complete response took, and its target latency.
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
		l.limit = max(minConcurrency, min(l.limit, float64(l.peak))*decreaseFactor)
	case slowFraction < increaseBelow && float64(l.peak) > fullShare*l.limit:
		l.limit = min(maxConcurrency, l.limit*increaseFactor+1)
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

// loads returns how many requests are in flight at each service.
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
