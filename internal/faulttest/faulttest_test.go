package faulttest

import (
	"strings"
	"testing"
	"time"
)

func TestCheckNamesOptionsOutOfRange(t *testing.T) {
	good := Options{Operations: 1, Time: time.Second, Clients: 1, Seed: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	if err := DefaultOptions.Check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		change func(*Options)
	}{
		{"rounds", func(o *Options) { o.Operations = 0 }},
		{"rounds", func(o *Options) { o.Operations = -1 }},
		{"rounds", func(o *Options) { o.Operations = MaxOperations + 1 }},
		{"for", func(o *Options) { o.Time = 0 }},
		{"for", func(o *Options) { o.Time = -time.Second }},
		{"for", func(o *Options) { o.Time = MaxTime + 1 }},
		{"clients", func(o *Options) { o.Clients = 0 }},
		{"clients", func(o *Options) { o.Clients = -3 }},
		{"clients", func(o *Options) { o.Clients = MaxClients + 1 }},
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
func TestMismatchesAreCounted(t *testing.T) {
	type event struct {
		kind     Kind
		runs     int
		observed Outcome
		other    bool // the answer is of a run that is not there
	}
	for name, c := range map[string]struct {
		attempts []event
		want     KindSummary
	}{
		"served": {[]event{{NonIdempotent, 1, Served, false}}, KindSummary{}},
		"unknown": {
			[]event{{NonIdempotent, 1, Unknown, false}, {NonIdempotent, 0, Unknown, false}},
			KindSummary{},
		},
		"promised": {
			[]event{{NonIdempotent, 0, NotRun, false}, {NonIdempotent, 1, Served, false}},
			KindSummary{},
		},
		"as often as it may":        {[]event{{Idempotent, 3, Served, false}}, KindSummary{}},
		"a key's answer again":      {[]event{{Keyed, 1, Served, false}, {Keyed, 0, Served, false}}, KindSummary{}},
		"twice":                     {[]event{{NonIdempotent, 2, Served, false}}, KindSummary{Repeats: 1}},
		"twice for one who is gone": {[]event{{NonIdempotent, 2, ClientGone, false}}, KindSummary{Repeats: 1}},
		"oftener than it may":       {[]event{{Idempotent, 4, Served, false}}, KindSummary{Repeats: 1}},
		"a key twice": {
			[]event{{Keyed, 1, Unknown, false}, {Keyed, 1, Unknown, false}},
			KindSummary{Repeats: 1},
		},
		"a promise broken":        {[]event{{NonIdempotent, 1, NotRun, false}}, KindSummary{RanAfterNotRun: 1}},
		"a key's promise broken":  {[]event{{Keyed, 1, NotRun, false}}, KindSummary{RanAfterNotRun: 1}},
		"a success without a run": {[]event{{NonIdempotent, 0, Served, false}}, KindSummary{WithoutRun: 1}},
		"a failure without a run": {[]event{{NonIdempotent, 0, BackendFailure, false}}, KindSummary{WithoutRun: 1}},
		"a key's of no run":       {[]event{{Keyed, 0, Served, false}}, KindSummary{WithoutRun: 1}},
		"a key's of another run":  {[]event{{Keyed, 1, Served, true}}, KindSummary{WithoutRun: 1}},
		"another's":               {[]event{{NonIdempotent, 1, WrongResponse, false}}, KindSummary{WrongResponse: 1}},
		"lost":                    {[]event{{NonIdempotent, 1, Lost, false}}, KindSummary{Lost: 1}},
		"at work, without a key":  {[]event{{NonIdempotent, 1, InProgress, false}}, KindSummary{Unexpected: 1}},
		"a status that cannot be": {[]event{{NonIdempotent, 1, Unexpected, false}}, KindSummary{Unexpected: 1}},
	} {
		log := NewRequestLog()
		for attempt, event := range c.attempts {
			id := IDOf(7, attempt)
			log.RecordSend(id, event.kind)
			for range event.runs {
				log.RecordRun(id)
			}
			executedBy := IDOf(7, 0)
			if event.other {
				executedBy = IDOf(7, 9)
			}
			log.RecordOutcome(id, event.observed, executedBy)
		}
		got, mismatches := sumOf(log.Summarize(3))
		if got != c.want || mismatches != c.want.Mismatches() {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func sumOf(lines [kindCount]KindSummary) (sum KindSummary, mismatches int) {
	for _, line := range lines {
		sum.Repeats += line.Repeats
		sum.RanAfterNotRun += line.RanAfterNotRun
		sum.WrongResponse += line.WrongResponse
		sum.WithoutRun += line.WithoutRun
		sum.Lost += line.Lost
		sum.Unexpected += line.Unexpected
		mismatches += line.Mismatches()
	}
	return sum, mismatches
}

func TestRunThatNobodySentIsUnexpected(t *testing.T) {
	log := NewRequestLog()
	log.RecordRun(IDOf(1, 0))
	if lines := log.Summarize(3); lines[0].Unexpected != 1 {
		t.Error("a run of a request that nobody sent is not found")
	}
}

func TestFaultsAreDrawnWhereTheyApply(t *testing.T) {
	for _, c := range []struct{ rested, body bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		drawn := map[Fault]bool{}
		for at := range 1000 {
			fault := draw(at, c.rested, c.body)
			drawn[fault] = true
			at := faultSpecs[fault].where
			if at == onReused && !c.rested || at == onFresh && c.rested || at == onBody && !c.body {
				t.Fatalf("%s for %+v", faultSpecs[fault].name, c)
			}
		}
		for fault, spec := range faultSpecs {
			if spec.where == anyConnection && !drawn[Fault(fault)] {
				t.Errorf("%s is never drawn for %+v", spec.name, c)
			}
		}
	}
}
