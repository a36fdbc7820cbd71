package config

import (
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"tinpin/internal/dedup"
)

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
