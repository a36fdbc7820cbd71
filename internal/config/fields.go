package config

import (
	"math"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// parse reads the fields of an item and checks those that concern no other item.
func (e *entry) parse() (err error) {
	f := &fields{values: map[string]*fastjson.Value{}, item: string(e.Set) + " " + e.Name}
	for _, field := range e.Fields {
		value, parseErr := fastjson.Parse(field.JSON)
		if parseErr != nil {
			return ErrInvalid.New("%s: field %s cannot be read", f.item, field.Name)
		}
		f.values[field.Name] = value
	}
	switch e.Set {
	case Routes:
		e.route = parseRoute(e.Name, f)
	case Services:
		e.service = parseService(e.Name, f)
	case Tenants:
		e.tenant = parseTenant(e.Name, f)
	case Limits:
		e.limits = parseLimits(f)
	}
	if len(f.faults) > 0 {
		return ErrInvalid.New("%s: %s", f.item, strings.Join(f.faults, "; "))
	}
	return nil
}

// fields reads typed values of one item and collects the faults, so that one error
// names them all.
type fields struct {
	values map[string]*fastjson.Value
	item   string
	faults []string
}

func (f *fields) fail(field, why string) { f.faults = append(f.faults, field+" "+why) }

// get gives the value of a field, nil where it is null or absent.
func (f *fields) get(field string) (value *fastjson.Value) {
	value = f.values[field]
	if value != nil && value.Type() == fastjson.TypeNull {
		return nil
	}
	return value
}

func (f *fields) text(field string, required bool) (text string) {
	value := f.get(field)
	if value == nil {
		if required {
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
	for _, element := range value.GetArray() {
		if element.Type() != fastjson.TypeString {
			f.fail(field, "must be a list of texts")
			return nil
		}
		texts = append(texts, string(element.GetStringBytes()))
	}
	return texts
}

func (f *fields) number(field string, fallback, minimum float64) (number float64) {
	value := f.get(field)
	if value == nil {
		return fallback
	}
	number, err := value.Float64()
	if err != nil || number < minimum || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail(field, "must be a number in its range")
		return fallback
	}
	return number
}

func (f *fields) duration(field string, required bool) (duration time.Duration) {
	text := f.text(field, required)
	if text == "" {
		if required && f.get(field) != nil {
			f.fail(field, "must be a time")
		}
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		f.fail(field, "must be a time such as 1500ms or 2.5s")
	}
	return duration
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
