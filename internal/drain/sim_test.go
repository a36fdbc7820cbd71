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
	deaf  bool // permits ignore the stop
	blind bool // an isolated node goes on
	hasty bool // the planner commits the stop with nobody confirming
}

type simNode struct {
	id      rpc.NodeID
	permit  *Permit
	rev     uint64
	fresh   bool // has what is agreed
	cutTill time.Duration
	downTil time.Duration
	beatAt  time.Duration
}

type simulation struct {
	t       *testing.T
	luck    *rand.Rand
	fault   injectedBug
	now     time.Duration
	rev     uint64
	agreed  map[rpc.EndpointID]rpc.Retirement
	policy  *Policy
	daemons []*simNode
	desk    *Planner
	heard   map[rpc.NodeID]Follower
	heardAt map[rpc.NodeID]time.Duration
	led     bool
	newLead time.Duration
	// together is when the leader told that all follow.
	together map[rpc.EndpointID]time.Duration
	late     int
	runs     map[string]int
	sent     int
	refused  int
	unclear  int
	atWork   map[rpc.EndpointID][]runningRequest
	ended    map[rpc.EndpointID]bool
	emptied  bool
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
		t: t, luck: rand.New(rand.NewSource(seed)), fault: fault, agreed: map[rpc.EndpointID]rpc.Retirement{}, policy: policy, desk: NewPlanner(),
		heard: map[rpc.NodeID]Follower{}, heardAt: map[rpc.NodeID]time.Duration{}, led: true, together: map[rpc.EndpointID]time.Duration{},
		runs: map[string]int{}, atWork: map[rpc.EndpointID][]runningRequest{}, ended: map[rpc.EndpointID]bool{},
	}
	for i := range 12 {
		s.join(i)
	}
	return s
}

func (s *simulation) join(i int) {
	daemon := &simNode{id: rpc.NodeID(fmt.Sprint("edge-", i)), permit: NewPermit(s.now)}
	daemon.permit.SetPolicy(s.policy)
	s.daemons = append(s.daemons, daemon)
}

func (s *simulation) inTouch(d *simNode) bool { return s.now >= d.cutTill && s.now >= d.downTil }

// beat lets a daemon in touch tell how far it is and take what is agreed.
func (s *simulation) beat(d *simNode) {
	if !s.inTouch(d) {
		return
	}
	if s.led {
		s.heard[d.id] = Follower{ID: d.id, Revision: d.rev, Connected: true}
		s.heardAt[d.id] = s.now
		for _, order := range s.agreed {
			d.permit.Apply(s.now, order)
		}
		d.rev, d.fresh = s.rev, true
		d.permit.LeaderResponded(s.now)
		d.beatAt = s.now
		return
	}
	// Without a leader the fellows are asked.
	if d.permit.ShouldAskPeers(s.now) {
		answers := 0
		for _, other := range s.daemons {
			if other != d && s.inTouch(other) {
				answers++
				for _, order := range other.permit.retired {
					d.permit.Apply(s.now, order)
				}
			}
		}
		if 2*(answers+1) > len(s.daemons) {
			d.permit.PeersResponded(s.now)
		}
	}
}

