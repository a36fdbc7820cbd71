package drain

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// The simulation retires backends under load and faults: nodes that join, are
// partitioned and restart, a leader that changes in between, clients that keep
// coming, keyed ones among them. The real planner and permits meet by seed on a
// clock of its own. Runs are counted at the stand-in backend. Once the leader
// has reported that all follow, no connected node may send a new client there,
// and one that is isolated must stop within its bound; every request is completed
// once or rejected.

type injectedBug struct {
	ignoresStop      bool // permits ignore the stop
	ignoresIsolation bool // an isolated node goes on
	stopsUnconfirmed bool // the planner commits the stop with nobody confirming
}

type simNode struct {
	id               rpc.NodeID
	permit           *Permit
	revision         uint64
	fresh            bool // has what is agreed
	partitionedUntil time.Duration
	downUntil        time.Duration
	heartbeatAt      time.Duration
}

type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	fault       injectedBug
	now         time.Duration
	rev         uint64
	agreed      map[rpc.EndpointID]rpc.Retirement
	policy      *Policy
	nodes       []*simNode
	planner     *Planner
	followers   map[rpc.NodeID]Follower
	followersAt map[rpc.NodeID]time.Duration
	hasLeader   bool
	newLead     time.Duration
	// complete is when the leader told that all follow.
	complete       map[rpc.EndpointID]time.Duration
	late           int
	runs           map[string]int
	sent           int
	rejected       int
	outcomeUnknown int
	inFlight       map[rpc.EndpointID][]runningRequest
	ended          map[rpc.EndpointID]bool
	drained        bool
}

type runningRequest struct {
	key string
	end time.Duration
}

const simLost = 3 * time.Second

func newSimulation(t *testing.T, seed int64, fault injectedBug) *simulation {
	policy, err := Parse([]byte(`{"version":1,"rules":[{"service":"*","notice":"500ms","finish":"10s","keyed":"deadline","least_share":0.3}],"lost_touch":"3s","cut_off":"stop"}`))
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{
		t: t, rng: rand.New(rand.NewSource(seed)), fault: fault, agreed: map[rpc.EndpointID]rpc.Retirement{}, policy: policy, planner: NewPlanner(),
		followers: map[rpc.NodeID]Follower{}, followersAt: map[rpc.NodeID]time.Duration{}, hasLeader: true, complete: map[rpc.EndpointID]time.Duration{},
		runs: map[string]int{}, inFlight: map[rpc.EndpointID][]runningRequest{}, ended: map[rpc.EndpointID]bool{},
	}
	for i := range 12 {
		s.join(i)
	}
	return s
}

func (s *simulation) join(i int) {
	daemon := &simNode{id: rpc.NodeID(fmt.Sprint("edge-", i)), permit: NewPermit(s.now)}
	daemon.permit.SetPolicy(s.policy)
	s.nodes = append(s.nodes, daemon)
}

func (s *simulation) connected(d *simNode) bool {
	return s.now >= d.partitionedUntil && s.now >= d.downUntil
}

// heartbeat lets a daemon in touch tell how far it is and take what is agreed.
func (s *simulation) heartbeat(d *simNode) {
	if !s.connected(d) {
		return
	}
	if s.hasLeader {
		s.followers[d.id] = Follower{ID: d.id, Revision: d.revision, Connected: true}
		s.followersAt[d.id] = s.now
		for _, order := range s.agreed {
			d.permit.Apply(s.now, order)
		}
		d.revision, d.fresh = s.rev, true
		d.permit.LeaderResponded(s.now)
		d.heartbeatAt = s.now
		return
	}
	// Without a leader the fellows are asked.
	if d.permit.ShouldAskPeers(s.now) {
		answers := 0
		for _, other := range s.nodes {
			if other != d && s.connected(other) {
				answers++
				for _, order := range other.permit.retired {
					d.permit.Apply(s.now, order)
				}
			}
		}
		if 2*(answers+1) > len(s.nodes) {
			d.permit.PeersResponded(s.now)
		}
	}
}

