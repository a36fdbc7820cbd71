package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path"
	"slices"
	"strings"
)

// pendingKey names the findings of one tool in one package, or of one of its
// checks: revive, or revive/cyclomatic.
type pendingKey struct {
	pkg string
	id  string
}

// pendingList holds the packages and checks whose findings are not enforced yet,
// by the line of the file that lists them.
type pendingList map[pendingKey]int

// readPending reads lines of the form "package check [check...]". Text after #
// is a comment.
func readPending(name string) (pendingList, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	list := pendingList{}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if err := list.add(strings.Fields(text), number); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number, err)
		}
	}
	return list, lines.Err()
}

func (l pendingList) add(fields []string, line int) error {
	if len(fields) == 0 {
		return nil
	}
	if len(fields) == 1 {
		return fmt.Errorf("no check named beside %s", fields[0])
	}
	for _, id := range fields[1:] {
		tool, check, _ := strings.Cut(id, "/")
		if !slices.Contains(toolNames(), tool) {
			return fmt.Errorf("unknown tool %q", tool)
		}
		key := pendingKey{pkg: path.Clean(fields[0]), id: id}
		if first, ok := l[key]; ok {
			return fmt.Errorf("%s %s stands in line %d already", key.pkg, id, first)
		}
		if first, ok := l[pendingKey{pkg: key.pkg, id: tool}]; ok && check != "" {
			return fmt.Errorf("%s %s is covered by %s in line %d", key.pkg, id, tool, first)
		}
		l[key] = line
	}
	return nil
}

// covering returns the entry that makes a finding wait. Code that does not
// compile never waits.
func (l pendingList) covering(f finding) (pendingKey, bool) {
	if f.check == "compile" {
		return pendingKey{}, false
	}
	for _, id := range []string{f.tool, f.tool + "/" + f.check} {
		key := pendingKey{pkg: f.pkg, id: id}
		if _, ok := l[key]; ok {
			return key, true
		}
	}
	return pendingKey{}, false
}

// split returns the findings that count now and the number of those that wait.
func (l pendingList) split(findings []finding) (enforced []finding, kept int) {
	for _, f := range findings {
		if _, ok := l.covering(f); ok {
			kept++
			continue
		}
		enforced = append(enforced, f)
	}
	return enforced, kept
}

// stale returns a finding for each entry that has nothing left to wait for.
func (l pendingList) stale(findings []finding) []finding {
	needed := map[pendingKey]bool{}
	for _, f := range findings {
		if key, ok := l.covering(f); ok {
			needed[key] = true
		}
	}
	var stale []finding
	for key, line := range l {
		if !needed[key] {
			stale = append(stale, newFinding("lint", pendingFile, line, "pending",
				fmt.Sprintf("%s has no findings of %s any more: remove the entry", key.pkg, key.id)))
		}
	}
	sortFindings(stale)
	return stale
}

// printEntries prints the entries that the findings would need: what a package
// that was renamed or split takes along. Whether it may is decided in review.
func printEntries(out io.Writer, findings []finding) error {
	needed := map[string][]string{}
	for _, f := range findings {
		id := f.tool
		if f.tool == "revive" || f.tool == "staticcheck" {
			id += "/" + f.check
		}
		if !slices.Contains(needed[f.pkg], id) {
			needed[f.pkg] = append(needed[f.pkg], id)
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(needed)) {
		slices.Sort(needed[pkg])
		fmt.Fprintln(out, pkg, strings.Join(needed[pkg], " "))
	}
	return nil
}
