package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// blockingCalls are the methods and functions that may wait for another machine or process, by their last
// name. A caller's wait at one of them, made with a lock held, is a wait for all who want the lock.
var blockingCalls = []string{
	"Accept", "Call", "CallContext", "CallLarge", "Dial", "DialContext", "DialTimeout", "Do", "RoundTrip", "Sleep",
}

// runLocks looks for calls that may block while a lock is held.
func runLocks(t *tree, dirs []string) ([]finding, error) {
	var findings []finding
	for _, dir := range dirs {
		for _, file := range t.goFiles[dir] {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(filepath.Join(t.root, file))
			if err != nil {
				return nil, err
			}
			found, err := checkLocks(file, source)
			if err != nil {
				return nil, err
			}
			findings = append(findings, found...)
		}
	}
	return findings, nil
}

// checkLocks finds the blocking calls of one file that are made with a lock held.
func checkLocks(file string, source []byte) ([]finding, error) {
	positions := token.NewFileSet()
	parsed, err := parser.ParseFile(positions, file, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var findings []finding
	ast.Inspect(parsed, func(node ast.Node) bool {
		var body *ast.BlockStmt
		switch function := node.(type) {
		case *ast.FuncDecl:
			body = function.Body
		case *ast.FuncLit:
			body = function.Body
		}
		if body != nil {
			for _, call := range blockingUnderLock(body) {
				line := positions.Position(call.Pos()).Line
				message := fmt.Sprintf("%s may block while a lock is held; call it without the lock", call.Name)
				findings = append(findings, newFinding("locks", file, line, "blocking", message))
			}
		}
		return true
	})
	return findings, nil
}

// blockingUnderLock follows a function's calls in the order of the text. A deferred unlock holds its lock to the
// end. Functions within run on their own: each is checked by itself.
func blockingUnderLock(body *ast.BlockStmt) (blocking []*ast.Ident) {
	held := map[string]bool{}
	ast.Inspect(body, func(node ast.Node) bool {
		switch statement := node.(type) {
		case *ast.FuncLit, *ast.DeferStmt, *ast.GoStmt:
			return false
		case *ast.CallExpr:
			owner, name := calledName(statement.Fun)
			switch {
			case name == nil:
			case name.Name == "Lock", name.Name == "RLock":
				held[owner] = true
			case name.Name == "Unlock", name.Name == "RUnlock":
				delete(held, owner)
			case len(held) > 0 && slices.Contains(blockingCalls, name.Name):
				blocking = append(blocking, name)
			}
		}
		return true
	})
	return blocking
}

// calledName is the name of a called function, and what stands before it, such as c.mu; nil for any other call.
func calledName(called ast.Expr) (owner string, name *ast.Ident) {
	switch function := called.(type) {
	case *ast.Ident:
		return "", function
	case *ast.SelectorExpr:
		return exprText(function.X), function.Sel
	}
	return "", nil
}

// exprText is the text of a chain of names, such as c.mu.
func exprText(expr ast.Expr) string {
	switch part := expr.(type) {
	case *ast.Ident:
		return part.Name
	case *ast.SelectorExpr:
		return exprText(part.X) + "." + part.Sel.Name
	}
	return "?"
}
