package registry

import "tinpin/internal/rpc"

// RevisionCounter numbers changes. Several change logs may share one.
type RevisionCounter struct{ last rpc.Revision }

// Current is the last revision given.
func (c *RevisionCounter) Current() rpc.Revision { return c.last }

// Next gives a new revision.
func (c *RevisionCounter) Next() rpc.Revision {
	c.last++
	return c.last
}

// row is one row; a removed one is kept, so that its removal can be sent.
type row[V any] struct {
	value    V
	revision rpc.Revision
	removed  bool
}

// ChangeLog is a table with the revision of each row's last change.
type ChangeLog[K comparable, V comparable] struct {
	counter    *RevisionCounter
	rows       map[K]*row[V]
	lastChange rpc.Revision
}

// NewChangeLog makes an empty table that takes its revisions from a counter.
func NewChangeLog[K comparable, V comparable](counter *RevisionCounter) (log *ChangeLog[K, V]) {
	return &ChangeLog[K, V]{counter: counter, rows: map[K]*row[V]{}}
}

// Set writes a row, and reports whether that changed anything.
func (l *ChangeLog[K, V]) Set(key K, value V) (changed bool) {
	if old := l.rows[key]; old != nil && !old.removed && old.value == value {
		return false
	}
	l.lastChange = l.counter.Next()
	l.rows[key] = &row[V]{value: value, revision: l.lastChange}
	return true
}

// Remove removes a row, and reports whether there was one.
func (l *ChangeLog[K, V]) Remove(key K) (changed bool) {
	old := l.rows[key]
	if old == nil || old.removed {
		return false
	}
	l.lastChange = l.counter.Next()
	old.removed, old.revision = true, l.lastChange
	return true
}

// Get reads a row that is not removed.
func (l *ChangeLog[K, V]) Get(key K) (value V, known bool) {
	found := l.rows[key]
	if found == nil || found.removed {
		return value, false
	}
	return found.value, true
}

// Each visits the rows that are not removed, in no order.
func (l *ChangeLog[K, V]) Each(visit func(key K, value V)) {
	for key, found := range l.rows {
		if !found.removed {
			visit(key, found.value)
		}
	}
}

// Since visits the rows that changed after a revision, in no order. After revision 0
// removed rows are left out: who has nothing need not remove them.
func (l *ChangeLog[K, V]) Since(revision rpc.Revision, visit func(key K, value V, gone bool)) {
	if revision >= l.lastChange {
		return
	}
	for key, found := range l.rows {
		if found.revision > revision && !(found.removed && revision == 0) {
			visit(key, found.value, found.removed)
		}
	}
}
