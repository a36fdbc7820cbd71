package statemachine_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"tinpin/internal/affinity"
	"tinpin/internal/drain"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
	"tinpin/internal/statemachine"
	"tinpin/internal/testutil/storedstate"
	"tinpin/internal/testutil/wiretest"
)

func TestStoredSnapshotsAreReadAsTheyWere(t *testing.T) {
	wiretest.Check(t, []wiretest.Fixture{{Name: "snapshot_state", Value: wiretest.DecodeGob(t, wiretest.EncodeGob(t, storedstate.Filled()), statemachine.SnapshotFormat{})}})
}

// Numbers that are stored are the ones that were.
func TestStoredKindsOfCommandsHold(t *testing.T) {
	commands := []statemachine.CommandKind{
		statemachine.CommandConfig, statemachine.CommandStartEvacuation, statemachine.CommandEndEvacuation, statemachine.CommandClaim, statemachine.CommandReleaseClaim, statemachine.CommandExpireClaims, statemachine.CommandBarrier,
		statemachine.CommandDocument, statemachine.CommandRetire, statemachine.CommandStopRetired, statemachine.CommandCancelRetire, statemachine.CommandScheduleStep, statemachine.CommandBind, statemachine.CommandUnbind,
	}
	for i, kind := range commands {
		if int(kind) != i+1 {
			t.Errorf("command %d has the number %d", i+1, kind)
		}
	}
}

func TestStoredCommandsAreReadAsTheyWere(t *testing.T) {
	for name, commands := range map[string][]statemachine.Command{"commands_each_kind.bin": storedstate.EachKind(), "commands_of_state.bin": storedstate.Commands} {
		now := statemachine.EncodeCommands(commands)
		data := wiretest.FileFixture(t, name, now)
		if !bytes.Equal(data, now) {
			t.Errorf("%s is written differently now", name)
		}
		got, err := statemachine.DecodeCommands(data)
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(commands, got, equalBodies); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	filled, count := reflect.New(reflect.TypeFor[statemachine.Command]()).Elem(), 0
	wiretest.Fill(t, filled, &count)
	got, err := statemachine.DecodeCommands(statemachine.EncodeCommands([]statemachine.Command{filled.Interface().(statemachine.Command)}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]statemachine.Command{filled.Interface().(statemachine.Command)}, got); diff != "" {
		t.Errorf("a command with %d filled fields (-want +got):\n%s", count, diff)
	}
}

// equalBodies takes no body for an empty one.
var equalBodies = cmp.Comparer(func(a, b []byte) bool { return bytes.Equal(a, b) })

// The operator documents of a stored state are read by their JSON names.
func TestStoredDocumentsAreReadAsTheyWere(t *testing.T) {
	text := func(kind policy.Kind) []byte { return []byte(storedstate.Value.Documents[kind].Body) }
	drainPolicy, err := drain.Parse(text("drain-policy"))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := schedule.Parse(text("day-plan"))
	if err != nil {
		t.Fatal(err)
	}
	limit, err := retry.Parse(text("retry-limit"))
	if err != nil {
		t.Fatal(err)
	}
	sessions, err := affinity.Parse(text("session-affinity"))
	if err != nil {
		t.Fatal(err)
	}
	second := policy.Duration(time.Second)
	want := []any{
		&drain.Policy{Version: 2, IsolatedAfter: 10 * second, WhenIsolated: "stop", Rules: []drain.Rule{
			{Service: "*", Notice: 2 * second, Finish: 30 * second, KeyedRequests: "deadline", MinShare: 0.5},
			{Service: "pay", Notice: second, Finish: 60 * second, KeyedRequests: "finish", MinShare: 0.25},
		}},
		&schedule.Plan{Version: 3, MaxStep: 0.1, StepInterval: 30 * second, MaxUtilization: 0.8, Targets: []schedule.Target{{
			Host: "shop.example", TimeZone: "Europe/Berlin",
			Spans: []schedule.Span{{From: 390, To: 1080, Weights: map[rpc.RegionName]float64{"east": 3, "west": 1}, Ramp: 1800 * second}},
		}}},
		&retry.Policy{Version: 1, Rules: []retry.Rule{{Service: "*", Ratio: 0.2, MinPerSecond: 10, Window: 10 * second}}},
		&affinity.Policy{Version: 7, Rules: []affinity.Rule{{Service: "pay", Source: "cookie", Name: "sid", Idle: 600 * second, WithoutLeader: "serve", MaxSessions: 1000}}},
	}
	if diff := cmp.Diff(want, []any{drainPolicy, plan, limit, sessions}, cmpopts.IgnoreUnexported(schedule.Target{})); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
