package coordinator

import (
	"context"
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

var longName = strings.Repeat("x", 300)

// malformedHeartbeats are, by what is wrong, changes that make a good heartbeat invalid.
func malformedHeartbeats() (corruptions map[string]func(request *rpc.HeartbeatRequest)) {
	return map[string]func(request *rpc.HeartbeatRequest){
		"no name":        func(request *rpc.HeartbeatRequest) { request.ID = "" },
		"long name":      func(request *rpc.HeartbeatRequest) { request.ID = rpc.NodeID(longName) },
		"long address":   func(request *rpc.HeartbeatRequest) { request.FrontendAddress = longName },
		"negative hold":  func(request *rpc.HeartbeatRequest) { request.MaxWait = -time.Second },
		"endless hold":   func(request *rpc.HeartbeatRequest) { request.MaxWait = time.Hour },
		"negative nodes": func(request *rpc.HeartbeatRequest) { request.KnownNodes = -1 },
		"absurd nodes":   func(request *rpc.HeartbeatRequest) { request.KnownNodes = math.MaxInt },
		"negative demand": func(request *rpc.HeartbeatRequest) {
			request.TenantDemands = []rpc.RateDemand{{Name: "t", Rate: -1}}
		},
		"no number": func(request *rpc.HeartbeatRequest) {
			request.TenantDemands = []rpc.RateDemand{{Name: "t", Rate: math.NaN()}}
		},
		"absurd demand": func(request *rpc.HeartbeatRequest) {
			request.TenantDemands = []rpc.RateDemand{{Name: "t", Rate: math.Inf(1)}}
		},
		"floor beyond all": func(request *rpc.HeartbeatRequest) {
			request.TenantDemands = []rpc.RateDemand{{Name: "t", Minimum: 1.5}}
		},
		"negative floor": func(request *rpc.HeartbeatRequest) {
			request.RetryDemands = []rpc.RateDemand{{Name: "s", Minimum: -0.1}}
		},
		"absurd retries": func(request *rpc.HeartbeatRequest) {
			request.RetryDemands = []rpc.RateDemand{{Name: "s", Rate: 1e12}}
		},
		"negative load": func(request *rpc.HeartbeatRequest) {
			request.Loads = []rpc.Load{{Service: "s", InFlight: -5}}
		},
		"absurd load": func(request *rpc.HeartbeatRequest) {
			request.Loads = []rpc.Load{{Service: "s", InFlight: math.MaxInt}}
		},
		"absurd outcomes": func(request *rpc.HeartbeatRequest) {
			request.Outcomes = []rpc.OutcomeCount{{Service: "s", Failed: math.MaxUint32}}
		},
		"long service": func(request *rpc.HeartbeatRequest) {
			request.Outcomes = []rpc.OutcomeCount{{Service: rpc.ServiceName(longName)}}
		},
		"too many demands": func(request *rpc.HeartbeatRequest) {
			request.TenantDemands = make([]rpc.RateDemand, maxDemands+1)
		},
		"long tenant demand": func(request *rpc.HeartbeatRequest) {
			request.TenantDemands = []rpc.RateDemand{{Name: longName}}
		},
	}
}

func TestMalformedHeartbeatsAreRejectedAndChangeNothing(t *testing.T) {
	good := rpc.HeartbeatRequest{
		Node:       rpc.Node{ID: "e", Zone: "z", Ready: true},
		KnownState: rpc.KnownState{Term: 7, LastItem: rpc.AfterAllItems, EndpointsComplete: true},
	}
	for name, corrupt := range malformedHeartbeats() {
		c := newTestCoordinator()
		request := good
		corrupt(&request)
		revision := c.revisions.Current()
		var update rpc.Update
		if err := c.Heartbeat(t.Context(), request, &update); !errors.As(err, new(*InvalidCallError)) {
			t.Errorf("%s: %v", name, err)
		}
		if c.nodes.registry.Count() != 0 || c.revisions.Current() != revision || len(c.outcomes.pendingByOwner) != 0 ||
			len(c.followers.byNode) != 0 ||
			!reflect.DeepEqual(update, rpc.Update{}) {
			t.Errorf("%s has changed something", name)
		}
	}
	c := newTestCoordinator()
	var update rpc.Update
	if err := c.Heartbeat(t.Context(), good, &update); err != nil || c.nodes.registry.Count() != 1 {
		t.Errorf("a good heartbeat: %v", err)
	}
}

// A heartbeat that is held open ends with the node's connection, and nothing is made for nobody.
func TestAHeldHeartbeatEndsWithItsNode(t *testing.T) {
	c := newTestCoordinator()
	request := rpc.HeartbeatRequest{
		Node:       rpc.Node{ID: "e", Zone: "z", Ready: true},
		KnownState: rpc.KnownState{Term: 7, LastItem: rpc.AfterAllItems, EndpointsComplete: true},
		MaxWait:    time.Second,
	}
	request.Revision = c.revisions.Current() + 100
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	var update rpc.Update
	go func() { ended <- c.Heartbeat(ctx, request, &update) }()
	cancel()
	if err := <-ended; err != nil || !reflect.DeepEqual(update, rpc.Update{}) {
		t.Errorf("%+v, %v", update, err)
	}
}

func TestMalformedReportsAreRejectedAndChangeNothing(t *testing.T) {
	report := func() rpc.HealthReport {
		return rpc.HealthReport{
			Node:    "e",
			Term:    7,
			Service: "s",
			States:  []rpc.EndpointState{{Endpoint: "a", Health: rpc.Healthy}},
		}
	}
	for name, corrupt := range map[string]func(request *rpc.HealthReport){
		"no name":            func(request *rpc.HealthReport) { request.Node = "" },
		"later term":         func(request *rpc.HealthReport) { request.Term = 8 },
		"map never sent":     func(request *rpc.HealthReport) { request.ShardMapRevision = 99 },
		"another's backend":  func(request *rpc.HealthReport) { request.Service = "t" },
		"no health":          func(request *rpc.HealthReport) { request.States[0].Health = 9 },
		"negative cold":      func(request *rpc.HealthReport) { request.States[0].WarmupRemaining = -1 },
		"absurd cold":        func(request *rpc.HealthReport) { request.States[0].WarmupRemaining = 1000 * time.Hour },
		"long ejecting zone": func(request *rpc.HealthReport) { request.States[0].EjectedFor = longName },
	} {
		c := newTestCoordinator()
		for _, complete := range []bool{false, true} {
			c.mergeEndpoints([]rpc.Endpoint{{ID: "a", Service: "s", Address: "x:1"}}, complete)
		}
		request := report()
		corrupt(&request)
		revision := c.revisions.Current()
		if c.Report(request) || c.revisions.Current() != revision {
			t.Errorf("%s was taken", name)
		}
		if !c.Report(report()) {
			t.Errorf("after %s a good report is rejected", name)
		}
	}
}
