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
	"sort"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"tinpin/internal/dedup"
)

// ErrInvalid marks refused configurations.
var ErrInvalid = errs.Class("canon")

// Set names one of the kinds of items.
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

// Item is one item as it stands, or the mark that it was dropped.
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

// Summary is the item's version, with a mark where it was dropped.
func (i Item) Summary() (stamp string) {
	stamp = strconv.FormatUint(uint64(i.Version), 10)
	if i.Dropped {
		stamp += " dropped"
	}
	return stamp
}

// Find looks an item up by its path.
func (c *Store) Find(path string) (item Item, known bool) {
	set, named, _ := strings.Cut(path, "/")
	found := c.items[itemKey{Set(set), named}]
	if found == nil {
		return item, false
	}
	return found.Item, true
}

type itemKey struct {
	set  Set
	name string
}

type entry struct {
	Item
	way     *Route
	service *Service
	tenant  *Tenant
	limits  *ClientLimits
	content *dedup.Digest
}

// Store is the whole configuration.
type Store struct {
	items   map[itemKey]*entry
	columns map[Set][]string
	// Superseded remembers what was confirmed under versions that hold no more.
	Superseded *dedup.Table
}

// MaxSuperseded is how many overtaken versions are remembered.
const MaxSuperseded = 4096

// New is an empty configuration.
func New() (c *Store) {
	return &Store{items: map[itemKey]*entry{}, columns: map[Set][]string{}, Superseded: dedup.New(MaxSuperseded)}
}

// Items lists every item and mark, in a fixed order.
func (c *Store) Items() (items []Item) {
	for _, item := range c.items {
		items = append(items, item.Item)
	}
	sort.Slice(items, func(i, j int) bool {
		if items[i].Set != items[j].Set {
			return items[i].Set < items[j].Set
		}
		return items[i].Name < items[j].Name
	})
	return items
}

// Since lists what changed after the place rev of the log.
func (c *Store) Since(rev uint64) (items []Item) {
	for _, item := range c.items {
		if item.Rev > rev {
			items = append(items, item.Item)
		}
	}
	return items
}

// After lists what lies behind a place: items in the order of their places in
// the log and then of their paths, no more of them than the room for their
// bytes. Done tells that nothing is left out.
func (c *Store) After(rev uint64, path string, room int) (items []Item, done bool) {
	for _, item := range c.items {
		if item.Rev > rev || item.Rev == rev && item.Path() > path {
			items = append(items, item.Item)
		}
	}
	sort.Slice(items, func(i, j int) bool {
		if items[i].Rev != items[j].Rev {
			return items[i].Rev < items[j].Rev
		}
		return items[i].Path() < items[j].Path()
	})
	for i, item := range items {
		if room -= item.size(); room < 0 && i > 0 {
			return items[:i], false
		}
	}
	return items, true
}

// size is about how many bytes an item takes on the way.
func (i Item) size() (size int) {
	size = 24 + len(i.Name)
	for _, field := range i.Fields {
		size += 4 + len(field.Name) + len(field.JSON)
	}
	return size
}

// Exists tells whether an item is set and not dropped.
func (c *Store) Exists(set Set, named string) (stands bool) {
	found := c.items[itemKey{set, named}]
	return found != nil && !found.Dropped
}

// Empty tells that nothing was ever set.
func (c *Store) Empty() bool { return len(c.items) == 0 }

// Columns gives the names of fields in the order in which they became known.
func (c *Store) Columns() (columns map[Set][]string) { return c.columns }

// SetColumns sets that order, as from a snapshot.
func (c *Store) SetColumns(columns map[Set][]string) {
	for set, names := range columns {
		c.columns[set] = append([]string(nil), names...)
	}
}

// Restore takes items that were checked before, as from a snapshot.
func (c *Store) Restore(items []Item) (err error) {
	for _, item := range items {
		if err = c.Put(item); err != nil {
			return err
		}
	}
	return nil
}

// Put takes one item that the cores have agreed on, if it is newer.
func (c *Store) Put(item Item) (err error) {
	key := itemKey{item.Set, item.Name}
	if old, known := c.items[key]; known && old.Version >= item.Version {
		if old.Version == item.Version && old.Rev < item.Rev {
			old.Rev = item.Rev
		}
		return nil
	}
	parsed := &entry{Item: item}
	if !item.Dropped {
		if err = parsed.read(); err != nil {
			return err
		}
	}
	c.items[key] = parsed
	for _, field := range item.Fields {
		c.learnColumn(item.Set, field.Name)
	}
	return nil
}

func (c *Store) learnColumn(set Set, column string) {
	for _, known := range c.columns[set] {
		if known == column {
			return
		}
	}
	c.columns[set] = append(c.columns[set], column)
}
