package coordinator

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"tinpin/internal/parley"
)

var long = strings.Repeat("x", 300)

func TestMalformedBeatsAreRefusedAndChangeNothing(t *testing.T) {
	good := parley.BeatAsk{Fellow: parley.Fellow{ID: "e", Site: "z", Ready: true}, Seen: parley.Seen{Term: 7, ItemAt: parley.AllItems, Listed: true}}
	for name, spoil := range map[string]func(ask *parley.BeatAsk){
		"no name":            func(ask *parley.BeatAsk) { ask.ID = "" },
		"long name":          func(ask *parley.BeatAsk) { ask.ID = parley.FellowID(long) },
		"long address":       func(ask *parley.BeatAsk) { ask.Front = long },
		"negative hold":      func(ask *parley.BeatAsk) { ask.Hold = -time.Second },
		"endless hold":       func(ask *parley.BeatAsk) { ask.Hold = time.Hour },
		"negative fellows":   func(ask *parley.BeatAsk) { ask.Known = -1 },
		"absurd fellows":     func(ask *parley.BeatAsk) { ask.Known = math.MaxInt },
		"negative demand":    func(ask *parley.BeatAsk) { ask.Demands = []parley.Demand{{Tenant: "t", Rate: -1}} },
		"no number":          func(ask *parley.BeatAsk) { ask.Demands = []parley.Demand{{Tenant: "t", Rate: math.NaN()}} },
		"absurd demand":      func(ask *parley.BeatAsk) { ask.Demands = []parley.Demand{{Tenant: "t", Rate: math.Inf(1)}} },
		"floor beyond all":   func(ask *parley.BeatAsk) { ask.Demands = []parley.Demand{{Tenant: "t", Floor: 1.5}} },
		"negative floor":     func(ask *parley.BeatAsk) { ask.Retries = []parley.Demand{{Tenant: "s", Floor: -0.1}} },
		"absurd retries":     func(ask *parley.BeatAsk) { ask.Retries = []parley.Demand{{Tenant: "s", Rate: 1e12}} },
		"negative work":      func(ask *parley.BeatAsk) { ask.Burdens = []parley.Burden{{Service: "s", AtWork: -5}} },
		"absurd work":        func(ask *parley.BeatAsk) { ask.Burdens = []parley.Burden{{Service: "s", AtWork: math.MaxInt}} },
		"absurd outcomes":    func(ask *parley.BeatAsk) { ask.Tallies = []parley.Tally{{Service: "s", Bad: math.MaxUint32}} },
		"long service":       func(ask *parley.BeatAsk) { ask.Tallies = []parley.Tally{{Service: parley.ServiceName(long)}} },
		"too many demands":   func(ask *parley.BeatAsk) { ask.Demands = make([]parley.Demand, demandsMost+1) },
		"long tenant demand": func(ask *parley.BeatAsk) { ask.Demands = []parley.Demand{{Tenant: long}} },
	} {
		f := bare()
		ask := good
		spoil(&ask)
		epoch := f.clock.Now()
		var news parley.News
		if err := f.Beat(ask, &news); err == nil || !Class.Has(err) {
			t.Errorf("%s: %v", name, err)
		}
		if f.roll.Count() != 0 || f.clock.Now() != epoch || len(f.tallies) != 0 || len(f.orders.follows) != 0 || !reflect.DeepEqual(news, parley.News{}) {
			t.Errorf("%s has changed something", name)
		}
	}
	f := bare()
	var news parley.News
	if err := f.Beat(good, &news); err != nil || f.roll.Count() != 1 {
		t.Errorf("a good beat: %v", err)
	}
}

func TestMalformedReportsAreRefusedAndChangeNothing(t *testing.T) {
	report := func() parley.ReportAsk {
		return parley.ReportAsk{Fellow: "e", Term: 7, Service: "s", States: []parley.State{{Server: "a", Health: parley.Up}}}
	}
	for name, spoil := range map[string]func(ask *parley.ReportAsk){
		"no name":           func(ask *parley.ReportAsk) { ask.Fellow = "" },
		"later term":        func(ask *parley.ReportAsk) { ask.Term = 8 },
		"map never told":    func(ask *parley.ReportAsk) { ask.Count = 99 },
		"another's backend": func(ask *parley.ReportAsk) { ask.Service = "t" },
		"no health":         func(ask *parley.ReportAsk) { ask.States[0].Health = 9 },
		"negative cold":     func(ask *parley.ReportAsk) { ask.States[0].Cold = -1 },
		"absurd cold":       func(ask *parley.ReportAsk) { ask.States[0].Cold = 1000 * time.Hour },
		"long aside":        func(ask *parley.ReportAsk) { ask.States[0].Aside = long },
	} {
		f := bare()
		for _, whole := range []bool{false, true} {
			f.merge([]parley.Server{{ID: "a", Service: "s", Address: "x:1"}}, whole)
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
