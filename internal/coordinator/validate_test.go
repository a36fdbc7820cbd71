package coordinator

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

var longName = strings.Repeat("x", 300)

func TestMalformedHeartbeatsAreRejectedAndChangeNothing(t *testing.T) {
	good := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Site: "z", Ready: true}, Seen: rpc.Seen{Term: 7, ItemAt: rpc.AllItems, Listed: true}}
	for name, spoil := range map[string]func(request *rpc.BeatAsk){
		"no name":            func(request *rpc.BeatAsk) { request.ID = "" },
		"long name":          func(request *rpc.BeatAsk) { request.ID = rpc.FellowID(longName) },
		"long address":       func(request *rpc.BeatAsk) { request.Front = longName },
		"negative hold":      func(request *rpc.BeatAsk) { request.Hold = -time.Second },
		"endless hold":       func(request *rpc.BeatAsk) { request.Hold = time.Hour },
		"negative nodes":     func(request *rpc.BeatAsk) { request.Known = -1 },
		"absurd nodes":       func(request *rpc.BeatAsk) { request.Known = math.MaxInt },
		"negative demand":    func(request *rpc.BeatAsk) { request.Demands = []rpc.Demand{{Tenant: "t", Rate: -1}} },
		"no number":          func(request *rpc.BeatAsk) { request.Demands = []rpc.Demand{{Tenant: "t", Rate: math.NaN()}} },
		"absurd demand":      func(request *rpc.BeatAsk) { request.Demands = []rpc.Demand{{Tenant: "t", Rate: math.Inf(1)}} },
		"floor beyond all":   func(request *rpc.BeatAsk) { request.Demands = []rpc.Demand{{Tenant: "t", Floor: 1.5}} },
		"negative floor":     func(request *rpc.BeatAsk) { request.Retries = []rpc.Demand{{Tenant: "s", Floor: -0.1}} },
		"absurd retries":     func(request *rpc.BeatAsk) { request.Retries = []rpc.Demand{{Tenant: "s", Rate: 1e12}} },
		"negative load":      func(request *rpc.BeatAsk) { request.Burdens = []rpc.Burden{{Service: "s", AtWork: -5}} },
		"absurd load":        func(request *rpc.BeatAsk) { request.Burdens = []rpc.Burden{{Service: "s", AtWork: math.MaxInt}} },
		"absurd outcomes":    func(request *rpc.BeatAsk) { request.Tallies = []rpc.Tally{{Service: "s", Bad: math.MaxUint32}} },
		"long service":       func(request *rpc.BeatAsk) { request.Tallies = []rpc.Tally{{Service: rpc.ServiceName(longName)}} },
		"too many demands":   func(request *rpc.BeatAsk) { request.Demands = make([]rpc.Demand, maxDemands+1) },
		"long tenant demand": func(request *rpc.BeatAsk) { request.Demands = []rpc.Demand{{Tenant: longName}} },
	} {
		c := newTestCoordinator()
		request := good
		spoil(&request)
		epoch := c.clock.Now()
		var update rpc.News
		if err := c.Heartbeat(request, &update); !errors.As(err, new(*InvalidCallError)) {
			t.Errorf("%s: %v", name, err)
		}
		if c.nodes.registry.Count() != 0 || c.clock.Now() != epoch || len(c.outcomes.pendingByOwner) != 0 || len(c.followers.byNode) != 0 || !reflect.DeepEqual(update, rpc.News{}) {
			t.Errorf("%s has changed something", name)
		}
	}
	c := newTestCoordinator()
	var update rpc.News
	if err := c.Heartbeat(good, &update); err != nil || c.nodes.registry.Count() != 1 {
		t.Errorf("a good heartbeat: %v", err)
	}
}

func TestMalformedReportsAreRejectedAndChangeNothing(t *testing.T) {
	report := func() rpc.ReportAsk {
		return rpc.ReportAsk{Fellow: "e", Term: 7, Service: "s", States: []rpc.State{{Server: "a", Health: rpc.Up}}}
	}
	for name, spoil := range map[string]func(request *rpc.ReportAsk){
		"no name":            func(request *rpc.ReportAsk) { request.Fellow = "" },
		"later term":         func(request *rpc.ReportAsk) { request.Term = 8 },
		"map never sent":     func(request *rpc.ReportAsk) { request.Count = 99 },
		"another's backend":  func(request *rpc.ReportAsk) { request.Service = "t" },
		"no health":          func(request *rpc.ReportAsk) { request.States[0].Health = 9 },
		"negative cold":      func(request *rpc.ReportAsk) { request.States[0].Cold = -1 },
		"absurd cold":        func(request *rpc.ReportAsk) { request.States[0].Cold = 1000 * time.Hour },
		"long ejecting zone": func(request *rpc.ReportAsk) { request.States[0].Aside = longName },
	} {
		c := newTestCoordinator()
		for _, complete := range []bool{false, true} {
			c.mergeEndpoints([]rpc.Server{{ID: "a", Service: "s", Address: "x:1"}}, complete)
		}
		request := report()
		spoil(&request)
		epoch := c.clock.Now()
		if c.Report(request) || c.clock.Now() != epoch {
			t.Errorf("%s was taken", name)
		}
		if !c.Report(report()) {
			t.Errorf("after %s a good report is rejected", name)
		}
	}
}
