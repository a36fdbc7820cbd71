package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"tinpin/internal/apierror"
	"tinpin/internal/coordinator"
	"tinpin/internal/dedup"
	"tinpin/internal/drain"
	"tinpin/internal/httpapi"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

func statusOf(t *testing.T, err error) (status int) {
	t.Helper()
	if err == nil {
		return 200
	}
	var answer *httpapi.Error
	if !errors.As(err, &answer) {
		t.Fatal(err)
	}
	return answer.Kind.Response().Status
}

// sure sends a request again until it has a clear answer.
func sure(t *testing.T, send func() error) (err error) {
	t.Helper()
	for range 100 {
		if err = send(); kind(err) != apierror.OutcomeUnknown {
			return err
		}
	}
	t.Fatal(err)
	return err
}

func TestRetirementSentAgainIsNeverRejected(t *testing.T) {
	last := policy.ErrInvalid.New("the last one")
	unlisted := policy.ErrInvalid.Wrap(fmt.Errorf("backend %q is %w", "one", coordinator.ErrUnknownBackend))
	for _, c := range []struct {
		earlier   earlierRetirement
		rejection error
		status    int
		phase     string
	}{
		{earlierRetirement{}, unlisted, 422, ""},
		{earlierRetirement{}, last, 422, ""},
		{earlierRetirement{accepted: true}, unlisted, 200, "left"},
		{earlierRetirement{accepted: true}, last, 503, ""},
	} {
		phase, err := c.earlier.answer(c.rejection)
		if status := statusOf(t, err); status != c.status || phase != c.phase {
			t.Errorf("%+v, %v: %d %q", c.earlier, c.rejection, status, phase)
		}
	}
}

func TestTakenVersionIs409(t *testing.T) {
	for _, c := range []struct {
		kind     apierror.Kind
		conflict bool
		status   int
	}{
		{apierror.InvalidConfig, false, 400},
		{apierror.RequestRejected, false, 422},
		{apierror.InvalidConfig, true, 409},
		{apierror.RequestRejected, true, 409},
	} {
		err := errors.New("no")
		if c.conflict {
			err = dedup.ErrConflict.New("no")
		}
		if status := statusOf(t, rejectedResult(c.kind, statemachine.Result{Err: err})); status != c.status {
			t.Errorf("%+v: %d", c, status)
		}
	}
}

func TestDocumentsThroughAController(t *testing.T) {
	c, _ := startSingle(t)
	none := context.Background()
	drainPolicy := func(version int, notice string) []byte {
		return fmt.Appendf(nil, `{"version":%d,"rules":[{"service":"*","notice":%q,"finish":"10s","keyed":"deadline",`+
			`"least_share":0.5}],"lost_touch":"3s","cut_off":"stop"}`, version, notice)
	}
	set := func(version int, notice string) func() error {
		return func() error { return c.setDocument(none, policy.DrainPolicy, drainPolicy(version, notice), false) }
	}
	withdraw := func(version policy.Version) func() error {
		return func() error { return c.withdrawDocument(none, policy.DrainPolicy, version) }
	}
	update := func(body string) func() error {
		return func() error { return c.updateConfig(none, []byte(body)) }
	}
	services := `{"upserts":{"services":{"column_names":["name","max_connections","version"],` +
		`"row_values":[["pay",%s,4]]}}}`
	config := func(limit string) func() error { return update(fmt.Sprintf(services, limit)) }
	for i, step := range []struct {
		send   func() error
		status int
	}{
		{config("7"), 200},
		{config("7.0"), 200},
		{config("8"), 409},
		{config("7,8"), 400},
		{update(`{"removals":{"services":[{"name":"pay","version":4}]}}`), 409},
		{update(`{"upserts":{},"upserts":{}}`), 400},
		{set(5, "1s"), 200},
		{set(6, "1s"), 200},
		{set(5, "1s"), 200},
		{set(5, "2s"), 409},
		{set(4, "1s"), 422},
		{withdraw(6), 409},
		{withdraw(7), 200},
		{set(8, "1s"), 200},
		{withdraw(7), 200},
		{func() error { return c.setDocument(none, policy.DrainPolicy, drainPolicy(5, "2s"), true) }, 409},
		{func() error {
			return c.setDocument(none, policy.DrainPolicy, []byte(`{"version":9,"version":9}`), false)
		}, 422},
	} {
		err := sure(t, step.send)
		if status := statusOf(t, err); status != step.status {
			t.Errorf("step %d: %d (%v), want %d", i, status, err, step.status)
		}
	}
}

