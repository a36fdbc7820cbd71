// Command lint runs the formatter, the linters and the check for withdrawn
// words, and reports their findings package by package.
//
// Without package arguments every finding fails the run, unless its package and
// tool stand in the pending list. A pending entry that has no findings left
// fails the run too, so that the list can only shrink. With package arguments
// all findings of these packages are listed, pending or not.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	pendingFile = "tools/lint-pending.txt"
	wordsFile   = "tools/lint-words.txt"
)

// errFindings says that the checks ran and found something.
var errFindings = errors.New("lint: findings")

func main() {
	root := flag.String("root", ".", "top directory of the repository")
	table := flag.Bool("table", false, "print counts by package and tool instead of findings")
	all := flag.Bool("all", false, "list pending findings too")
	entries := flag.Bool("entries", false, "print the pending entries that the findings would need")
	flag.Parse()
	err := run(*root, flag.Args(), options{table: *table, all: *all, entries: *entries}, os.Stdout)
	switch {
	case errors.Is(err, errFindings):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(2)
	}
}

// options select what is reported instead of the findings that are enforced.
type options struct {
	table   bool
	all     bool
	entries bool
}

func run(root string, args []string, opts options, out io.Writer) error {
	root, err := filepath.Abs(root)
	if err != nil {
		return err
	}
	tree, err := scan(root)
	if err != nil {
		return err
	}
	selected, err := tree.selectPackages(args)
	if err != nil {
		return err
	}
	var findings []finding
	for _, tool := range tools {
		found, err := tool.run(tree, selected)
		if err != nil {
			return fmt.Errorf("run %s: %w", tool.name, err)
		}
		findings = append(findings, found...)
	}
	sortFindings(findings)
	switch {
	case opts.table:
		return printTable(out, findings)
	case opts.entries:
		return printEntries(out, findings)
	case opts.all || len(args) > 0:
		return printFindings(out, findings)
	}
	return enforce(root, findings, out)
}

// enforce reports the findings that are not pending, and stale pending entries.
func enforce(root string, findings []finding, out io.Writer) error {
	pending, err := readPending(filepath.Join(root, pendingFile))
	if err != nil {
		return err
	}
	enforced, kept := pending.split(findings)
	enforced = append(enforced, pending.stale(findings)...)
	if kept > 0 {
		fmt.Fprintf(out, "lint: %d findings pending in %s (list them: scripts/lint -all)\n", kept, pendingFile)
	}
	return printFindings(out, enforced)
}

func printFindings(out io.Writer, findings []finding) error {
	if len(findings) == 0 {
		return nil
	}
	for _, f := range findings {
		fmt.Fprintln(out, f)
	}
	fmt.Fprintf(out, "lint: %d findings\n", len(findings))
	return errFindings
}

func printTable(out io.Writer, findings []finding) error {
	counts := map[string]map[string]int{}
	var packages []string
	for _, f := range findings {
		if counts[f.pkg] == nil {
			counts[f.pkg] = map[string]int{}
			packages = append(packages, f.pkg)
		}
		counts[f.pkg][f.tool]++
	}
	fmt.Fprintf(out, "| package | %s |\n", strings.Join(toolNames(), " | "))
	fmt.Fprintf(out, "|---|%s\n", strings.Repeat("---|", len(tools)))
	total := map[string]int{}
	for _, pkg := range packages {
		fmt.Fprintf(out, "| %s |", pkg)
		for _, name := range toolNames() {
			fmt.Fprintf(out, " %d |", counts[pkg][name])
			total[name] += counts[pkg][name]
		}
		fmt.Fprintln(out)
	}
	fmt.Fprint(out, "| all |")
	for _, name := range toolNames() {
		fmt.Fprintf(out, " %d |", total[name])
	}
	fmt.Fprintln(out)
	return nil
}
