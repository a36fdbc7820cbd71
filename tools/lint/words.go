package main

import (
	"bufio"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"unicode"
)

// frozenDirective exempts a declaration whose names stored data or a peer of an
// earlier version holds. A reason follows it.
const frozenDirective = "//words:frozen"

// runWords looks for withdrawn words in the names of packages, files and
// declared identifiers.
func runWords(t *tree, dirs []string) ([]finding, error) {
	list, err := readWords(filepath.Join(t.root, wordsFile))
	if err != nil {
		return nil, err
	}
	var findings []finding
	for _, dir := range dirs {
		findings = append(findings, list.checkDir(dir)...)
		for _, file := range slices.Concat(t.goFiles[dir], t.otherFiles[dir]) {
			findings = append(findings, list.checkFileName(file)...)
		}
		for _, file := range t.goFiles[dir] {
			source, err := os.ReadFile(filepath.Join(t.root, file))
			if err != nil {
				return nil, err
			}
			found, err := list.checkSource(file, source)
			if err != nil {
				return nil, err
			}
			findings = append(findings, found...)
		}
	}
	return findings, nil
}

// withdrawn says what replaces a word, and in which phrases it stays usual.
type withdrawn struct {
	use    string
	unless [][]string
}

// wordList holds the withdrawn words in lower case.
type wordList struct {
	refused  map[string]withdrawn // in every name
	packages map[string]withdrawn // in names of packages and folders only
}

func readWords(name string) (*wordList, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	list := &wordList{refused: map[string]withdrawn{}, packages: map[string]withdrawn{}}
	seen := map[string]int{}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		words, err := list.add(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number, err)
		}
		for _, word := range words {
			// A word may be refused for packages and allowed otherwise.
			key := fmt.Sprint(strings.HasPrefix(line, "package "), word)
			if first, ok := seen[key]; ok {
				return nil, fmt.Errorf("%s:%d: %q stands in line %d already", name, number, word, first)
			}
			seen[key] = number
		}
	}
	return list, lines.Err()
}

// add takes up one line of the list and returns the words it is about.
func (l *wordList) add(line string) ([]string, error) {
	kind, rest, _ := strings.Cut(line, " ")
	if kind == "allow" {
		words, reason, _ := strings.Cut(rest, ":")
		if strings.TrimSpace(reason) == "" {
			return nil, errors.New("a word is allowed without a reason")
		}
		return strings.Fields(words), nil
	}
	into := map[string]map[string]withdrawn{"refuse": l.refused, "package": l.packages}[kind]
	if into == nil {
		return nil, fmt.Errorf("unknown kind of line %q", kind)
	}
	words, use, _ := strings.Cut(rest, "->")
	use, unless, _ := strings.Cut(use, " unless ")
	entry := withdrawn{use: strings.TrimSpace(use)}
	if entry.use == "" {
		return nil, errors.New("a word is refused without saying what to use")
	}
	for phrase := range strings.SplitSeq(unless, "|") {
		if fields := strings.Fields(phrase); len(fields) > 0 {
			entry.unless = append(entry.unless, fields)
		}
	}
	for _, word := range strings.Fields(words) {
		into[word] = entry
	}
	return strings.Fields(words), nil
}

// find returns the complaints about one name.
func (l *wordList) find(name string) []string {
	return complaints(name, l.refused)
}

func complaints(name string, refused map[string]withdrawn) []string {
	words := splitWords(name)
	var found []string
	for i, word := range words {
		entry, ok := refused[word]
		if !ok || entry.allows(words, i) {
			continue
		}
		found = append(found, fmt.Sprintf("%q has the withdrawn word %q; use %s", name, word, entry.use))
	}
	return found
}

// allows reports whether the word at position i is part of a usual phrase.
func (w withdrawn) allows(words []string, i int) bool {
	for _, phrase := range w.unless {
		for j := range phrase {
			start := i - j
			if start >= 0 && start+len(phrase) <= len(words) && slices.Equal(words[start:start+len(phrase)], phrase) {
				return true
			}
		}
	}
	return false
}

// splitWords returns the words of a name in lower case: of camelCase, of
// acronyms (HTTPServer is http, server), and between other signs.
func splitWords(name string) []string {
	var words []string
	runes := []rune(name)
	start := 0
	flush := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
		start = end
	}
	for i, r := range runes {
		if !unicode.IsLetter(r) {
			flush(i)
			start = i + 1
			continue
		}
		afterLower := i > start && unicode.IsUpper(r) && !unicode.IsUpper(runes[i-1])
		beforeLower := i > start && unicode.IsUpper(r) && i+1 < len(runes) && unicode.IsLower(runes[i+1])
		if afterLower || beforeLower {
			flush(i)
		}
	}
	flush(len(runes))
	return words
}

