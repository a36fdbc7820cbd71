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

const budgetPart = 0.8

type account struct{ requests, extra *quota.Window }

// Budget keeps an account per service.
type Budget struct {
	ratio    float64
	window   time.Duration
	slack    func() float64
	written  *retry.Limiter
	mu       sync.Mutex
	accounts map[rpc.ServiceName]*account
}

// NewBudget keeps to a ratio over a window; slack tells the leased share.
func NewBudget(ratio float64, window time.Duration, slack func() float64) (budget *Budget) {
	return &Budget{ratio: ratio, window: max(window, time.Millisecond), slack: slack, accounts: map[rpc.ServiceName]*account{}}
}

func (b *Budget) account(service rpc.ServiceName) (found *account) {
	found = b.accounts[service]
	if found == nil {
		found = &account{quota.NewWindow(b.window), quota.NewWindow(b.window)}
		b.accounts[service] = found
	}
	return found
}

// Earn notes a request for a service.
func (b *Budget) Earn(now time.Duration, service rpc.ServiceName) {
	if b.written != nil {
		b.written.First(now, service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).requests.Add(now)
}

// Spend takes one arrival beyond the first, if there is room for it.
func (b *Budget) Spend(now time.Duration, service rpc.ServiceName) (granted bool) {
	return b.spend(now, service, func() bool { return true })
}

// Retry is Spend under the written limit too, for an attempt that would be
// answered at a time and must be by another.
func (b *Budget) Retry(now, answered, till time.Duration, service rpc.ServiceName) (granted bool) {
	return b.spend(now, service, func() bool {
		return b.written == nil || b.written.Spend(now, answered, till, service) == retry.Granted
	})
}

func (b *Budget) spend(now time.Duration, service rpc.ServiceName, may func() bool) (granted bool) {
	slack := b.slack()
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.account(service)
	room := budgetPart*b.ratio*float64(found.requests.Sum(now)) + slack/2
	if float64(found.extra.Sum(now)+1) > room || !may() {
		return false
	}
	found.extra.Add(now)
	return true
}

// Learn takes what became of an attempt.
func (b *Budget) Learn(now time.Duration, service rpc.ServiceName, inTime bool) {
	if b.written != nil {
		b.written.Learn(now, service, inTime)
	}
}
