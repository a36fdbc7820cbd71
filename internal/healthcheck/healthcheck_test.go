package healthcheck

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

func members(n int) (ids []rpc.NodeID) {
	for i := 0; i < n; i++ {
		ids = append(ids, rpc.NodeID(fmt.Sprint("edge-", i)))
	}
	return ids
}

// The hash is part of the inner protocol: another version must not change it.
func TestRingGolden(t *testing.T) {
	ring := NewRing(members(5))
	got := ""
	for i := 0; i < 12; i++ {
		got += string(ring.Owner(rpc.ServiceName(fmt.Sprint("service-", i)), nil)[5:])
	}
	if want := "423011220333"; got != want {
		t.Fatalf("owners %s, want %s", got, want)
	}
}

func TestRingMovesOnlyItsShare(t *testing.T) {
	const services = 4000
	for n := 2; n <= 12; n++ {
		before, after := NewRing(members(n)), NewRing(members(n+1))
		moved := 0
		loads := map[rpc.NodeID]int{}
		for i := 0; i < services; i++ {
			name := rpc.ServiceName(fmt.Sprint("s", i))
			was, is := before.Owner(name, nil), after.Owner(name, nil)
			loads[is]++
			if was != is {
				moved++
				if is != rpc.NodeID(fmt.Sprint("edge-", n)) {
					t.Fatalf("%s moved from %s to %s, not to the new member", name, was, is)
				}
			}
		}
		if share := float64(moved) / services; share > 2.2/float64(n+1) {
			t.Errorf("%d members: one more moved %.2f of the services", n, share)
		}
		for id, load := range loads {
			if load > services*5/2/(n+1) {
				t.Errorf("%d members: %s has %d of %d", n+1, id, load, services)
			}
		}
	}
}

func watchOf(self string, names ...rpc.ServiceName) (watch *ProbeAssignment) {
	watch = NewProbeAssignment(rpc.NodeID(self), 4*time.Second, 0)
	watch.SetServices(names)
	watch.SetHasLeader(0, true)
	return watch
}

func TestNewServicesAreProbedByAllTillTheMapSettles(t *testing.T) {
	owners := 0
	for _, id := range members(4) {
		watch := watchOf(string(id), "s")
		if !watch.Probes("s") {
			t.Fatalf("%s does not probe a new service", id)
		}
		watch.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: members(4)})
		if watch.Tick(3 * time.Second); !watch.Probes("s") {
			t.Fatalf("%s stopped before send_interval", id)
		}
		watch.Tick(4 * time.Second)
		if watch.Probes("s") {
			owners++
		}
	}
	if owners != 1 {
		t.Fatalf("%d owners once settled", owners)
	}
}

func TestMapChangesWaitAndOnlyTheLastCounts(t *testing.T) {
	watch := watchOf("edge-0", "s")
	watch.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: members(3)})
	watch.Tick(4 * time.Second)
	before := watch.Owner("s")
	// A member flaps: away and back within the interval.
	watch.SetShardMap(10*time.Second, rpc.ShardMap{Revision: 2, Members: members(2)})
	watch.Tick(11 * time.Second)
	if watch.Owner("s") != before || watch.AppliedMap().Revision != 1 {
		t.Fatal("a change of the map was acted on at once")
	}
	watch.SetShardMap(11200*time.Millisecond, rpc.ShardMap{Revision: 3, Members: members(3)})
	applied, _ := watch.Tick(14 * time.Second)
	if !applied || watch.AppliedMap().Revision != 3 || watch.Owner("s") != before {
		t.Fatal("after the interval the last map counts, and nothing has moved")
	}
}

