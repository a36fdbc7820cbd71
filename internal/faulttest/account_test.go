package faulttest

import (
	"strings"
	"testing"
	"time"
)

func TestOptionsOutOfBoundsAreNamed(t *testing.T) {
	good := Options{Rounds: 1, Time: time.Second, Clients: 1, Seed: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	if err := Usual.Check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		change func(*Options)
	}{
		{"rounds", func(o *Options) { o.Rounds = 0 }},
		{"rounds", func(o *Options) { o.Rounds = -1 }},
		{"rounds", func(o *Options) { o.Rounds = RoundsMost + 1 }},
		{"for", func(o *Options) { o.Time = 0 }},
		{"for", func(o *Options) { o.Time = -time.Second }},
		{"for", func(o *Options) { o.Time = TimeMost + 1 }},
		{"clients", func(o *Options) { o.Clients = 0 }},
		{"clients", func(o *Options) { o.Clients = -3 }},
		{"clients", func(o *Options) { o.Clients = ClientsMost + 1 }},
		{"seed", func(o *Options) { o.Seed = 0 }},
	} {
		options := good
		c.change(&options)
		if err := options.Check(); err == nil || !strings.Contains(err.Error(), c.name+":") {
			t.Errorf("%+v: %v", options, err)
		}
	}
}

// Each thing that does not agree is one mismatch, in its column.
func TestWhatDoesNotAgreeIsCounted(t *testing.T) {
	type event struct {
		kind  Kind
		runs  int
		told  Told
		other bool // the answer is of a run that is not there
	}
	for name, c := range map[string]struct {
		tries []event
		want  Line
	}{
		"served":                    {[]event{{Once, 1, Served, false}}, Line{}},
		"unknown":                   {[]event{{Once, 1, Unknown, false}, {Once, 0, Unknown, false}}, Line{}},
		"promised":                  {[]event{{Once, 0, Promised, false}, {Once, 1, Served, false}}, Line{}},
		"as often as it may":        {[]event{{Repeatable, 3, Served, false}}, Line{}},
		"a key's answer again":      {[]event{{Keyed, 1, Served, false}, {Keyed, 0, Served, false}}, Line{}},
		"twice":                     {[]event{{Once, 2, Served, false}}, Line{Repeats: 1}},
		"twice for one who is gone": {[]event{{Once, 2, Gone, false}}, Line{Repeats: 1}},
		"oftener than it may":       {[]event{{Repeatable, 4, Served, false}}, Line{Repeats: 1}},
		"a key twice":               {[]event{{Keyed, 1, Unknown, false}, {Keyed, 1, Unknown, false}}, Line{Repeats: 1}},
		"a promise broken":          {[]event{{Once, 1, Promised, false}}, Line{Promises: 1}},
		"a key's promise broken":    {[]event{{Keyed, 1, Promised, false}}, Line{Promises: 1}},
		"a success without a run":   {[]event{{Once, 0, Served, false}}, Line{Unrun: 1}},
		"a failure without a run":   {[]event{{Once, 0, OwnFailure, false}}, Line{Unrun: 1}},
		"a key's of no run":         {[]event{{Keyed, 0, Served, false}}, Line{Unrun: 1}},
		"a key's of another run":    {[]event{{Keyed, 1, Served, true}}, Line{Unrun: 1}},
		"another's":                 {[]event{{Once, 1, Crossed, false}}, Line{Crossed: 1}},
		"lost":                      {[]event{{Once, 1, Lost, false}}, Line{Lost: 1}},
		"at work, without a key":    {[]event{{Once, 1, AtWork, false}}, Line{Strange: 1}},
		"a status that cannot be":   {[]event{{Once, 1, Strange, false}}, Line{Strange: 1}},
	} {
		ledger := NewLedger()
		for try, event := range c.tries {
			id := IDOf(7, try)
			ledger.Send(id, event.kind)
			for range event.runs {
				ledger.Run(id)
			}
			ran := IDOf(7, 0)
			if event.other {
				ran = IDOf(7, 9)
			}
			ledger.Tell(id, event.told, ran)
		}
		var got Line
		mismatches := 0
		for _, line := range ledger.Balance(3) {
			got.Repeats, got.Promises, got.Crossed = got.Repeats+line.Repeats, got.Promises+line.Promises, got.Crossed+line.Crossed
			got.Unrun, got.Lost, got.Strange = got.Unrun+line.Unrun, got.Lost+line.Lost, got.Strange+line.Strange
			mismatches += line.Mismatches()
		}
		if got != c.want || mismatches != c.want.Mismatches() {
			t.Errorf("%s: %+v", name, got)
		}
	}
	ledger := NewLedger()
	ledger.Run(IDOf(1, 0))
	if lines := ledger.Balance(3); lines[0].Strange != 1 {
		t.Error("a run of a request that nobody sent is not found")
	}
}

func TestTroublesAreDrawnWhereTheyFit(t *testing.T) {
	for _, c := range []struct{ rested, body bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		met := map[Trouble]bool{}
		for at := range 1000 {
			trouble := draw(at, c.rested, c.body)
			met[trouble] = true
			if at := ways[trouble].where; at == onRested && !c.rested || at == onFresh && c.rested || at == onBody && !c.body {
				t.Fatalf("%s for %+v", ways[trouble].name, c)
			}
		}
		for trouble, way := range ways {
			if way.where == anywhere && !met[Trouble(trouble)] {
				t.Errorf("%s is never drawn for %+v", way.name, c)
			}
		}
	}
}
