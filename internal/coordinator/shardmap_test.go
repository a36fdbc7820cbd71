package coordinator

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// Fellows that are told differences come to the same map as one that is told it
// whole, however far behind they were and however often they ask at once.
func TestMapsToldByDifferenceAreTheSame(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	c := newTestCoordinator()
	type told struct {
		seen rpc.Seen
		m    rpc.ShardMap
	}
	fellows := make([]told, 8)
	for step := 0; step < 400; step++ {
		now := time.Duration(step) * time.Second
		id := rpc.FellowID(fmt.Sprint("e", rng.Intn(30)))
		c.nodes.Beat(now, rpc.Fellow{ID: id, Ready: true, Stopping: rng.Intn(3) == 0})
		if rng.Intn(2) == 0 {
			c.refreshNodes()
		}
		at := &fellows[rng.Intn(len(fellows))]
		asked := at.seen
		for again := rng.Intn(2); again >= 0; again-- {
			var update rpc.News
			c.addShardMap(asked, &update)
			if update.Map != nil {
				at.m = *update.Map
			} else if delta := update.MapDelta; delta != nil && delta.Base <= at.m.Count && delta.Count > at.m.Count {
				at.m = at.m.Apply(*delta)
			}
			at.seen.MapAt = at.m.Count
			if len(c.shardMap.Members)+len(at.m.Members) > 0 && !reflect.DeepEqual(at.m.Members, c.shardMap.Members) || at.m.Count != c.shardMap.Count {
				t.Fatalf("step %d: told %v, it is %v", step, at.m, c.shardMap)
			}
			if rng.Intn(2) == 0 {
				c.refreshNodes()
			}
		}
	}
}

// Many rows of the roll come packed and whole.
func TestACrowdIsToldPacked(t *testing.T) {
	c := newTestCoordinator()
	for n := 0; n < 300; n++ {
		c.nodes.Beat(0, rpc.Fellow{ID: rpc.FellowID(fmt.Sprintf("edge-somewhere-%d", n)), Site: "somewhere", Region: "there", Front: fmt.Sprintf("10.1.%d.%d:8161", n/250, n%250), Inner: fmt.Sprintf("10.1.%d.%d:7721", n/250, n%250), Ready: true})
	}
	var update, again rpc.News
	c.addNodes(0, &update)
	c.addNodes(0, &again)
	rows, err := rpc.UnpackRows[rpc.FellowChange](update.Crowd)
	if err != nil || len(rows) != 300 || len(update.Fellows) != 0 || &again.Crowd[0] != &update.Crowd[0] {
		t.Fatal(len(rows), err)
	}
	if each := len(update.Crowd) / 300; each > 40 {
		t.Errorf("%d bytes a row", each)
	}
}

// A walk of twelve pages comes round within the time in which a drain must be
// heard of, and short lists are read as often as ever.
func TestLongListsAreReadLessOften(t *testing.T) {
	pause := 45 * time.Millisecond
	for pages, want := range map[int]time.Duration{1: 700 * time.Millisecond, 7: 700 * time.Millisecond, 12: 1080 * time.Millisecond} {
		if got := listInterval(700*time.Millisecond, pause, pages); got != want {
			t.Errorf("%d pages are read every %s", pages, got)
		}
	}
}

// One that was in the middle of another leader's list is told this one's from
// the beginning.
func TestAListBegunByAnotherLeaderIsToldAnew(t *testing.T) {
	c := newTestCoordinator()
	var walk []rpc.Server
	for n := 0; n < 3*pageRows; n++ {
		walk = append(walk, rpc.Server{ID: rpc.ServerID(fmt.Sprintf("i-%03d", n)), Service: "s", Address: "x:1"})
	}
	for _, whole := range []bool{false, true} {
		c.mergeEndpoints(walk, whole)
	}
	request := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e"}, Seen: rpc.Seen{Term: 6, ItemAt: rpc.AllItems, ListAt: "i-100"}}
	if from := c.nextEndpointPage(request).From; from != "" {
		t.Errorf("another leader's fellow is told on from %s", from)
	}
	request.Term = 7
	if from := c.nextEndpointPage(request).From; from != "i-100" {
		t.Errorf("one's own fellow is told on from %q", from)
	}
}
