package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// tool is one check over the selected directories.
type tool struct {
	name string
	run  func(t *tree, dirs []string) ([]finding, error)
}

var tools = []tool{
	{name: "gofumpt", run: runGofumpt},
	{name: "staticcheck", run: runStaticcheck},
	{name: "revive", run: runRevive},
	{name: "words", run: runWords},
	{name: "locks", run: runLocks},
}

func toolNames() []string {
	names := make([]string, len(tools))
	for i, t := range tools {
		names[i] = t.name
	}
	return names
}

// runGofumpt finds the files that gofumpt would change.
func runGofumpt(t *tree, dirs []string) ([]finding, error) {
	files := t.filesIn(dirs)
	if len(files) == 0 {
		return nil, nil
	}
	out, err := t.goTool(".", append([]string{"gofumpt", "-l"}, files...)...)
	if err != nil {
		return nil, err
	}
	var findings []finding
	for _, file := range strings.Fields(string(out)) {
		findings = append(findings, newFinding("gofumpt", filepath.ToSlash(file), 0, "format",
			"not formatted; run: go tool -modfile=tools/go.mod gofumpt -w "+file))
	}
	return findings, nil
}

// runStaticcheck runs staticcheck once for each module that the directories
// belong to. Its checks are chosen in staticcheck.conf.
func runStaticcheck(t *tree, dirs []string) ([]finding, error) {
	var findings []finding
	for _, module := range []string{".", "tools"} {
		args := t.packageArgs(module, dirs)
		if len(args) == 0 {
			continue
		}
		out, err := t.goTool(module, append([]string{"staticcheck", "-f", "json"}, args...)...)
		if err != nil {
			return nil, err
		}
		found, err := t.parseStaticcheck(out)
		if err != nil {
			return nil, err
		}
		findings = append(findings, found...)
	}
	return findings, nil
}

func (t *tree) parseStaticcheck(out []byte) ([]finding, error) {
	var findings []finding
	decoder := json.NewDecoder(bytes.NewReader(out))
	for decoder.More() {
		var report struct {
			Code     string
			Message  string
			Location struct {
				File string
				Line int
			}
		}
		if err := decoder.Decode(&report); err != nil {
			return nil, err
		}
		if report.Code == "compile" {
			// The message is the compiler's, with its own positions; the
			// location is empty.
			findings = append(findings, newFinding("staticcheck", "build", 0, report.Code, report.Message))
			continue
		}
		file, err := filepath.Rel(t.root, report.Location.File)
		if err != nil {
			return nil, err
		}
		file = filepath.ToSlash(file)
		if t.holds(file) { // not generated
			findings = append(findings,
				newFinding("staticcheck", file, report.Location.Line, report.Code, report.Message))
		}
	}
	return findings, nil
}

// runRevive runs revive with the limits of tools/revive.toml.
func runRevive(t *tree, dirs []string) ([]finding, error) {
	files := t.filesIn(dirs)
	if len(files) == 0 {
		return nil, nil
	}
	args := []string{"revive", "-config", "tools/revive.toml", "-formatter", "ndjson"}
	for _, dir := range dirs {
		if len(t.goFiles[dir]) > 0 {
			args = append(args, "./"+dir)
		}
	}
	out, err := t.goTool(".", args...)
	if err != nil {
		return nil, err
	}
	var findings []finding
	decoder := json.NewDecoder(bytes.NewReader(out))
	for decoder.More() {
		var report struct {
			Failure  string
			RuleName string
			Position struct {
				Start struct {
					Filename string
					Line     int
				}
			}
		}
		if err := decoder.Decode(&report); err != nil {
			return nil, err
		}
		start := report.Position.Start
		file := filepath.ToSlash(filepath.Clean(start.Filename))
		if !t.holds(file) {
			continue
		}
		findings = append(findings, newFinding("revive", file, start.Line, report.RuleName, report.Failure))
	}
	return findings, nil
}

// goTool runs one of the tools that tools/go.mod pins, in a directory below the
// root. A tool that ends with status 1 and prints has findings, which is no error
// here; one that prints nothing has failed. The go command's own messages, of
// downloads say, are on the error output.
func (t *tree) goTool(dir string, args ...string) ([]byte, error) {
	modfile := filepath.Join(t.root, "tools", "go.mod")
	cmd := exec.Command("go", append([]string{"tool", "-modfile=" + modfile}, args...)...)
	cmd.Dir = filepath.Join(t.root, dir)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == 1 && stdout.Len() > 0 {
		err = nil
	}
	if err != nil {
		os.Stderr.Write(stderr.Bytes())
		return nil, fmt.Errorf("%s: %w", args[0], err)
	}
	return stdout.Bytes(), nil
}

func (t *tree) filesIn(dirs []string) []string {
	var files []string
	for _, dir := range dirs {
		files = append(files, t.goFiles[dir]...)
	}
	return files
}

func (t *tree) holds(file string) bool {
	return slices.Contains(t.goFiles[filepath.ToSlash(filepath.Dir(file))], file)
}

// packageArgs names the directories of one module as the go command wants them.
func (t *tree) packageArgs(module string, dirs []string) []string {
	var args []string
	for _, dir := range dirs {
		if len(t.goFiles[dir]) == 0 {
			continue
		}
		inside, inTools := strings.CutPrefix(dir, "tools/")
		switch {
		case inTools && module == "tools":
			args = append(args, "./"+inside)
		case !inTools && module == ".":
			args = append(args, "./"+dir)
		}
	}
	return args
}
