package policy

import (
	"strings"
	"testing"

	"tinpin/internal/dedup"
)

func TestMalformedBodiesAreRejected(t *testing.T) {
	for _, body := range []string{
		"", "{", `{"version":1}{}`, `{"version":1,"version":2}`, `{"rules":[{"a":1,"b":2,"a":1}]}`,
		"{\"a\":\"\xff\"}", `{"version":007}`, strings.Repeat("[", 1<<20),
	} {
		if CheckSyntax([]byte(body)) == nil {
			t.Errorf("accepted: %.40s", body)
		}
	}
	if err := CheckSyntax([]byte(`{"version":1,"rules":[{"a":1},{"a":1}]}`)); err != nil {
		t.Error(err)
	}
}

func TestTheHighestVersionHolds(t *testing.T) {
	inForce := Document{Kind: DayPlan, Version: 5, Body: `{"version":5,"step":1}`}
	for _, c := range []struct {
		next              Document
		changed, conflict bool
		rejected          bool
	}{
		{next: inForce},
		{next: Document{Version: 5, Body: ` {"step":1.0, "version":5, "x":null}`}},
		{next: Document{Version: 5, Body: `{"version":5,"step":2}`}, conflict: true, rejected: true},
		{next: Document{Version: 5}, conflict: true, rejected: true},
		{next: Document{Version: 4, Body: `{"version":4}`}, rejected: true},
		{next: Document{Version: 6}, changed: true},
	} {
		after, changed, err := inForce.Next(c.next)
		if changed != c.changed || (err != nil) != c.rejected || dedup.ErrConflict.Has(err) != c.conflict ||
			!changed && after.Version != inForce.Version {
			t.Errorf("%+v: %v, %v", c.next, changed, err)
		}
	}
}
