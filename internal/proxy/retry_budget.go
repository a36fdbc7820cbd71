// Budget bounds the arrivals beyond the first of each request. What the
// requests seen here earn needs no lease; the slack of the bound is the
// fleet's and used only under a lease. A fifth of each is left unused, for
// daemons that restart and forget what they sent. Where the operator has
// written a limit on retries, it is asked as well, so the tighter of both holds.
package proxy

import (
	"sync"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
)

const budgetShare = 0.8

type retryWindows struct{ requests, retries *quota.Window }

// RetryBudget keeps an account per service.
type RetryBudget struct {
	ratio         float64
	window        time.Duration
	slack         func() float64
	operatorLimit *retry.Limiter
	mu            sync.Mutex
	windows       map[rpc.ServiceName]*retryWindows
}

// NewRetryBudget keeps to a ratio over a window; slack tells the leased share.
func NewRetryBudget(ratio float64, window time.Duration, slack func() float64) (budget *RetryBudget) {
	return &RetryBudget{ratio: ratio, window: max(window, time.Millisecond), slack: slack, windows: map[rpc.ServiceName]*retryWindows{}}
}

func (b *RetryBudget) serviceWindows(service rpc.ServiceName) (found *retryWindows) {
	found = b.windows[service]
	if found == nil {
		found = &retryWindows{quota.NewWindow(b.window), quota.NewWindow(b.window)}
		b.windows[service] = found
	}
	return found
}

// RecordRequest notes a request for a service.
func (b *RetryBudget) RecordRequest(now time.Duration, service rpc.ServiceName) {
	if b.operatorLimit != nil {
		b.operatorLimit.FirstAttempt(now, service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceWindows(service).requests.Add(now)
}

// Spend takes one arrival beyond the first, if there is room for it.
func (b *RetryBudget) Spend(now time.Duration, service rpc.ServiceName) (granted bool) {
	return b.spend(now, service, func() bool { return true })
}

// SpendRetry is Spend under the written limit too, for an attempt that would be
// answered at a time and must be by another.
func (b *RetryBudget) SpendRetry(now, answered, till time.Duration, service rpc.ServiceName) (granted bool) {
	return b.spend(now, service, func() bool {
		return b.operatorLimit == nil || b.operatorLimit.AllowRetry(now, answered, till, service) == retry.Allowed
	})
}

func (b *RetryBudget) spend(now time.Duration, service rpc.ServiceName, may func() bool) (granted bool) {
	slack := b.slack()
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.serviceWindows(service)
	room := budgetShare*b.ratio*float64(found.requests.Sum(now)) + slack/2
	if float64(found.retries.Sum(now)+1) > room || !may() {
		return false
	}
	found.retries.Add(now)
	return true
}

// RecordOutcome takes what became of an attempt.
func (b *RetryBudget) RecordOutcome(now time.Duration, service rpc.ServiceName, inTime bool) {
	if b.operatorLimit != nil {
		b.operatorLimit.RecordOutcome(now, service, inTime)
	}
}
