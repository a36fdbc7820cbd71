package schedule_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/directory"
	"tinpin/internal/idempotency"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
	"tinpin/internal/statemachine"
)

// A whole day rolls over three regions in simulated time, over midnight and
// over the change to summer time. The agreed state, the stepper, the
// directory's answers and the daemons' books of keys are the real ones; cores'
// clocks differ, leaders, daemons and whole regions are lost at steps, and
// clients repeat their taps across each step, often in another region. Every
// tap is one run, and callers are served by a region that is awake whenever
// one can serve.

const dayPlan = `{"version":1,"step":0.25,"every":"20s","room":0.9,"targets":[{"host":"book.example","time_zone":"Europe/Berlin","spans":[
 {"from":"06:00","to":"14:00","weights":{"east":1},"ramp":"20m"},
 {"from":"14:00","to":"22:00","weights":{"mid":1},"ramp":"20m"},
 {"from":"22:00","to":"06:00","weights":{"west":1},"ramp":"20m"}]}]}`

var regions = []rpc.RegionName{"east", "mid", "west"}

type dayEdge struct {
	rpc.Node
	life    uint64
	book    *idempotency.Store
	weights schedule.Weights
	count   uint64
	downTil time.Duration
}

type dayTap struct {
	key    string
	region rpc.RegionName
	due    time.Duration
	tries  int
}

type day struct {
	t       *testing.T
	luck    *rand.Rand
	now     time.Duration
	start   time.Time
	rev     uint64
	state   *statemachine.State
	plan    *schedule.Plan
	stepper *schedule.Stepper
	clocks  []time.Duration
	leader  int
	noLead  time.Duration
	edges   []*dayEdge
	darkTil map[rpc.RegionName]time.Duration
	taps    []dayTap
	runs    map[string]int
	asked   int
	served  int
	asleep  int
	moves   int
	unsafe  bool // a planted fault: repeats elsewhere run again
}

func newDay(t *testing.T, seed int64, unsafe bool) *day {
	plan, err := schedule.Parse([]byte(dayPlan))
	if err != nil {
		t.Fatal(err)
	}
	d := &day{
		t: t, luck: rand.New(rand.NewSource(seed)), start: time.Date(2026, 3, 28, 19, 0, 0, 0, time.UTC), state: statemachine.NewState(), plan: plan, stepper: &schedule.Stepper{},
		clocks: []time.Duration{-90 * time.Second, 0, 45 * time.Second}, darkTil: map[rpc.RegionName]time.Duration{}, runs: map[string]int{}, unsafe: unsafe,
	}
	items := config.New()
	if err = items.Apply([]byte(`{"upserts":{"services":{"column_names":["name","version"],"row_values":[["book",1]]}}}`), 1); err != nil {
		t.Fatal(err)
	}
	d.state.Config = items
	if result := d.apply(statemachine.Command{Kind: statemachine.CommandDocument, Subject: string(policy.DayPlan), Body: []byte(dayPlan)}); result.Err != nil {
		t.Fatal(result.Err)
	}
	for _, region := range regions {
		for i := range 2 {
			id := rpc.NodeID(fmt.Sprint(region, "-", i))
			edge := &dayEdge{Node: rpc.Node{ID: id, Region: region, Zone: rpc.ZoneName(region), FrontendAddress: string(id), Ready: true}, life: 1}
			edge.book = idempotency.NewStore(time.Hour, 1<<24, func() time.Duration { return d.now })
			d.edges = append(d.edges, edge)
		}
	}
	return d
}

func (d *day) apply(command statemachine.Command) (result statemachine.Result) {
	d.rev++
	before := d.state.ScheduleStep
	result = d.state.Apply(d.rev, command, d.now)
	if after := d.state.ScheduleStep; after.Rev != before.Rev {
		d.moves++
		if after.Count != before.Count+1 || after.Instant < before.Instant {
			d.t.Fatalf("step %d of %d follows step %d of %d", after.Count, after.Instant, before.Count, before.Instant)
		}
	}
	return result
}

func (d *day) up(region rpc.RegionName) bool { return d.now >= d.darkTil[region] }

