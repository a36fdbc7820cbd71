package config

import (
	"github.com/valyala/fastjson"
)

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
