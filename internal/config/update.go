package config

import (
	"slices"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"tinpin/internal/dedup"
)

// Update is one Config.Update, read but not yet applied.
type Update struct {
	items []Item
}

// ParseUpdate reads the complete body of a Config.Update, as it comes from an operator.
func ParseUpdate(body []byte) (update Update, err error) {
	// ParseBytes limits the depth but accepts more than JSON; ValidateBytes does not.
	v, err := fastjson.ParseBytes(body)
	if err != nil || !utf8.Valid(body) || fastjson.ValidateBytes(body) != nil {
		return update, ErrInvalid.New("the call is not JSON")
	}
	if key, duplicate := dedup.DuplicateKey(v); duplicate {
		return update, ErrInvalid.New("an object of the call holds %q twice", key)
	}
	return readUpdate(v)
}

// Paths lists the paths of the items in an update.
func (u Update) Paths() (paths []string) {
	for _, item := range u.items {
		paths = append(paths, item.Path())
	}
	return paths
}

func readUpdate(v *fastjson.Value) (update Update, err error) {
	if v.Type() != fastjson.TypeObject {
		return update, ErrInvalid.New("the call must be an object")
	}
	upserts, err := readSets(v.Get("upserts"), "upserts", readUpserts)
	if err != nil {
		return update, err
	}
	removals, err := readSets(v.Get("removals"), "removals", readRemovals)
	if err != nil {
		return update, err
	}
	return Update{items: append(upserts, removals...)}, nil
}

// readSets reads an object whose keys are the names of sets; what names the object in
// errors. Null counts as absent.
func readSets(
	value *fastjson.Value, what string, read func(Set, *fastjson.Value) ([]Item, error),
) (items []Item, err error) {
	if value == nil || value.Type() == fastjson.TypeNull {
		return nil, nil
	}
	object, objectErr := value.Object()
	if objectErr != nil {
		return nil, ErrInvalid.New("%s must be an object", what)
	}
	object.Visit(func(key []byte, inner *fastjson.Value) {
		if err != nil || inner.Type() == fastjson.TypeNull {
			return
		}
		set := Set(key)
		if !slices.Contains(sets, set) {
			err = ErrInvalid.New("%s holds an unknown set %q", what, key)
			return
		}
		var more []Item
		more, err = read(set, inner)
		items = append(items, more...)
	})
	return items, err
}

// readUpserts reads the items to set of one set: one record of limits, or rows.
func readUpserts(set Set, value *fastjson.Value) (items []Item, err error) {
	if set != Limits {
		return readRows(set, value)
	}
	item, err := readRecord(set, value)
	return []Item{item}, err
}

// readRemovals reads the items to remove of one set.
func readRemovals(set Set, value *fastjson.Value) (items []Item, err error) {
	if value.Type() != fastjson.TypeArray {
		return nil, ErrInvalid.New("removals of %s must be a list", set)
	}
	for _, removal := range value.GetArray() {
		name, isText := textOf(removal.Get("name"))
		if removal.Type() != fastjson.TypeObject || !isText {
			return nil, ErrInvalid.New("a removal of %s lacks its name", set)
		}
		// There is one item of limits, which has no name.
		if (name == "") != (set == Limits) {
			return nil, ErrInvalid.New("a removal of %s names %q", set, name)
		}
		version, versionErr := readVersion(removal.Get("version"))
		if versionErr != nil {
			return nil, versionErr
		}
		items = append(items, Item{Set: set, Name: name, Version: version, Dropped: true})
	}
	return items, nil
}

// textOf gives the text of a value, if it is one.
func textOf(value *fastjson.Value) (text string, isText bool) {
	if value == nil || value.Type() != fastjson.TypeString {
		return "", false
	}
	return string(value.GetStringBytes()), true
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
	columnNames, rowValues := value.Get("column_names"), value.Get("row_values")
	if value.Type() != fastjson.TypeObject || !isList(columnNames) || !isList(rowValues) {
		return nil, ErrInvalid.New("%s must hold column_names and row_values", set)
	}
	columns, err := readColumns(set, columnNames)
	if err != nil {
		return nil, err
	}
	for _, row := range rowValues.GetArray() {
		item, rowErr := readRow(set, columns, row)
		if rowErr != nil {
			return nil, rowErr
		}
		items = append(items, item)
	}
	return items, nil
}

func isList(value *fastjson.Value) bool { return value != nil && value.Type() == fastjson.TypeArray }

func readColumns(set Set, names *fastjson.Value) (columns []string, err error) {
	seen := map[string]bool{}
	for _, name := range names.GetArray() {
		column, isText := textOf(name)
		if !isText || seen[column] {
			return nil, ErrInvalid.New("%s: column_names must be distinct texts", set)
		}
		seen[column] = true
		columns = append(columns, column)
	}
	return columns, nil
}

// readRow reads one item. Cells that are null are left out of its fields.
func readRow(set Set, columns []string, row *fastjson.Value) (item Item, err error) {
	cells, err := row.Array()
	if err != nil || len(cells) != len(columns) {
		return item, ErrInvalid.New("%s: a row does not fit its columns", set)
	}
	item = Item{Set: set}
	var version *fastjson.Value
	for i, cell := range cells {
		if cell.Type() == fastjson.TypeNull {
			continue
		}
		switch columns[i] {
		case "version":
			version = cell
		case "name":
			name, isText := textOf(cell)
			if !isText {
				return item, ErrInvalid.New("%s: a name must be a text", set)
			}
			item.Name = name
		}
		item.Fields = append(item.Fields, Field{columns[i], cell.String()})
	}
	if item.Name == "" {
		return item, ErrInvalid.New("%s: a row lacks its name", set)
	}
	if item.Version, err = readVersion(version); err != nil {
		return item, ErrInvalid.New("%s %s: %v", set, item.Name, err)
	}
	return item, nil
}
