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
	"tinpin/internal/policy"
	"tinpin/internal/raft"
	"tinpin/internal/settings"
)

// scripted is a contact that holds or not.
type scripted struct{ lost atomic.Bool }

func (s *scripted) HoldsLease(raft.Term, time.Duration) (proven bool) { return !s.lost.Load() }

// alone is a council of one core that leads, with a contact of the test's own.
func alone(t *testing.T) (c *Controller, contact *scripted) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":{"column_names":["service_name","address","zone","state","cold_remaining","instance_id","capacity_slots"],"row_values":[["s","1.2.3.4:5","a","ready","0ms","one",3]]},"next_page_token":null}`)
	}))
	t.Cleanup(platform.Close)
	p := settings.Settings{
		Name: "core", Address: "127.0.0.1", ControlAddress: "127.0.0.1:1", InternalPortLow: 2, Seeds: []string{"127.0.0.1:1"}, DataDirectory: t.TempDir(), FirstStart: true,
		PlatformAddress: strings.TrimPrefix(platform.URL, "http://"), PlatformRate: 1000, EndpointListInterval: time.Second, HealthCheckInterval: time.Second, SendInterval: time.Second,
	}
	node, err := raft.OpenNode(p, eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	contact = &scripted{}
	// What is asked here has an outcome, however slow this machine is.
	c = &Controller{props: p, log: eventlog.Discard(), node: node, patience: time.Minute, desk: coordinator.NewHandler(node, contact)}
	led := make(chan bool, 1)
	node.OnLeadership = func(leads bool, term raft.Term) {
		if !leads {
			return
		}
		c.desk.SetCoordinator(coordinator.Start(p, eventlog.Discard(), node, term))
		led <- true
	}
	node.Run()
	t.Cleanup(func() {
		if old := c.desk.SetCoordinator(nil); old != nil {
			old.Close()
		}
		node.Close()
	})
	<-led
	for !c.desk.Coordinator().EndpointsComplete() {
		runtime.Gosched()
	}
	return c, contact
}

func kind(err error) (found apierror.Kind) {
	var trouble *httpapi.Error
	if errors.As(err, &trouble) {
		return trouble.Kind
	}
	return apierror.None
}

// Out of contact no order is refused from what this core holds, and nothing is
// read from it; what the log decides needs no other proof.
func TestOutOfContactNothingIsRefusedOrRead(t *testing.T) {
	c, contact := alone(t)
	none := context.Background()
	set := func(body string, check bool) func() error {
		return func() error { return c.order(none, policy.DrainPolicy, []byte(body), check) }
	}
	drainPolicy := func(version int) string {
		return fmt.Sprintf(`{"version":%d,"rules":[{"service":"*","notice":"1s","finish":"10s","keyed":"deadline","least_share":0.5}],"lost_touch":"3s","cut_off":"stop"}`, version)
	}
	if err := set(drainPolicy(4), false)(); err != nil {
		t.Fatal(err)
	}
	for name, call := range map[string]struct {
		do   func() error
		with apierror.Kind
	}{
		"describe":        {func() error { _, err := c.describe(none); return err }, apierror.None},
		"show":            {func() error { _, err := c.show(none, policy.DrainPolicy); return err }, apierror.None},
		"a good check":    {set(drainPolicy(9), true), apierror.None},
		"an old version":  {set(drainPolicy(3), false), apierror.RequestRejected},
		"no document":     {set(`{}`, false), apierror.RequestRejected},
		"a bad check":     {set(`{}`, true), apierror.RequestRejected},
		"the last of all": {func() error { _, err := c.retire(none, "one", false, ""); return err }, apierror.RequestRejected},
		"an unknown one":  {func() error { _, err := c.retire(none, "two", false, ""); return err }, apierror.RequestRejected},
	} {
		for lost, want := range map[bool]apierror.Kind{false: call.with, true: apierror.OutcomeUnknown} {
			contact.lost.Store(lost)
			if got := kind(call.do()); got != want {
				t.Errorf("%s, contact lost %v: %v, want %v", name, lost, got, want)
			}
		}
	}
	contact.lost.Store(true)
	if err := set(drainPolicy(5), false)(); err != nil {
		t.Errorf("an order that the log has taken: %v", err)
	}
}
