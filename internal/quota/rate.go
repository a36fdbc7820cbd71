// Lender splits limits that are a rate and a burst over the fleet: those of
// tenants, and those on retries. What is lent is a part of the
// limit, not a number, so that a change of the limit needs no new lending. A
// fifth is set aside for floors, which a daemon keeps for minutes without
// touch; the rest is lent for a moment at a time to where the demand is, and
// what nobody asks for stays free, so that a surge elsewhere need not wait for
// shares to run out. A part smaller than one request of the burst could admit
// nothing and is not lent.
package quota

import (
	"time"

	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

const (
	minimumPart    = 0.2
	spareNodes     = 2
	basePart       = 0.25
	demandHeadroom = 1.5
	maxDemandAge   = 5 * time.Second
)

// FloorSpan is how long a tenant's floor outlasts the touch with the leader,
// RetryFloorSpan that of a limit on retries: a limit that is lowered counts as
// kept once floors under the old one have run out.
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
func TenantLimit(tenant *config.Tenant) (bound RateLimit) {
	return RateLimit{Name: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst}
}

// LeaseKinds are the leases by which a lender lends.
type LeaseKinds struct {
	Share, Minimum  rpc.LeaseKind
	MinimumDuration time.Duration
}

// The kinds of lenders.
var (
	TenantLeases = LeaseKinds{rpc.TenantShare, rpc.TenantMinimum, TenantMinimumDuration}
	RetryLeases  = LeaseKinds{rpc.RetryShare, rpc.RetryMinimum, RetryMinimumDuration}
)

type demandEntry struct {
	rate float64
	at   time.Duration
}

// demandTable are what fellows want of one limit, with their sum; the old ones are
// looked for once a second.
type demandTable struct {
	of       map[rpc.NodeID]demandEntry
	sum      float64
	prunedAt time.Duration
}

func (d *demandTable) note(now time.Duration, from rpc.NodeID, rate float64) (sum float64) {
	d.sum += rate - d.of[from].rate
	d.of[from] = demandEntry{rate, now}
	if now-d.prunedAt > time.Second {
		d.prunedAt, d.sum = now, 0
		for id, want := range d.of {
			if now-want.at > maxDemandAge {
				delete(d.of, id)
				continue
			}
			d.sum += want.rate
		}
	}
	return d.sum
}

// RateAllocator lends the limits of one kind.
type RateAllocator struct {
	kinds    LeaseKinds
	shares   *Allocator
	minimums *Allocator
	demands  map[string]*demandTable
}

// NewTenantAllocator lends tenants' limits.
func NewTenantAllocator(now, span time.Duration, first bool) (lender *RateAllocator) {
	return NewRateAllocator(TenantLeases, now, span, first)
}

// NewRateAllocator starts a leadership; the first of all has no predecessor whose
// loans it would have to wait for.
func NewRateAllocator(kinds LeaseKinds, now, span time.Duration, first bool) (lender *RateAllocator) {
	lender = &RateAllocator{kinds: kinds, shares: NewAllocator(now, span), minimums: NewAllocator(now, kinds.MinimumDuration), demands: map[string]*demandTable{}}
	if first {
		lender.shares, lender.minimums = NewFirstAllocator(span), NewFirstAllocator(kinds.MinimumDuration)
	}
	return lender
}

// Grant gives a fellow its parts of a limit.
func (l *RateAllocator) Grant(now time.Duration, bound RateLimit, to rpc.NodeID, present int, demand rpc.RateDemand) (leases []rpc.Lease) {
	present = max(1, present)
	least := 1 / max(bound.Burst, 1)
	wants := l.demands[bound.Name]
	if wants == nil {
		wants = &demandTable{of: map[rpc.NodeID]demandEntry{}}
		l.demands[bound.Name] = wants
	}
	sum := wants.note(now, to, demand.Rate)
	floorKey := Key{l.kinds.Minimum, bound.Name}
	if floor := minimumPart / float64(present+spareNodes); demand.Minimum > 0 {
		leases = append(leases, l.minimums.Renew(now, floorKey, 0, to, demand.Minimum))
	} else if floor >= least {
		if lease, given := l.minimums.Grant(now, floorKey, minimumPart, 0, to, floor); given && lease.Amount >= least {
			leases = append(leases, lease)
		}
	}
	room := 1 - minimumPart
	want := basePart * room / float64(present)
	if demand.Rate > 0 {
		want += min(demandHeadroom*demand.Rate/bound.Rate, (1-basePart)*room*demand.Rate/sum)
	}
	want = max(want, least)
	shareKey := Key{l.kinds.Share, bound.Name}
	if want <= room {
		if lease, given := l.shares.GrantAtLeast(now, shareKey, room, 0, to, want, least); given {
			leases = append(leases, lease)
		}
	} else if lease, given := l.shares.GrantAtLeast(now, shareKey, room, 0, to, room, min(least, room)); given {
		leases = append(leases, lease)
	}
	return leases
}

// Granted is the part of a limit that may be in use.
func (l *RateAllocator) Granted(now time.Duration, name string) (part float64) {
	return l.shares.Granted(now, Key{l.kinds.Share, name}) + l.minimums.Granted(now, Key{l.kinds.Minimum, name})
}

// TokenBucket admits requests under a limit at one daemon under its parts of the
// limit. A part that grows adds room but no tokens, so tokens never come from
// nowhere when parts move or a daemon restarts.
type TokenBucket struct {
	tokens         float64
	updatedAt      time.Duration
	started        bool
	recentRequests float64
}

// Admit takes one token; where there is none it tells when to come back.
func (b *TokenBucket) Admit(now time.Duration, bound RateLimit, part float64) (admitted bool, back time.Duration) {
	if !b.started {
		b.started, b.updatedAt = true, now
	}
	spent := (now - b.updatedAt).Seconds()
	rate := part * bound.Rate
	b.tokens = min(b.tokens+rate*spent, part*max(bound.Burst, 1))
	b.recentRequests = b.recentRequests*max(0, 1-spent) + 1
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if rate <= 0 {
		return false, 500 * time.Millisecond
	}
	back = time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return false, min(max(back, 50*time.Millisecond), 2*time.Second)
}

// Refill brings the tokens up to now; a daemon does so as parts change, so that
// time under a small part is not counted at a larger one's rate.
func (b *TokenBucket) Refill(now time.Duration, bound RateLimit, part float64) {
	if !b.started {
		b.started, b.updatedAt = true, now
	}
	spent := (now - b.updatedAt).Seconds()
	b.tokens = min(b.tokens+part*bound.Rate*spent, part*max(bound.Burst, 1))
	b.recentRequests *= max(0, 1-spent)
	b.updatedAt = now
}

// Demand is about how many requests came in the last second.
func (b *TokenBucket) Demand() (rate float64) { return b.recentRequests }
