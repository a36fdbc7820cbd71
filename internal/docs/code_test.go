package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// sourceIndex is what the code declares, by package folder below internal/ ("rpc",
// "rpc/wire") or cmd/ ("tinpin").
type sourceIndex struct {
	// packages are the folders that hold Go code, tests included.
	packages map[string]bool
	// names are package-level declarations as `package.Name`, and methods, struct fields
	// and interface methods as `package.Type.Name`.
	names map[string]bool
	// functions are those of names that are functions or methods with a body.
	functions map[string]bool
	// users are the functions and variables in whose code a name of another package
	// stands, by that name.
	users map[string][]string
}

// declared reads the code of internal/ and cmd/; of tests only that they are there.
func declared(t *testing.T) (index sourceIndex) {
	t.Helper()
	index = sourceIndex{
		packages: map[string]bool{}, names: map[string]bool{},
		functions: map[string]bool{}, users: map[string][]string{},
	}
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			folder, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil {
				return err
			}
			index.packages[filepath.ToSlash(folder)] = true
			if strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			index.add(filepath.ToSlash(folder), file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return index
}

func (i *sourceIndex) add(folder string, file *ast.File) {
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			name := folder + "." + receiver(declaration) + declaration.Name.Name
			i.names[name], i.functions[name] = true, true
			i.addUses(name, declaration)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				i.addSpec(folder, spec)
			}
		}
	}
}

// addUses notes which package.Name stand in the code of a declared name.
func (i *sourceIndex) addUses(user string, code ast.Node) {
	ast.Inspect(code, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			if from, ok := selector.X.(*ast.Ident); ok {
				name := from.Name + "." + selector.Sel.Name
				i.users[name] = append(i.users[name], user)
			}
		}
		return true
	})
}

func (i *sourceIndex) addSpec(folder string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			i.names[folder+"."+name.Name] = true
			i.addUses(folder+"."+name.Name, spec)
		}
	case *ast.TypeSpec:
		owner := folder + "." + spec.Name.Name
		i.names[owner] = true
		var fields *ast.FieldList
		switch body := spec.Type.(type) {
		case *ast.StructType:
			fields = body.Fields
		case *ast.InterfaceType:
			fields = body.Methods
		default:
			return
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				i.names[owner+"."+name.Name] = true
			}
		}
	}
}

// receiver gives the receiver's type and a dot, or nothing for a plain function.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	kind := function.Recv.List[0].Type
	for {
		switch inner := kind.(type) {
		case *ast.StarExpr:
			kind = inner.X
		case *ast.IndexExpr:
			kind = inner.X
		case *ast.IndexListExpr:
			kind = inner.X
		case *ast.Ident:
			return inner.Name + "."
		default:
			return ""
		}
	}
}

// missing gives those of some names that the code does not declare.
func missing(names []string, known map[string]bool) (absent []string) {
	for _, name := range names {
		if !known[name] {
			absent = append(absent, name)
		}
	}
	return absent
}

// words gives the texts between backticks.
func words(text string) (found []string) {
	for _, match := range regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}

// section gives a page's text from a heading of the second level to the next one.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(text, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("no section %q", heading)
	}
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}

// column gives the cells of one column of all tables of a text, without the headings.
func column(text string, number int) (cells []string) {
	heading := true
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "|") {
			heading = true
			continue
		}
		if strings.HasPrefix(line, "|---") {
			heading = false
			continue
		}
		parts := strings.Split(strings.Trim(line, "|"), "|")
		if !heading && number < len(parts) {
			cells = append(cells, strings.TrimSpace(parts[number]))
		}
	}
	return cells
}
