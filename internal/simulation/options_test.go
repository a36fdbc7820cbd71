package simulation

import (
	"strings"
	"testing"
	"time"
)

func TestSizesThatCannotBePlayedAreEachNamed(t *testing.T) {
	if err := Usual().Check(); err != nil {
		t.Fatal(err)
	}
	wrong := Options{Length: -time.Second, Cores: 0, Losses: -1, Operators: 0, Edges: 1 << 20, Gap: 0, CatchUp: 2 * LengthMost, Plant: "no such"}
	err := wrong.Check()
	if err == nil {
		t.Fatal("taken")
	}
	for _, name := range []string{"length", "cores", "losses", "operators", "edges", "gap", "catch-up", "no such"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named in %q", name, err)
		}
	}
	few := Usual()
	few.Cores, few.Losses = 4, 2
	if few.Check() == nil {
		t.Error("four cores were said to bear two losses")
	}
	ranges := Range{Seeds: 0, From: -1, Parallel: ParallelMost + 1, Limit: -time.Second}
	for _, name := range []string{"seeds", "from", "parallel", "limit"} {
		if err = ranges.Check(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named in %v", name, err)
		}
	}
}

func TestKindsAreRead(t *testing.T) {
	kinds, err := ReadKinds("cut, freeze,cut")
	if err != nil || len(kinds) != 2 || kinds[0] != Cut || kinds[1] != Freeze {
		t.Error(kinds, err)
	}
	if all, allErr := ReadKinds("all"); allErr != nil || len(all) != len(KindTexts) {
		t.Error(all, allErr)
	}
	if none, noneErr := ReadKinds("none"); noneErr != nil || len(none) != 0 {
		t.Error(none, noneErr)
	}
	if _, err = ReadKinds("cut,quake"); err == nil {
		t.Error("an unknown kind was taken")
	}
}
