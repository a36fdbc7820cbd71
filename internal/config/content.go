package config

import (
	"slices"
	"sort"

	"github.com/valyala/fastjson"

	"tinpin/internal/dedup"
)

// Two items of one version are the same if their parsed fields are, null standing
// for absent.

// number names the state of an item that a call brings.
func (s *entry) number() (number dedup.Key) {
	return dedup.Key{Kind: string(s.Set), Name: s.Name, Version: uint64(s.Version)}
}

// digest is that of the item's content, reckoned once.
func (s *entry) digest() (digest dedup.Digest) {
	if s.content != nil {
		return *s.content
	}
	content := &dedup.ContentHash{}
	if s.Dropped {
		content.AddText("dropped")
	}
	fields := slices.Clone(s.Fields)
	sort.SliceStable(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	for _, field := range fields {
		value, err := fastjson.Parse(field.JSON)
		if err != nil || value.Type() == fastjson.TypeNull {
			continue
		}
		content.AddText(field.Name)
		content.AddJSON(value)
	}
	digest = content.Digest()
	s.content = &digest
	return digest
}

// same tells whether two items of one version say the same.
func (s *entry) same(other *entry) (same bool) {
	return s.Dropped == other.Dropped && (slices.Equal(s.Fields, other.Fields) || s.digest() == other.digest())
}

// checkNumbers refuses a call that brings another content under a version that
// holds, or that is remembered, or two contents under one.
func (c *Store) checkNumbers(parsed []*entry) (err error) {
	brought := make(map[dedup.Key]*entry, len(parsed))
	for _, item := range parsed {
		number := item.number()
		if other := brought[number]; other != nil && !other.same(item) {
			return ErrInvalid.New("the call brings two contents of %s under version %d", item.Path(), item.Version)
		}
		brought[number] = item
		old := c.items[itemKey{item.Set, item.Name}]
		if old == nil || old.Version < item.Version {
			continue
		}
		if old.Version == item.Version {
			if !old.same(item) {
				return dedup.ErrConflict.New("%s stands under version %s with other content", item.Path(), old.Summary())
			}
			continue
		}
		if content, known := c.Superseded.Lookup(number); known && content != item.digest() {
			return dedup.ErrConflict.New("%s came under version %d with other content; version %s holds", item.Path(), item.Version, old.Summary())
		}
	}
	return nil
}
