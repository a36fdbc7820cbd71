package schedule_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
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

// A day passes over three regions in simulated time, over midnight and over the change
// to summer time. The replicated state, the stepper, the answers of the directory and
// the nodes' stores of operations are the real ones. The clocks of controllers differ;
// leaders, nodes and regions fail at steps; and clients repeat their requests across
// each step, often in another region. Every request must run once, and a region with
// weight must serve it whenever one can.

const dayPlan = `{"version":1,"step":0.25,"every":"20s","room":0.9,"targets":[{"host":"book.example","time_zone":"Europe/Berlin","spans":[
 {"from":"06:00","to":"14:00","weights":{"east":1},"ramp":"20m"},
 {"from":"14:00","to":"22:00","weights":{"mid":1},"ramp":"20m"},
 {"from":"22:00","to":"06:00","weights":{"west":1},"ramp":"20m"}]}]}`

var regions = []rpc.RegionName{"east", "mid", "west"}

// dayNode is one node: its operations are lost where it restarts, and it follows the
// steps with a delay.
type dayNode struct {
	rpc.Node
	incarnation uint64
	operations  *idempotency.Store
	weights     schedule.Weights
	count       uint64
	downUntil   time.Duration
}

type dayRequest struct {
	key      string
	region   rpc.RegionName
	due      time.Duration
	attempts int
}

type day struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Duration
	start           time.Time
	rev             uint64
	state           *statemachine.State
	plan            *schedule.Plan
	stepper         *schedule.Stepper
	clocks          []time.Duration
	leader          int
	noLead          time.Duration
	nodes           []*dayNode
	regionDownUntil map[rpc.RegionName]time.Duration
	requests        []dayRequest
	runs            map[string]int
	asked           int
	served          int
	misrouted       int
	steps           int
	unsafe          bool // an injected bug: repeats at another node run again
}

func newDay(t *testing.T, seed int64, unsafe bool) *day {
	plan, err := schedule.Parse([]byte(dayPlan))
	if err != nil {
		t.Fatal(err)
	}
	d := &day{
		t: t, rng: rand.New(rand.NewSource(seed)), start: time.Date(2026, 3, 28, 19, 0, 0, 0, time.UTC),
		state: statemachine.NewState(), plan: plan, stepper: &schedule.Stepper{},
		clocks:          []time.Duration{-90 * time.Second, 0, 45 * time.Second},
		regionDownUntil: map[rpc.RegionName]time.Duration{},
		runs:            map[string]int{}, unsafe: unsafe,
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
			node := &dayNode{incarnation: 1, Node: rpc.Node{
				ID: id, Region: region, Zone: rpc.ZoneName(region), FrontendAddress: string(id), Ready: true,
			}}
			node.operations = idempotency.NewStore(time.Hour, 1<<24, func() time.Duration { return d.now })
			d.nodes = append(d.nodes, node)
		}
	}
	return d
}

func (d *day) apply(command statemachine.Command) (result statemachine.Result) {
	d.rev++
	before := d.state.ScheduleStep
	result = d.state.Apply(d.rev, command, d.now)
	if after := d.state.ScheduleStep; after.Rev != before.Rev {
		d.steps++
		if after.Count != before.Count+1 || after.Instant < before.Instant {
			d.t.Fatalf("step %d of %d follows step %d of %d", after.Count, after.Instant, before.Count, before.Instant)
		}
	}
	return result
}

func (d *day) up(region rpc.RegionName) bool { return d.now >= d.regionDownUntil[region] }

