// Package dedup remembers which requests of operators were accepted: for the key of
// each, a digest of its content. It is part of the replicated state, so that the
// same request, sent again to any controller, is accepted again and another one
// under its key is not. The table is bounded: the oldest go first, and are counted.
// Whoever owns a Table guards it; the digests keep no state.
package dedup

import "github.com/zeebo/errs"

// ErrCorrupt marks a record that cannot be read.
var ErrCorrupt = errs.Class("record")

// ErrConflict marks an order refused because another was taken under its number.
var ErrConflict = errs.Class("conflict")

// Key names an order: its kind, what it is about, and the version, 0 for
// orders that have none.
type Key struct {
	Kind, Name string
	Version    uint64
}

func (n Key) digest() (digest Digest) {
	content := &ContentHash{}
	content.AddText(n.Kind)
	content.AddText(n.Name)
	content.AddUint(n.Version)
	return content.Digest()
}

type entry struct{ number, content Digest }

const entryBytes = 2 * len(Digest{})

// Table holds the orders taken, the oldest first.
type Table struct {
	most    int
	entries []entry
	known   map[Digest]Digest
	dropped uint64
}

// New is an empty record of a bounded length.
func New(most int) (record *Table) { return &Table{most: most, known: map[Digest]Digest{}} }

// Remember keeps what came under a number; the first holds.
func (r *Table) Remember(number Key, content Digest) { r.note(entry{number.digest(), content}) }

func (r *Table) note(next entry) {
	if _, known := r.known[next.number]; known {
		return
	}
	r.known[next.number] = next.content
	r.entries = append(r.entries, next)
	if len(r.entries) > r.most {
		delete(r.known, r.entries[0].number)
		r.entries = r.entries[1:]
		r.dropped++
	}
}

// Lookup gives what came under a number.
func (r *Table) Lookup(number Key) (content Digest, known bool) {
	content, known = r.known[number.digest()]
	return content, known
}

// Len counts the orders held.
func (r *Table) Len() int { return len(r.entries) }

// Evicted counts the orders that went for want of room.
func (r *Table) Evicted() uint64 { return r.dropped }

// Snapshot is a record written out.
type Snapshot struct {
	Entries []byte
	Dropped uint64
}

// Snapshot writes the record out.
func (r *Table) Snapshot() (frozen Snapshot) {
	frozen = Snapshot{Dropped: r.dropped, Entries: make([]byte, 0, len(r.entries)*entryBytes)}
	for _, held := range r.entries {
		frozen.Entries = append(append(frozen.Entries, held.number[:]...), held.content[:]...)
	}
	return frozen
}

// Restore reads a record back.
func Restore(most int, frozen Snapshot) (record *Table, err error) {
	if len(frozen.Entries)%entryBytes != 0 {
		return nil, ErrCorrupt.New("%d bytes are no whole number of orders", len(frozen.Entries))
	}
	record = New(most)
	for data := frozen.Entries; len(data) > 0; data = data[entryBytes:] {
		var held entry
		copy(held.number[:], data)
		copy(held.content[:], data[len(held.number):])
		record.note(held)
	}
	record.dropped += frozen.Dropped
	return record, nil
}
