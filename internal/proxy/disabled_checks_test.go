package proxy_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"tinpin/internal/faulttest"
	"tinpin/internal/localcluster"
	"tinpin/internal/proxy"
)

// startFaultTest is a system whose daemons leave nothing out, and a way to play it.
func startFaultTest(t *testing.T, first int) (play func(disabled proxy.DisabledChecks) faulttest.Report) {
	t.Helper()
	hosts := localcluster.Hosts()
	system, err := faulttest.Open(func(n int) string { return hosts(first + n) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(system.Close)
	options := faulttest.Options{Rounds: 300, Time: 30 * time.Second, Clients: 32}
	return func(disabled proxy.DisabledChecks) (report faulttest.Report) {
		for _, edge := range system.Cluster.Proxies {
			edge.DisableChecks(disabled)
		}
		options.Seed++
		if report, err = system.Play(context.Background(), options); err != nil {
			t.Fatal(err)
		}
		return report
	}
}

// A short account of the daemons as they are agrees in everything.
func TestFaultTestFindsNothing(t *testing.T) {
	play := startFaultTest(t, 100)
	if report := play(0); !report.Good() || report.Rounds != 300 {
		var table strings.Builder
		report.Table(&table)
		t.Fatal(table.String())
	}
}

// Each check that is left out is found by the account.
func TestFaultTestFindsEachDisabledCheck(t *testing.T) {
	play := startFaultTest(t, 170)
	for name, c := range map[string]struct {
		disabled proxy.DisabledChecks
		found    func(faulttest.KindSummary) int
	}{
		"a rested 421 without an id is proof": {proxy.TrustMissingID, func(l faulttest.KindSummary) int { return l.Repeats + l.RanAfterNotRun }},
		"a reset of a rested stream is proof": {proxy.RetryAfterReset, func(l faulttest.KindSummary) int { return l.Repeats + l.RanAfterNotRun }},
		"a surplus answer is taken":           {proxy.AcceptAnyID, func(l faulttest.KindSummary) int { return l.WrongResponse }},
		"the first of two ids counts":         {proxy.AcceptFirstID, func(l faulttest.KindSummary) int { return l.WrongResponse }},
	} {
		found, plays := 0, 0
		for ; plays < 10 && found == 0; plays++ {
			for _, line := range play(c.disabled).Kinds {
				found += c.found(line)
			}
		}
		if t.Logf("%s: %d found in play %d", name, found, plays); found == 0 {
			t.Errorf("not found: %s", name)
		}
	}
}
