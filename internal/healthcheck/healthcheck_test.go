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

// The hash is part of the protocol between nodes: another version must not change it.
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

func assignmentOf(self string, names ...rpc.ServiceName) (assignment *ProbeAssignment) {
	assignment = NewProbeAssignment(rpc.NodeID(self), 4*time.Second, 0)
	assignment.SetServices(names)
	assignment.SetHasLeader(0, true)
	return assignment
}

func TestNewServicesAreProbedByAllUntilAMapCoversThem(t *testing.T) {
	owners := 0
	for _, id := range members(4) {
		assignment := assignmentOf(string(id), "s")
		if !assignment.Probes("s") {
			t.Fatalf("%s does not probe a new service", id)
		}
		assignment.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: members(4)})
		if assignment.Tick(3 * time.Second); !assignment.Probes("s") {
			t.Fatalf("%s stopped before send_interval", id)
		}
		assignment.Tick(4 * time.Second)
		if assignment.Probes("s") {
			owners++
		}
	}
	if owners != 1 {
		t.Fatalf("%d owners once covered", owners)
	}
}

func TestMapChangesWaitAndOnlyTheLastIsApplied(t *testing.T) {
	assignment := assignmentOf("edge-0", "s")
	assignment.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: members(3)})
	assignment.Tick(4 * time.Second)
	before := assignment.Owner("s")
	// A member flaps: away and back within the interval.
	assignment.SetShardMap(10*time.Second, rpc.ShardMap{Revision: 2, Members: members(2)})
	assignment.Tick(11 * time.Second)
	if assignment.Owner("s") != before || assignment.AppliedMap().Revision != 1 {
		t.Fatal("a change of the map was applied at once")
	}
	assignment.SetShardMap(11200*time.Millisecond, rpc.ShardMap{Revision: 3, Members: members(3)})
	applied, _ := assignment.Tick(14 * time.Second)
	if !applied || assignment.AppliedMap().Revision != 3 || assignment.Owner("s") != before {
		t.Fatal("after the interval the last map counts, and nothing has moved")
	}
}

func TestWithoutLeaderEverythingIsProbed(t *testing.T) {
	assignment := assignmentOf("edge-0", "a", "b", "c", "d", "e", "f")
	assignment.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: members(3)})
	assignment.Tick(4 * time.Second)
	mine := len(assignment.AssignedServices())
	assignment.SetHasLeader(10*time.Second, false)
	if assignment.Tick(13900 * time.Millisecond); len(assignment.AssignedServices()) != mine {
		t.Fatal("without a leader before send_interval")
	}
	if assignment.Tick(14 * time.Second); len(assignment.AssignedServices()) != 6 {
		t.Fatalf("without a leader, but only %d of 6 are probed", len(assignment.AssignedServices()))
	}
	assignment.SetHasLeader(15*time.Second, true)
	if assignment.Tick(15 * time.Second); len(assignment.AssignedServices()) != mine {
		t.Fatal("with a leader back, the map in use counts again")
	}
}

func TestAbsentOwnerIsTakenOverAtOnce(t *testing.T) {
	all := members(4)
	assignment := assignmentOf("edge-0", "s")
	assignment.SetShardMap(0, rpc.ShardMap{Revision: 1, Members: all})
	assignment.Tick(4 * time.Second)
	owner := assignment.Owner("s")
	assignment.SetAbsent([]rpc.NodeID{owner})
	if assignment.Owner("s") == owner || assignment.AppliedMap().Revision != 1 {
		t.Fatal("the next on the ring takes over, the map stays")
	}
	assignment.SetAbsent(nil)
	if assignment.Owner("s") != owner {
		t.Fatal("the owner takes its own again")
	}
}

func TestStateCacheRejectsTheReplacedOwner(t *testing.T) {
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
		t.Fatal("the old owner's reports count until the new one has reported in full")
	}
	if !report(rightful, true, rpc.Unhealthy, time.Second) {
		t.Fatal("the owner's reports count")
	}
	if report(other, true, rpc.Healthy, time.Second) {
		t.Fatal("the replaced owner is rejected")
	}
	if state, _ := cache.States.Get("b"); state.Health != rpc.Unhealthy {
		t.Fatal("the owner's report holds")
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

func TestStateCacheNotesOnlyChanges(t *testing.T) {
	counter := &registry.RevisionCounter{}
	cache := NewStateCache(counter, time.Minute)
	cache.SetShardMap(rpc.ShardMap{Revision: 1, Members: members(1)})
	report := func(health rpc.Health, cold time.Duration, at time.Duration) {
		cache.Report(at, rpc.HealthReport{Node: "edge-0", Service: "s", States: []rpc.EndpointState{{Endpoint: "b", Health: health, WarmupRemaining: cold}}}, nil)
	}
	report(rpc.Healthy, 0, 0)
	seen := counter.Current()
	report(rpc.Healthy, 0, time.Second)
	if counter.Current() != seen {
		t.Fatal("the same state reported again is no change")
	}
	report(rpc.Healthy, 3*time.Second, 2*time.Second)
	report(rpc.Healthy, 2*time.Second, 3*time.Second)
	if counter.Current() != seen+1 {
		t.Fatal("a warm-up is a change once, its shrinking is none")
	}
	if state, _ := cache.States.Get("b"); cache.WithRemainingWarmup(4*time.Second, state).WarmupRemaining != time.Second {
		t.Fatal("what is left of a warm-up counts down")
	}
}