func (s *simulation) lead() {
	if !s.led {
		if s.now >= s.newLead {
			// A new leader has what is agreed, and has heard nobody yet.
			s.led, s.desk, s.heard = true, NewPlanner(), map[rpc.NodeID]Follower{}
		}
		return
	}
	var followers []Follower
	for _, d := range s.daemons {
		follower, known := s.heard[d.id]
		if !known {
			follower = Follower{ID: d.id}
		}
		follower.Connected = known && s.now-s.heardAt[d.id] < time.Second
		followers = append(followers, follower)
	}
	var orders []rpc.Retirement
	for _, order := range s.agreed {
		orders = append(orders, order)
	}
	stops, accounts := s.desk.Plan(s.now, s.policy, orders, followers, func(rpc.ServiceName) EndpointCounts {
		useful := 8
		for _, order := range s.agreed {
			if order.Stopped > 0 {
				useful--
			}
		}
		return EndpointCounts{Listed: 8, Usable: useful}
	})
	if s.fault.hasty {
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
	for _, account := range accounts {
		id := rpc.EndpointID(account.Backend)
		if _, told := s.together[id]; !told && account.Phase == Complete {
			s.together[id] = s.now
		}
	}
}

// call is one client's keyed operation at one daemon.
func (s *simulation) call(n int) {
	d := s.daemons[s.luck.Intn(len(s.daemons))]
	if s.now < d.downTil || !d.fresh {
		s.refused++
		return
	}
	s.sent++
	if d.permit.Isolated(s.now) && !s.fault.blind {
		s.refused++
		return
	}
	first := s.luck.Intn(8)
	for i := range 8 {
		id := rpc.EndpointID(fmt.Sprint("i-", (first+i)%8))
		if !d.permit.AllowsNew(s.now, id) && !s.fault.deaf {
			continue
		}
		if s.ended[id] {
			continue
		}
		if at, told := s.together[id]; told {
			// Who was heard by the leader since then follows; who was not has its
			// bound, with a second for the turn of its own duty.
			if d.beatAt > at || s.now > at+simLost+time.Second {
				s.late++
			}
		}
		key := fmt.Sprint("k-", n)
		s.runs[key]++
		s.atWork[id] = append(s.atWork[id], runningRequest{key, s.now + time.Duration(s.luck.Intn(800))*time.Millisecond})
		return
	}
	s.emptied = true
	s.refused++
}

func (s *simulation) play() {
	const step = 50 * time.Millisecond
	ops := 0
	for s.now = 0; s.now < 40*time.Second; s.now += step {
		switch s.luck.Intn(60) {
		case 0:
			d := s.daemons[s.luck.Intn(len(s.daemons))]
			d.cutTill = s.now + time.Duration(s.luck.Intn(9000))*time.Millisecond
		case 1:
			d := s.daemons[s.luck.Intn(len(s.daemons))]
			d.downTil = s.now + time.Second
			d.permit, d.rev, d.fresh = NewPermit(s.now), 0, false
			d.permit.SetPolicy(s.policy)
		case 2:
			if s.led && s.luck.Intn(3) == 0 {
				s.led, s.newLead = false, s.now+time.Duration(500+s.luck.Intn(4000))*time.Millisecond
			}
		case 3:
			if len(s.daemons) < 16 {
				s.join(len(s.daemons))
			}
		case 4:
			if s.led && len(s.agreed) < 7 {
				id := rpc.EndpointID(fmt.Sprint("i-", len(s.agreed)))
				s.rev++
				s.agreed[id] = rpc.Retirement{Server: id, Service: "pay", By: ByOperator, Announced: s.rev, Rev: s.rev}
			}
		}
		for _, d := range s.daemons {
			if s.luck.Intn(5) == 0 {
				s.beat(d)
			}
		}
		s.lead()
		for id, at := range s.together {
			if s.now > at+10*time.Second && !s.ended[id] {
				s.ended[id] = true
				for _, run := range s.atWork[id] {
					if run.end > s.now {
						s.unclear++
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
		if s.unclear > 0 {
			t.Fatalf("seed %d: %d requests were at work when their backend ended", seed, s.unclear)
		}
		for key, runs := range s.runs {
			if runs != 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, key, runs)
			}
		}
		if s.emptied {
			t.Fatalf("seed %d: a daemon had no backend left though the least share stays", seed)
		}
		stopped += len(s.together)
		useful += len(s.runs)
	}
	if stopped < 60 || useful < 60*1500 {
		t.Fatalf("only %d orders came through and %d operations ran: the simulation shows nothing", stopped, useful)
	}
}

func TestInjectedBugsAreFound(t *testing.T) {
	for name, fault := range map[string]injectedBug{"deaf": {deaf: true}, "blind": {blind: true}} {
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
func TestLeastShareHoldsARetirement(t *testing.T) {
	policy, _ := Parse([]byte(sound))
	desk := NewPlanner()
	all := []Follower{{ID: "a", Revision: 9, Connected: true}, {ID: "b", Revision: 9, Connected: true}, {ID: "c"}}
	orders := []rpc.Retirement{{Server: "i", Service: "book", By: ByOperator, Announced: 9, Rev: 9}}
	stock := EndpointCounts{Listed: 4, Usable: 2}
	step := func(now time.Duration) (stops []rpc.EndpointID, account RetirementStatus) {
		stops, accounts := desk.Plan(now, policy, orders, all, func(rpc.ServiceName) EndpointCounts { return stock })
		return stops, accounts[0]
	}
	if stops, account := step(0); len(stops) != 0 || account.Phase != Announced {
		t.Fatalf("notice: %v %+v", stops, account)
	}
	if stops, account := step(2 * time.Second); len(stops) != 0 || account.Phase != Waiting || account.Reason == "" {
		t.Fatalf("least share: %v %+v", stops, account)
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
	if stops, account := step(5 * time.Second); len(stops) != 0 || account.Phase != Waiting {
		t.Fatalf("one of three confirms, yet: %v %+v", stops, account)
	}
}
