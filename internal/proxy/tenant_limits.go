package proxy

import (
	"sync"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

// wantMoreInterval is the least time between two heartbeats that a rejection brings about.
const wantMoreInterval = 150 * time.Millisecond

const (
	// maxIdleDemands idle tenants are reported with one heartbeat; below idleRate requests a second a
	// tenant is idle.
	maxIdleDemands = 256
	idleRate       = 0.01
)

// TenantLimits admits requests of tenants under the fleet's limits, with a token bucket per tenant that
// fills at this node's leased parts of the limit.
type TenantLimits struct {
	// leasedPart is the part of a tenant's limit that this node may use now, in requests a second.
	leasedPart func(kind rpc.LeaseKind, tenant string) float64
	// wantMore is called without the lock when a rejection might bring a larger part.
	wantMore func()

	mu           sync.Mutex
	buckets      map[string]*quota.TokenBucket
	wantedMoreAt time.Duration
	// nextReported is the index of the first idle tenant to report next.
	nextReported int
}

// NewTenantLimits draws on leased parts; wantMore is called when a request was rejected and a heartbeat
// might bring a larger part.
func NewTenantLimits(leasedPart func(kind rpc.LeaseKind, tenant string) float64, wantMore func()) *TenantLimits {
	return &TenantLimits{leasedPart: leasedPart, wantMore: wantMore, buckets: map[string]*quota.TokenBucket{}}
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

// Admit admits one of a tenant's requests, or tells when to retry.
func (l *TenantLimits) Admit(now time.Duration, tenant *config.Tenant) (admitted bool, retryAfter time.Duration) {
	part := l.leasedRate(tenant.Name)
	l.mu.Lock()
	admitted, retryAfter = l.bucket(tenant.Name).Admit(now, quota.TenantLimit(tenant), part)
	call := !admitted && now-l.wantedMoreAt >= wantMoreInterval
	if call {
		l.wantedMoreAt = now
	}
	l.mu.Unlock()
	if call && l.wantMore != nil {
		l.wantMore()
	}
	return admitted, retryAfter
}

// Fill fills all buckets up to now; it is called before leased parts change.
func (l *TenantLimits) Fill(now time.Duration, tenants []*config.Tenant) {
	for _, tenant := range tenants {
		l.mu.Lock()
		bucket := l.buckets[tenant.Name]
		l.mu.Unlock()
		if bucket == nil && len(tenants) > maxIdleDemands {
			// A tenant without requests has nothing to fill.
			continue
		}
		part := l.leasedRate(tenant.Name)
		l.mu.Lock()
		l.bucket(tenant.Name).Refill(now, quota.TenantLimit(tenant), part)
		l.mu.Unlock()
	}
}

// Demands reports the demand of tenants at this node: all that had requests lately, and
// maxIdleDemands of the others in turn, so that a heartbeat stays small however many tenants there are.
// What an idle tenant is leased meanwhile is its guaranteed minimum.
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
			demands = append(demands, rpc.RateDemand{
				Name: tenant.Name, Rate: rate, Minimum: l.leasedPart(rpc.TenantMinimum, tenant.Name),
			})
		}
	}
	return demands
}
