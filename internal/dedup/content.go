package dedup

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// Digest is the digest of a content or of the key it was accepted under. That of JSON
// is computed from the parsed values: the order of keys, escapes in texts, the forms of
// numbers, and whether a field is null or absent don't count. Digests are stored, so how
// they are computed must not change.
type Digest [8]byte

// ContentHash collects the parsed values of one digest.
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
		for _, element := range value.GetArray() {
			c.AddJSON(element)
		}
		c.text = append(c.text, ']')
	case fastjson.TypeString:
		c.AddText(string(value.GetStringBytes()))
	case fastjson.TypeNumber:
		c.text = append(c.text, 'n')
		c.text = append(c.text, canonicalNumber(value.String())...)
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
	slices.SortStableFunc(fields, func(a, b field) int { return strings.Compare(a.name, b.name) })
	c.text = append(c.text, '{')
	for _, field := range fields {
		c.AddText(field.name)
		c.AddJSON(field.value)
	}
	c.text = append(c.text, '}')
}

// Digest gives the digest of what was added.
func (c *ContentHash) Digest() (digest Digest) {
	sum := sha256.Sum256(c.text)
	copy(digest[:], sum[:])
	return digest
}

// DigestJSON is the digest of a text of JSON, or of its bytes where it is not JSON.
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

// canonicalNumber writes a number as its digits without leading and trailing zeros,
// and the power of ten that follows them. An exponent beyond 32 bits leaves it as it is.
func canonicalNumber(text string) (canonical string) {
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
	integer, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(integer+fraction, "0")
	exponent -= int64(len(fraction))
	significant := strings.TrimRight(digits, "0")
	if significant == "" {
		return "0"
	}
	exponent += int64(len(digits) - len(significant))
	return sign + significant + "e" + strconv.FormatInt(exponent, 10)
}

// DuplicateKey gives a key that an object in a value holds twice, if there is one.
func DuplicateKey(value *fastjson.Value) (key string, duplicate bool) {
	switch value.Type() {
	case fastjson.TypeArray:
		for _, element := range value.GetArray() {
			if key, duplicate = DuplicateKey(element); duplicate {
				return key, true
			}
		}
	case fastjson.TypeObject:
		object := value.GetObject()
		var keys [][]byte
		object.Visit(func(name []byte, inner *fastjson.Value) {
			if !duplicate {
				key, duplicate = DuplicateKey(inner)
			}
			keys = append(keys, name)
		})
		if duplicate {
			return key, true
		}
		slices.SortFunc(keys, bytes.Compare)
		for i := 1; i < len(keys); i++ {
			if bytes.Equal(keys[i-1], keys[i]) {
				return string(keys[i]), true
			}
		}
	}
	return "", false
}
