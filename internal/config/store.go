// Package config holds the operator's configuration: routes, services, tenants and
// limits, each item with a version of its own. An update is read whole, checked
// against what would exist after it, and only then applied; a rejected update changes
// nothing. Of each name the highest version holds, be it set or removed; under one
// version only one content is accepted. The fields of an item are kept as they came,
// so that reading back gives what was sent.
//
// The package does not agree on anything: the replicated state applies updates in
// the order of the log, nodes put the items that they receive. A Store belongs to
// one goroutine or is guarded by its owner's lock; a RoutingTable is read-only.
package config

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"tinpin/internal/dedup"
)

// ErrInvalid marks rejected configurations. Operators see the text of the class.
var ErrInvalid = errs.Class("canon")

// Set names a kind of items.
type Set string

// The sets of items.
const (
	Routes   Set = "routes"
	Services Set = "services"
	Tenants  Set = "tenants"
	Limits   Set = "limits"
)

var sets = []Set{Routes, Services, Tenants, Limits}

// Version orders the states of one item.
type Version uint64

// Field is one field of an item as it was sent.
type Field struct{ Name, JSON string }

// Item is one item as it is set, or the note that it was removed (Dropped). Rev is the
// log index of its last change. The names of the fields are frozen: they are stored and
// sent with gob.
type Item struct {
	Set     Set
	Name    string
	Version Version
	Rev     uint64
	Dropped bool
	Fields  []Field
}

// Path names an item with its set, as in routes/r1.
func (i Item) Path() (path string) {
	if i.Name == "" {
		return string(i.Set)
	}
	return string(i.Set) + "/" + i.Name
}

// Summary is the item's version, with a note where it was removed.
func (i Item) Summary() (summary string) {
	summary = strconv.FormatUint(uint64(i.Version), 10)
	if i.Dropped {
		summary += " dropped"
	}
	return summary
}

// Find looks an item up by its path.
func (s *Store) Find(path string) (item Item, known bool) {
	set, name, _ := strings.Cut(path, "/")
	found := s.items[itemKey{Set(set), name}]
	if found == nil {
		return item, false
	}
	return found.Item, true
}

type itemKey struct {
	set  Set
	name string
}

// entry is an item with its typed form: one of route, service, tenant and limits,
// none where it was removed.
type entry struct {
	Item
	route   *Route
	service *Service
	tenant  *Tenant
	limits  *ClientLimits
	// digest is that of the content, nil until it is needed.
	digest *dedup.Digest
}

// Store is the complete configuration.
type Store struct {
	items map[itemKey]*entry
	// columns are the names of fields in the order in which they first appeared.
	columns map[Set][]string
	// Superseded remembers the content that was accepted under earlier versions.
	Superseded *dedup.Table
}

// MaxSuperseded is how many superseded versions are remembered.
const MaxSuperseded = 4096

// New gives an empty configuration.
func New() (s *Store) {
	return &Store{
		items:      map[itemKey]*entry{},
		columns:    map[Set][]string{},
		Superseded: dedup.New(MaxSuperseded),
	}
}

// Items lists every item, removed ones too, by set and name.
func (s *Store) Items() (items []Item) {
	for _, item := range s.items {
		items = append(items, item.Item)
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Set, b.Set), cmp.Compare(a.Name, b.Name))
	})
	return items
}

// Since lists the items that changed after the log index rev, in no order.
func (s *Store) Since(rev uint64) (items []Item) {
	for _, item := range s.items {
		if item.Rev > rev {
			items = append(items, item.Item)
		}
	}
	return items
}

// After lists the items behind one item, given by its log index and path, in the order
// of their log indices and then of their paths. It stops where their sizes exceed
// maxBytes, but gives at least one; done tells that none is left out.
func (s *Store) After(rev uint64, path string, maxBytes int) (items []Item, done bool) {
	for _, item := range s.items {
		if item.Rev > rev || item.Rev == rev && item.Path() > path {
			items = append(items, item.Item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		if order := cmp.Compare(a.Rev, b.Rev); order != 0 {
			return order
		}
		return cmp.Compare(a.Path(), b.Path())
	})
	for i, item := range items {
		if maxBytes -= item.size(); maxBytes < 0 && i > 0 {
			return items[:i], false
		}
	}
	return items, true
}

// size is about how many bytes an item takes in a message.
func (i Item) size() (size int) {
	size = 24 + len(i.Name)
	for _, field := range i.Fields {
		size += 4 + len(field.Name) + len(field.JSON)
	}
	return size
}

// Exists tells whether an item is set and not removed.
func (s *Store) Exists(set Set, name string) (exists bool) {
	found := s.items[itemKey{set, name}]
	return found != nil && !found.Dropped
}

// Empty tells that nothing was ever set.
func (s *Store) Empty() bool { return len(s.items) == 0 }

// Columns gives the names of each set's fields in the order in which they first
// appeared. The map must not be written to.
func (s *Store) Columns() (columns map[Set][]string) { return s.columns }

// SetColumns sets that order, from a snapshot.
func (s *Store) SetColumns(columns map[Set][]string) {
	for set, names := range columns {
		s.columns[set] = append([]string(nil), names...)
	}
}

// Restore puts items that were checked before, from a snapshot.
func (s *Store) Restore(items []Item) (err error) {
	for _, item := range items {
		if err = s.Put(item); err != nil {
			return err
		}
	}
	return nil
}

// Put sets or removes one item that is committed, if its version is above the one in
// force. References to other items are not checked.
func (s *Store) Put(item Item) (err error) {
	key := itemKey{item.Set, item.Name}
	if old, known := s.items[key]; known && old.Version >= item.Version {
		if old.Version == item.Version && old.Rev < item.Rev {
			old.Rev = item.Rev
		}
		return nil
	}
	parsed := &entry{Item: item}
	if !item.Dropped {
		if err = parsed.parse(); err != nil {
			return err
		}
	}
	s.items[key] = parsed
	for _, field := range item.Fields {
		s.addColumn(item.Set, field.Name)
	}
	return nil
}

func (s *Store) addColumn(set Set, column string) {
	if !slices.Contains(s.columns[set], column) {
		s.columns[set] = append(s.columns[set], column)
	}
}
