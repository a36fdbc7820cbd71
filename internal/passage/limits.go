// Limits admits requests of tenants under the fleet's bound. Each daemon fills
// a bucket at its leased share of the rate, up to its leased share of the
// burst; a share that grows adds room but no tokens, so tokens never come
// from nowhere when shares move between daemons or a daemon restarts.
package passage

import (
	"sync"
	"time"

	"tinpin/internal/canon"
	"tinpin/internal/parley"
)

type bucket struct {
	tokens float64
	at     time.Duration
}

// Limits keeps a bucket per tenant.
type Limits struct {
	share func(kind parley.LeaseKind, key string) float64
	mu    sync.Mutex
	held  map[string]*bucket
}

// NewLimits draws on leased shares.
func NewLimits(share func(kind parley.LeaseKind, key string) float64) (limits *Limits) {
	return &Limits{share: share, held: map[string]*bucket{}}
}

// Admit takes one token of a tenant.
func (l *Limits) Admit(now time.Duration, tenant *canon.Tenant) (admitted bool) {
	rate := l.share(parley.TenantRate, tenant.Name)
	depth := max(l.share(parley.TenantBurst, tenant.Name), 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.held[tenant.Name]
	if found == nil {
		found = &bucket{at: now}
		l.held[tenant.Name] = found
	}
	found.tokens = min(found.tokens+rate*(now-found.at).Seconds(), max(depth, 0))
	found.at = now
	if found.tokens < 1 {
		return false
	}
	found.tokens--
	return true
}
