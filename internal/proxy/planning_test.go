package proxy

import (
	"net/http"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

// Each part of a split gets its weight's part of the requests; one without a weight gets none.
func TestPartsOfASplitGetTheirWeights(t *testing.T) {
	route := &config.Route{Targets: []config.Target{
		{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10},
	}}
	const draws = 1000
	chosen := map[rpc.ServiceName]int{}
	for i := range draws {
		chosen[pickTarget(route, (float64(i)+0.5)/draws)]++
	}
	if chosen["a"] != 900 || chosen["b"] != 100 {
		t.Errorf("%v", chosen)
	}
}

// A node is ready once it has the configuration, and no more from the moment when it is to stop.
func TestANodeIsNotReadyOnceItIsToStop(t *testing.T) {
	d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOK))
	if d.isReady() {
		t.Error("ready before it has looked at what it has")
	}
	d.ready.Store(true)
	if !d.isReady() {
		t.Error("not ready with the configuration and the endpoint list")
	}
	d.shutdown.Begin(time.Now())
	if d.isReady() {
		t.Error("ready though it is to stop")
	}
}

// Before the first configuration nobody can tell that a route does not exist.
func TestWithoutAConfigurationNothingIsDenied(t *testing.T) {
	d := newTestDaemon(t)
	d.state = NewClusterState(d.settings, d.log, d.clock)
	response := d.Handle(t.Context(), newRequest("GET", "/nowhere/", "a"), "2500")
	if response.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d", response.Status)
	}
}
