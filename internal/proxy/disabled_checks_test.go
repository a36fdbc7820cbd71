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

// startFaultTest starts a system for fault tests, and returns a function that runs one with the given checks disabled.
func startFaultTest(t *testing.T, first int) (play func(disabled proxy.DisabledChecks) faulttest.Report) {
	t.Helper()
	hosts := localcluster.Hosts()
	system, err := faulttest.Open(func(n int) string { return hosts(first + n) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(system.Close)
	options := faulttest.Options{Operations: 300, Time: 30 * time.Second, Clients: 32}
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

// A short fault test of nodes with all checks finds no violation.
func TestFaultTestFindsNothing(t *testing.T) {
	play := startFaultTest(t, 100)
	if report := play(0); !report.Good() || report.Operations != 300 {
		var table strings.Builder
		report.Table(&table)
		t.Fatal(table.String())
	}
}

// The fault test detects each disabled check.
func TestFaultTestFindsEachDisabledCheck(t *testing.T) {
	play := startFaultTest(t, 170)
	ranTwiceOrAfterNotRun := func(l faulttest.KindSummary) int { return l.Repeats + l.RanAfterNotRun }
	wrongResponse := func(l faulttest.KindSummary) int { return l.WrongResponse }
	for name, c := range map[string]struct {
		disabled proxy.DisabledChecks
		found    func(faulttest.KindSummary) int
	}{
		"a 421 without an id on an idle connection is proof": {proxy.TrustMissingID, ranTwiceOrAfterNotRun},
		"a reset of an idle connection is proof":             {proxy.RetryAfterReset, ranTwiceOrAfterNotRun},
		"a surplus response is accepted":                     {proxy.AcceptAnyID, wrongResponse},
		"the first of two ids is accepted":                   {proxy.AcceptFirstID, wrongResponse},
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
