package simulation

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func small(bug InjectedBug) (options Options) {
	options = DefaultOptions()
	options.Length, options.InjectedBug = 8*time.Second, bug
	return options
}

func TestSameSeedSameResult(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		first, second := Play(seed, small("")), Play(seed, small(""))
		if diff := cmp.Diff(first, second); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// A failing case is shortened, kept, and fails again when it is read back.
func TestCaseIsShortenedAndReplays(t *testing.T) {
	options := small(CommitWithoutQuorum)
	options.Faults = []FaultKind{Cut, Storm, Freeze, Reset}
	var result RunResult
	for seed := int64(1); result.Failure == "" && seed < 60; seed++ {
		result = Play(seed, options)
	}
	if result.Failure == "" {
		t.Fatal("no seed found the injected bug")
	}
	complete := CaseOf(result, options)
	short := complete.Shorten(10 * time.Second)
	if len(short.Faults) > len(complete.Faults) || short.Options.Length > complete.Options.Length || CheckOf(short.Failure) != CheckOf(complete.Failure) {
		t.Fatalf("%d faults in %s became %d in %s, %q became %q", len(complete.Faults), complete.Options.Length, len(short.Faults), short.Options.Length, complete.Failure, short.Failure)
	}
	path := filepath.Join(t.TempDir(), "case.json")
	if err := short.Write(path); err != nil {
		t.Fatal(err)
	}
	kept, err := ReadCase(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	if again := kept.Replay(func(string) { lines++ }); again.Failure != short.Failure || lines == 0 {
		t.Fatalf("%q became %q in %d lines", short.Failure, again.Failure, lines)
	}
}

func TestInvalidCasesAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "case.json")
	for _, text := range []string{"", "[]", `{"options":{}}`, `{"options":{"length":1000000000,"cores":3,"losses":1,"operators":1,"edges":1,"gap":1000000000,"catch_up":4000000000},"troubles":[{"kind":"quake"}]}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadCase(path); err == nil {
			t.Errorf("taken: %s", text)
		}
	}
}
