package statemachine

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/testutil/wiretest"
)

// filled is a value of which every field is set.
func filled[T any](t *testing.T) (value T) {
	t.Helper()
	count := 0
	wiretest.Fill(t, reflect.ValueOf(&value).Elem(), &count)
	return value
}

// A field that is added to a type of the logic and not to its stored form would be
// lost with the next snapshot.
func TestEveryFieldSurvivesItsStoredForm(t *testing.T) {
	evacuation, binding, claim := filled[Evacuation](t), filled[Binding](t), filled[Claim](t)
	for _, c := range []struct{ want, got any }{
		{evacuation, storeEvacuation(evacuation).restore()},
		{binding, storeBinding(binding).restore()},
		{claim, storeClaim(claim).restore()},
	} {
		if diff := cmp.Diff(c.want, c.got); diff != "" {
			t.Errorf("%T (-want +got):\n%s", c.want, diff)
		}
	}
}

// Every part of a state comes back from a snapshot.
func TestEveryPartOfAStateSurvivesASnapshot(t *testing.T) {
	state := NewState()
	state.Apply(1, Command{Kind: CommandConfig, Body: []byte(services)}, 0)
	state.Evacuations["z"] = filled[Evacuation](t)
	for i := range commandsOfEachTable {
		state.Apply(uint64(i+2), commandsOfEachTable[i], 0)
	}
	again := restored(t, state)
	want, got := reflect.ValueOf(*state), reflect.ValueOf(*again)
	for i := range want.NumField() {
		name := want.Type().Field(i).Name
		if want.Field(i).IsZero() || got.Field(i).IsZero() || want.Field(i).Kind() == reflect.Map && got.Field(i).Len() != want.Field(i).Len() {
			t.Errorf("%s is lost, or was never set", name)
		}
	}
	if diff := cmp.Diff(state.Evacuations, again.Evacuations); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(state.bindings, again.bindings); diff != "" {
		t.Error(diff)
	}
}

// commandsOfEachTable put something into each table of a state.
var commandsOfEachTable = []Command{
	drainPolicyCommand(5, "pay", "1s"),
	{Kind: CommandRetire, Subject: "pay-1", Body: []byte("pay")},
	{Kind: CommandDocument, Subject: "day-plan", Body: []byte(`{"version":1,"step":1,"every":"1s","room":1,"targets":[{"host":"shop.example","time_zone":"UTC","spans":[{"from":"00:00","to":"24:00","weights":{"coast":1},"ramp":"0s"}]}]}`)},
	{Kind: CommandScheduleStep, Body: []byte(`{"Version":1,"Count":1}`)},
	{Kind: CommandBind, Subject: "pay", Number: 60, Claim: Claim{Key: "session", Request: "pay-1"}},
	{Kind: CommandClaim, Claim: Claim{Key: "key", Request: "digest", Holder: "node", Incarnation: 1}},
}
