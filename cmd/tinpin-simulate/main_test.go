package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tinpin/internal/simulation"
)

func TestInvalidCommandLinesAreRejected(t *testing.T) {
	for args, named := range map[string][]string{
		"-seeds 0 -length -5s -controllers 0 -losses 0": {"seeds", "length", "controllers", "losses"},
		"-parallel -1 -limit 0s -gap 0s -catch-up 0s":   {"parallel", "limit", "gap", "catch-up"},
		"-operators 0 -edges 65 -from -1":               {"operators", "edges", "from"},
		"-controllers 4 -losses 2":                      {"losses"},
		"-seeds 99999999999":                            {"seeds"},
		"-faults quake":                                 {"quake"},
		"-inject none-such":                             {"none-such"},
		"-length ten":                                   {"length"},
		"-unknown":                                      {"unknown"},
		"more":                                          {"more"},
		"-replay /no/such/file":                         {"/no/such/file"},
		"-seeds 1 -controllers 3 -faults quake -inject nobody": {"quake", "nobody"},
	} {
		var out, bad bytes.Buffer
		if code := run(strings.Fields(args), &out, &bad); code != 2 {
			t.Errorf("%s: code %d", args, code)
		}
		for _, name := range named {
			if !strings.Contains(bad.String(), name) {
				t.Errorf("%s: %q does not name %s", args, bad.String(), name)
			}
		}
	}
	var out, bad bytes.Buffer
	if code := run([]string{"-help"}, &out, &bad); code != 0 || !strings.Contains(bad.String(), "-catch-up") {
		t.Error("no help", code, bad.String())
	}
}

func TestRenamedFlagsNameTheirSuccessor(t *testing.T) {
	for args, now := range map[string]string{
		"-troubles cut": "-faults", "-troubles=cut": "-faults", "-plant all": "-inject",
		"-cores 5": "-controllers", "--cores=5 -losses 2": "-controllers", "-seeds 3 -cores": "-controllers",
	} {
		var out, bad bytes.Buffer
		code := run(strings.Fields(args), &out, &bad)
		if code != 2 || out.Len() > 0 || !strings.Contains(bad.String(), "use "+now) {
			t.Errorf("%s: code %d, %q", args, code, bad.String())
		}
	}
}

func TestHuntPrintsTableAndJSON(t *testing.T) {
	var out, bad bytes.Buffer
	code := run(strings.Fields("-seeds 2 -length 3s -parallel 1 -quiet"), &out, &bad)
	if code != 0 || !strings.Contains(out.String(), "2 seeds, 0 broke") {
		t.Error(code, out.String(), bad.String())
	}
	out.Reset()
	var report simulation.Report
	code = run(strings.Fields("-seeds 2 -length 3s -parallel 2 -quiet -json"), &out, &bad)
	if code != 0 || json.Unmarshal(out.Bytes(), &report) != nil ||
		report.Played != 2 || report.Steps == 0 {
		t.Error(code, out.String(), bad.String())
	}
	out.Reset()
	code = run(strings.Fields("-inject twoRuns -seeds 3 -length 4s -quiet"), &out, &bad)
	if code != 0 || !strings.Contains(out.String(), "yes") {
		t.Error(code, out.String())
	}
}

func TestKeptCaseReplays(t *testing.T) {
	options := simulation.DefaultOptions()
	options.Length, options.InjectedBug = 4_000_000_000, simulation.TwoRuns
	result := simulation.Play(1, options)
	path := filepath.Join(t.TempDir(), "case.json")
	if err := simulation.CaseOf(result, options).Write(path); err != nil {
		t.Fatal(err)
	}
	var out, bad bytes.Buffer
	code := run([]string{"-replay", path}, &out, &bad)
	if code != 1 || !strings.Contains(out.String(), result.Failure) ||
		!strings.Contains(out.String(), "leads in term") {
		t.Error(code, out.String(), bad.String())
	}
}

// The page names every kind of fault, and the calls in it can be carried out.
func TestDocumentedCommandsParse(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "simulation.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range simulation.FaultKinds() {
		if !strings.Contains(string(data), "`"+string(kind)+"`") {
			t.Errorf("%s is not on the page", kind)
		}
	}
	calls := 0
	for _, line := range strings.Split(string(data), "\n") {
		args, found := strings.CutPrefix(line, "    target/tinpin-simulate ")
		if !found {
			continue
		}
		calls++
		if _, err = parse(strings.Fields(args), &bytes.Buffer{}); err != nil {
			t.Errorf("%s: %v", args, err)
		}
	}
	if calls < 3 {
		t.Error("the page has lost its examples")
	}
}
