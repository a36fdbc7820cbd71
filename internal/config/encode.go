package config

import (
	"github.com/valyala/fastjson"
)

// EncodeUpserts writes all items that are set, in the form of an upserts object.
func (s *Store) EncodeUpserts() (text []byte) {
	items := s.Items()
	text = append(text, '{')
	for i, set := range []Set{Routes, Services, Tenants} {
		if set == Tenants && len(s.columns[set]) == 0 {
			continue
		}
		if i > 0 {
			text = append(text, ',')
		}
		text = appendTable(text, set, s.columns[set], items)
	}
	for _, item := range items {
		if item.Set == Limits && !item.Dropped {
			text = append(text, ',')
			text = appendRecord(text, item)
		}
	}
	return append(text, '}')
}

// appendTable writes the items of a set as rows below the names of their columns.
func appendTable(text []byte, set Set, columns []string, items []Item) (longer []byte) {
	text = append(text, `"`+string(set)+`":{"column_names":[`...)
	for i, column := range columns {
		if i > 0 {
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
		text = appendRow(text, columns, item)
	}
	return append(text, `]}`...)
}

func appendRow(text []byte, columns []string, item Item) (longer []byte) {
	text = append(text, '[')
	for i, column := range columns {
		if i > 0 {
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
	return append(text, ']')
}

// appendRecord writes an item that is the only one of its set, as one object.
func appendRecord(text []byte, item Item) (longer []byte) {
	text = append(text, quote(string(item.Set))+":{"...)
	for i, field := range item.Fields {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, quote(field.Name)+":"+field.JSON...)
	}
	return append(text, '}')
}

func quote(text string) string {
	var arena fastjson.Arena
	return arena.NewString(text).String()
}
