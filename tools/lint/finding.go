package main

import (
	"cmp"
	"fmt"
	"path"
	"slices"
)

// finding is one complaint of one tool.
type finding struct {
	tool    string
	pkg     string // directory of the file
	file    string
	line    int // 0 when the finding is about the file as a whole
	check   string
	message string
}

func newFinding(tool, file string, line int, check, message string) finding {
	return finding{tool: tool, pkg: path.Dir(file), file: file, line: line, check: check, message: message}
}

// String formats the finding for editors: file, line, tool and check, message.
func (f finding) String() string {
	position := f.file
	if f.line > 0 {
		position = fmt.Sprintf("%s:%d", f.file, f.line)
	}
	return fmt.Sprintf("%s: %s/%s: %s", position, f.tool, f.check, f.message)
}

func sortFindings(findings []finding) {
	slices.SortStableFunc(findings, func(a, b finding) int {
		return cmp.Or(
			cmp.Compare(a.pkg, b.pkg),
			cmp.Compare(a.file, b.file),
			cmp.Compare(a.line, b.line),
			cmp.Compare(a.tool, b.tool),
			cmp.Compare(a.check, b.check),
			cmp.Compare(a.message, b.message),
		)
	})
}
