package directory

import (
	"fmt"
	"strings"
	"testing"

	"tinpin/internal/rpc"
)

func TestAnswers(t *testing.T) {
	nodes := map[rpc.NodeID]rpc.Node{}
	add := func(id, zone, region string, ready, stopping bool) {
		nodes[rpc.NodeID(id)] = rpc.Node{
			ID: rpc.NodeID(id), Zone: rpc.ZoneName(zone), Region: rpc.RegionName(region),
			FrontendAddress: id, Ready: ready, Stopping: stopping,
		}
	}
	add("a1", "a", "north", true, false)
	add("a2", "a", "north", true, false)
	add("a3", "a", "north", true, true)
	add("a4", "a", "north", false, false)
	add("b1", "b", "north", true, false)
	add("c1", "c", "south", true, false)
	var allowed []string
	check := func(region, zone, want string, absent ...rpc.NodeID) {
		t.Helper()
		away := map[rpc.NodeID]bool{}
		for _, id := range absent {
			away[id] = true
		}
		query := Query{
			Nodes: nodes, Absent: away, AllowedRegions: allowed,
			Region: region, Zone: zone, Client: "client",
		}
		if got := strings.Join(Answer(query), " "); got != want {
			t.Errorf("%s %s: %q, want %q", region, zone, got, want)
		}
	}
	check("north", "a", "a1 a2")
	check("north", "b", "b1 a1 a2")
	check("south", "c", "c1 a1 a2 b1")
	check("north", "a", "a2 b1", "a1")
	check("north", "a", "a1 a2", "a1", "a2", "b1", "c1")
	allowed = []string{"south"}
	// Neither its homes nor its own region: no other is named beside a home, as few as there are.
	check("south", "c", "c1")
	check("south", "c", "a1 a2 b1", "c1")
	check("north", "a", "c1 a1 a2 b1")
	allowed = []string{"north"}
	check("south", "c", "a1 a2 b1")
	// All homes are stopping, and nobody else is near: they are back soon.
	add("c1", "c", "south", true, true)
	allowed = []string{"south"}
	check("south", "c", "c1")
	check("south", "c", "a1 a2 b1", "c1")
}

// Of many nodes each client gets a few of its own that stay the same, and one
// of another zone, so that it is not cut off when its own fails.
func TestAnswersOfManyNodes(t *testing.T) {
	nodes := map[rpc.NodeID]rpc.Node{}
	for n := 0; n < 120; n++ {
		zone := fmt.Sprint("zone-", n%3)
		id := rpc.NodeID(fmt.Sprintf("%s-%d", zone, n))
		nodes[id] = rpc.Node{
			ID: id, Zone: rpc.ZoneName(zone), Region: "north", FrontendAddress: string(id), Ready: true,
		}
	}
	named := map[string]int{}
	changed := 0
	for c := 0; c < 300; c++ {
		client := fmt.Sprint("10.0.0.", c)
		answer := Answer(Query{Nodes: nodes, Region: "north", Zone: "zone-0", Client: client})
		own := 0
		for _, address := range answer {
			named[address]++
			if strings.HasPrefix(address, "zone-0") {
				own++
			}
		}
		if len(answer) != maxNearest+maxFarther || own != maxNearest {
			t.Fatalf("%v", answer)
		}
		again := Answer(Query{Nodes: nodes, Region: "north", Zone: "zone-0", Client: client})
		if strings.Join(again, " ") != strings.Join(answer, " ") {
			t.Fatalf("%v, then %v", answer, again)
		}
		absent := map[rpc.NodeID]bool{"zone-0-0": true}
		lost := Answer(Query{Nodes: nodes, Absent: absent, Region: "north", Zone: "zone-0", Client: client})
		if strings.Join(lost, " ") != strings.Join(answer, " ") {
			changed++
		}
	}
	if want := named["zone-0-0"]; changed != want {
		t.Errorf("a node that is lost changes %d answers, it was named in %d", changed, want)
	}
	for n := 0; n < 120; n += 3 {
		if count := named[fmt.Sprintf("zone-0-%d", n)]; count < 22 || count > 75 {
			t.Errorf("zone-0-%d is named to %d of 300 clients, the mean is 45", n, count)
		}
	}
	north := []string{"north"}
	far := Answer(Query{Nodes: nodes, AllowedRegions: north, Region: "south", Zone: "elsewhere", Client: "c"})
	if len(far) != maxNearest {
		t.Errorf("a client from elsewhere gets %v", far)
	}
}
