package quota

import (
	"time"

	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

const (
	// minimumPart of a limit is for guaranteed minimums, divided by the number of nodes
	// and spareNodes more.
	minimumPart = 0.2
	spareNodes  = 2
	// basePart of the rest is divided evenly, whatever the demand.
	basePart = 0.25
	// demandHeadroom is how much more than its demand a node is granted.
	demandHeadroom = 1.5
	// maxDemandAge is after how long the demand of a node that is not heard is forgotten,
	// demandPruneInterval how often such nodes are looked for.
	maxDemandAge        = 5 * time.Second
	demandPruneInterval = time.Second
)

// TenantMinimumDuration is how long a node keeps a tenant's guaranteed minimum after
// its last contact to the leader, RetryMinimumDuration that of a retry limit. A limit
// that is lowered holds once minimums under the old one have expired.
const (
	TenantMinimumDuration = 5 * time.Minute
	RetryMinimumDuration  = time.Minute
)

// RateLimit is a limit on requests: so many a second, and so many at once.
type RateLimit struct {
	Name        string
	Rate, Burst float64
}

// TenantLimit is a tenant's limit.
func TenantLimit(tenant *config.Tenant) (limit RateLimit) {
	return RateLimit{Name: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst}
}

// LeaseKinds are the kinds of leases of one kind of limit.
type LeaseKinds struct {
	Share, Minimum  rpc.LeaseKind
	MinimumDuration time.Duration
}

// The kinds of leases of tenants' limits and of retry limits.
var (
	TenantLeases = LeaseKinds{rpc.TenantShare, rpc.TenantMinimum, TenantMinimumDuration}
	RetryLeases  = LeaseKinds{rpc.RetryShare, rpc.RetryMinimum, RetryMinimumDuration}
)

// demandEntry is the demand of one node, in requests a second.
type demandEntry struct {
	rate float64
	at   time.Duration
}

// demandTable holds the demands of nodes for one limit, with their sum.
type demandTable struct {
	of       map[rpc.NodeID]demandEntry
	sum      float64
	prunedAt time.Duration
}

// note takes the demand of a node and returns that of all.
func (d *demandTable) note(now time.Duration, from rpc.NodeID, rate float64) (sum float64) {
	d.sum += rate - d.of[from].rate
	d.of[from] = demandEntry{rate, now}
	if now-d.prunedAt > demandPruneInterval {
		d.prunedAt, d.sum = now, 0
		for id, entry := range d.of {
			if now-entry.at > maxDemandAge {
				delete(d.of, id)
				continue
			}
			d.sum += entry.rate
		}
	}
	return d.sum
}

// RateAllocator splits limits that are a rate and a burst over the fleet: those of
// tenants, and those on retries. What it grants is a part of the limit, not a number,
// so that a changed limit needs no new grants. A fifth is for guaranteed minimums,
// which a node keeps for minutes without contact; the rest is granted for a moment at
// a time to where the demand is, and what nobody asks for stays free, so that a surge
// elsewhere need not wait for shares to expire. A part smaller than one request of the
// burst could admit nothing and is not granted.
type RateAllocator struct {
	kinds    LeaseKinds
	shares   *Allocator
	minimums *Allocator
	demands  map[string]*demandTable
}

// NewTenantAllocator is NewRateAllocator for the limits of tenants.
func NewTenantAllocator(now, leaseDuration time.Duration, first bool) (allocator *RateAllocator) {
	return NewRateAllocator(TenantLeases, now, leaseDuration, first)
}

// NewRateAllocator makes the allocator of a leadership. The first of all has no
// predecessor whose leases it would have to wait for.
func NewRateAllocator(kinds LeaseKinds, now, leaseDuration time.Duration, first bool) (allocator *RateAllocator) {
	allocator = &RateAllocator{
		kinds:    kinds,
		shares:   NewAllocator(now, leaseDuration),
		minimums: NewAllocator(now, kinds.MinimumDuration),
		demands:  map[string]*demandTable{},
	}
	if first {
		allocator.shares = NewFirstAllocator(leaseDuration)
		allocator.minimums = NewFirstAllocator(kinds.MinimumDuration)
	}
	return allocator
}

// Grant gives a node its parts of a limit, with so many nodes present.
func (a *RateAllocator) Grant(
	now time.Duration, limit RateLimit, to rpc.NodeID, present int, demand rpc.RateDemand,
) (leases []rpc.Lease) {
	present = max(1, present)
	// One request of the burst is the smallest part that can admit anything.
	minPart := 1 / max(limit.Burst, 1)
	demands := a.demands[limit.Name]
	if demands == nil {
		demands = &demandTable{of: map[rpc.NodeID]demandEntry{}}
		a.demands[limit.Name] = demands
	}
	sum := demands.note(now, to, demand.Rate)
	leases = a.grantMinimum(now, limit, to, present, demand, minPart)
	free := 1 - minimumPart
	want := basePart * free / float64(present)
	if demand.Rate > 0 {
		want += min(demandHeadroom*demand.Rate/limit.Rate, (1-basePart)*free*demand.Rate/sum)
	}
	want = max(want, minPart)
	shareKey := Key{a.kinds.Share, limit.Name}
	if want <= free {
		if lease, granted := a.shares.GrantAtLeast(now, shareKey, free, 0, to, want, minPart); granted {
			leases = append(leases, lease)
		}
	} else if lease, granted := a.shares.GrantAtLeast(now, shareKey, free, 0, to, free, min(minPart, free)); granted {
		leases = append(leases, lease)
	}
	return leases
}

// grantMinimum renews the guaranteed minimum that a node holds, or gives it one.
func (a *RateAllocator) grantMinimum(
	now time.Duration, limit RateLimit, to rpc.NodeID, present int, demand rpc.RateDemand, minPart float64,
) (leases []rpc.Lease) {
	key := Key{a.kinds.Minimum, limit.Name}
	if demand.Minimum > 0 {
		return []rpc.Lease{a.minimums.Renew(now, key, 0, to, demand.Minimum)}
	}
	minimum := minimumPart / float64(present+spareNodes)
	if minimum < minPart {
		return nil
	}
	if lease, granted := a.minimums.Grant(now, key, minimumPart, 0, to, minimum); granted && lease.Amount >= minPart {
		return []rpc.Lease{lease}
	}
	return nil
}

// Granted is the part of a limit that may be in use.
func (a *RateAllocator) Granted(now time.Duration, name string) (part float64) {
	return a.shares.Granted(now, Key{a.kinds.Share, name}) + a.minimums.Granted(now, Key{a.kinds.Minimum, name})
}
