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

type loan struct {
	amount float64
	until  time.Duration
}

// account is one bound's record. Its sum is kept as loans come and is reckoned
// anew only when a loan may have run out, so that a loan costs the same however
// many holders there are.
type account struct {
	holders map[rpc.NodeID][]loan
	sum     float64
	next    time.Duration
}

// of is what a holder may be using, while nothing has run out since settle.
func (a *account) of(holder rpc.NodeID) (most float64) {
	for _, loan := range a.holders[holder] {
		most = max(most, loan.amount)
	}
	return most
}

// put replaces a holder's loans.
func (a *account) put(holder rpc.NodeID, loans []loan) {
	before := a.of(holder)
	a.holders[holder] = loans
	a.sum += a.of(holder) - before
	for _, loan := range loans {
		a.next = min(a.next, loan.until)
	}
}

// Book is the lender's record.
type Book struct {
	span     time.Duration
	opened   time.Duration
	accounts map[Key]*account
}

// Unwaited opens a book that has no predecessor, so nothing can be lent yet.
func Unwaited(span time.Duration) (book *Book) { return NewBook(-1000*time.Hour, span) }

// NewBook opens at now; span is how long a share lasts.
func NewBook(now, span time.Duration) (book *Book) {
	return &Book{span: span, opened: now, accounts: map[Key]*account{}}
}

// settle gives a bound's record without what has run out by now.
func (b *Book) settle(now time.Duration, key Key) (settled *account) {
	settled = b.accounts[key]
	if settled == nil {
		settled = &account{holders: map[rpc.NodeID][]loan{}, next: math.MaxInt64}
		b.accounts[key] = settled
	}
	if now < settled.next {
		return settled
	}
	settled.sum, settled.next = 0, math.MaxInt64
	for holder, loans := range settled.holders {
		kept := loans[:0]
		for _, loan := range loans {
			if loan.until > now {
				kept = append(kept, loan)
				settled.next = min(settled.next, loan.until)
			}
		}
		if len(kept) == 0 {
			delete(settled.holders, holder)
			continue
		}
		settled.holders[holder] = kept
		settled.sum += settled.of(holder)
	}
	return settled
}

// Lend gives a fellow as much as it wants of what is free of a bound.
func (b *Book) Lend(now time.Duration, key Key, bound float64, window time.Duration, to rpc.NodeID, want float64) (lease rpc.Lease, given bool) {
	if now < b.opened+b.span+window {
		return lease, false
	}
	settled := b.settle(now, key)
	amount := min(want, bound-(settled.sum-settled.of(to)))
	if amount <= 0 {
		return lease, false
	}
	// A loan that a newer one of at least its size outlasts is of no more account.
	kept := make([]loan, 0, 2)
	for _, loan := range settled.holders[to] {
		if loan.amount > amount {
			kept = append(kept, loan)
		}
	}
	settled.put(to, append(kept, loan{amount, now + b.span + window}))
	return rpc.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Duration: b.span}, true
}

// LendWhole lends at least the given least or nothing.
func (b *Book) LendWhole(now time.Duration, key Key, bound float64, window time.Duration, to rpc.NodeID, want, least float64) (lease rpc.Lease, given bool) {
	if settled := b.settle(now, key); bound-(settled.sum-settled.of(to)) < least {
		return lease, false
	}
	return b.Lend(now, key, bound, window, to, want)
}

// Renew prolongs what a fellow already holds under a predecessor: it is part of
// what may be in use anyhow, so it needs no waiting.
func (b *Book) Renew(now time.Duration, key Key, window time.Duration, to rpc.NodeID, amount float64) (lease rpc.Lease) {
	b.settle(now, key).put(to, []loan{{amount, now + b.span + window}})
	return rpc.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Duration: b.span}
}

// Forget drops a bound that is no more.
func (b *Book) Forget(key Key) { delete(b.accounts, key) }

// Lent sums what may be in use of a bound.
func (b *Book) Lent(now time.Duration, key Key) (sum float64) {
	if b.accounts[key] == nil {
		return 0
	}
	return b.settle(now, key).sum
}

// Shares is a holder's purse of leases.
type Shares struct {
	held map[Key]share
}

type share struct {
	amount float64
	until  time.Duration
}

// NewShares is an empty purse.
func NewShares() (shares *Shares) { return &Shares{held: map[Key]share{}} }

// Take notes a lease that was asked for at the given time.
func (s *Shares) Take(asked time.Duration, lease rpc.Lease) {
	s.held[Key{lease.Kind, lease.Key}] = share{lease.Amount, asked + lease.Duration}
}

// Amount is what may be used now; nothing without an unexpired lease.
func (s *Shares) Amount(now time.Duration, key Key) (amount float64) {
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