// lead is one step of the leader's loop.
func (d *day) lead() {
	if d.now < d.noLead {
		return
	}
	wall := d.start.Add(d.now + d.clocks[d.leader])
	next, _ := d.stepper.Step(d.now, wall, d.plan, d.state.ScheduleStep, func(schedule.Target) schedule.TargetState {
		stock := map[rpc.RegionName]schedule.RegionCapacity{}
		for _, region := range regions {
			stock[region] = schedule.RegionCapacity{Slots: 40, Usable: 10, Listed: 10}
			if !d.up(region) {
				stock[region] = schedule.RegionCapacity{Listed: 10}
			}
		}
		return schedule.TargetState{Capacity: stock, InFlight: 20}
	})
	if next == nil {
		return
	}
	body, _ := json.Marshal(next)
	if d.apply(statemachine.Command{Kind: statemachine.CommandScheduleStep, Body: body}).Err == nil {
		d.stepper.Committed(d.now)
	}
	// Often something fails just at a step.
	switch d.rng.Intn(8) {
	case 0:
		d.leader, d.stepper = (d.leader+1)%len(d.clocks), &schedule.Stepper{}
		d.noLead = d.now + time.Minute
	case 1:
		node := d.nodes[d.rng.Intn(len(d.nodes))]
		node.incarnation++
		node.operations = idempotency.NewStore(time.Hour, 1<<24, func() time.Duration { return d.now })
		node.downUntil, node.count, node.weights = d.now+20*time.Second, 0, nil
	case 2:
		d.regionDownUntil[regions[d.rng.Intn(len(regions))]] = d.now + 10*time.Minute
	}
}

func (d *day) follow() {
	for _, node := range d.nodes {
		if node.count == d.state.ScheduleStep.Count || d.rng.Intn(3) == 0 {
			continue
		}
		node.count, node.weights = d.state.ScheduleStep.Count, schedule.Weights{}
		for _, target := range d.state.ScheduleStep.Targets {
			for _, part := range target.Weights {
				node.weights[part.Region] = part.Weight
			}
		}
	}
}

func (d *day) resolve(region rpc.RegionName) (node *dayNode) {
	nodes, absent := map[rpc.NodeID]rpc.Node{}, map[rpc.NodeID]bool{}
	var asked *dayNode
	for _, candidate := range d.nodes {
		nodes[candidate.ID] = candidate.Node
		absent[candidate.ID] = d.now < candidate.downUntil
		if candidate.Region == region && !absent[candidate.ID] {
			asked = candidate
		}
	}
	if asked == nil {
		return nil
	}
	addresses := directory.Answer(directory.Query{
		Nodes: nodes, Absent: absent, Weights: asked.weights, Region: string(region), Zone: string(region),
	})
	front := addresses[d.rng.Intn(len(addresses))]
	for _, candidate := range d.nodes {
		if candidate.FrontendAddress == front {
			return candidate
		}
	}
	return nil
}

// serve chooses the region of the backend as a node does: those with weight first.
func (d *day) serve(node *dayNode) (region rpc.RegionName) {
	for _, weighted := range []bool{true, false} {
		for _, candidate := range append([]rpc.RegionName{node.Region}, regions...) {
			if d.up(candidate) && (node.weights == nil || !weighted || node.weights[candidate] > 0) {
				return candidate
			}
		}
	}
	return ""
}

func (d *day) try(request dayRequest) (served bool) {
	node := d.resolve(request.region)
	if node == nil {
		return false
	}
	digest := fmt.Sprint(request.key, ".", request.attempts)
	op, old := node.operations.Begin(request.key, digest)
	if old != nil {
		return old.Response().State == rpc.OperationCompleted
	}
	claim := statemachine.Claim{Key: request.key, Request: digest, Holder: string(node.ID), Incarnation: node.incarnation}
	result := d.apply(statemachine.Command{Kind: statemachine.CommandClaim, Claim: claim})
	if !result.Granted && !d.unsafe {
		node.operations.Abandon(op)
		for _, holder := range d.nodes {
			if string(holder.ID) == result.Held.Holder && holder.incarnation == result.Held.Incarnation {
				return holder.operations.Find(request.key, result.Held.Request).State == rpc.OperationCompleted
			}
		}
		return false
	}
	region := d.serve(node)
	if region == "" {
		node.operations.Release(op)
		d.apply(statemachine.Command{Kind: statemachine.CommandReleaseClaim, Claim: claim})
		return false
	}
	d.runs[request.key]++
	if node.weights != nil && node.weights[region] == 0 {
		for _, other := range regions {
			if node.weights[other] > 0 && d.up(other) {
				d.misrouted++
			}
		}
	}
	if d.rng.Intn(12) == 0 {
		node.operations.SetLost(op)
		return false
	}
	node.operations.Complete(op, 200, nil, []byte(digest))
	return true
}

