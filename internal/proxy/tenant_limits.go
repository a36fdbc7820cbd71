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

// wantMoreInterval is the least time between two beats that a refusal brings about.
const wantMoreInterval = 150 * time.Millisecond

const (
	// maxIdleDemands idle tenants are told of with one beat; below idleRate requests
	// a second a tenant is idle.
	maxIdleDemands = 256
	idleRate       = 0.01
)

// TenantLimits keeps a bucket per tenant.
type TenantLimits struct {
	leasedPart func(kind rpc.LeaseKind, tenant string) float64
	wantMore   func()

	mu           sync.Mutex
	buckets      map[string]*quota.TokenBucket
	wantedMoreAt time.Duration
	nextReported int
}

// NewTenantLimits draws on leased parts; hunger is called when a request was refused
// and a beat might bring a larger part.
func NewTenantLimits(part func(kind rpc.LeaseKind, tenant string) float64, hunger func()) (limits *TenantLimits) {
	return &TenantLimits{leasedPart: part, wantMore: hunger, buckets: map[string]*quota.TokenBucket{}}
}

func (l *TenantLimits) leasedRate(tenant string) (part float64) {
	return l.leasedPart(rpc.TenantShare, tenant) + l.leasedPart(rpc.TenantMinimum, tenant)
}

func (l *TenantLimits) bucket(tenant string) (bucket *quota.TokenBucket) {
	bucket = l.buckets[tenant]
	if bucket == nil {
		bucket = &quota.TokenBucket{}
		l.buckets[tenant] = bucket
	}
	return bucket
}

// Admit takes one of a tenant's requests in, or tells when to come back.
func (l *TenantLimits) Admit(now time.Duration, tenant *config.Tenant) (admitted bool, back time.Duration) {
	part := l.leasedRate(tenant.Name)
	l.mu.Lock()
	admitted, back = l.bucket(tenant.Name).Admit(now, quota.TenantLimit(tenant), part)
	call := !admitted && now-l.wantedMoreAt >= wantMoreInterval
	if call {
		l.wantedMoreAt = now
	}
	l.mu.Unlock()
	if call && l.wantMore != nil {
		l.wantMore()
	}
	return admitted, back
}

// Fill brings all buckets up to now; it is called before parts change.
func (l *TenantLimits) Fill(now time.Duration, tenants []*config.Tenant) {
	for _, tenant := range tenants {
		l.mu.Lock()
		bucket := l.buckets[tenant.Name]
		l.mu.Unlock()
		if bucket == nil && len(tenants) > maxIdleDemands {
			// One that was never asked for has nothing to fill.
			continue
		}
		part := l.leasedRate(tenant.Name)
		l.mu.Lock()
		l.bucket(tenant.Name).Refill(now, quota.TenantLimit(tenant), part)
		l.mu.Unlock()
	}
}

// Demands tells what tenants ask of this daemon: all that were asked for lately,
// and of the others so many in turn that a beat stays small however many tenants
// there are. What an idle tenant holds then is its floor.
func (l *TenantLimits) Demands(tenants []*config.Tenant) (demands []rpc.RateDemand) {
	l.mu.Lock()
	from := l.nextReported
	if len(tenants) > maxIdleDemands {
		l.nextReported = (l.nextReported + maxIdleDemands) % len(tenants)
	}
	l.mu.Unlock()
	for i, tenant := range tenants {
		inTurn := len(tenants) <= maxIdleDemands || (i-from+len(tenants))%len(tenants) < maxIdleDemands
		l.mu.Lock()
		rate := 0.0
		if bucket := l.buckets[tenant.Name]; bucket != nil {
			rate = bucket.Demand()
		}
		l.mu.Unlock()
		if inTurn || rate > idleRate {
			demands = append(demands, rpc.RateDemand{Name: tenant.Name, Rate: rate, Minimum: l.leasedPart(rpc.TenantMinimum, tenant.Name)})
		}
	}
	return demands
}
