package coordinator

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

var long = strings.Repeat("x", 300)

func TestMalformedBeatsAreRefusedAndChangeNothing(t *testing.T) {
	good := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Site: "z", Ready: true}, Seen: rpc.Seen{Term: 7, ItemAt: rpc.AllItems, Listed: true}}
	for name, spoil := range map[string]func(ask *rpc.BeatAsk){
		"no name":            func(ask *rpc.BeatAsk) { ask.ID = "" },
		"long name":          func(ask *rpc.BeatAsk) { ask.ID = rpc.FellowID(long) },
		"long address":       func(ask *rpc.BeatAsk) { ask.Front = long },
		"negative hold":      func(ask *rpc.BeatAsk) { ask.Hold = -time.Second },
		"endless hold":       func(ask *rpc.BeatAsk) { ask.Hold = time.Hour },
		"negative fellows":   func(ask *rpc.BeatAsk) { ask.Known = -1 },
		"absurd fellows":     func(ask *rpc.BeatAsk) { ask.Known = math.MaxInt },
		"negative demand":    func(ask *rpc.BeatAsk) { ask.Demands = []rpc.Demand{{Tenant: "t", Rate: -1}} },
		"no number":          func(ask *rpc.BeatAsk) { ask.Demands = []rpc.Demand{{Tenant: "t", Rate: math.NaN()}} },
		"absurd demand":      func(ask *rpc.BeatAsk) { ask.Demands = []rpc.Demand{{Tenant: "t", Rate: math.Inf(1)}} },
		"floor beyond all":   func(ask *rpc.BeatAsk) { ask.Demands = []rpc.Demand{{Tenant: "t", Floor: 1.5}} },
		"negative floor":     func(ask *rpc.BeatAsk) { ask.Retries = []rpc.Demand{{Tenant: "s", Floor: -0.1}} },
		"absurd retries":     func(ask *rpc.BeatAsk) { ask.Retries = []rpc.Demand{{Tenant: "s", Rate: 1e12}} },
		"negative work":      func(ask *rpc.BeatAsk) { ask.Burdens = []rpc.Burden{{Service: "s", AtWork: -5}} },
		"absurd work":        func(ask *rpc.BeatAsk) { ask.Burdens = []rpc.Burden{{Service: "s", AtWork: math.MaxInt}} },
		"absurd outcomes":    func(ask *rpc.BeatAsk) { ask.Tallies = []rpc.Tally{{Service: "s", Bad: math.MaxUint32}} },
		"long service":       func(ask *rpc.BeatAsk) { ask.Tallies = []rpc.Tally{{Service: rpc.ServiceName(long)}} },
		"too many demands":   func(ask *rpc.BeatAsk) { ask.Demands = make([]rpc.Demand, demandsMost+1) },
		"long tenant demand": func(ask *rpc.BeatAsk) { ask.Demands = []rpc.Demand{{Tenant: long}} },
	} {
		f := bare()
		ask := good
		spoil(&ask)
		epoch := f.clock.Now()
		var news rpc.News
		if err := f.Heartbeat(ask, &news); err == nil || !Class.Has(err) {
			t.Errorf("%s: %v", name, err)
		}
		if f.roll.Count() != 0 || f.clock.Now() != epoch || len(f.tallies) != 0 || len(f.orders.follows) != 0 || !reflect.DeepEqual(news, rpc.News{}) {
			t.Errorf("%s has changed something", name)
		}
	}
	f := bare()
	var news rpc.News
	if err := f.Heartbeat(good, &news); err != nil || f.roll.Count() != 1 {
		t.Errorf("a good beat: %v", err)
	}
}

func TestMalformedReportsAreRefusedAndChangeNothing(t *testing.T) {
	report := func() rpc.ReportAsk {
		return rpc.ReportAsk{Fellow: "e", Term: 7, Service: "s", States: []rpc.State{{Server: "a", Health: rpc.Up}}}
	}
	for name, spoil := range map[string]func(ask *rpc.ReportAsk){
		"no name":           func(ask *rpc.ReportAsk) { ask.Fellow = "" },
		"later term":        func(ask *rpc.ReportAsk) { ask.Term = 8 },
		"map never told":    func(ask *rpc.ReportAsk) { ask.Count = 99 },
		"another's backend": func(ask *rpc.ReportAsk) { ask.Service = "t" },
		"no health":         func(ask *rpc.ReportAsk) { ask.States[0].Health = 9 },
		"negative cold":     func(ask *rpc.ReportAsk) { ask.States[0].Cold = -1 },
		"absurd cold":       func(ask *rpc.ReportAsk) { ask.States[0].Cold = 1000 * time.Hour },
		"long aside":        func(ask *rpc.ReportAsk) { ask.States[0].Aside = long },
	} {
		f := bare()
		for _, whole := range []bool{false, true} {
			f.merge([]rpc.Server{{ID: "a", Service: "s", Address: "x:1"}}, whole)
		}
		ask := report()
		spoil(&ask)
		epoch := f.clock.Now()
		if f.Report(ask) || f.clock.Now() != epoch {
			t.Errorf("%s was taken", name)
		}
		if !f.Report(report()) {
			t.Errorf("after %s a good report is refused", name)
		}
	}
}
