package main

import (
	"bufio"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
)

// pendingKey names the findings of one tool in one package.
type pendingKey struct {
	pkg  string
	tool string
}

// pendingList holds the packages and tools whose findings are not enforced yet,
// by the line of the file that lists them.
type pendingList map[pendingKey]int

// readPending reads lines of the form "package tool [tool...]". Text after # is
// a comment.
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
		fields := strings.Fields(text)
		if len(fields) == 0 {
			continue
		}
		if len(fields) == 1 {
			return nil, fmt.Errorf("%s:%d: no tool named beside %s", name, number, fields[0])
		}
		for _, tool := range fields[1:] {
			if !slices.Contains(toolNames(), tool) {
				return nil, fmt.Errorf("%s:%d: unknown tool %s", name, number, tool)
			}
			key := pendingKey{pkg: path.Clean(fields[0]), tool: tool}
			if first, ok := list[key]; ok {
				return nil, fmt.Errorf("%s:%d: %s %s stands in line %d already", name, number, key.pkg, tool, first)
			}
			list[key] = number
		}
	}
	return list, lines.Err()
}

// split returns the findings that count now and the number of those that are
// pending. Code that does not compile is never pending.
func (l pendingList) split(findings []finding) (enforced []finding, kept int) {
	for _, f := range findings {
		if _, ok := l[pendingKey{pkg: f.pkg, tool: f.tool}]; ok && f.check != "compile" {
			kept++
			continue
		}
		enforced = append(enforced, f)
	}
	return enforced, kept
}

// stale returns a finding for each entry that has nothing left to wait for.
func (l pendingList) stale(findings []finding) []finding {
	found := map[pendingKey]bool{}
	for _, f := range findings {
		found[pendingKey{pkg: f.pkg, tool: f.tool}] = true
	}
	var stale []finding
	for key, line := range l {
		if !found[key] {
			stale = append(stale, newFinding("lint", pendingFile, line, "pending",
				fmt.Sprintf("%s has no %s findings any more: remove the entry", key.pkg, key.tool)))
		}
	}
	sortFindings(stale)
	return stale
}
