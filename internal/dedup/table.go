// Package dedup remembers which requests of operators were accepted: for the key of
// each, a digest of its content. It is part of the replicated state, so that the
// same request, sent again to any controller, is accepted again and another one
// under its key is not. The table is bounded: the oldest entries are evicted first,
// and counted. It does not know what the requests mean. Whoever owns a Table guards
// it; the digests keep no state.
package dedup

import "github.com/zeebo/errs"

// ErrCorrupt marks a stored table that cannot be read.
var ErrCorrupt = errs.Class("record")

// ErrConflict marks a request that was rejected because another one was accepted
// under its key.
var ErrConflict = errs.Class("conflict")

// Key names a request: its kind, what it concerns, and the version, 0 for requests
// that have none.
type Key struct {
	Kind, Name string
	Version    uint64
}

// digest is part of stored tables.
func (k Key) digest() (digest Digest) {
	content := &ContentHash{}
	content.AddText(k.Kind)
	content.AddText(k.Name)
	content.AddUint(k.Version)
	return content.Digest()
}

// entry is the digests of an accepted request's key and content.
type entry struct{ key, content Digest }

// entryBytes is the size of a stored entry: its two digests.
const entryBytes = 2 * len(Digest{})

// Table holds the accepted requests, the oldest first.
type Table struct {
	maxEntries int
	entries    []entry
	contents   map[Digest]Digest
	evicted    uint64
}

// New gives an empty table for at most maxEntries requests.
func New(maxEntries int) (table *Table) {
	return &Table{maxEntries: maxEntries, contents: map[Digest]Digest{}}
}

// Remember notes the content that was accepted under a key; the first one stays.
func (t *Table) Remember(key Key, content Digest) { t.add(entry{key.digest(), content}) }

func (t *Table) add(next entry) {
	if _, known := t.contents[next.key]; known {
		return
	}
	t.contents[next.key] = next.content
	t.entries = append(t.entries, next)
	if len(t.entries) > t.maxEntries {
		delete(t.contents, t.entries[0].key)
		t.entries = t.entries[1:]
		t.evicted++
	}
}

// Lookup gives the content that was accepted under a key.
func (t *Table) Lookup(key Key) (content Digest, known bool) {
	content, known = t.contents[key.digest()]
	return content, known
}

// Len counts the requests held.
func (t *Table) Len() int { return len(t.entries) }

// Evicted counts the requests that gave way to newer ones.
func (t *Table) Evicted() uint64 { return t.evicted }

// Snapshot is the stored form of a table: its entries, the oldest first, and the count
// of evicted ones. The names of its fields are frozen, since gob stores them.
type Snapshot struct {
	Entries []byte
	Dropped uint64
}

// Snapshot gives the stored form of the table.
func (t *Table) Snapshot() (stored Snapshot) {
	stored = Snapshot{Dropped: t.evicted, Entries: make([]byte, 0, len(t.entries)*entryBytes)}
	for _, held := range t.entries {
		stored.Entries = append(append(stored.Entries, held.key[:]...), held.content[:]...)
	}
	return stored
}

// Restore reads a stored table; of more than maxEntries the oldest are evicted.
func Restore(maxEntries int, stored Snapshot) (table *Table, err error) {
	if len(stored.Entries)%entryBytes != 0 {
		return nil, ErrCorrupt.New("%d bytes are no whole number of orders", len(stored.Entries))
	}
	table = New(maxEntries)
	for data := stored.Entries; len(data) > 0; data = data[entryBytes:] {
		var held entry
		copy(held.key[:], data)
		copy(held.content[:], data[len(held.key):])
		table.add(held)
	}
	table.evicted += stored.Dropped
	return table, nil
}
