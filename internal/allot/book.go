// Package allot is the one mechanism behind every bound that the whole fleet
// has to keep: the leader lends shares of a bound for a short span, and the
// shares that may still be in use never sum past the bound. A lender counts a
// share from when it answered, a holder from when it asked, so the holder
// always stops first. A share counts on for the bound's window after it ran
// out, because what was done under it still counts then. A new lender lends
// nothing until every share of its predecessor must have run out.
package allot

import (
	"time"

	"tinpin/internal/parley"
)

// Key names one bound.
type Key struct {
	Kind parley.LeaseKind
	Name string
}

type loan struct {
	amount float64
	until  time.Duration
}

// Book is the lender's record.
type Book struct {
	span   time.Duration
	opened time.Duration
	loans  map[Key]map[parley.FellowID][]loan
}

// Unwaited opens a book that has no predecessor, so nothing can be lent yet.
func Unwaited(span time.Duration) (book *Book) { return NewBook(-1000*time.Hour, span) }

// NewBook opens at now; span is how long a share lasts.
func NewBook(now, span time.Duration) (book *Book) {
	return &Book{span: span, opened: now, loans: map[Key]map[parley.FellowID][]loan{}}
}

// Lend gives a fellow as much as it wants of what is free of a bound.
func (b *Book) Lend(now time.Duration, key Key, bound float64, window time.Duration, to parley.FellowID, want float64) (lease parley.Lease, given bool) {
	if now < b.opened+b.span+window {
		return lease, false
	}
	taken := 0.0
	holders := b.loans[key]
	if holders == nil {
		holders = map[parley.FellowID][]loan{}
		b.loans[key] = holders
	}
	for holder, loans := range holders {
		kept := loans[:0]
		most := 0.0
		for _, loan := range loans {
			if loan.until > now {
				kept = append(kept, loan)
				most = max(most, loan.amount)
			}
		}
		if len(kept) == 0 {
			delete(holders, holder)
			continue
		}
		holders[holder] = kept
		if holder != to {
			taken += most
		}
	}
	amount := min(want, bound-taken)
	if amount <= 0 {
		return lease, false
	}
	// A loan that a newer one of at least its size outlasts is of no more account.
	until := now + b.span + window
	kept := holders[to][:0]
	for _, loan := range holders[to] {
		if loan.amount > amount {
			kept = append(kept, loan)
		}
	}
	holders[to] = append(kept, loan{amount, until})
	return parley.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Span: b.span}, true
}

// LendWhole lends at least the given least or nothing.
func (b *Book) LendWhole(now time.Duration, key Key, bound float64, window time.Duration, to parley.FellowID, want, least float64) (lease parley.Lease, given bool) {
	if bound-b.lentBut(now, key, to) < least {
		return lease, false
	}
	return b.Lend(now, key, bound, window, to, want)
}

// Renew prolongs what a fellow already holds under a predecessor: it is part of
// what may be in use anyhow, so it needs no waiting.
func (b *Book) Renew(now time.Duration, key Key, window time.Duration, to parley.FellowID, amount float64) (lease parley.Lease) {
	if b.loans[key] == nil {
		b.loans[key] = map[parley.FellowID][]loan{}
	}
	b.loans[key][to] = append(b.loans[key][to][:0], loan{amount, now + b.span + window})
	return parley.Lease{Kind: key.Kind, Key: key.Name, Amount: amount, Span: b.span}
}

// Forget drops a bound that is no more.
func (b *Book) Forget(key Key) { delete(b.loans, key) }

// Lent sums what may be in use of a bound.
func (b *Book) Lent(now time.Duration, key Key) (sum float64) { return b.lentBut(now, key, "") }

// lentBut leaves one holder out.
func (b *Book) lentBut(now time.Duration, key Key, but parley.FellowID) (sum float64) {
	for holder, loans := range b.loans[key] {
		if holder == but {
			continue
		}
		most := 0.0
		for _, loan := range loans {
			if loan.until > now {
				most = max(most, loan.amount)
			}
		}
		sum += most
	}
	return sum
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
func (s *Shares) Take(asked time.Duration, lease parley.Lease) {
	s.held[Key{lease.Kind, lease.Key}] = share{lease.Amount, asked + lease.Span}
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
