package proxy

import (
	"testing"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
)

// TestOutcomeTable applies every outcome to a plan and to a backend: what it proves about execution decides
// whether the plan may retry and what an error may promise; what it says of the backend's health decides
// what is counted.
func TestOutcomeTable(t *testing.T) {
	type row struct {
		outcome          Outcome
		mayHaveRun       bool
		idempotent, once Step
		onceKind         apierror.Kind
		good, bad        uint32
		responded        bool
	}
	rows := []row{
		{NotSent, false, StepRetry, StepRetry, apierror.None, 0, 1, false},
		{Rejected, false, StepRetry, StepRetry, apierror.None, 0, 0, true},
		{Complete, false, StepRespond, StepRespond, apierror.None, 1, 0, true},
		{ConnectionFailed, true, StepRetry, StepFail, apierror.BackendFailed, 0, 1, false},
		{TimedOut, true, StepFail, StepFail, apierror.DeadlineExceeded, 0, 1, false},
		{ServerError, true, StepRetry, StepRespond, apierror.None, 0, 1, true},
		{SendCancelled, false, StepRetry, StepRetry, apierror.None, 0, 0, false},
		{StaleConnection, true, StepRetry, StepFail, apierror.BackendFailed, 0, 0, false},
		{Abandoned, true, StepFail, StepFail, apierror.ClientLeft, 0, 0, false},
	}
	if len(rows) != len(outcomeTable) {
		t.Fatalf("%d rows for %d outcomes", len(rows), len(outcomeTable))
	}
	for _, r := range rows {
		t.Run(r.outcome.String(), func(t *testing.T) {
			for _, routeType := range []config.RouteType{config.Idempotent, config.NonIdempotent} {
				plan := &Plan{Route: &config.Route{Type: routeType}, Deadline: time.Second, AttemptsLeft: 3}
				sent := r.outcome != NotSent && r.outcome != SendCancelled
				step, kind := plan.Next(0, "b", Attempt{Outcome: r.outcome, Sent: sent})
				want, wantKind := r.idempotent, apierror.None
				if want == StepFail {
					wantKind = r.onceKind
				}
				if routeType == config.NonIdempotent {
					want, wantKind = r.once, r.onceKind
				}
				if step != want || kind != wantKind || plan.MayHaveRun != r.mayHaveRun {
					t.Errorf("%s: step %d, kind %d, may have run %v", routeType, step, kind, plan.MayHaveRun)
				}
				if plan.errorKind(apierror.Overloaded) == apierror.Overloaded == r.mayHaveRun {
					t.Errorf("%s: an error promises %v", routeType, plan.errorKind(apierror.Overloaded))
				}
			}
			d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOK))
			backend := d.state.Snapshot().Services["s"][0]
			now := time.Hour
			backend.attemptStarted(now)
			backend.attemptEnded(now, time.Millisecond, r.outcome)
			good, bad := backend.stats.takeCounts()
			if good != r.good || bad != r.bad || backend.respondedAt == now != r.responded {
				t.Errorf("counted %d good, %d bad, responded at %v", good, bad, backend.respondedAt)
			}
		})
	}
}