// lead is one turn of the leader.
func (d *day) lead() {
	if d.now < d.noLead {
		return
	}
	wall := d.start.Add(d.now + d.clocks[d.leader])
	move, _ := d.stepper.Step(d.now, wall, d.plan, d.state.ScheduleStep, func(schedule.Target) schedule.TargetState {
		stock := map[rpc.RegionName]schedule.RegionCapacity{}
		for _, region := range regions {
			stock[region] = schedule.RegionCapacity{Slots: 40, Usable: 10, Listed: 10}
			if !d.up(region) {
				stock[region] = schedule.RegionCapacity{Listed: 10}
			}
		}
		return schedule.TargetState{Capacity: stock, InFlight: 20}
	})
	if move == nil {
		return
	}
	body, _ := json.Marshal(move)
	if d.apply(statemachine.Command{Kind: statemachine.CommandScheduleStep, Body: body}).Err == nil {
		d.stepper.Committed(d.now)
	}
	// Something is often lost just at a step.
	switch d.luck.Intn(8) {
	case 0:
		d.leader, d.stepper = (d.leader+1)%len(d.clocks), &schedule.Stepper{}
		d.noLead = d.now + time.Minute
	case 1:
		edge := d.edges[d.luck.Intn(len(d.edges))]
		edge.life++
		edge.book = idempotency.NewStore(time.Hour, 1<<24, func() time.Duration { return d.now })
		edge.downTil, edge.count, edge.weights = d.now+20*time.Second, 0, nil
	case 2:
		d.darkTil[regions[d.luck.Intn(len(regions))]] = d.now + 10*time.Minute
	}
}

func (d *day) follow() {
	for _, edge := range d.edges {
		if edge.count == d.state.ScheduleStep.Count || d.luck.Intn(3) == 0 {
			continue
		}
		edge.count, edge.weights = d.state.ScheduleStep.Count, schedule.Weights{}
		for _, target := range d.state.ScheduleStep.Targets {
			for _, part := range target.Weights {
				edge.weights[part.Region] = part.Weight
			}
		}
	}
}

func (d *day) resolve(region rpc.RegionName) (edge *dayEdge) {
	fellows, absent := map[rpc.NodeID]rpc.Node{}, map[rpc.NodeID]bool{}
	var asked *dayEdge
	for _, candidate := range d.edges {
		fellows[candidate.ID] = candidate.Node
		absent[candidate.ID] = d.now < candidate.downTil
		if candidate.Region == region && !absent[candidate.ID] {
			asked = candidate
		}
	}
	if asked == nil {
		return nil
	}
	addresses := directory.Answer(directory.Query{Nodes: fellows, Absent: absent, Weights: asked.weights, Region: string(region), Zone: string(region)})
	front := addresses[d.luck.Intn(len(addresses))]
	for _, candidate := range d.edges {
		if candidate.FrontendAddress == front {
			return candidate
		}
	}
	return nil
}

// serve picks the region of the backend as a daemon does: awake ones first.
func (d *day) serve(edge *dayEdge) (region rpc.RegionName) {
	for _, awake := range []bool{true, false} {
		for _, candidate := range append([]rpc.RegionName{edge.Region}, regions...) {
			if d.up(candidate) && (edge.weights == nil || !awake || edge.weights[candidate] > 0) {
				return candidate
			}
		}
	}
	return ""
}

func (d *day) try(tap dayTap) (served bool) {
	edge := d.resolve(tap.region)
	if edge == nil {
		return false
	}
	request := fmt.Sprint(tap.key, ".", tap.tries)
	op, old := edge.book.Begin(tap.key, request)
	if old != nil {
		return old.Response().State == rpc.OperationCompleted
	}
	claim := statemachine.Claim{Key: tap.key, Request: request, Holder: string(edge.ID), Incarnation: edge.life}
	result := d.apply(statemachine.Command{Kind: statemachine.CommandClaim, Claim: claim})
	if !result.Granted && !d.unsafe {
		edge.book.Abandon(op)
		for _, holder := range d.edges {
			if string(holder.ID) == result.Held.Holder && holder.life == result.Held.Incarnation {
				return holder.book.Find(tap.key, result.Held.Request).State == rpc.OperationCompleted
			}
		}
		return false
	}
	region := d.serve(edge)
	if region == "" {
		edge.book.Release(op)
		d.apply(statemachine.Command{Kind: statemachine.CommandReleaseClaim, Claim: claim})
		return false
	}
	d.runs[tap.key]++
	if edge.weights != nil && edge.weights[region] == 0 {
		for _, other := range regions {
			if edge.weights[other] > 0 && d.up(other) {
				d.asleep++
			}
		}
	}
	if d.luck.Intn(12) == 0 {
		edge.book.SetLost(op)
		return false
	}
	edge.book.Complete(op, 200, nil, []byte(request))
	return true
}

