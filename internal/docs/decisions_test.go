package docs

import (
	"fmt"
	"regexp"
	"slices"
	"testing"

	"tinpin/internal/apierror"
	"tinpin/internal/eventlog"
)

// constants gives the names of a file's constants between two texts, in their order.
func constants(t *testing.T, path, from, to string) (names []string) {
	t.Helper()
	block := regexp.MustCompile(`(?s)` + from + `(.*?)` + to).FindStringSubmatch(page(t, path))
	if block == nil {
		t.Fatalf("%s has no constants between %q and %q", path, from, to)
	}
	for _, match := range regexp.MustCompile(`(?m)^\t([A-Z]\w+)`).FindAllStringSubmatch(block[1], -1) {
		names = append(names, match[1])
	}
	return names
}

// checkUsers fails unless a cell names just the functions and variables in which a
// constant stands.
func checkUsers(t *testing.T, index sourceIndex, constant, cell string) {
	t.Helper()
	want, got := slices.Clone(index.users[constant]), words(cell)
	slices.Sort(want)
	slices.Sort(got)
	if want = slices.Compact(want); !slices.Equal(want, got) {
		t.Errorf("%s stands in %v, the page says %v", constant, want, got)
	}
}

// The page of events leads from each number to the functions that log it, and to
// functions that decide on it.
func TestEventsLeadToTheCode(t *testing.T) {
	index := declared(t)
	table := section(t, page(t, "docs/events.md"), "From a number to the code")
	numbers, names, logged, decided := column(table, 0), column(table, 1), column(table, 2), column(table, 3)
	events := constants(t, "internal/eventlog/eventlog.go", "// The numbered events.", "// Entry is")
	if len(events) != len(eventlog.Catalogue) || len(numbers) != len(events) {
		t.Fatalf("%d rows and %d constants for %d events", len(numbers), len(events), len(eventlog.Catalogue))
	}
	for i, event := range events {
		constant := "eventlog." + event
		if numbers[i] != fmt.Sprint(int(eventlog.Started)+i) || names[i] != "`"+constant+"`" {
			t.Errorf("row %d is of %s %s, not of %s", i, numbers[i], names[i], constant)
		}
		checkUsers(t, index, constant, logged[i])
		if absent := missing(words(decided[i]), index.functions); len(absent) > 0 {
			t.Errorf("%s: no such functions: %v", constant, absent)
		}
	}
}

// The page of errors leads from each kind to the functions that decide on it.
func TestErrorsLeadToTheCode(t *testing.T) {
	index := declared(t)
	table := section(t, page(t, "docs/errors.md"), "From a response to the code")
	names, decided := column(table, 0), column(table, 1)
	for _, kind := range constants(t, "internal/apierror/apierror.go", "None Kind = iota", "// Response is what") {
		row := slices.Index(names, kind)
		if row < 0 {
			t.Errorf("no row for %s", kind)
			continue
		}
		checkUsers(t, index, "apierror."+kind, decided[row])
	}
	if apierror.None != 0 || len(names) < int(apierror.VersionConflict) {
		t.Errorf("only %d rows", len(names))
	}
}
