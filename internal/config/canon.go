// Package canon holds the operator's configuration: named items, each with a
// version of its own. A call is read whole, checked against what would stand
// after it, and only then carried out; a refused call changes nothing. Of each
// name the highest version holds, be it set or dropped; under one version only
// one content is confirmed. The fields of an item are kept as they came, so that
// reading back gives what was sent.
package config

import (
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"
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

// read parses the fields of an item and checks what can be seen from it alone.
func (s *entry) read() (err error) {
	f := &fields{values: map[string]*fastjson.Value{}, item: string(s.Set) + " " + s.Name}
	for _, field := range s.Fields {
		value, parseErr := fastjson.Parse(field.JSON)
		if parseErr != nil {
			return ErrInvalid.New("%s: field %s cannot be read", f.item, field.Name)
		}
		f.values[field.Name] = value
	}
	switch s.Set {
	case Routes:
		s.way = readWay(s.Name, f)
	case Services:
		s.service = readService(s.Name, f)
	case Tenants:
		s.tenant = readTenant(s.Name, f)
	case Limits:
		s.limits = readLimits(f)
	}
	if len(f.problems) > 0 {
		return ErrInvalid.New("%s: %s", f.item, strings.Join(f.problems, "; "))
	}
	return nil
}

// fields reads typed values and gathers what is wrong.
type fields struct {
	values   map[string]*fastjson.Value
	item     string
	problems []string
}

func (f *fields) fail(field, why string) { f.problems = append(f.problems, field+" "+why) }

func (f *fields) get(field string) (value *fastjson.Value) {
	value = f.values[field]
	if value != nil && value.Type() == fastjson.TypeNull {
		return nil
	}
	return value
}

func (f *fields) text(field string, needed bool) (text string) {
	value := f.get(field)
	if value == nil {
		if needed {
			f.fail(field, "is missing")
		}
		return ""
	}
	if value.Type() != fastjson.TypeString {
		f.fail(field, "must be a text")
		return ""
	}
	return string(value.GetStringBytes())
}

func (f *fields) texts(field string) (texts []string) {
	value := f.get(field)
	if value == nil {
		return nil
	}
	if value.Type() != fastjson.TypeArray {
		f.fail(field, "must be a list")
		return nil
	}
	for _, entry := range value.GetArray() {
		if entry.Type() != fastjson.TypeString {
			f.fail(field, "must be a list of texts")
			return nil
		}
		texts = append(texts, string(entry.GetStringBytes()))
	}
	return texts
}

func (f *fields) number(field string, usual, low float64) (number float64) {
	value := f.get(field)
	if value == nil {
		return usual
	}
	number, err := value.Float64()
	if err != nil || number < low || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail(field, "must be a number in its range")
		return usual
	}
	return number
}

func (f *fields) span(field string, needed bool) (span time.Duration) {
	text := f.text(field, needed)
	if text == "" {
		if needed && f.get(field) != nil {
			f.fail(field, "must be a time")
		}
		return 0
	}
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		f.fail(field, "must be a time such as 1500ms or 2.5s")
	}
	return span
}

func (f *fields) flag(field string) (set bool) {
	value := f.get(field)
	if value == nil {
		return false
	}
	set, err := value.Bool()
	if err != nil {
		f.fail(field, "must be true or false")
	}
	return set
}

// Update is one Config.Update, read but not yet carried out.
type Update struct {
	items []Item
}

// ParseUpdate reads the body of a Config.Update whole, as it comes from an operator.
func ParseUpdate(body []byte) (call Update, err error) {
	// The parser bounds the depth, and takes more than JSON; the second look does not.
	v, err := fastjson.ParseBytes(body)
	if err != nil || !utf8.Valid(body) || fastjson.ValidateBytes(body) != nil {
		return call, ErrInvalid.New("the call is not JSON")
	}
	if key, twice := dedup.DuplicateKey(v); twice {
		return call, ErrInvalid.New("an object of the call holds %q twice", key)
	}
	return parseUpdate(v)
}

func parseUpdate(v *fastjson.Value) (call Update, err error) {
	if v.Type() != fastjson.TypeObject {
		return call, ErrInvalid.New("the call must be an object")
	}
	add := func(item Item) (addErr error) {
		call.items = append(call.items, item)
		return nil
	}
	if err = readObject(v.Get("upserts"), "upserts", func(set Set, value *fastjson.Value) error {
		if set == Limits {
			item, limitErr := readRecord(set, value)
			if limitErr != nil {
				return limitErr
			}
			return add(item)
		}
		rows, rowsErr := readRows(set, value)
		if rowsErr != nil {
			return rowsErr
		}
		for _, item := range rows {
			if rowsErr = add(item); rowsErr != nil {
				return rowsErr
			}
		}
		return nil
	}); err != nil {
		return call, err
	}
	err = readObject(v.Get("removals"), "removals", func(set Set, value *fastjson.Value) error {
		if value.Type() != fastjson.TypeArray {
			return ErrInvalid.New("removals of %s must be a list", set)
		}
		for _, entry := range value.GetArray() {
			if entry.Type() != fastjson.TypeObject || entry.Get("name") == nil || entry.Get("name").Type() != fastjson.TypeString {
				return ErrInvalid.New("a removal of %s lacks its name", set)
			}
			if named := string(entry.GetStringBytes("name")); (named == "") != (set == Limits) {
				return ErrInvalid.New("a removal of %s names %q", set, named)
			}
			version, versionErr := readVersion(entry.Get("version"))
			if versionErr != nil {
				return versionErr
			}
			if addErr := add(Item{Set: set, Name: string(entry.GetStringBytes("name")), Version: version, Dropped: true}); addErr != nil {
				return addErr
			}
		}
		return nil
	})
	return call, err
}

