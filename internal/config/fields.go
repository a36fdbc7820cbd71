package config

import (
	"math"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

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
