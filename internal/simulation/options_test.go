package simulation

import (
	"strings"
	"testing"
	"time"
)

func TestCheckNamesEveryInvalidSize(t *testing.T) {
	if err := DefaultOptions().Check(); err != nil {
		t.Fatal(err)
	}
	wrong := Options{Length: -time.Second, Controllers: 0, Losses: -1, Operators: 0, Edges: 1 << 20, Gap: 0, CatchUp: 2 * MaxLength, InjectedBug: "no such"}
	err := wrong.Check()
	if err == nil {
		t.Fatal("taken")
	}
	for _, name := range []string{"length", "controllers", "losses", "operators", "edges", "gap", "catch-up", "no such"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named in %q", name, err)
		}
	}
	few := DefaultOptions()
	few.Controllers, few.Losses = 4, 2
	if few.Check() == nil {
		t.Error("four controllers were said to tolerate two losses")
	}
	ranges := Range{Seeds: 0, From: -1, Parallel: MaxParallel + 1, Limit: -time.Second}
	for _, name := range []string{"seeds", "from", "parallel", "limit"} {
		if err = ranges.Check(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named in %v", name, err)
		}
	}
}

func TestParseFaultKinds(t *testing.T) {
	kinds, err := ParseFaultKinds("cut, freeze,cut")
	if err != nil || len(kinds) != 2 || kinds[0] != Cut || kinds[1] != Freeze {
		t.Error(kinds, err)
	}
	if all, allErr := ParseFaultKinds("all"); allErr != nil || len(all) != len(FaultKindTexts) {
		t.Error(all, allErr)
	}
	if none, noneErr := ParseFaultKinds("none"); noneErr != nil || len(none) != 0 {
		t.Error(none, noneErr)
	}
	if _, err = ParseFaultKinds("cut,quake"); err == nil {
		t.Error("an unknown kind was taken")
	}
}
