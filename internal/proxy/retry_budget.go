package proxy

import (
	"sync"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
)

// budgetShare is the part of each bound that is used. The rest allows for nodes that restart and lose
// their counts.
const budgetShare = 0.8

// retryWindows counts the requests of a service and their retries.
type retryWindows struct{ requests, retries *quota.Window }

// RetryBudget bounds the attempts beyond the first of each request. The ratio of the requests counted
// here needs no lease; the slack is shared by the fleet and used only under a lease. Where the operator
// has set a retry limit, it must allow the retry too, so that the tighter of both holds.
type RetryBudget struct {
	ratio         float64
	window        time.Duration
	slack         func() float64
	operatorLimit *retry.Limiter

	mu      sync.Mutex
	windows map[rpc.ServiceName]*retryWindows
}

// NewRetryBudget keeps to a ratio of retries to requests over a window; slack is the leased part.
func NewRetryBudget(ratio float64, window time.Duration, slack func() float64) *RetryBudget {
	return &RetryBudget{
		ratio: ratio, window: max(window, time.Millisecond), slack: slack,
		windows: map[rpc.ServiceName]*retryWindows{},
	}
}

func (b *RetryBudget) serviceWindows(service rpc.ServiceName) (windows *retryWindows) {
	windows = b.windows[service]
	if windows == nil {
		windows = &retryWindows{quota.NewWindow(b.window), quota.NewWindow(b.window)}
		b.windows[service] = windows
	}
	return windows
}

// RecordRequest counts a request for a service.
func (b *RetryBudget) RecordRequest(now time.Duration, service rpc.ServiceName) {
	if b.operatorLimit != nil {
		b.operatorLimit.FirstAttempt(now, service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceWindows(service).requests.Add(now)
}

// Spend takes one attempt beyond the first, if the budget allows it.
func (b *RetryBudget) Spend(now time.Duration, service rpc.ServiceName) (granted bool) {
	return b.spendIf(now, service, func() bool { return true })
}

// SpendRetry is Spend under the operator's limit too, for an attempt whose response is expected at
// expectedAt and must arrive by its deadline.
func (b *RetryBudget) SpendRetry(now, expectedAt, deadline time.Duration, service rpc.ServiceName) (granted bool) {
	return b.spendIf(now, service, func() bool {
		return b.operatorLimit == nil || b.operatorLimit.AllowRetry(now, expectedAt, deadline, service) == retry.Allowed
	})
}

// spendIf takes one retry if the budget has room and then allowed returns true. allowed is called with
// the lock held.
func (b *RetryBudget) spendIf(now time.Duration, service rpc.ServiceName, allowed func() bool) (granted bool) {
	slack := b.slack()
	b.mu.Lock()
	defer b.mu.Unlock()
	windows := b.serviceWindows(service)
	available := budgetShare*b.ratio*float64(windows.requests.Sum(now)) + slack/2
	if float64(windows.retries.Sum(now)+1) > available || !allowed() {
		return false
	}
	windows.retries.Add(now)
	return true
}

// RecordOutcome reports to the operator's limit whether an attempt was answered in time.
func (b *RetryBudget) RecordOutcome(now time.Duration, service rpc.ServiceName, inTime bool) {
	if b.operatorLimit != nil {
		b.operatorLimit.RecordOutcome(now, service, inTime)
	}
}
