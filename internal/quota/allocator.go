// Package allot is the one mechanism behind every bound that the whole fleet
// has to keep: the leader lends shares of a bound for a short span, and the
// shares that may still be in use never sum past the bound. A lender counts a
// share from when it answered, a holder from when it asked, so the holder
// always stops first. A share counts on for the bound's window after it ran
// out, because what was done under it still counts then. A new lender lends
// nothing until every share of its predecessor must have run out.
package quota

import (
	"math"
	"time"

	"tinpin/internal/rpc"
)

// Key names one bound.
type Key struct {
	Kind rpc.LeaseKind
	Name string
}

type grant struct {
	amount float64
	until  time.Duration
}

// limitGrants is one bound's record. Its sum is kept as loans come and is reckoned
// anew only when a loan may have run out, so that a loan costs the same however
// many holders there are.
type limitGrants struct {
	holders    map[rpc.NodeID][]grant
	sum        float64
	nextExpiry time.Duration
}

// amountOf is what a holder may be using, while nothing has run out since settle.
func (a *limitGrants) amountOf(holder rpc.NodeID) (most float64) {
	for _, loan := range a.holders[holder] {
		most = max(most, loan.amount)
	}
	return most
}

// set replaces a holder's loans.
func (a *limitGrants) set(holder rpc.NodeID, loans []grant) {
	before := a.amountOf(holder)
	a.holders[holder] = loans
	a.sum += a.amountOf(holder) - before
	for _, loan := range loans {
		a.nextExpiry = min(a.nextExpiry, loan.until)
	}
}

// Allocator is the lender's record.
type Allocator struct {
	leaseDuration time.Duration
	started       time.Duration
	limits        map[Key]*limitGrants
}

// NewFirstAllocator opens a book that has no predecessor, so nothing can be lent yet.
func NewFirstAllocator(span time.Duration) (book *Allocator) {
	return NewAllocator(-1000*time.Hour, span)
}

// NewAllocator opens at now; span is how long a share lasts.
func NewAllocator(now, span time.Duration) (book *Allocator) {
	return &Allocator{leaseDuration: span, started: now, limits: map[Key]*limitGrants{}}
}

// unexpired gives a bound's record without what has run out by now.
func (b *Allocator) unexpired(now time.Duration, key Key) (settled *limitGrants) {
	settled = b.limits[key]
	if settled == nil {
		settled = &limitGrants{holders: map[rpc.NodeID][]grant{}, nextExpiry: math.MaxInt64}
		b.limits[key] = settled
	}
	if now < settled.nextExpiry {
		return settled
	}
	settled.sum, settled.nextExpiry = 0, math.MaxInt64
	for holder, loans := range settled.holders {
		kept := loans[:0]
		for _, loan := range loans {
			if loan.until > now {
				kept = append(kept, loan)
				settled.nextExpiry = min(settled.nextExpiry, loan.until)
			}
		}
		if len(kept) == 0 {
			delete(settled.holders, holder)
			continue
		}
		settled.holders[holder] = kept
		settled.sum += settled.amountOf(holder)
	}
	return settled
}

// Grant gives a fellow as much as it wants of what is free of a bound.
func (b *Allocator) Grant(now time.Duration, key Key, bound float64, window time.Duration, to rpc.NodeID, want float64) (lease rpc.Lease, given bool) {
	if now < b.started+b.leaseDuration+window {
		return lease, false
	}
	settled := b.unexpired(now, key)
	amount := min(want, bound-(settled.sum-settled.amountOf(to)))
	if amount <= 0 {
		return lease, false
	}
	// A loan that a newer one of at least its size outlasts is of no more account.
	kept := make([]grant, 0, 2)
	for _, loan := range settled.holders[to] {
		if loan.amount > amount {
			kept = append(kept, loan)
		}
	}
	settled.set(to, append(kept, grant{amount, now + b.leaseDuration + window}))
	return rpc.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Duration: b.leaseDuration}, true
}

// GrantAtLeast lends at least the given least or nothing.
func (b *Allocator) GrantAtLeast(now time.Duration, key Key, bound float64, window time.Duration, to rpc.NodeID, want, least float64) (lease rpc.Lease, given bool) {
	if settled := b.unexpired(now, key); bound-(settled.sum-settled.amountOf(to)) < least {
		return lease, false
	}
	return b.Grant(now, key, bound, window, to, want)
}

// Renew prolongs what a fellow already holds under a predecessor: it is part of
// what may be in use anyhow, so it needs no waiting.
func (b *Allocator) Renew(now time.Duration, key Key, window time.Duration, to rpc.NodeID, amount float64) (lease rpc.Lease) {
	b.unexpired(now, key).set(to, []grant{{amount, now + b.leaseDuration + window}})
	return rpc.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Duration: b.leaseDuration}
}

// Forget drops a bound that is no more.
func (b *Allocator) Forget(key Key) { delete(b.limits, key) }

// Granted sums what may be in use of a bound.
func (b *Allocator) Granted(now time.Duration, key Key) (sum float64) {
	if b.limits[key] == nil {
		return 0
	}
	return b.unexpired(now, key).sum
}

// Leases is a holder's purse of leases.
type Leases struct {
	held map[Key]heldLease
}

type heldLease struct {
	amount float64
	until  time.Duration
}

// NewLeases is an empty purse.
func NewLeases() (shares *Leases) { return &Leases{held: map[Key]heldLease{}} }

// Add notes a lease that was asked for at the given time.
func (s *Leases) Add(asked time.Duration, lease rpc.Lease) {
	s.held[Key{lease.Kind, lease.Key}] = heldLease{lease.Amount, asked + lease.Duration}
}

// Amount is what may be used now; nothing without an unexpired lease.
func (s *Leases) Amount(now time.Duration, key Key) (amount float64) {
	held, known := s.held[key]
	if !known {
		return 0
	}
	if held.until <= now {
		delete(s.held, key)
		return 0
	}
	return held.amount
}
