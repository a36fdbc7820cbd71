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
	luck := rand.New(rand.NewSource(3))
	f := bare()
	type told struct {
		seen rpc.Seen
		m    rpc.ShardMap
	}
	fellows := make([]told, 8)
	for step := 0; step < 400; step++ {
		now := time.Duration(step) * time.Second
		id := rpc.FellowID(fmt.Sprint("e", luck.Intn(30)))
		f.roll.Beat(now, rpc.Fellow{ID: id, Ready: true, Stopping: luck.Intn(3) == 0})
		if luck.Intn(2) == 0 {
			f.refreshMembers()
		}
		at := &fellows[luck.Intn(len(fellows))]
		asked := at.seen
		for again := luck.Intn(2); again >= 0; again-- {
			var news rpc.News
			f.tellMap(asked, &news)
			if news.Map != nil {
				at.m = *news.Map
			} else if delta := news.MapDelta; delta != nil && delta.Base <= at.m.Count && delta.Count > at.m.Count {
				at.m = at.m.Apply(*delta)
			}
			at.seen.MapAt = at.m.Count
			if len(f.shards.Members)+len(at.m.Members) > 0 && !reflect.DeepEqual(at.m.Members, f.shards.Members) || at.m.Count != f.shards.Count {
				t.Fatalf("step %d: told %v, it is %v", step, at.m, f.shards)
			}
			if luck.Intn(2) == 0 {
				f.refreshMembers()
			}
		}
	}
}

// Many rows of the roll come packed and whole.
func TestACrowdIsToldPacked(t *testing.T) {
	f := bare()
	for n := 0; n < 300; n++ {
		f.roll.Beat(0, rpc.Fellow{ID: rpc.FellowID(fmt.Sprintf("edge-somewhere-%d", n)), Site: "somewhere", Region: "there", Front: fmt.Sprintf("10.1.%d.%d:8161", n/250, n%250), Inner: fmt.Sprintf("10.1.%d.%d:7721", n/250, n%250), Ready: true})
	}
	var news, again rpc.News
	f.tellFellows(0, &news)
	f.tellFellows(0, &again)
	rows, err := rpc.UnpackRows[rpc.FellowChange](news.Crowd)
	if err != nil || len(rows) != 300 || len(news.Fellows) != 0 || &again.Crowd[0] != &news.Crowd[0] {
		t.Fatal(len(rows), err)
	}
	if each := len(news.Crowd) / 300; each > 40 {
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
	f := bare()
	var walk []rpc.Server
	for n := 0; n < 3*partRows; n++ {
		walk = append(walk, rpc.Server{ID: rpc.ServerID(fmt.Sprintf("i-%03d", n)), Service: "s", Address: "x:1"})
	}
	for _, whole := range []bool{false, true} {
		f.merge(walk, whole)
	}
	ask := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e"}, Seen: rpc.Seen{Term: 6, ItemAt: rpc.AllItems, ListAt: "i-100"}}
	if from := f.nextPart(ask).From; from != "" {
		t.Errorf("another leader's fellow is told on from %s", from)
	}
	ask.Term = 7
	if from := f.nextPart(ask).From; from != "i-100" {
		t.Errorf("one's own fellow is told on from %q", from)
	}
}
