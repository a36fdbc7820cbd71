package coordinator

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// Nodes that are sent differences come to the same map as one that is sent it in
// full, however far behind they were and however often they ask at once.
func TestShardMapDeltasMatchTheFullMap(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	c := newTestCoordinator()
	type nodeState struct {
		seen rpc.KnownState
		m    rpc.ShardMap
	}
	nodes := make([]nodeState, 8)
	for step := 0; step < 400; step++ {
		now := time.Duration(step) * time.Second
		id := rpc.NodeID(fmt.Sprint("e", rng.Intn(30)))
		c.nodes.registry.Heartbeat(now, rpc.Node{ID: id, Ready: true, Stopping: rng.Intn(3) == 0})
		if rng.Intn(2) == 0 {
			c.refreshNodes()
		}
		at := &nodes[rng.Intn(len(nodes))]
		known := at.seen
		for again := rng.Intn(2); again >= 0; again-- {
			var update rpc.Update
			c.nodes.addShardMap(known, &update)
			if update.ShardMap != nil {
				at.m = *update.ShardMap
			} else if delta := update.ShardMapDelta; delta != nil && delta.BaseRevision <= at.m.Revision &&
				delta.Revision > at.m.Revision {
				at.m = at.m.Apply(*delta)
			}
			at.seen.ShardMapRevision = at.m.Revision
			if len(c.nodes.shardMap.Members)+len(at.m.Members) > 0 &&
				!reflect.DeepEqual(at.m.Members, c.nodes.shardMap.Members) ||
				at.m.Revision != c.nodes.shardMap.Revision {
				t.Fatalf("step %d: sent %v, it is %v", step, at.m, c.nodes.shardMap)
			}
			if rng.Intn(2) == 0 {
				c.refreshNodes()
			}
		}
	}
}

// Many rows of the node registry come compressed and complete.
func TestManyNodesAreSentCompressed(t *testing.T) {
	c := newTestCoordinator()
	for n := 0; n < 300; n++ {
		c.nodes.registry.Heartbeat(0, rpc.Node{
			ID: rpc.NodeID(fmt.Sprintf("edge-somewhere-%d", n)), Zone: "somewhere", Region: "there", Ready: true,
			FrontendAddress: fmt.Sprintf("10.1.%d.%d:8161", n/250, n%250),
			InternalAddress: fmt.Sprintf("10.1.%d.%d:7721", n/250, n%250),
		})
	}
	var update, again rpc.Update
	c.addNodes(0, &update)
	c.addNodes(0, &again)
	rows, err := rpc.Decompress[rpc.NodeChange](update.CompressedNodes)
	if err != nil || len(rows) != 300 || len(update.Nodes) != 0 ||
		&again.CompressedNodes[0] != &update.CompressedNodes[0] {
		t.Fatal(len(rows), err)
	}
	if each := len(update.CompressedNodes) / 300; each > 40 {
		t.Errorf("%d bytes a row", each)
	}
}

// A walk of twelve pages comes round within the time in which a drain must be
// noticed, and short lists are read as often as ever.
func TestLongListsAreReadLessOften(t *testing.T) {
	pause := 45 * time.Millisecond
	for pages, want := range map[int]time.Duration{
		1: 700 * time.Millisecond, 7: 700 * time.Millisecond, 12: 1080 * time.Millisecond,
	} {
		if got := listInterval(700*time.Millisecond, pause, pages); got != want {
			t.Errorf("%d pages are read every %s", pages, got)
		}
	}
}

// A node that was in the middle of another leader's list is sent this one's from
// the beginning.
func TestListBegunByAnotherLeaderIsSentAnew(t *testing.T) {
	c := newTestCoordinator()
	var walk []rpc.Endpoint
	for n := 0; n < 3*pageRows; n++ {
		walk = append(walk, rpc.Endpoint{ID: rpc.EndpointID(fmt.Sprintf("i-%03d", n)), Service: "s", Address: "x:1"})
	}
	for _, complete := range []bool{false, true} {
		c.mergeEndpoints(walk, complete)
	}
	request := rpc.HeartbeatRequest{
		Node:       rpc.Node{ID: "e"},
		KnownState: rpc.KnownState{Term: 6, LastItem: rpc.AfterAllItems, LastEndpoint: "i-100"},
	}
	if from := c.nextEndpointPage(c.now(), request).After; from != "" {
		t.Errorf("another leader's node is sent what follows %s", from)
	}
	request.Term = 7
	if from := c.nextEndpointPage(c.now(), request).After; from != "i-100" {
		t.Errorf("one's own node is sent what follows %q", from)
	}
}
