package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/coordinator"
	"tinpin/internal/eventlog"
	"tinpin/internal/httpapi"
	"tinpin/internal/node"
	"tinpin/internal/policy"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// fakeLeadership is confirmed or not.
type fakeLeadership struct{ lost atomic.Bool }

func (f *fakeLeadership) HoldsLease(raft.Term, time.Duration) (proven bool) { return !f.lost.Load() }

// startSingle starts a controller that leads alone, with a proof of leadership of
// the test's own.
func startSingle(t *testing.T) (c *Controller, leadership *fakeLeadership) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":{"column_names":["service_name","address","zone","state","cold_remaining",`+
			`"instance_id","capacity_slots"],"row_values":[["s","1.2.3.4:5","a","ready","0ms","one",3]]},`+
			`"next_page_token":null}`)
	}))
	t.Cleanup(platform.Close)
	p := settings.Settings{
		Name: "core", Address: "127.0.0.1", ControlAddress: "127.0.0.1:1", InternalPortLow: 2,
		Seeds: []string{"127.0.0.1:1"}, DataDirectory: t.TempDir(), FirstStart: true,
		PlatformAddress: strings.TrimPrefix(platform.URL, "http://"), PlatformRate: 1000,
		EndpointListInterval: time.Second, HealthCheckInterval: time.Second, SendInterval: time.Second,
	}
	raftNode, err := node.OpenNode(p, eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	leadership = &fakeLeadership{}
	// Calls get an outcome however slow this machine is.
	c = &Controller{
		settings:        p,
		log:             eventlog.Discard(),
		node:            raftNode,
		proposalTimeout: time.Minute,
		nodeCalls:       coordinator.NewHandler(raftNode, leadership),
	}
	led := make(chan bool, 1)
	raftNode.OnLeadership = func(leads bool, term raft.Term) {
		if !leads {
			return
		}
		c.nodeCalls.SetCoordinator(coordinator.Start(p, eventlog.Discard(), raftNode, term))
		led <- true
	}
	raftNode.Run()
	t.Cleanup(func() {
		if old := c.nodeCalls.SetCoordinator(nil); old != nil {
			old.Close()
		}
		raftNode.Close()
	})
	<-led
	for !c.nodeCalls.Coordinator().EndpointsComplete() {
		runtime.Gosched()
	}
	return c, leadership
}

func kind(err error) (found apierror.Kind) {
	var answer *httpapi.Error
	if errors.As(err, &answer) {
		return answer.Kind
	}
	return apierror.None
}

// Out of contact no request is rejected from the state of this controller, and
// nothing is read from it; what the log decides needs no other proof.
func TestOutOfContactNothingIsRejectedOrRead(t *testing.T) {
	c, leadership := startSingle(t)
	none := context.Background()
	set := func(body string, check bool) func() error {
		return func() error { return c.setDocument(none, policy.DrainPolicy, []byte(body), check) }
	}
	drainPolicy := func(version int) string {
		return fmt.Sprintf(`{"version":%d,"rules":[{"service":"*","notice":"1s","finish":"10s","keyed":"deadline",`+
			`"least_share":0.5}],"lost_touch":"3s","cut_off":"stop"}`, version)
	}
	if err := set(drainPolicy(4), false)(); err != nil {
		t.Fatal(err)
	}
	retire := func(id rpc.EndpointID) func() error {
		return func() error { _, err := c.retireBackend(none, id, false, ""); return err }
	}
	show := func() error { _, err := c.showDocument(none, policy.DrainPolicy); return err }
	const rejected = apierror.RequestRejected
	for name, call := range map[string]struct {
		do   func() error
		with apierror.Kind
	}{
		"describe":        {func() error { _, err := c.describeConfig(none); return err }, apierror.None},
		"show":            {show, apierror.None},
		"a good check":    {set(drainPolicy(9), true), apierror.None},
		"an old version":  {set(drainPolicy(3), false), apierror.RequestRejected},
		"no document":     {set(`{}`, false), apierror.RequestRejected},
		"a bad check":     {set(`{}`, true), rejected},
		"the last of all": {retire("one"), rejected},
		"an unknown one":  {retire("two"), rejected},
	} {
		for lost, want := range map[bool]apierror.Kind{false: call.with, true: apierror.OutcomeUnknown} {
			leadership.lost.Store(lost)
			if got := kind(call.do()); got != want {
				t.Errorf("%s, contact lost %v: %v, want %v", name, lost, got, want)
			}
		}
	}
	leadership.lost.Store(true)
	if err := set(drainPolicy(5), false)(); err != nil {
		t.Errorf("a document that the log has accepted: %v", err)
	}
}
