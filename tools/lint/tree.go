package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// tree is the checked part of the repository. All paths in it are relative to
// root and separated by slashes.
type tree struct {
	root string
	// goFiles holds the hand-written Go files by package directory.
	goFiles map[string][]string
	// otherFiles holds the remaining files by directory; only their names are
	// checked.
	otherFiles map[string][]string
}

// checkedDirs are the top directories that hold our files. The root's own files
// have customary names, and the journal is a record.
var checkedDirs = []string{"api", "cmd", "deploy", "docs", "internal", "scripts", "tools"}

// uncheckedDirs are not looked into: incident reports are dated records, and
// test data may be named as the test needs it.
var uncheckedDirs = []string{"incidents", "testdata"}

// generated is the header that marks generated code.
var generated = regexp.MustCompile(`^// Code generated .* DO NOT EDIT\.$`)

func scan(root string) (*tree, error) {
	t := &tree{root: root, goFiles: map[string][]string{}, otherFiles: map[string][]string{}}
	for _, top := range checkedDirs {
		err := filepath.WalkDir(filepath.Join(root, top), t.visit)
		if err != nil {
			return nil, fmt.Errorf("scan %s: %w", top, err)
		}
	}
	return t, nil
}

func (t *tree) visit(name string, entry fs.DirEntry, err error) error {
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if entry.IsDir() {
		if slices.Contains(uncheckedDirs, entry.Name()) {
			return fs.SkipDir
		}
		return nil
	}
	rel, err := filepath.Rel(t.root, name)
	if err != nil {
		return err
	}
	rel = filepath.ToSlash(rel)
	dir := path.Dir(rel)
	if !strings.HasSuffix(rel, ".go") {
		t.otherFiles[dir] = append(t.otherFiles[dir], rel)
		return nil
	}
	skip, err := isGenerated(name)
	if err != nil {
		return err
	}
	if !skip {
		t.goFiles[dir] = append(t.goFiles[dir], rel)
	}
	return nil
}

// isGenerated reports whether the file carries the header of generated code,
// which stands before the package clause.
func isGenerated(name string) (bool, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return false, err
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		if generated.Match(lines.Bytes()) {
			return true, nil
		}
		if bytes.HasPrefix(lines.Bytes(), []byte("package ")) {
			return false, nil
		}
	}
	return false, lines.Err()
}

// packages lists the directories that hold hand-written Go files.
func (t *tree) packages() []string {
	dirs := make([]string, 0, len(t.goFiles))
	for dir := range t.goFiles {
		dirs = append(dirs, dir)
	}
	slices.Sort(dirs)
	return dirs
}

// directories lists every directory that holds checked files.
func (t *tree) directories() []string {
	dirs := t.packages()
	for dir := range t.otherFiles {
		if _, ok := t.goFiles[dir]; !ok {
			dirs = append(dirs, dir)
		}
	}
	slices.Sort(dirs)
	return dirs
}

// selectPackages turns arguments such as internal/foo, ./internal/foo/ and
// internal/... into directories. No argument means every directory.
func (t *tree) selectPackages(args []string) ([]string, error) {
	dirs := t.directories()
	if len(args) == 0 {
		return dirs, nil
	}
	var selected []string
	for _, arg := range args {
		clean := path.Clean(filepath.ToSlash(arg))
		prefix, recursive := strings.CutSuffix(clean, "/...")
		matched := 0
		for _, dir := range dirs {
			if dir == clean || recursive && (dir == prefix || strings.HasPrefix(dir, prefix+"/")) {
				selected = append(selected, dir)
				matched++
			}
		}
		if matched == 0 {
			return nil, fmt.Errorf("no checked files in %s", arg)
		}
	}
	slices.Sort(selected)
	return slices.Compact(selected), nil
}