func (d *day) play(length time.Duration) {
	const tick = 10 * time.Second
	for n := 0; d.now < length; d.now += tick {
		d.lead()
		d.follow()
		for range 2 {
			n++
			region := regions[d.rng.Intn(len(regions))]
			d.requests = append(d.requests, dayRequest{key: fmt.Sprint("request-", n), region: region, due: d.now})
			d.asked++
		}
		later := d.requests[:0]
		for _, request := range d.requests {
			if request.due > d.now {
				later = append(later, request)
				continue
			}
			served := d.try(request)
			if served && request.attempts < 100 {
				d.served++
			}
			// Repeats after a failure, and sometimes after a good answer, from
			// another region too.
			if request.attempts++; request.attempts < 4 && (!served || d.rng.Intn(3) == 0) {
				if served {
					d.served--
				}
				request.region = regions[d.rng.Intn(len(regions))]
				request.due = d.now + time.Duration(d.rng.Intn(40))*time.Second
				later = append(later, request)
			}
		}
		d.requests = later
	}
}

func TestADayOverThreeRegions(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		d := newDay(t, seed, false)
		d.play(31 * time.Hour)
		for key, runs := range d.runs {
			if runs != 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, key, runs)
			}
		}
		if d.misrouted > 0 {
			t.Fatalf("seed %d: %d requests were served by a region without weight though one with weight was up",
				seed, d.misrouted)
		}
		if d.steps < 12 || d.served < d.asked*85/100 {
			t.Fatalf("seed %d: %d steps, %d of %d served", seed, d.steps, d.served, d.asked)
		}
	}
}

func TestTheDayFindsAnInjectedBug(t *testing.T) {
	d := newDay(t, 1, true)
	d.play(6 * time.Hour)
	for _, runs := range d.runs {
		if runs > 1 {
			return
		}
	}
	t.Fatal("repeats that run again were not noticed")
}

// A step waits while the region lacks capacity or is being evacuated, and reports why;
// a clock that was set back proposes nothing.
func TestAStepWaits(t *testing.T) {
	plan, _ := schedule.Parse([]byte(dayPlan))
	stepper := &schedule.Stepper{}
	berlin, _ := time.LoadLocation("Europe/Berlin")
	wall := time.Date(2026, 5, 4, 15, 0, 0, 0, berlin)
	agreed := rpc.ScheduleStep{Version: 1, Count: 7, Instant: wall.Add(-time.Hour).Unix(), Targets: []rpc.ScheduleTarget{
		{Host: "book.example", Weights: []rpc.RegionWeight{{Region: "east", Weight: 1000}}},
	}}
	good := schedule.RegionCapacity{Slots: 40, Usable: 10, Listed: 10}
	for why, mid := range map[string]schedule.RegionCapacity{
		"mid lacks room":         {Slots: 5, Usable: 10, Listed: 10},
		"mid is being evacuated": {Evacuated: true, Listed: 10},
		"mid is being drained":   {Slots: 40, Usable: 3, Listed: 10},
		"mid has no backends":    {},
	} {
		next, statuses := stepper.Step(0, wall, plan, agreed, func(schedule.Target) schedule.TargetState {
			capacity := map[rpc.RegionName]schedule.RegionCapacity{"east": good, "mid": mid}
			return schedule.TargetState{Capacity: capacity, InFlight: 30}
		})
		if next != nil || len(statuses) != 1 || !strings.HasPrefix(statuses[0].Waiting, why) {
			t.Errorf("%s: %+v %+v", why, next, statuses)
		}
	}
	sound := func(schedule.Target) schedule.TargetState {
		capacity := map[rpc.RegionName]schedule.RegionCapacity{"east": good, "mid": good}
		return schedule.TargetState{Capacity: capacity, InFlight: 20}
	}
	next, _ := stepper.Step(0, wall, plan, agreed, sound)
	if next == nil || next.Count != 8 || next.Targets[0].Weights[1].Weight != 250 {
		t.Fatalf("%+v", next)
	}
	stepper.Committed(0)
	again, statuses := stepper.Step(5*time.Second, wall, plan, *next, sound)
	if again != nil || statuses[0].Waiting != "paced" {
		t.Fatalf("%+v %+v", again, statuses)
	}
	back, statuses := stepper.Step(time.Hour, wall.Add(-5*time.Hour), plan, *next, sound)
	if back != nil || statuses[0].Waiting == "" {
		t.Fatalf("a clock set back made a step: %+v %+v", back, statuses)
	}
}
