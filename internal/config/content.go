package config

import (
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"tinpin/internal/dedup"
)

// Two items of one version have the same content if their parsed fields are equal; a
// field that is null counts as absent.

// itemKey is the key of the item in a Store.
func (e *entry) itemKey() (key itemKey) { return itemKey{e.Set, e.Name} }

// versionKey names the item with its version, for the table of superseded versions.
func (e *entry) versionKey() (key dedup.Key) {
	return dedup.Key{Kind: string(e.Set), Name: e.Name, Version: uint64(e.Version)}
}

// contentDigest is the digest of the item's content, computed once.
func (e *entry) contentDigest() (digest dedup.Digest) {
	if e.digest != nil {
		return *e.digest
	}
	content := &dedup.ContentHash{}
	if e.Dropped {
		content.AddText("dropped")
	}
	fields := slices.Clone(e.Fields)
	slices.SortStableFunc(fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	for _, field := range fields {
		value, err := fastjson.Parse(field.JSON)
		if err != nil || value.Type() == fastjson.TypeNull {
			continue
		}
		content.AddText(field.Name)
		content.AddJSON(value)
	}
	digest = content.Digest()
	e.digest = &digest
	return digest
}

// sameContent tells whether two items of one version have the same content. Equal
// fields need no digest.
func (e *entry) sameContent(other *entry) (same bool) {
	if e.Dropped != other.Dropped {
		return false
	}
	return slices.Equal(e.Fields, other.Fields) || e.contentDigest() == other.contentDigest()
}

// checkVersions rejects other content under a version that is in force or is
// remembered as superseded, and two contents of one version in the same update.
func (s *Store) checkVersions(items []*entry) (err error) {
	inUpdate := make(map[dedup.Key]*entry, len(items))
	for _, item := range items {
		key := item.versionKey()
		if other := inUpdate[key]; other != nil && !other.sameContent(item) {
			return ErrInvalid.New("the call brings two contents of %s under version %d", item.Path(), item.Version)
		}
		inUpdate[key] = item
		if err = s.checkConflict(item); err != nil {
			return err
		}
	}
	return nil
}

// checkConflict compares an item with what was accepted under its version.
func (s *Store) checkConflict(item *entry) (err error) {
	old := s.items[item.itemKey()]
	if old == nil || old.Version < item.Version {
		return nil
	}
	if old.Version == item.Version {
		if old.sameContent(item) {
			return nil
		}
		return dedup.ErrConflict.New("%s stands under version %s with other content", item.Path(), old.Summary())
	}
	content, known := s.Superseded.Lookup(item.versionKey())
	if known && content != item.contentDigest() {
		return dedup.ErrConflict.New("%s came under version %d with other content; version %s holds",
			item.Path(), item.Version, old.Summary())
	}
	return nil
}
