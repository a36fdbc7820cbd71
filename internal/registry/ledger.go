// Package census knows who there is: the passage daemons by their beats and
// the backends by the platform's list. A ledger numbers each change with an
// epoch, so that a daemon that names the epoch it has seen is told only what
// came after.
package registry

import "tinpin/internal/rpc"

// Clock hands out epochs; several ledgers may share one.
type Clock struct{ now rpc.Revision }

// Now is the newest epoch given.
func (c *Clock) Now() rpc.Revision { return c.now }

// Next gives a new epoch.
func (c *Clock) Next() rpc.Revision {
	c.now++
	return c.now
}

type row[V any] struct {
	value V
	epoch rpc.Revision
	gone  bool
}

// Ledger is a table with the epoch of each row's last change.
type Ledger[K comparable, V comparable] struct {
	clock *Clock
	rows  map[K]*row[V]
	last  rpc.Revision
}

// NewLedger is an empty table on a clock.
func NewLedger[K comparable, V comparable](clock *Clock) (ledger *Ledger[K, V]) {
	return &Ledger[K, V]{clock: clock, rows: map[K]*row[V]{}}
}

// Set writes a row; it tells whether that changed anything.
func (l *Ledger[K, V]) Set(key K, value V) (changed bool) {
	if old := l.rows[key]; old != nil && !old.gone && old.value == value {
		return false
	}
	l.last = l.clock.Next()
	l.rows[key] = &row[V]{value: value, epoch: l.last}
	return true
}

// Drop takes a row out and keeps the mark of it.
func (l *Ledger[K, V]) Drop(key K) (changed bool) {
	old := l.rows[key]
	if old == nil || old.gone {
		return false
	}
	l.last = l.clock.Next()
	old.gone, old.epoch = true, l.last
	return true
}

// Get reads a row.
func (l *Ledger[K, V]) Get(key K) (value V, known bool) {
	found := l.rows[key]
	if found == nil || found.gone {
		return value, false
	}
	return found.value, true
}

// Each visits the rows that stand.
func (l *Ledger[K, V]) Each(visit func(key K, value V)) {
	for key, found := range l.rows {
		if !found.gone {
			visit(key, found.value)
		}
	}
}

// Since visits the rows that changed after an epoch.
func (l *Ledger[K, V]) Since(epoch rpc.Revision, visit func(key K, value V, gone bool)) {
	if epoch >= l.last {
		return
	}
	for key, found := range l.rows {
		if found.epoch > epoch && !(found.gone && epoch == 0) {
			visit(key, found.value, found.gone)
		}
	}
}
