package docs

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Both tables of the glossary are in alphabetical order without repeats, and each of
// their rows names what the code has.
func TestGlossary(t *testing.T) {
	index, text := declared(t), page(t, "docs/glossary.md")
	for heading, minRows := range map[string]int{"From plain and earlier words": 100, "From terms": 50} {
		table := section(t, text, heading)
		entries := column(table, 0)
		if len(entries) < minRows {
			t.Errorf("%s: only %d rows", heading, len(entries))
		}
		for i := range entries {
			entries[i] = strings.ToLower(entries[i])
		}
		if !slices.IsSorted(entries) {
			t.Errorf("%s: not in alphabetical order", heading)
		}
		if len(slices.Compact(slices.Clone(entries))) != len(entries) {
			t.Errorf("%s: a word stands twice", heading)
		}
		for i, cell := range column(table, 2) {
			checkGlossaryCell(t, index, heading+", "+entries[i], cell)
		}
	}
}

// checkGlossaryCell fails unless a cell names something, and all that it names exists.
func checkGlossaryCell(t *testing.T, index sourceIndex, where, cell string) {
	t.Helper()
	names := words(cell)
	if len(names) == 0 {
		t.Errorf("%s: names no code", where)
	}
	for _, name := range names {
		if !index.names[name] && !index.packages[name] {
			t.Errorf("%s: %s does not exist", where, name)
		}
	}
}

// Every word that the linter refuses has a row in the glossary, at least in one of its forms.
func TestGlossaryHasTheWithdrawnWords(t *testing.T) {
	known := map[string]bool{}
	for _, entry := range column(section(t, page(t, "docs/glossary.md"), "From plain and earlier words"), 0) {
		for _, word := range regexp.MustCompile(`[A-Za-z]+`).FindAllString(entry, -1) {
			known[strings.ToLower(word)] = true
		}
	}
	rule := regexp.MustCompile(`(?m)^(?:refuse|package) (.*?)->`)
	rules := rule.FindAllStringSubmatch(page(t, "tools/lint-words.txt"), -1)
	if len(rules) < 80 {
		t.Fatalf("only %d rules found", len(rules))
	}
	for _, found := range rules {
		if !slices.ContainsFunc(strings.Fields(found[1]), func(word string) bool { return known[word] }) {
			t.Errorf("no row for %s", found[1])
		}
	}
}
