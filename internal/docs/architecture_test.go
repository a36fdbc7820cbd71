package docs

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Every package is on the architecture page, and no other is.
func TestArchitecturePackages(t *testing.T) {
	index := declared(t)
	listed := map[string]bool{}
	for _, cell := range column(section(t, page(t, "docs/architecture.md"), "Packages"), 0) {
		for _, name := range words(cell) {
			listed[name] = true
			if !index.packages[name] {
				t.Errorf("package %s is listed and does not exist", name)
			}
		}
	}
	for name := range index.packages {
		if !listed[name] {
			t.Errorf("package %s is not listed", name)
		}
	}
}

// Every name of code on the architecture page exists; in the tables of steps each
// row names at least one function or method.
func TestArchitectureFunctions(t *testing.T) {
	index, text := declared(t), page(t, "docs/architecture.md")
	qualified := regexp.MustCompile(`^[a-z]+(/[a-z]+)?(\.[A-Za-z0-9]+){1,2}$`)
	for _, name := range words(text) {
		folder, _, _ := strings.Cut(name, ".")
		if qualified.MatchString(name) && index.packages[folder] && !index.names[name] {
			t.Errorf("%s does not exist", name)
		}
	}
	steps := 0
	headings := []string{"A request, step by step", "A configuration change, step by step", "Health, step by step"}
	for _, heading := range headings {
		for _, cell := range column(section(t, text, heading), 2) {
			steps++
			names := words(cell)
			if len(names) == 0 {
				t.Errorf("%s: a step names no function: %q", heading, cell)
			}
			if absent := missing(names, index.functions); len(absent) > 0 {
				t.Errorf("%s: no such functions: %s", heading, strings.Join(absent, ", "))
			}
		}
	}
	if steps < 30 {
		t.Errorf("only %d steps found: the page has lost its tables", steps)
	}
}

// The index of the code finds each sort of declaration, so that a name that is
// missing is missed because it is not there.
func TestDeclaredFindsEachSortOfName(t *testing.T) {
	index := declared(t)
	known := []string{"config.New", "rpc/wire.TypeOf", "rpc.Lease.Amount", "eventlog.Catalogue", "proxy.Daemon.Handle"}
	if absent := missing(known, index.names); len(absent) > 0 {
		t.Errorf("not found: %v", absent)
	}
	if index.functions["rpc.Lease.Amount"] || !index.functions["proxy.Daemon.Handle"] {
		t.Error("fields are taken for functions, or methods are not")
	}
	absent := missing([]string{"config.New", "config.NoSuchName"}, index.names)
	if !slices.Equal(absent, []string{"config.NoSuchName"}) {
		t.Errorf("missing gives %v", absent)
	}
}
