package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestSplitWords(t *testing.T) {
	tests := map[string][]string{
		"wishErr":               {"wish", "err"},
		"NewLenderOf":           {"new", "lender", "of"},
		"HTTPServer":            {"http", "server"},
		"serverID":              {"server", "id"},
		"Nameless421Before":     {"nameless", "before"},
		"round_test.go":         {"round", "test", "go"},
		"system-of-record.toml": {"system", "of", "record", "toml"},
		"heartbeat":             {"heartbeat"},
		"_":                     nil,
	}
	for name, want := range tests {
		if got := splitWords(name); !slices.Equal(got, want) {
			t.Errorf("splitWords(%q) = %q, want %q", name, got, want)
		}
	}
}

// writeFile writes a file below root and makes its folders.
func writeFile(t *testing.T, root, name, text string) {
	t.Helper()
	full := filepath.Join(root, name)
	if err := os.MkdirAll(filepath.Dir(full), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(full, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func parseWords(t *testing.T, text string) (*wordList, error) {
	t.Helper()
	root := t.TempDir()
	writeFile(t, root, "words.txt", text)
	return readWords(filepath.Join(root, "words.txt"))
}

const testWords = `
# a comment
refuse wish wishes -> proposal
refuse round -> attempt unless round robin | round trip
package order -> policy
allow order : a sort order
`

func TestReadWords(t *testing.T) {
	list, err := parseWords(t, testWords)
	if err != nil {
		t.Fatal(err)
	}
	if len(list.refused) != 3 || len(list.packages) != 1 {
		t.Errorf("%d words and %d packages, want 3 and 1", len(list.refused), len(list.packages))
	}
	faults := map[string]string{
		"no replacement":   "refuse wish\n",
		"no reason":        "allow cut :\n",
		"unknown kind":     "forbid wish -> proposal\n",
		"twice":            "refuse wish -> proposal\nrefuse wish -> command\n",
		"allowed, refused": "refuse wish -> proposal\nallow wish : a reason\n",
	}
	for name, text := range faults {
		if _, err := parseWords(t, text); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestFindWords(t *testing.T) {
	list, err := parseWords(t, testWords)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]int{
		"Wish":          1,
		"staleWish":     1,
		"wishWish":      2,
		"wishful":       0, // whole words only
		"roundRobin":    0,
		"nextRoundTrip": 0,
		"roundTripper":  1, // another word than trip
		"tripRound":     1, // not the phrase
		"ground":        0,
		"order":         0, // refused for packages only
	}
	for name, want := range tests {
		if got := list.find(name); len(got) != want {
			t.Errorf("%s: %q, want %d complaints", name, got, want)
		}
	}
	if got := list.checkDir("internal/order"); len(got) != 1 || got[0].pkg != "internal/order" {
		t.Errorf("folder internal/order: %v, want one finding in it", got)
	}
	if got := list.checkFileName("docs/wishes.md"); len(got) != 1 {
		t.Errorf("file docs/wishes.md: %v, want one finding", got)
	}
}

const testSource = `package wish

import round "fmt"

type (
	Wish struct{ wishes, other int }
	ok   interface{ Round(wish int) }
)

var wishA, b = 1, 2

const roundC = 3

func (wish *Wish) Round(a, wishP int) (wishR error) {
	wishL, c := 1, 2
	for wishK, v := range []int{wishL, c, a} {
		_ = v + wishK
	}
	for wishJ := 0; wishJ < 3; wishJ++ {
	}
	switch wishS := any(c).(type) {
	case int:
		_ = wishS
	}
wishLabel:
	for {
		break wishLabel
	}
	wishR = nil
	round.Println()
	return
}

func generic[WishT any](v WishT) {}
`

func TestEveryDeclarationIsChecked(t *testing.T) {
	list, err := parseWords(t, testWords)
	if err != nil {
		t.Fatal(err)
	}
	findings, err := list.checkSource("internal/proposal/a.go", []byte(testSource))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range findings {
		got = append(got, strings.Split(f.message, `"`)[1])
	}
	slices.Sort(got)
	want := []string{
		"Round", "Round", "Wish", "WishT", "round", "roundC", "wish", "wish", "wish", "wishA", "wishJ", "wishK",
		"wishL", "wishLabel", "wishP", "wishR", "wishS", "wishes",
	}
	if !slices.Equal(got, want) {
		t.Errorf("found %q\nwant  %q", got, want)
	}
}

func TestFrozenNames(t *testing.T) {
	list, err := parseWords(t, testWords)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		source string
		checks []string
	}{
		"a type and all in it": {"//words:frozen stored by gob\ntype Wish struct{ Wishes int }", nil},
		"a field alone": {
			"type A struct {\n\t//words:frozen stored\n\tWish int\n\tWishes int\n}",
			[]string{"identifier"},
		},
		"a comment at the line": {"type A struct {\n\tWish int //words:frozen stored\n}", nil},
		"no reason":             {"//words:frozen\ntype Wish int", []string{"frozen"}},
		"not needed":            {"//words:frozen stored\ntype A int", []string{"frozen"}},
		"not of the next":       {"//words:frozen stored\ntype Wish int\n\ntype WishB int", []string{"identifier"}},
	}
	for name, test := range tests {
		findings, err := list.checkSource("internal/a/a.go", []byte("package a\n\n"+test.source+"\n"))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, f := range findings {
			got = append(got, f.check)
		}
		if !slices.Equal(got, test.checks) {
			t.Errorf("%s: %v, want %v", name, findings, test.checks)
		}
	}
}
