package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
)

func parsePending(t *testing.T, text string) (pendingList, error) {
	t.Helper()
	root := t.TempDir()
	writeFile(t, root, "pending.txt", text)
	return readPending(filepath.Join(root, "pending.txt"))
}

func TestReadPending(t *testing.T) {
	list, err := parsePending(t, "# comment\ninternal/a gofumpt revive/exported # why\n\ninternal/b/ words\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != 3 || list[pendingKey{"internal/b", "words"}] != 4 {
		t.Errorf("read %v", list)
	}
	faults := map[string]string{
		"no check":     "internal/a\n",
		"unknown tool": "internal/a golint\n",
		"twice":        "internal/a words\ninternal/a words\n",
		"covered":      "internal/a revive revive/exported\n",
	}
	for name, text := range faults {
		if _, err := parsePending(t, text); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestPendingCoversNamedChecksOnly(t *testing.T) {
	list, err := parsePending(t, "internal/a revive/exported staticcheck\n")
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		finding finding
		pending bool
	}{
		"the check":       {newFinding("revive", "internal/a/a.go", 1, "exported", ""), true},
		"another check":   {newFinding("revive", "internal/a/a.go", 1, "cyclomatic", ""), false},
		"the tool":        {newFinding("staticcheck", "internal/a/a.go", 1, "U1000", ""), true},
		"another tool":    {newFinding("gofumpt", "internal/a/a.go", 0, "format", ""), false},
		"another package": {newFinding("revive", "internal/a/b/a.go", 1, "exported", ""), false},
		"does not build":  {newFinding("staticcheck", "internal/a/a.go", 1, "compile", ""), false},
	}
	for name, test := range tests {
		enforced, kept := list.split([]finding{test.finding})
		if pending := kept == 1 && len(enforced) == 0; pending != test.pending {
			t.Errorf("%s: pending %v, want %v", name, pending, test.pending)
		}
	}
}

func TestAnEntryWithoutFindingsIsStale(t *testing.T) {
	list, err := parsePending(t, "internal/a words\ninternal/b words revive/exported\ninternal/gone words\n")
	if err != nil {
		t.Fatal(err)
	}
	stale := list.stale([]finding{
		newFinding("words", "internal/a/a.go", 1, "identifier", ""),
		newFinding("words", "internal/b/b.go", 1, "identifier", ""),
		newFinding("revive", "internal/b/b.go", 1, "cyclomatic", ""),
	})
	if len(stale) != 2 {
		t.Fatalf("%d stale entries, want 2: %v", len(stale), stale)
	}
	wanted := []string{
		"internal/b has no findings of revive/exported",
		"internal/gone has no findings of words",
	}
	for i, want := range wanted {
		if !strings.Contains(stale[i].message, want) {
			t.Errorf("entry %d: %s, want %s", i, stale[i], want)
		}
	}
}

func TestEntriesOfFindings(t *testing.T) {
	findings := []finding{
		newFinding("words", "internal/b/b.go", 0, "file", ""),
		newFinding("revive", "internal/a/a.go", 1, "exported", ""),
		newFinding("revive", "internal/a/a.go", 2, "exported", ""),
		newFinding("words", "internal/b/b.go", 1, "identifier", ""),
		newFinding("gofumpt", "internal/a/a.go", 0, "format", ""),
	}
	var out bytes.Buffer
	if err := printEntries(&out, findings); err != nil {
		t.Fatal(err)
	}
	if want := "internal/a gofumpt revive/exported\ninternal/b words\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
	list, err := parsePending(t, out.String())
	if err != nil {
		t.Fatal(err)
	}
	if enforced, _ := list.split(findings); len(enforced) > 0 || len(list.stale(findings)) > 0 {
		t.Errorf("the entries do not cover their findings: %v", enforced)
	}
}
