// Package census knows who there is: the passage daemons by their beats and
// the backends by the platform's list. A ledger numbers each change with an
// epoch, so that a daemon that names the epoch it has seen is told only what
// came after.
package registry

import "tinpin/internal/rpc"

// RevisionCounter hands out epochs; several ledgers may share one.
type RevisionCounter struct{ last rpc.Revision }

// Current is the newest epoch given.
func (c *RevisionCounter) Current() rpc.Revision { return c.last }

// Next gives a new epoch.
func (c *RevisionCounter) Next() rpc.Revision {
	c.last++
	return c.last
}

type row[V any] struct {
	value    V
	revision rpc.Revision
	removed  bool
}

// ChangeLog is a table with the epoch of each row's last change.
type ChangeLog[K comparable, V comparable] struct {
	counter    *RevisionCounter
	rows       map[K]*row[V]
	lastChange rpc.Revision
}

// NewChangeLog is an empty table on a clock.
func NewChangeLog[K comparable, V comparable](clock *RevisionCounter) (ledger *ChangeLog[K, V]) {
	return &ChangeLog[K, V]{counter: clock, rows: map[K]*row[V]{}}
}

// Set writes a row; it tells whether that changed anything.
func (l *ChangeLog[K, V]) Set(key K, value V) (changed bool) {
	if old := l.rows[key]; old != nil && !old.removed && old.value == value {
		return false
	}
	l.lastChange = l.counter.Next()
	l.rows[key] = &row[V]{value: value, revision: l.lastChange}
	return true
}

// Remove takes a row out and keeps the mark of it.
func (l *ChangeLog[K, V]) Remove(key K) (changed bool) {
	old := l.rows[key]
	if old == nil || old.removed {
		return false
	}
	l.lastChange = l.counter.Next()
	old.removed, old.revision = true, l.lastChange
	return true
}

// Get reads a row.
func (l *ChangeLog[K, V]) Get(key K) (value V, known bool) {
	found := l.rows[key]
	if found == nil || found.removed {
		return value, false
	}
	return found.value, true
}

// Each visits the rows that stand.
func (l *ChangeLog[K, V]) Each(visit func(key K, value V)) {
	for key, found := range l.rows {
		if !found.removed {
			visit(key, found.value)
		}
	}
}

// Since visits the rows that changed after an epoch.
func (l *ChangeLog[K, V]) Since(epoch rpc.Revision, visit func(key K, value V, gone bool)) {
	if epoch >= l.lastChange {
		return
	}
	for key, found := range l.rows {
		if found.revision > epoch && !(found.removed && epoch == 0) {
			visit(key, found.value, found.removed)
		}
	}
}