func (s *simulation) lead() {
	if !s.hasLeader {
		if s.now >= s.newLead {
			// A new leader has what is agreed, and has heard nobody yet.
			s.hasLeader, s.planner, s.followers = true, NewPlanner(), map[rpc.NodeID]Follower{}
		}
		return
	}
	var followers []Follower
	for _, d := range s.nodes {
		follower, known := s.followers[d.id]
		if !known {
			follower = Follower{ID: d.id}
		}
		follower.Connected = known && s.now-s.followersAt[d.id] < time.Second
		followers = append(followers, follower)
	}
	var orders []rpc.Retirement
	for _, order := range s.agreed {
		orders = append(orders, order)
	}
	stops, statuses := s.planner.Plan(s.now, s.policy, orders, followers, func(rpc.ServiceName) EndpointCounts {
		useful := 8
		for _, order := range s.agreed {
			if order.Stopped > 0 {
				useful--
			}
		}
		return EndpointCounts{Listed: 8, Usable: useful}
	})
	if s.fault.stopsUnconfirmed {
		for id, order := range s.agreed {
			if order.Stopped == 0 {
				stops = append(stops, id)
			}
		}
	}
	for _, id := range stops {
		s.rev++
		order := s.agreed[id]
		order.Stopped, order.Rev = s.rev, s.rev
		s.agreed[id] = order
	}
	for _, status := range statuses {
		id := rpc.EndpointID(status.Backend)
		if _, known := s.complete[id]; !known && status.Phase == Complete {
			s.complete[id] = s.now
		}
	}
}

// call is one client's keyed operation at one daemon.
func (s *simulation) call(n int) {
	d := s.nodes[s.rng.Intn(len(s.nodes))]
	if s.now < d.downUntil || !d.fresh {
		s.rejected++
		return
	}
	s.sent++
	if d.permit.Isolated(s.now) && !s.fault.ignoresIsolation {
		s.rejected++
		return
	}
	first := s.rng.Intn(8)
	for i := range 8 {
		id := rpc.EndpointID(fmt.Sprint("i-", (first+i)%8))
		if !d.permit.AllowsNew(s.now, id) && !s.fault.ignoresStop {
			continue
		}
		if s.ended[id] {
			continue
		}
		if at, known := s.complete[id]; known {
			// Who was heard by the leader since then follows; who was not has its
			// bound, with a second for the turn of its own duty.
			if d.heartbeatAt > at || s.now > at+simLost+time.Second {
				s.late++
			}
		}
		key := fmt.Sprint("k-", n)
		s.runs[key]++
		s.inFlight[id] = append(s.inFlight[id], runningRequest{key, s.now + time.Duration(s.rng.Intn(800))*time.Millisecond})
		return
	}
	s.drained = true
	s.rejected++
}

func (s *simulation) play() {
	const step = 50 * time.Millisecond
	ops := 0
	for s.now = 0; s.now < 40*time.Second; s.now += step {
		switch s.rng.Intn(60) {
		case 0:
			d := s.nodes[s.rng.Intn(len(s.nodes))]
			d.partitionedUntil = s.now + time.Duration(s.rng.Intn(9000))*time.Millisecond
		case 1:
			d := s.nodes[s.rng.Intn(len(s.nodes))]
			d.downUntil = s.now + time.Second
			d.permit, d.revision, d.fresh = NewPermit(s.now), 0, false
			d.permit.SetPolicy(s.policy)
		case 2:
			if s.hasLeader && s.rng.Intn(3) == 0 {
				s.hasLeader, s.newLead = false, s.now+time.Duration(500+s.rng.Intn(4000))*time.Millisecond
			}
		case 3:
			if len(s.nodes) < 16 {
				s.join(len(s.nodes))
			}
		case 4:
			if s.hasLeader && len(s.agreed) < 7 {
				id := rpc.EndpointID(fmt.Sprint("i-", len(s.agreed)))
				s.rev++
				s.agreed[id] = rpc.Retirement{Server: id, Service: "pay", By: ByOperator, Announced: s.rev, Rev: s.rev}
			}
		}
		for _, d := range s.nodes {
			if s.rng.Intn(5) == 0 {
				s.heartbeat(d)
			}
		}
		s.lead()
		for id, at := range s.complete {
			if s.now > at+10*time.Second && !s.ended[id] {
				s.ended[id] = true
				for _, run := range s.inFlight[id] {
					if run.end > s.now {
						s.outcomeUnknown++
					}
				}
			}
		}
		for range 4 {
			ops++
			s.call(ops)
		}
	}
}

