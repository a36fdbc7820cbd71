package dedup

import "testing"

// Texts with the same values have one digest, others have not.
func TestEqualValuesHaveOneDigest(t *testing.T) {
	same := [][]string{
		{`7`, `7.0`, `70e-1`, `0.7E1`, `7e+0`},
		{`0`, `-0`, `0.0`, `0e9`},
		{`-1200`, `-1.2e3`},
		{`1e400`, `10e399`},
		{`"A"`, `"\u0041"`},
		{`"7"`},
		{`"a/b"`, `"a\/b"`},
		{`true`},
		{`[7,8]`, ` [ 7.0 , 8 ] `},
		{`[8,7]`},
		{`[[7],8]`},
		{`[null]`},
		{`{"a":1,"b":{"c":[2],"d":null}}`, `{"b":{"c":[2.0]},"x":null,"a":1}`},
		{`{"a":1,"b":{"c":[2],"d":0}}`},
		{`{}`, `{"a":null}`},
		{`[]`},
		{`""`},
		{``},
		{`x`},
		{`"x"`},
		{`"true"`},
	}
	seen := map[Digest]int{}
	for i, texts := range same {
		for _, text := range texts {
			digest := DigestJSON([]byte(text))
			if other, known := seen[digest]; known && other != i || !known && text != texts[0] {
				t.Errorf("%s: has the digest of %v, not of %s", text, same[other], texts[0])
			}
			seen[digest] = i
		}
	}
}
