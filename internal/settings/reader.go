package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// reader reads fields of a parsed file by their dotted names and collects what
// is wrong with them.
type reader struct {
	file    *fastjson.Value
	invalid []FieldError
	// renamed holds today's names of fields that stand under an earlier one; the
	// earlier name is all that is reported of them.
	renamed map[string]bool
}

func newReader(file *fastjson.Value) (r *reader) {
	r = &reader{file: file, renamed: map[string]bool{}}
	for earlier, name := range renamedFields {
		if file.Exists(earlier) {
			r.fail(earlier, "is now called "+name)
			r.renamed[name] = true
		}
	}
	return r
}

func (r *reader) fail(field, reason string) {
	if !r.renamed[field] {
		r.invalid = append(r.invalid, FieldError{field, reason})
	}
}

// err is an InvalidError if any field is at fault, else nil.
func (r *reader) err() (err error) {
	if len(r.invalid) == 0 {
		return nil
	}
	slices.SortStableFunc(r.invalid, func(a, b FieldError) int {
		return strings.Compare(a.Field+" "+a.Reason, b.Field+" "+b.Reason)
	})
	return &InvalidError{r.invalid}
}

// find is the value of a field; nil if it is absent or null.
func (r *reader) find(field string) (value *fastjson.Value) {
	value = r.file.Get(strings.Split(field, ".")...)
	if value != nil && value.Type() == fastjson.TypeNull {
		return nil
	}
	return value
}

func (r *reader) requiredText(field string) (text string) {
	if r.find(field) == nil {
		r.fail(field, "is missing")
		return ""
	}
	if r.find(field).Type() == fastjson.TypeString && len(r.find(field).GetStringBytes()) == 0 {
		r.fail(field, "must not be empty")
	}
	return r.text(field)
}

func (r *reader) text(field string) (text string) {
	value := r.find(field)
	if value == nil {
		return ""
	}
	if value.Type() != fastjson.TypeString {
		r.fail(field, "must be a text")
		return ""
	}
	return string(value.GetStringBytes())
}

func (r *reader) flag(field string) (set bool) { return r.file.GetBool(field) }

// table reads an object of texts.
func (r *reader) table(field string) (table map[string]string) {
	table = map[string]string{}
	if object := r.file.GetObject(field); object != nil {
		object.Visit(func(key []byte, value *fastjson.Value) {
			table[string(key)] = string(value.GetStringBytes())
		})
	}
	return table
}

func (r *reader) address(field string) (address string) {
	address = r.text(field)
	if address == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		r.fail(field, "must be an address with a port")
	}
	return address
}

// addresses reads an array of addresses and leaves out the bad ones.
func (r *reader) addresses(field string) (addresses []string) {
	for i, value := range r.file.GetArray(field) {
		address := string(value.GetStringBytes())
		if _, _, err := net.SplitHostPort(address); err != nil {
			r.fail(field+"."+strconv.Itoa(i), "must be an address with a port")
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (r *reader) portRange(field string) (low, high int) {
	const maxPort = 65535
	ports := r.file.GetArray(field)
	if len(ports) == 2 {
		low, high = ports[0].GetInt(), ports[1].GetInt()
	}
	if low < 1 || high <= low || high > maxPort {
		r.fail(field, "must be two ports, the second higher")
		return 0, 0
	}
	return low, high
}

// number reads a number of at least low, and fallback if it is left out.
func (r *reader) number(field string, low, fallback float64) (number float64) {
	value := r.find(field)
	if value == nil {
		return fallback
	}
	number, err := value.Float64()
	if err != nil || number < low {
		r.fail(field, "must be a number of at least "+strconv.FormatFloat(low, 'g', -1, 64))
	}
	return number
}

// duration reads a time such as 2.5s, and fallback if it is left out or empty.
func (r *reader) duration(field string, fallback time.Duration) (duration time.Duration) {
	text := r.text(field)
	if text == "" {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		r.fail(field, "must be a time such as 1500ms or 2.5s")
	}
	return duration
}
