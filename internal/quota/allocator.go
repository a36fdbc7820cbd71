package quota

import (
	"math"
	"time"

	"tinpin/internal/rpc"
)

// Key names one limit.
type Key struct {
	Kind rpc.LeaseKind
	Name string
}

// grant is a share of a limit that counts as in use until a time.
type grant struct {
	amount float64
	until  time.Duration
}

// limitGrants are the grants of one limit. The sum is kept as grants are made, and
// computed anew only when a grant may have expired, so that a grant costs the same
// however many holders there are.
type limitGrants struct {
	holders    map[rpc.NodeID][]grant
	sum        float64
	nextExpiry time.Duration
}

// amountOf is what a holder may be using. It is exact after Allocator.unexpired.
func (l *limitGrants) amountOf(holder rpc.NodeID) (amount float64) {
	for _, grant := range l.holders[holder] {
		amount = max(amount, grant.amount)
	}
	return amount
}

// set replaces a holder's grants.
func (l *limitGrants) set(holder rpc.NodeID, grants []grant) {
	before := l.amountOf(holder)
	l.holders[holder] = grants
	l.sum += l.amountOf(holder) - before
	for _, grant := range grants {
		l.nextExpiry = min(l.nextExpiry, grant.until)
	}
}

// Allocator grants leases on shares of limits.
type Allocator struct {
	leaseDuration time.Duration
	started       time.Duration
	limits        map[Key]*limitGrants
}

// longAgo is a start before which nothing can have been granted.
const longAgo = -1000 * time.Hour

// NewFirstAllocator makes an allocator without a predecessor, whose leases it would have
// to wait for.
func NewFirstAllocator(leaseDuration time.Duration) (allocator *Allocator) {
	return NewAllocator(longAgo, leaseDuration)
}

// NewAllocator makes an allocator that starts now.
func NewAllocator(now, leaseDuration time.Duration) (allocator *Allocator) {
	return &Allocator{leaseDuration: leaseDuration, started: now, limits: map[Key]*limitGrants{}}
}

// unexpired is a limit's grants without those that have expired by now.
func (a *Allocator) unexpired(now time.Duration, key Key) (limit *limitGrants) {
	limit = a.limits[key]
	if limit == nil {
		limit = &limitGrants{holders: map[rpc.NodeID][]grant{}, nextExpiry: math.MaxInt64}
		a.limits[key] = limit
	}
	if now < limit.nextExpiry {
		return limit
	}
	limit.sum, limit.nextExpiry = 0, math.MaxInt64
	for holder, grants := range limit.holders {
		kept := grants[:0]
		for _, grant := range grants {
			if grant.until > now {
				kept = append(kept, grant)
				limit.nextExpiry = min(limit.nextExpiry, grant.until)
			}
		}
		if len(kept) == 0 {
			delete(limit.holders, holder)
			continue
		}
		limit.holders[holder] = kept
		limit.sum += limit.amountOf(holder)
	}
	return limit
}

// Grant gives a node as much as it wants of what is free of a limit.
func (a *Allocator) Grant(
	now time.Duration, key Key, limit float64, window time.Duration, to rpc.NodeID, want float64,
) (lease rpc.Lease, granted bool) {
	if now < a.started+a.leaseDuration+window {
		return lease, false
	}
	current := a.unexpired(now, key)
	amount := min(want, limit-(current.sum-current.amountOf(to)))
	if amount <= 0 {
		return lease, false
	}
	// A grant that a newer one of at least its size outlasts no longer matters.
	kept := make([]grant, 0, 2)
	for _, earlier := range current.holders[to] {
		if earlier.amount > amount {
			kept = append(kept, earlier)
		}
	}
	current.set(to, append(kept, grant{amount, now + a.leaseDuration + window}))
	return a.lease(key, amount), true
}

// GrantAtLeast is Grant if at least a given amount is free, else it grants nothing.
func (a *Allocator) GrantAtLeast(
	now time.Duration, key Key, limit float64, window time.Duration, to rpc.NodeID, want, minAmount float64,
) (lease rpc.Lease, granted bool) {
	if current := a.unexpired(now, key); limit-(current.sum-current.amountOf(to)) < minAmount {
		return lease, false
	}
	return a.Grant(now, key, limit, window, to, want)
}

// Renew prolongs what a node already holds from a predecessor. That may be in use
// anyhow, so it needs no waiting.
func (a *Allocator) Renew(
	now time.Duration, key Key, window time.Duration, to rpc.NodeID, amount float64,
) (lease rpc.Lease) {
	a.unexpired(now, key).set(to, []grant{{amount, now + a.leaseDuration + window}})
	return a.lease(key, amount)
}

func (a *Allocator) lease(key Key, amount float64) (lease rpc.Lease) {
	return rpc.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Duration: a.leaseDuration}
}

// Forget drops a limit that no longer exists.
func (a *Allocator) Forget(key Key) { delete(a.limits, key) }

// Granted sums what may be in use of a limit.
func (a *Allocator) Granted(now time.Duration, key Key) (sum float64) {
	if a.limits[key] == nil {
		return 0
	}
	return a.unexpired(now, key).sum
}

// Leases are the leases that a node holds.
type Leases struct {
	held map[Key]heldLease
}

type heldLease struct {
	amount float64
	until  time.Duration
}

// NewLeases makes an empty set.
func NewLeases() (leases *Leases) { return &Leases{held: map[Key]heldLease{}} }

// Add notes a lease that was asked for at a time.
func (l *Leases) Add(asked time.Duration, lease rpc.Lease) {
	l.held[Key{lease.Kind, lease.Key}] = heldLease{lease.Amount, asked + lease.Duration}
}

// Amount is what may be used of a limit now: nothing without a lease that has not
// expired.
func (l *Leases) Amount(now time.Duration, key Key) (amount float64) {
	held, known := l.held[key]
	if !known {
		return 0
	}
	if held.until <= now {
		delete(l.held, key)
		return 0
	}
	return held.amount
}
