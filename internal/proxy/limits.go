// Limits admits requests of tenants under the fleet's bounds, with a bucket
// per tenant that fills at this daemon's leased parts of the limit.
package proxy

import (
	"sync"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

// hungerPause is the least time between two beats that a refusal brings about.
const hungerPause = 150 * time.Millisecond

const (
	// demandsAtOnce idle tenants are told of with one beat; below idleRate requests
	// a second a tenant is idle.
	demandsAtOnce = 256
	idleRate      = 0.01
)

// Limits keeps a bucket per tenant.
type Limits struct {
	part   func(kind rpc.LeaseKind, tenant string) float64
	hunger func()

	mu     sync.Mutex
	held   map[string]*quota.Bucket
	hungry time.Duration
	turn   int
}

// NewLimits draws on leased parts; hunger is called when a request was refused
// and a beat might bring a larger part.
func NewLimits(part func(kind rpc.LeaseKind, tenant string) float64, hunger func()) (limits *Limits) {
	return &Limits{part: part, hunger: hunger, held: map[string]*quota.Bucket{}}
}

func (l *Limits) parts(tenant string) (part float64) {
	return l.part(rpc.TenantShare, tenant) + l.part(rpc.TenantFloor, tenant)
}

func (l *Limits) bucket(tenant string) (bucket *quota.Bucket) {
	bucket = l.held[tenant]
	if bucket == nil {
		bucket = &quota.Bucket{}
		l.held[tenant] = bucket
	}
	return bucket
}

// Admit takes one of a tenant's requests in, or tells when to come back.
func (l *Limits) Admit(now time.Duration, tenant *config.Tenant) (admitted bool, back time.Duration) {
	part := l.parts(tenant.Name)
	l.mu.Lock()
	admitted, back = l.bucket(tenant.Name).Admit(now, quota.BoundOf(tenant), part)
	call := !admitted && now-l.hungry >= hungerPause
	if call {
		l.hungry = now
	}
	l.mu.Unlock()
	if call && l.hunger != nil {
		l.hunger()
	}
	return admitted, back
}

// Fill brings all buckets up to now; it is called before parts change.
func (l *Limits) Fill(now time.Duration, tenants []*config.Tenant) {
	for _, tenant := range tenants {
		l.mu.Lock()
		bucket := l.held[tenant.Name]
		l.mu.Unlock()
		if bucket == nil && len(tenants) > demandsAtOnce {
			// One that was never asked for has nothing to fill.
			continue
		}
		part := l.parts(tenant.Name)
		l.mu.Lock()
		l.bucket(tenant.Name).Fill(now, quota.BoundOf(tenant), part)
		l.mu.Unlock()
	}
}

// Demands tells what tenants ask of this daemon: all that were asked for lately,
// and of the others so many in turn that a beat stays small however many tenants
// there are. What an idle tenant holds then is its floor.
func (l *Limits) Demands(tenants []*config.Tenant) (demands []rpc.Demand) {
	l.mu.Lock()
	from := l.turn
	if len(tenants) > demandsAtOnce {
		l.turn = (l.turn + demandsAtOnce) % len(tenants)
	}
	l.mu.Unlock()
	for i, tenant := range tenants {
		inTurn := len(tenants) <= demandsAtOnce || (i-from+len(tenants))%len(tenants) < demandsAtOnce
		l.mu.Lock()
		rate := 0.0
		if bucket := l.held[tenant.Name]; bucket != nil {
			rate = bucket.Demand()
		}
		l.mu.Unlock()
		if inTurn || rate > idleRate {
			demands = append(demands, rpc.Demand{Tenant: tenant.Name, Rate: rate, Floor: l.part(rpc.TenantFloor, tenant.Name)})
		}
	}
	return demands
}