func TestWithoutALeaderEverythingIsProbed(t *testing.T) {
	watch := watchOf("edge-0", "a", "b", "c", "d", "e", "f")
	watch.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: members(3)})
	watch.Tick(4 * time.Second)
	mine := len(watch.AssignedServices())
	watch.SetHasLeader(10*time.Second, false)
	if watch.Tick(13900 * time.Millisecond); len(watch.AssignedServices()) != mine {
		t.Fatal("headless before send_interval")
	}
	if watch.Tick(14 * time.Second); len(watch.AssignedServices()) != 6 {
		t.Fatalf("headless, but only %d of 6 are probed", len(watch.AssignedServices()))
	}
	watch.SetHasLeader(15*time.Second, true)
	if watch.Tick(15 * time.Second); len(watch.AssignedServices()) != mine {
		t.Fatal("with a leader back, the map in use counts again")
	}
}

func TestAnAbsentOwnerIsStoodInForAtOnce(t *testing.T) {
	all := members(4)
	watch := watchOf("edge-0", "s")
	watch.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: all})
	watch.Tick(4 * time.Second)
	owner := watch.Owner("s")
	watch.SetAbsent([]rpc.NodeID{owner})
	if watch.Owner("s") == owner || watch.AppliedMap().Revision != 1 {
		t.Fatal("the next on the ring stands in, the map stays")
	}
	watch.SetAbsent(nil)
	if watch.Owner("s") != owner {
		t.Fatal("the owner takes its own again")
	}
}

func TestCacheRefusesTheReplacedOwner(t *testing.T) {
	cache := NewStateCache(&registry.RevisionCounter{}, 4*time.Second)
	cache.SetShardMap(rpc.ShardMap{Revision: 1, Members: members(2)})
	rightful := cache.ring.Owner("s", nil)
	other := rpc.NodeID("edge-0")
	if rightful == other {
		other = "edge-1"
	}
	report := func(by rpc.NodeID, full bool, health rpc.Health, at time.Duration) bool {
		taken, _ := cache.Report(at, rpc.HealthReport{Node: by, Service: "s", Full: full, States: []rpc.EndpointState{{Endpoint: "b", Health: health}}}, nil)
		return taken
	}
	if !report(other, true, rpc.Healthy, 0) {
		t.Fatal("the old owner is heard until the new one has reported in full")
	}
	if !report(rightful, true, rpc.Unhealthy, time.Second) {
		t.Fatal("the owner is heard")
	}
	if report(other, true, rpc.Healthy, time.Second) {
		t.Fatal("the replaced owner is refused")
	}
	if state, _ := cache.States.Get("b"); state.Health != rpc.Unhealthy {
		t.Fatal("the owner's finding stands")
	}
	if cache.Tick(4 * time.Second); true {
		if state, _ := cache.States.Get("b"); state.Health != rpc.Unhealthy {
			t.Fatal("a state within its age is kept")
		}
	}
	if cache.Tick(6 * time.Second); true {
		if state, _ := cache.States.Get("b"); state.Health != rpc.HealthUnknown {
			t.Fatal("a state over its age is unknown")
		}
	}
}

func TestWatchersGetOnlyChanges(t *testing.T) {
	clock := &registry.RevisionCounter{}
	cache := NewStateCache(clock, time.Minute)
	cache.SetShardMap(rpc.ShardMap{Revision: 1, Members: members(1)})
	tell := func(health rpc.Health, cold time.Duration, at time.Duration) {
		cache.Report(at, rpc.HealthReport{Node: "edge-0", Service: "s", States: []rpc.EndpointState{{Endpoint: "b", Health: health, WarmupRemaining: cold}}}, nil)
	}
	tell(rpc.Healthy, 0, 0)
	seen := clock.Current()
	tell(rpc.Healthy, 0, time.Second)
	if clock.Current() != seen {
		t.Fatal("the same state told again is no change")
	}
	tell(rpc.Healthy, 3*time.Second, 2*time.Second)
	tell(rpc.Healthy, 2*time.Second, 3*time.Second)
	if clock.Current() != seen+1 {
		t.Fatal("a cold spell is told once, its shrinking is no change")
	}
	if state, _ := cache.States.Get("b"); cache.WithRemainingWarmup(4*time.Second, state).WarmupRemaining != time.Second {
		t.Fatal("what is left of a cold spell counts down")
	}
}
