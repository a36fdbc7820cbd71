package balancer

import (
	"fmt"
	"testing"

	"tinpin/internal/rpc"
)

func nodesOf(count int) (nodes map[rpc.NodeID]rpc.Node) {
	nodes = map[rpc.NodeID]rpc.Node{}
	for i := range count {
		id := rpc.NodeID(fmt.Sprint("edge-", i))
		nodes[id] = rpc.Node{ID: id, Zone: "harbour", Ready: true}
	}
	return nodes
}

// Every backend is used first by equally many nodes, and no node is left
// without a fair part.
func TestSubsetsAreEven(t *testing.T) {
	const nodeCount, backends, perBackend = 14, 54, 3
	nodes := nodesOf(nodeCount)
	nodes["far"] = rpc.Node{ID: "far", Zone: "hill", Ready: true}
	nodes["going"] = rpc.Node{ID: "going", Zone: "harbour", Ready: true, Stopping: true}
	users, sizes := map[rpc.EndpointID]int{}, map[rpc.NodeID]int{}
	for i := range nodeCount {
		self := rpc.NodeID(fmt.Sprint("edge-", i))
		subset := NewSubset(self, "harbour", nodes, perBackend)
		for j := range backends {
			if id := rpc.EndpointID(fmt.Sprint("i-", j)); subset.Contains(id, subset.NodesPerBackend(backends)) {
				users[id]++
				sizes[self]++
			}
		}
	}
	for id, count := range users {
		if count != perBackend {
			t.Errorf("%s is used by %d nodes, want %d", id, count, perBackend)
		}
	}
	if len(users) != backends || len(sizes) != nodeCount {
		t.Fatalf("%d of %d backends are used, by %d of %d nodes", len(users), backends, len(sizes), nodeCount)
	}
	for id, size := range sizes {
		if mean := float64(backends*perBackend) / nodeCount; float64(size) < 0.4*mean || float64(size) > 1.8*mean {
			t.Errorf("%s uses %d backends, the mean is %.1f", id, size, mean)
		}
	}
}

// A node more changes only the backends it takes up.
func TestSubsetsMoveOnlyTheShareOfANewNode(t *testing.T) {
	const backends, perBackend = 200, 3
	before, after := nodesOf(10), nodesOf(11)
	taken := NewSubset("edge-10", "harbour", after, perBackend)
	for i := range 10 {
		self := rpc.NodeID(fmt.Sprint("edge-", i))
		old, now := NewSubset(self, "harbour", before, perBackend), NewSubset(self, "harbour", after, perBackend)
		for j := range backends {
			id := rpc.EndpointID(fmt.Sprint("i-", j))
			had, has := old.Contains(id, perBackend), now.Contains(id, perBackend)
			if had != has && (has || !taken.Contains(id, perBackend)) {
				t.Errorf("%s moved at %s though the new node did not take it", id, self)
			}
		}
	}
}

// Where a zone has few backends of a service, more nodes share each, so that
// none is left with one or two to choose among.
func TestSubsetsOfSmallServices(t *testing.T) {
	nodes := nodesOf(14)
	subset := NewSubset("edge-0", "harbour", nodes, 3)
	for backends, want := range map[int]int{54: 3, 9: 10, 5: 14, 1: 14, 0: 14} {
		if got := subset.NodesPerBackend(backends); got != want {
			t.Errorf("%d backends: %d nodes a backend, want %d", backends, got, want)
		}
	}
}