func (d *day) play(length time.Duration) {
	const turn = 10 * time.Second
	for n := 0; d.now < length; d.now += turn {
		d.lead()
		d.follow()
		for range 2 {
			n++
			d.taps = append(d.taps, dayTap{key: fmt.Sprint("tap-", n), region: regions[d.luck.Intn(len(regions))], due: d.now})
			d.asked++
		}
		later := d.taps[:0]
		for _, tap := range d.taps {
			if tap.due > d.now {
				later = append(later, tap)
				continue
			}
			served := d.try(tap)
			if served && tap.tries < 100 {
				d.served++
			}
			// Repeats after a failure, and sometimes after a good answer, from
			// another region too.
			if tap.tries++; tap.tries < 4 && (!served || d.luck.Intn(3) == 0) {
				if served {
					d.served--
				}
				tap.region = regions[d.luck.Intn(len(regions))]
				tap.due = d.now + time.Duration(d.luck.Intn(40))*time.Second
				later = append(later, tap)
			}
		}
		d.taps = later
	}
}

func TestAWholeDayRollsOverThreeRegions(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		d := newDay(t, seed, false)
		d.play(31 * time.Hour)
		for key, runs := range d.runs {
			if runs != 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, key, runs)
			}
		}
		if d.asleep > 0 {
			t.Fatalf("seed %d: %d taps were served by a region asleep though one was awake", seed, d.asleep)
		}
		if d.moves < 12 || d.served < d.asked*85/100 {
			t.Fatalf("seed %d: %d steps, %d of %d served", seed, d.moves, d.served, d.asked)
		}
	}
}

func TestTheDayFindsAPlantedFault(t *testing.T) {
	d := newDay(t, 1, true)
	d.play(6 * time.Hour)
	for _, runs := range d.runs {
		if runs > 1 {
			return
		}
	}
	t.Fatal("repeats that run again were not noticed")
}

// A step waits while the region lacks room or is being emptied, and says so;
// a clock that was set back commits nothing.
func TestAStepWaits(t *testing.T) {
	plan, _ := schedule.Parse([]byte(dayPlan))
	stepper := &schedule.Stepper{}
	berlin, _ := time.LoadLocation("Europe/Berlin")
	wall := time.Date(2026, 5, 4, 15, 0, 0, 0, berlin)
	agreed := rpc.ScheduleStep{Version: 1, Count: 7, Instant: wall.Add(-time.Hour).Unix(), Targets: []rpc.ScheduleTarget{{Host: "book.example", Weights: []rpc.RegionWeight{{Region: "east", Weight: 1000}}}}}
	good := schedule.RegionCapacity{Slots: 40, Usable: 10, Listed: 10}
	for why, mid := range map[string]schedule.RegionCapacity{
		"mid lacks room": {Slots: 5, Usable: 10, Listed: 10}, "mid is being evacuated": {Evacuated: true, Listed: 10},
		"mid is being drained": {Slots: 40, Usable: 3, Listed: 10}, "mid has no backends": {},
	} {
		move, accounts := stepper.Step(0, wall, plan, agreed, func(schedule.Target) schedule.TargetState {
			return schedule.TargetState{Capacity: map[rpc.RegionName]schedule.RegionCapacity{"east": good, "mid": mid}, InFlight: 30}
		})
		if move != nil || len(accounts) != 1 || len(accounts[0].Waiting) < len(why) || accounts[0].Waiting[:len(why)] != why {
			t.Errorf("%s: %+v %+v", why, move, accounts)
		}
	}
	sound := func(schedule.Target) schedule.TargetState {
		return schedule.TargetState{Capacity: map[rpc.RegionName]schedule.RegionCapacity{"east": good, "mid": good}, InFlight: 20}
	}
	move, _ := stepper.Step(0, wall, plan, agreed, sound)
	if move == nil || move.Count != 8 || move.Targets[0].Weights[1].Weight != 250 {
		t.Fatalf("%+v", move)
	}
	stepper.Committed(0)
	if again, accounts := stepper.Step(5*time.Second, wall, plan, *move, sound); again != nil || accounts[0].Waiting != "paced" {
		t.Fatalf("%+v %+v", again, accounts)
	}
	if back, accounts := stepper.Step(time.Hour, wall.Add(-5*time.Hour), plan, *move, sound); back != nil || accounts[0].Waiting == "" {
		t.Fatalf("a clock set back made a step: %+v %+v", back, accounts)
	}
}
