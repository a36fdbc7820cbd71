package proxy

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func siteOf(count int) (fellows map[rpc.NodeID]rpc.Node) {
	fellows = map[rpc.NodeID]rpc.Node{}
	for i := range count {
		id := rpc.NodeID(fmt.Sprint("edge-", i))
		fellows[id] = rpc.Node{ID: id, Zone: "harbour", Ready: true}
	}
	return fellows
}

// Every backend is used first by equally many daemons, and no daemon is left
// without a fair part.
func TestSubsetsAreEven(t *testing.T) {
	const daemons, backends, sharers = 14, 54, 3
	fellows := siteOf(daemons)
	fellows["far"] = rpc.Node{ID: "far", Zone: "hill", Ready: true}
	fellows["going"] = rpc.Node{ID: "going", Zone: "harbour", Ready: true, Stopping: true}
	users, sizes := map[rpc.EndpointID]int{}, map[rpc.NodeID]int{}
	for i := range daemons {
		self := rpc.NodeID(fmt.Sprint("edge-", i))
		subset := NewSubset(self, "harbour", fellows, sharers)
		for j := range backends {
			if id := rpc.EndpointID(fmt.Sprint("i-", j)); subset.Contains(id, subset.NodesPerBackend(backends)) {
				users[id]++
				sizes[self]++
			}
		}
	}
	for id, count := range users {
		if count != sharers {
			t.Errorf("%s is used by %d daemons, want %d", id, count, sharers)
		}
	}
	if len(users) != backends || len(sizes) != daemons {
		t.Fatalf("%d of %d backends are used, by %d of %d daemons", len(users), backends, len(sizes), daemons)
	}
	for id, size := range sizes {
		if mean := float64(backends*sharers) / daemons; float64(size) < 0.4*mean || float64(size) > 1.8*mean {
			t.Errorf("%s uses %d backends, the mean is %.1f", id, size, mean)
		}
	}
}

// A daemon more changes only the backends it takes up.
func TestSubsetsMoveOnlyTheShareOfANewDaemon(t *testing.T) {
	const backends, sharers = 200, 3
	before, after := siteOf(10), siteOf(11)
	taken := NewSubset("edge-10", "harbour", after, sharers)
	for i := range 10 {
		self := rpc.NodeID(fmt.Sprint("edge-", i))
		old, now := NewSubset(self, "harbour", before, sharers), NewSubset(self, "harbour", after, sharers)
		for j := range backends {
			id := rpc.EndpointID(fmt.Sprint("i-", j))
			if old.Contains(id, sharers) != now.Contains(id, sharers) && (now.Contains(id, sharers) || !taken.Contains(id, sharers)) {
				t.Errorf("%s moved at %s though the new daemon did not take it", id, self)
			}
		}
	}
}

// Where a site has few backends of a service, more daemons share each, so that
// none is left with one or two to choose among.
func TestSubsetsOfSmallServices(t *testing.T) {
	fellows := siteOf(14)
	subset := NewSubset("edge-0", "harbour", fellows, 3)
	for backends, want := range map[int]int{54: 3, 9: 10, 5: 14, 1: 14, 0: 14} {
		if got := subset.NodesPerBackend(backends); got != want {
			t.Errorf("%d backends: %d sharers, want %d", backends, got, want)
		}
	}
}

// A daemon that knows nothing yet of a service whose answers take long keeps to
// its own region: it neither takes what it has not tried for fast, nor what is at
// work for dark.
func TestADaemonThatKnowsNothingStaysNear(t *testing.T) {
	d := daemonOf(t)
	var rows []rpc.Endpoint
	for n := 0; n < 12; n++ {
		rows = append(rows, rpc.Endpoint{ID: rpc.EndpointID(fmt.Sprintf("near-%d", n)), Service: "s", Address: "x:1", Zone: "here", Slots: 6}, rpc.Endpoint{ID: rpc.EndpointID(fmt.Sprintf("far-%d", n)), Service: "s", Address: "x:1", Zone: "there", Slots: 6})
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 2, Revision: 2, Full: true, LogIndex: 1, LastItem: rpc.AfterAllItems, EndpointChunk: &rpc.EndpointChunk{Complete: true, Endpoints: rows}})
	scene := d.state.Snapshot()
	wanted := Criteria{Service: "s", TargetLatency: 2 * time.Second, Idempotent: true}
	for n := 0; n < 24; n++ {
		server, _ := d.state.chooseEndpoint(scene, wanted)
		if server == nil || server.Zone != "here" {
			t.Fatalf("request %d goes to %+v", n, server)
		}
		// They are all still at work, a third of a second later.
		server.attemptStarted(d.clock.Now())
		server.mu.Lock()
		server.busySince, server.respondedAt = d.clock.Now()-300*time.Millisecond, -time.Second
		server.mu.Unlock()
	}
}
