package schedule

import (
	"strings"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

const threeRegions = `{"version":1,"step":0.25,"every":"5s","room":0.8,"targets":[{"host":"book.example","time_zone":"Europe/Berlin","spans":[
 {"from":"06:00","to":"14:00","weights":{"east":1},"ramp":"30m"},
 {"from":"14:00","to":"22:00","weights":{"mid":1},"ramp":"30m"},
 {"from":"22:00","to":"06:00","weights":{"west":3,"mid":1},"ramp":"0s"}]}]}`

func parsePlan(t *testing.T, body string) (plan *Plan) {
	t.Helper()
	plan, err := Parse([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestPlanNamesEachFault(t *testing.T) {
	plan := parsePlan(t, threeRegions)
	err := plan.Check(func(string) bool { return true }, func(region rpc.RegionName) bool { return region != "west" })
	if err == nil || !strings.Contains(err.Error(), `unknown region "west"`) {
		t.Fatal(err)
	}
	_, err = Parse([]byte(`{"version":0,"step":0,"every":"1ms","room":2,"targets":[
	 {"time_zone":"Mars/Base","spans":[]},
	 {"service":"s","time_zone":"UTC","spans":[{"from":"08:00","to":"08:00","weights":{"a":1},"ramp":"0s"},{"from":"09:00","to":"10:00","weights":{"a":0},"ramp":"2h"},{"from":"09:30","to":"11:00","weights":{"a":-1},"ramp":"0s"}]},
	 {"service":"s","time_zone":"UTC","spans":[{"from":"23:00","to":"01:00","weights":{"a":1},"ramp":"0s"},{"from":"00:30","to":"02:00","weights":{"a":1},"ramp":"0s"}]}]}`))
	if err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatal(err)
	}
	for _, fault := range []string{
		"version ", "step ", "every ", "room ", "targets.0 must name", `"Mars/Base" is no known`, "targets.0.spans",
		"targets.1.spans.0 is empty", "spans.1.ramp is longer", "spans.1.weights sum to 0", "spans.2 overlaps span 1",
		"no number of 0 or more", "targets.2 names service s again", "targets.2.spans.1 overlaps span 0",
	} {
		if !strings.Contains(err.Error(), fault) {
			t.Errorf("%q is not named in %q", fault, err)
		}
	}
}

func TestWeightsOverADay(t *testing.T) {
	plan := parsePlan(t, threeRegions)
	berlin, _ := time.LoadLocation("Europe/Berlin")
	at := func(day, hour, minute int) Weights {
		return plan.Targets[0].Weights(time.Date(2026, 3, day, hour, minute, 0, 0, berlin))
	}
	for _, c := range []struct {
		day, hour, minute int
		region            rpc.RegionName
		weight            int
	}{
		{10, 6, 0, "east", 0},
		{10, 6, 15, "east", 500},
		{10, 6, 15, "west", 375},
		{10, 7, 0, "east", 1000},
		{10, 14, 0, "east", 1000},
		{10, 14, 15, "mid", 500},
		{10, 23, 0, "west", 750},
		{11, 0, 30, "west", 750},
		{11, 5, 59, "mid", 250},
		// Summer time begins on the 29th, at 2:00.
		{29, 1, 59, "west", 750},
		{29, 3, 1, "west", 750},
		{29, 6, 15, "east", 500},
	} {
		if got := at(c.day, c.hour, c.minute)[c.region]; got != c.weight {
			t.Errorf("%d. %02d:%02d %s: %d, want %d", c.day, c.hour, c.minute, c.region, got, c.weight)
		}
	}
	// A gap in the day has no weights; neither has a span that is over.
	gap := parsePlan(t, `{"version":1,"step":1,"every":"1s","room":1,"targets":[{"service":"s","time_zone":"UTC","spans":[{"from":"08:00","to":"09:00","weights":{"a":1},"ramp":"0s"}]}]}`)
	if gap.Targets[0].Weights(time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)) != nil ||
		gap.Targets[0].Weights(time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)) == nil {
		t.Error("a gap must leave the weights open")
	}
}

// Where an hour comes twice, a span that has begun does not begin again.
func TestTheHourThatComesTwice(t *testing.T) {
	plan := parsePlan(t, `{"version":1,"step":1,"every":"1s","room":1,"targets":[{"service":"s","time_zone":"Europe/Berlin","spans":[
	 {"from":"00:00","to":"02:30","weights":{"a":1},"ramp":"0s"},{"from":"02:30","to":"24:00","weights":{"b":1},"ramp":"0s"}]}]}`)
	// Summer time ends on 2026-10-25 at 3:00, which becomes 2:00.
	begun := false
	for now := time.Date(2026, 10, 24, 23, 0, 0, 0, time.UTC); now.Before(time.Date(2026, 10, 25, 20, 0, 0, 0, time.UTC)); now = now.Add(time.Minute) {
		weights := plan.Targets[0].Weights(now)
		if weights == nil {
			t.Fatalf("%s: no weights", now)
		}
		if begun && weights["b"] != WeightSum {
			t.Fatalf("%s: went back", now)
		}
		begun = begun || weights["b"] == WeightSum
	}
	if !begun {
		t.Fatal("the second span never began")
	}
}
