package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestWrongUseEndsWithOneLine(t *testing.T) {
	empty := t.TempDir()
	bad := filepath.Join(empty, "schedule")
	if err := os.WriteFile(bad, []byte("nonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{
		"-colour red":                            "-colour",
		"now":                                    `what is "now"?`,
		"-shape round":                           "round",
		"-size huge":                             "huge",
		"-seed 0":                                "seed",
		"-for 1s":                                "for",
		"-proxies 1000":                          "proxies",
		"-schedule " + bad:                       "line 1",
		"-schedule " + filepath.Join(empty, "x"): "no such file",
		"-programs " + empty:                     "there is no",
	} {
		var out, errs bytes.Buffer
		code := run(strings.Fields(args), &out, &errs)
		if code != exitNotPlayed || out.Len() > 0 || strings.Count(errs.String(), "\n") != 1 ||
			!strings.Contains(errs.String(), want) {
			t.Errorf("%s: code %d, %q, %q", args, code, out.String(), errs.String())
		}
	}
}

func TestASchedulePrintedIsTakenBack(t *testing.T) {
	var first, second, errs bytes.Buffer
	if code := run([]string{"-print", "-seed", "5", "-shape", "gateway"}, &first, &errs); code != exitKept {
		t.Fatal(errs.String())
	}
	path := filepath.Join(t.TempDir(), "schedule")
	if err := os.WriteFile(path, first.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := run([]string{"-print", "-schedule", path}, &second, &errs); code != exitKept {
		t.Fatal(errs.String())
	}
	if first.String() != second.String() || !strings.Contains(first.String(), "shape gateway") {
		t.Errorf("%s\nis read as\n%s", first.String(), second.String())
	}
}