// checkDir checks the folder's own name, which is the package's.
func (l *wordList) checkDir(dir string) []finding {
	var findings []finding
	name := path.Base(dir)
	for _, message := range slices.Concat(l.find(name), complaints(name, l.packages)) {
		findings = append(findings, finding{tool: "words", pkg: dir, file: dir, check: "package", message: message})
	}
	return findings
}

func (l *wordList) checkFileName(file string) []finding {
	var findings []finding
	for _, message := range l.find(path.Base(file)) {
		findings = append(findings, newFinding("words", file, 0, "file", message))
	}
	return findings
}

// checkSource checks the package clause and every identifier that the file
// declares.
func (l *wordList) checkSource(file string, source []byte) ([]finding, error) {
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	c := &identifierCheck{list: l, fset: fset, file: file}
	// A package that is named like its folder is reported with the folder.
	if name := strings.TrimSuffix(parsed.Name.Name, "_test"); name != path.Base(path.Dir(file)) {
		c.check(parsed.Name)
	}
	for _, decl := range parsed.Decls {
		ast.Inspect(decl, c.visit)
	}
	return c.findings, nil
}

// identifierCheck collects the findings of one file.
type identifierCheck struct {
	list     *wordList
	fset     *token.FileSet
	file     string
	findings []finding
	frozen   bool // inside a declaration that is exempted
}

func (c *identifierCheck) report(pos token.Pos, check, message string) {
	c.findings = append(c.findings, newFinding("words", c.file, c.fset.Position(pos).Line, check, message))
}

// visit is called by ast.Inspect for each node.
func (c *identifierCheck) visit(node ast.Node) bool {
	if directive := frozenBy(node); directive != nil && !c.frozen {
		c.visitFrozen(node, directive)
		return false
	}
	for _, name := range declared(node) {
		c.check(name)
	}
	return true
}

func (c *identifierCheck) check(name *ast.Ident) {
	if name == nil {
		return
	}
	for _, message := range c.list.find(name.Name) {
		c.report(name.Pos(), "identifier", message)
	}
}

// visitFrozen looks whether an exemption has a reason and is needed.
func (c *identifierCheck) visitFrozen(node ast.Node, directive *ast.Comment) {
	inner := &identifierCheck{list: c.list, fset: c.fset, file: c.file, frozen: true}
	ast.Inspect(node, inner.visit)
	if strings.TrimSpace(strings.TrimPrefix(directive.Text, frozenDirective)) == "" {
		c.report(directive.Pos(), "frozen", "an exemption needs a reason")
	}
	if len(inner.findings) == 0 {
		c.report(directive.Pos(), "frozen", "nothing here needs the exemption: remove it")
	}
}

// frozenBy returns the directive in a declaration's own comment.
func frozenBy(node ast.Node) *ast.Comment {
	var docs []*ast.CommentGroup
	switch n := node.(type) {
	case *ast.GenDecl:
		docs = append(docs, n.Doc)
	case *ast.FuncDecl:
		docs = append(docs, n.Doc)
	case *ast.TypeSpec:
		docs = append(docs, n.Doc, n.Comment)
	case *ast.ValueSpec:
		docs = append(docs, n.Doc, n.Comment)
	case *ast.Field:
		docs = append(docs, n.Doc, n.Comment)
	}
	for _, doc := range docs {
		if doc == nil {
			continue
		}
		for _, comment := range doc.List {
			if strings.HasPrefix(comment.Text, frozenDirective) {
				return comment
			}
		}
	}
	return nil
}

// declared returns the identifiers that a node itself declares.
func declared(node ast.Node) []*ast.Ident {
	switch n := node.(type) {
	case *ast.ImportSpec:
		return []*ast.Ident{n.Name}
	case *ast.FuncDecl:
		return []*ast.Ident{n.Name}
	case *ast.TypeSpec:
		return []*ast.Ident{n.Name}
	case *ast.ValueSpec:
		return n.Names
	case *ast.Field:
		return n.Names
	case *ast.LabeledStmt:
		return []*ast.Ident{n.Label}
	case *ast.AssignStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Lhs...)
		}
	case *ast.RangeStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Key, n.Value)
		}
	}
	return nil
}

func identifiers(exprs ...ast.Expr) []*ast.Ident {
	var names []*ast.Ident
	for _, expr := range exprs {
		if name, ok := expr.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}