func TestRetirementsUnderFaults(t *testing.T) {
	stopped, useful := 0, 0
	for seed := int64(1); seed <= 60; seed++ {
		s := newSimulation(t, seed, injectedBug{})
		s.play()
		if s.late > 0 {
			t.Fatalf("seed %d: %d new callers were sent to a backend after all were said to follow", seed, s.late)
		}
		if s.outcomeUnknown > 0 {
			t.Fatalf("seed %d: %d requests were at work when their backend ended", seed, s.outcomeUnknown)
		}
		for key, runs := range s.runs {
			if runs != 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, key, runs)
			}
		}
		if s.drained {
			t.Fatalf("seed %d: a daemon had no backend left though the least share stays", seed)
		}
		stopped += len(s.complete)
		useful += len(s.runs)
	}
	if stopped < 60 || useful < 60*1500 {
		t.Fatalf("only %d orders came through and %d operations ran: the simulation shows nothing", stopped, useful)
	}
}

func TestInjectedBugsAreFound(t *testing.T) {
	for name, fault := range map[string]injectedBug{"deaf": {ignoresStop: true}, "blind": {ignoresIsolation: true}} {
		found := false
		for seed := int64(1); seed <= 60 && !found; seed++ {
			s := newSimulation(t, seed, fault)
			s.play()
			found = s.late > 0
		}
		if !found {
			t.Errorf("%s: not found in 60 mornings", name)
		}
	}
}

// The least share holds an order back and says so; it goes on when there is
// room again. The platform's own word is not held back.
func TestMinShareHoldsARetirement(t *testing.T) {
	policy, _ := Parse([]byte(sound))
	planner := NewPlanner()
	all := []Follower{{ID: "a", Revision: 9, Connected: true}, {ID: "b", Revision: 9, Connected: true}, {ID: "c"}}
	orders := []rpc.Retirement{{Server: "i", Service: "book", By: ByOperator, Announced: 9, Rev: 9}}
	stock := EndpointCounts{Listed: 4, Usable: 2}
	step := func(now time.Duration) (stops []rpc.EndpointID, status RetirementStatus) {
		stops, statuses := planner.Plan(now, policy, orders, all, func(rpc.ServiceName) EndpointCounts { return stock })
		return stops, statuses[0]
	}
	if stops, status := step(0); len(stops) != 0 || status.Phase != Announced {
		t.Fatalf("notice: %v %+v", stops, status)
	}
	if stops, status := step(2 * time.Second); len(stops) != 0 || status.Phase != Waiting || status.Reason == "" {
		t.Fatalf("least share: %v %+v", stops, status)
	}
	stock.Usable = 4
	if stops, _ := step(3 * time.Second); len(stops) != 1 {
		t.Fatal("there is room again, but the order waits")
	}
	stock.Usable, orders[0].By = 1, ByPlatform
	if stops, _ := step(4 * time.Second); len(stops) != 1 {
		t.Fatal("the platform's word was held back")
	}
	orders[0].By = ByOperator
	stock.Usable = 4
	all[1].Connected, all[1].Revision = false, 0
	if stops, status := step(5 * time.Second); len(stops) != 0 || status.Phase != Waiting {
		t.Fatalf("one of three confirms, yet: %v %+v", stops, status)
	}
}
