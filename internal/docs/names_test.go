package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pages gives the text of README and of all pages in docs, by path. Those in
// folders below tell of code as it was, and are left out.
func pages(t *testing.T) (texts map[string]string) {
	t.Helper()
	paths, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(paths) < 20 {
		t.Fatalf("%d pages found, %v", len(paths), err)
	}
	texts = map[string]string{}
	for _, path := range append(paths, "../../README.md") {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[strings.TrimPrefix(filepath.ToSlash(path), "../../")] = string(data)
	}
	return texts
}

// What pages name of the code is there: package.Name, and files.
func TestPagesNameWhatTheCodeHas(t *testing.T) {
	index := declared(t)
	qualified := regexp.MustCompile(`^[a-z]+(/[a-z]+)?(\.[A-Za-z0-9]+){1,2}$`)
	// Types of CloudEvents and names of files have dots as well.
	otherDots := regexp.MustCompile(`^tinpin\.|\.(md|go|json)$`)
	file := regexp.MustCompile(`\b(?:internal|cmd|scripts|deploy|tools|api)/[a-zA-Z0-9_./-]*[a-zA-Z0-9]`)
	for path, text := range pages(t) {
		for _, name := range words(text) {
			folder, _, _ := strings.Cut(name, ".")
			isName := qualified.MatchString(name) && !otherDots.MatchString(name) && index.packages[folder]
			if isName && !index.names[name] {
				t.Errorf("%s: %s does not exist", path, name)
			}
		}
		for _, name := range file.FindAllString(text, -1) {
			if _, err := os.Stat(filepath.Join("../..", name)); err != nil {
				t.Errorf("%s: no file %s", path, name)
			}
		}
	}
}

// Tests that pages rest on are there under the name that is given.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := map[string]bool{}
	function := regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`)
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			for _, match := range function.FindAllStringSubmatch(string(data), -1) {
				tests[match[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for path, text := range pages(t) {
		for _, name := range regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w+`).FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s: no test %s", path, name)
			}
		}
	}
}

// Commands in pages are those that the program has.
func TestPagesNameCommandsThatExist(t *testing.T) {
	commands := map[string]bool{}
	sources, err := filepath.Glob("../../cmd/tinpin/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range sources {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range regexp.MustCompile(`\bname:\s+"([a-z-]+)"`).FindAllStringSubmatch(string(data), -1) {
			commands[match[1]] = true
		}
	}
	if !commands["proxy"] || !commands["controller"] {
		t.Fatalf("the commands were not found: %v", commands)
	}
	used := regexp.MustCompile("(?m)(?:`|^    |/)tinpin ([a-z-]+)")
	program := regexp.MustCompile(`\btinpin-[a-z]+\b`)
	for path, text := range pages(t) {
		for _, match := range used.FindAllStringSubmatch(text, -1) {
			if !commands[match[1]] {
				t.Errorf("%s: no command %q", path, "tinpin "+match[1])
			}
		}
		for _, name := range program.FindAllString(text, -1) {
			if _, err := os.Stat(filepath.Join("../../cmd", name)); err != nil {
				t.Errorf("%s: no program %s", path, name)
			}
		}
	}
}

// Links to a heading lead to one that the page has.
func TestPagesLinkToHeadingsThatExist(t *testing.T) {
	texts := pages(t)
	link := regexp.MustCompile(`\]\(([a-zA-Z./_-]*)#([a-z0-9-]+)\)`)
	headings := regexp.MustCompile(`(?m)^#+ (.*)$`)
	dropped := regexp.MustCompile(`[^a-z0-9 -]`)
	found := 0
	for from, text := range texts {
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			target := from
			if match[1] != "" {
				target = filepath.ToSlash(filepath.Join(filepath.Dir(from), match[1]))
			}
			has := false
			for _, heading := range headings.FindAllStringSubmatch(texts[target], -1) {
				anchor := dropped.ReplaceAllString(strings.ToLower(heading[1]), "")
				has = has || strings.ReplaceAll(anchor, " ", "-") == match[2]
			}
			if found++; !has {
				t.Errorf("%s: %s has no heading %s", from, target, match[2])
			}
		}
	}
	if found < 10 {
		t.Errorf("only %d links found", found)
	}
}
