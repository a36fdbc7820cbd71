package dedup

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// The digest of JSON is that of the parsed values: the order of keys, escapes in
// texts, the forms of numbers, and whether a field is null or left out don't count.

// Digest stands for a content, or for the number it came under.
type Digest [8]byte

// ContentHash gathers parsed values for one digest.
type ContentHash struct{ text []byte }

// AddText adds a text.
func (c *ContentHash) AddText(text string) {
	c.text = binary.AppendUvarint(append(c.text, 's'), uint64(len(text)))
	c.text = append(c.text, text...)
}

// AddUint adds a whole number.
func (c *ContentHash) AddUint(number uint64) {
	c.text = binary.AppendUvarint(append(c.text, 'u'), number)
}

// AddJSON adds a parsed value.
func (c *ContentHash) AddJSON(value *fastjson.Value) {
	switch value.Type() {
	case fastjson.TypeObject:
		c.object(value.GetObject())
	case fastjson.TypeArray:
		c.text = append(c.text, '[')
		for _, entry := range value.GetArray() {
			c.AddJSON(entry)
		}
		c.text = append(c.text, ']')
	case fastjson.TypeString:
		c.AddText(string(value.GetStringBytes()))
	case fastjson.TypeNumber:
		c.text = append(c.text, 'n')
		c.text = append(c.text, plainNumber(value.String())...)
		c.text = append(c.text, ';')
	default:
		c.text = append(c.text, value.String()...)
	}
}

func (c *ContentHash) object(object *fastjson.Object) {
	type field struct {
		name  string
		value *fastjson.Value
	}
	var fields []field
	object.Visit(func(key []byte, value *fastjson.Value) {
		if value.Type() != fastjson.TypeNull {
			fields = append(fields, field{string(key), value})
		}
	})
	sort.SliceStable(fields, func(i, j int) bool { return fields[i].name < fields[j].name })
	c.text = append(c.text, '{')
	for _, field := range fields {
		c.AddText(field.name)
		c.AddJSON(field.value)
	}
	c.text = append(c.text, '}')
}

// Digest closes the content.
func (c *ContentHash) Digest() (digest Digest) {
	sum := sha256.Sum256(c.text)
	copy(digest[:], sum[:])
	return digest
}

// DigestJSON is the digest of a text of JSON, of its bytes where it is none.
func DigestJSON(text []byte) (digest Digest) {
	content := &ContentHash{}
	if value, err := fastjson.ParseBytes(text); err == nil {
		content.AddJSON(value)
	} else {
		content.text = append(content.text, '!')
		content.AddText(string(text))
	}
	return content.Digest()
}

// plainNumber writes a number as its digits without zeros around them, and the
// power of ten behind them.
func plainNumber(text string) (plain string) {
	mantissa, power, _ := strings.Cut(strings.ToLower(text), "e")
	exponent := int64(0)
	if power != "" {
		var err error
		if exponent, err = strconv.ParseInt(power, 10, 32); err != nil {
			return text
		}
	}
	sign := ""
	if strings.HasPrefix(mantissa, "-") {
		sign, mantissa = "-", mantissa[1:]
	}
	whole, part, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+part, "0")
	exponent -= int64(len(part))
	short := strings.TrimRight(digits, "0")
	if short == "" {
		return "0"
	}
	exponent += int64(len(digits) - len(short))
	return sign + short + "e" + strconv.FormatInt(exponent, 10)
}

// DuplicateKey names a key that an object in a value holds twice.
func DuplicateKey(value *fastjson.Value) (key string, twice bool) {
	switch value.Type() {
	case fastjson.TypeArray:
		for _, entry := range value.GetArray() {
			if key, twice = DuplicateKey(entry); twice {
				return key, true
			}
		}
	case fastjson.TypeObject:
		object := value.GetObject()
		var keys [][]byte
		object.Visit(func(name []byte, inner *fastjson.Value) {
			if !twice {
				key, twice = DuplicateKey(inner)
			}
			keys = append(keys, name)
		})
		if twice {
			return key, true
		}
		sort.Slice(keys, func(i, j int) bool { return bytes.Compare(keys[i], keys[j]) < 0 })
		for i := 1; i < len(keys); i++ {
			if bytes.Equal(keys[i-1], keys[i]) {
				return string(keys[i]), true
			}
		}
	}
	return "", false
}