// Paths names the items of a call.
func (c Update) Paths() (paths []string) {
	for _, item := range c.items {
		paths = append(paths, item.Path())
	}
	return paths
}

func readObject(value *fastjson.Value, what string, each func(Set, *fastjson.Value) error) (err error) {
	if value == nil || value.Type() == fastjson.TypeNull {
		return nil
	}
	object, objectErr := value.Object()
	if objectErr != nil {
		return ErrInvalid.New("%s must be an object", what)
	}
	object.Visit(func(key []byte, inner *fastjson.Value) {
		if err != nil || inner.Type() == fastjson.TypeNull {
			return
		}
		for _, set := range sets {
			if string(set) == string(key) {
				err = each(set, inner)
				return
			}
		}
		err = ErrInvalid.New("%s holds an unknown set %q", what, key)
	})
	return err
}

func readVersion(value *fastjson.Value) (version Version, err error) {
	if value == nil || value.Type() != fastjson.TypeNumber {
		return 0, ErrInvalid.New("a version is missing or is no number")
	}
	number, err := value.Uint64()
	if err != nil {
		return 0, ErrInvalid.New("a version must be a whole number")
	}
	return Version(number), nil
}

func readRecord(set Set, value *fastjson.Value) (item Item, err error) {
	object, objectErr := value.Object()
	if objectErr != nil {
		return item, ErrInvalid.New("%s must be an object", set)
	}
	item = Item{Set: set}
	object.Visit(func(key []byte, inner *fastjson.Value) {
		item.Fields = append(item.Fields, Field{string(key), inner.String()})
	})
	item.Version, err = readVersion(value.Get("version"))
	return item, err
}

func readRows(set Set, value *fastjson.Value) (items []Item, err error) {
	if value.Type() != fastjson.TypeObject {
		return nil, ErrInvalid.New("%s must hold column_names and row_values", set)
	}
	columnList, rowList := value.Get("column_names"), value.Get("row_values")
	if columnList == nil || columnList.Type() != fastjson.TypeArray || rowList == nil || rowList.Type() != fastjson.TypeArray {
		return nil, ErrInvalid.New("%s must hold column_names and row_values", set)
	}
	var columns []string
	taken := map[string]bool{}
	for _, column := range columnList.GetArray() {
		if column.Type() != fastjson.TypeString || taken[string(column.GetStringBytes())] {
			return nil, ErrInvalid.New("%s: column_names must be distinct texts", set)
		}
		taken[string(column.GetStringBytes())] = true
		columns = append(columns, string(column.GetStringBytes()))
	}
	for _, row := range rowList.GetArray() {
		cells, cellErr := row.Array()
		if cellErr != nil || len(cells) != len(columns) {
			return nil, ErrInvalid.New("%s: a row does not fit its columns", set)
		}
		item := Item{Set: set}
		var version *fastjson.Value
		for i, cell := range cells {
			if cell.Type() == fastjson.TypeNull {
				continue
			}
			if columns[i] == "version" {
				version = cell
			}
			if columns[i] == "name" {
				if cell.Type() != fastjson.TypeString {
					return nil, ErrInvalid.New("%s: a name must be a text", set)
				}
				item.Name = string(cell.GetStringBytes())
			}
			item.Fields = append(item.Fields, Field{columns[i], cell.String()})
		}
		if item.Name == "" {
			return nil, ErrInvalid.New("%s: a row lacks its name", set)
		}
		if item.Version, err = readVersion(version); err != nil {
			return nil, ErrInvalid.New("%s %s: %v", set, item.Name, err)
		}
		items = append(items, item)
	}
	return items, nil
}

// Apply checks and carries out a call at the place rev of the log. How it is
// written was looked at before it came there, and counts no more: a log that an
// older version wrote gives what it gave then.
func (c *Store) Apply(body []byte, rev uint64) (err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return ErrInvalid.New("the call is not JSON")
	}
	call, err := parseUpdate(v)
	if err != nil {
		return err
	}
	return c.ApplyUpdate(call, rev)
}

