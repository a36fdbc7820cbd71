// What an operator is told of an order that is sent again, or whose number is
// another's.
package council

import (
	"errors"
	"testing"

	"tinpin/internal/accord"
	"tinpin/internal/office"
	"tinpin/internal/order"
	"tinpin/internal/problem"
)

func statusOf(t *testing.T, err error) (status int) {
	t.Helper()
	if err == nil {
		return 200
	}
	var trouble *office.Trouble
	if !errors.As(err, &trouble) {
		t.Fatal(err)
	}
	return trouble.Kind.Answer().Status
}

func TestARetirementSentAgainIsNeverRefused(t *testing.T) {
	refusal := order.Class.New("no")
	for _, c := range []struct {
		sent   sentAgain
		listed bool
		status int
		phase  string
	}{
		{sentAgain{}, false, 422, ""},
		{sentAgain{}, true, 422, ""},
		{sentAgain{taken: true}, false, 200, "left"},
		{sentAgain{taken: true}, true, 503, ""},
	} {
		phase, err := c.sent.answer(c.listed, refusal)
		if status := statusOf(t, err); status != c.status || phase != c.phase {
			t.Errorf("%+v listed %v: %d %q", c.sent, c.listed, status, phase)
		}
	}
}

func TestATakenVersionIs409(t *testing.T) {
	for _, c := range []struct {
		kind     problem.Kind
		conflict bool
		status   int
	}{{problem.BadConfig, false, 400}, {problem.BadOrder, false, 422}, {problem.BadConfig, true, 409}, {problem.BadOrder, true, 409}} {
		if status := statusOf(t, refusedAs(c.kind, accord.Result{Problem: "no", Conflict: c.conflict})); status != c.status {
			t.Errorf("%+v: %d", c, status)
		}
	}
}