// "two" was retired and has left the list; "one", the last of its service, was
// retired while there were others, and taken back.
func TestRetiringAgainThroughAController(t *testing.T) {
	c, _ := startSingle(t)
	none := context.Background()
	phase := ""
	retire := func(id rpc.EndpointID, back bool) func() error {
		return func() (err error) {
			phase, err = c.retireBackend(none, id, back, "")
			return err
		}
	}
	for _, id := range []rpc.EndpointID{"one", "two"} {
		if err := sure(t, retire(id, false)); statusOf(t, err) != 422 {
			t.Fatalf("%s, never taken: %v", id, err)
		}
		if err := sure(t, put(c, statemachine.Command{
			Kind: statemachine.CommandRetire, Subject: string(id), Body: []byte("s"),
			Claim: statemachine.Claim{Holder: drain.ByOperator},
		})); err != nil {
			t.Fatal(err)
		}
		if err := sure(t, retire(id, false)); err != nil {
			t.Errorf("%s, taken: %v", id, err)
		}
		for range 2 {
			if err := sure(t, retire(id, true)); err != nil {
				t.Errorf("%s, taken back: %v", id, err)
			}
		}
	}
	if err := sure(t, retire("two", false)); err != nil || phase != string(drain.Removed) {
		t.Errorf("left the list: %q, %v", phase, err)
	}
	if err := retire("one", false)(); statusOf(t, err) != 503 {
		t.Errorf("taken back, the last now: %v", err)
	}
}

func put(c *Controller, command statemachine.Command) func() error {
	return func() (err error) {
		_, err = c.propose(context.Background(), command)
		return err
	}
}

// A call whose caller has left before it was proposed changes nothing, and the same may be sent again.
func TestACallOfAnOperatorWhoHasLeft(t *testing.T) {
	c, _ := startSingle(t)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.evacuate(gone, "z", true, ""); kind(err) != apierror.OutcomeUnknown {
		t.Errorf("%v", err)
	}
	c.node.ReadState(func(state *statemachine.State) {
		if len(state.Evacuations) != 0 {
			t.Errorf("evacuated for nobody: %v", state.Evacuations)
		}
	})
	if err := sure(t, func() error { return c.evacuate(t.Context(), "z", true, "") }); err != nil {
		t.Error(err)
	}
}

// A request with a name is confirmed again behind the opposite one, and has no
// second effect.
func TestNamedRequestsThroughAController(t *testing.T) {
	c, _ := startSingle(t)
	none := context.Background()
	for i, step := range []struct {
		start  bool
		name   string
		status int
		active bool
	}{
		{true, "a", 200, true},
		{false, "b", 200, false},
		{true, "a", 200, false},
		{true, "b", 409, false},
		{true, "", 200, true},
	} {
		err := sure(t, func() error { return c.evacuate(none, "zone", step.start, step.name) })
		if status := statusOf(t, err); status != step.status {
			t.Errorf("step %d: %d", i, status)
		}
		c.node.ReadState(func(state *statemachine.State) {
			if state.Evacuations["zone"].Active != step.active {
				t.Errorf("step %d: active %v", i, !step.active)
			}
		})
	}
	if err := sure(t, put(c, statemachine.Command{
		Kind: statemachine.CommandRetire, Subject: "two", Claim: statemachine.Claim{Holder: drain.ByOperator, Key: "r"},
	})); err != nil {
		t.Fatal(err)
	}
	phase := ""
	retire := func(id rpc.EndpointID, back bool, name string) func() error {
		return func() (err error) {
			phase, err = c.retireBackend(none, id, back, name)
			return err
		}
	}
	if err := sure(t, retire("two", true, "s")); err != nil {
		t.Fatal(err)
	}
	if err := sure(t, retire("two", false, "r")); err != nil || phase != string(drain.Withdrawn) {
		t.Errorf("sent again by its name: %q, %v", phase, err)
	}
	if err := sure(t, retire("one", true, "s")); statusOf(t, err) != 409 {
		t.Errorf("another request by that name: %v", err)
	}
}