// ApplyUpdate checks a call against what would stand after it, and carries it out.
func (c *Store) ApplyUpdate(call Update, rev uint64) (err error) {
	fresh := map[itemKey]*entry{}
	var parsed, stale []*entry
	for _, item := range call.items {
		item.Rev = rev
		next := &entry{Item: item}
		if !item.Dropped {
			if err = next.read(); err != nil {
				return err
			}
		}
		parsed = append(parsed, next)
		key := itemKey{item.Set, item.Name}
		if old, known := c.items[key]; known && old.Version >= item.Version {
			stale = append(stale, next)
			continue
		}
		// A call may name an item twice, as set and as dropped: the highest
		// version holds here as elsewhere.
		if other := fresh[key]; other != nil {
			if other.Version >= item.Version {
				stale = append(stale, next)
				continue
			}
			stale = append(stale, other)
		}
		fresh[key] = next
	}
	stands := func(key itemKey) (item *entry) {
		if item = fresh[key]; item == nil {
			item = c.items[key]
		}
		if item == nil || item.Dropped {
			return nil
		}
		return item
	}
	known := func(service string, dropped bool) bool {
		key := itemKey{Services, service}
		return stands(key) != nil || dropped && c.items[key] != nil
	}
	for _, item := range stale {
		if item.way == nil {
			continue
		}
		for _, target := range item.way.Targets {
			if !known(target.Service, true) {
				return ErrInvalid.New("routes %s names unknown service %s", item.Name, target.Service)
			}
		}
	}
	if err = c.checkNumbers(parsed); err != nil {
		return err
	}
	if len(fresh) > 0 {
		if err = c.checkWhole(fresh, known); err != nil {
			return err
		}
	}
	c.take(parsed, fresh)
	return nil
}

// checkWhole checks what would stand with the fresh items.
func (c *Store) checkWhole(fresh map[itemKey]*entry, known func(service string, dropped bool) bool) (err error) {
	places := map[string]string{}
	hosts := map[string]string{}
	check := func(item *entry) (checkErr error) {
		if item.way != nil {
			place := item.way.Host + " " + item.way.Prefix
			if other, taken := places[place]; taken {
				return ErrInvalid.New("routes %s and %s have the same host and prefix", other, item.Name)
			}
			places[place] = item.Name
			for _, target := range item.way.Targets {
				if !known(target.Service, false) {
					return ErrInvalid.New("routes %s names unknown service %s", item.Name, target.Service)
				}
			}
		}
		if item.tenant != nil {
			for _, host := range item.tenant.Hosts {
				if other, taken := hosts[host]; taken {
					return ErrInvalid.New("tenants %s and %s share host %s", other, item.Name, host)
				}
				hosts[host] = item.Name
			}
		}
		return nil
	}
	for _, item := range fresh {
		if !item.Dropped {
			if err = check(item); err != nil {
				return err
			}
		}
	}
	for key, item := range c.items {
		if fresh[key] == nil && !item.Dropped {
			if err = check(item); err != nil {
				return err
			}
		}
	}
	return nil
}

// take puts the fresh items in force and remembers what is overtaken.
func (c *Store) take(parsed []*entry, fresh map[itemKey]*entry) {
	for _, item := range parsed {
		key := itemKey{item.Set, item.Name}
		old, holds := c.items[key], fresh[key]
		if holds == nil {
			holds = old
		} else if old != nil {
			c.Superseded.Remember(old.number(), old.digest())
		}
		if item.Version < holds.Version {
			c.Superseded.Remember(item.number(), item.digest())
		}
	}
	if len(fresh) == 0 {
		return
	}
	for key, item := range fresh {
		c.items[key] = item
	}
	for _, item := range parsed {
		for _, field := range item.Fields {
			c.learnColumn(item.Set, field.Name)
		}
	}
}

// EncodeUpserts writes all items that stand, laid out as an upserts object.
func (c *Store) EncodeUpserts() (text []byte) {
	items := c.Items()
	text = append(text, '{')
	for i, set := range []Set{Routes, Services, Tenants} {
		if set == Tenants && len(c.columns[set]) == 0 {
			continue
		}
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, `"`+string(set)+`":{"column_names":[`...)
		for j, column := range c.columns[set] {
			if j > 0 {
				text = append(text, ',')
			}
			text = append(text, quote(column)...)
		}
		text = append(text, `],"row_values":[`...)
		first := true
		for _, item := range items {
			if item.Set != set || item.Dropped {
				continue
			}
			if !first {
				text = append(text, ',')
			}
			first = false
			text = append(text, '[')
			for j, column := range c.columns[set] {
				if j > 0 {
					text = append(text, ',')
				}
				cell := "null"
				for _, field := range item.Fields {
					if field.Name == column {
						cell = field.JSON
					}
				}
				text = append(text, cell...)
			}
			text = append(text, ']')
		}
		text = append(text, `]}`...)
	}
	for _, item := range items {
		if item.Set != Limits || item.Dropped {
			continue
		}
		text = append(text, `,"limits":{`...)
		for j, field := range item.Fields {
			if j > 0 {
				text = append(text, ',')
			}
			text = append(text, quote(field.Name)+":"+field.JSON...)
		}
		text = append(text, '}')
	}
	return append(text, '}')
}

func quote(text string) string {
	var arena fastjson.Arena
	return arena.NewString(text).String()
}
