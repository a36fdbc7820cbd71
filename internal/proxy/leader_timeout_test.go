package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestPatienceGrowsWhileNobodyAnswersAndEndsWithALeader(t *testing.T) {
	var patience LeaderQueryTimeout
	for i, want := range []time.Duration{200, 800, 800} {
		if got := patience.Duration(); got != want*time.Millisecond {
			t.Fatalf("question %d may take %s", i, got)
		}
		patience.NoAnswer()
	}
	patience.LeaderHeard()
	if got := patience.Duration(); got != minLeaderQueryTimeout {
		t.Fatalf("after a leader was heard: %s", got)
	}
}

// slowForum answers who leads only when it is let.
type slowForum struct {
	let  chan struct{}
	lead bool
}

func (f *slowForum) Lead(_ rpc.LeaderRequest, reply *rpc.LeaderResponse) (err error) {
	<-f.let
	reply.IsLeader, reply.Term = f.lead, 7
	return nil
}

func (f *slowForum) Beat(_ rpc.HeartbeatRequest, news *rpc.Update) (err error) {
	news.IsLeader, news.Term, news.Revision = true, 7, 1
	return nil
}

// A daemon that hears every answer late finds its leader all the same, and a
// core that says nothing does not hold it up once another leads.
func TestALeaderIsFoundBehindASlowLink(t *testing.T) {
	d := daemonOf(t)
	d.leader.OnUpdate = func() {}
	slow, mute := &slowForum{let: make(chan struct{}), lead: true}, &slowForum{let: make(chan struct{})}
	t.Cleanup(func() { close(mute.let) })
	var cores []rpc.Controller
	for _, forum := range []*slowForum{slow, mute} {
		cores = append(cores, rpc.Controller{InternalAddress: serveInner(t, map[string]any{"Forum": forum})})
	}
	d.state.AddControllers(cores)
	if d.leader.findLeader("", 0) {
		t.Fatal("found a leader that has not answered")
	}
	if wait := d.leader.queryTimeout.Duration(); wait <= minLeaderQueryTimeout {
		t.Fatalf("the next question may take only %s", wait)
	}
	close(slow.let)
	if !d.leader.findLeader("", 0) || *d.leader.leader.Load() != cores[0].InternalAddress {
		t.Fatal("the leader was not found")
	}
	if wait := d.leader.queryTimeout.Duration(); wait != minLeaderQueryTimeout {
		t.Fatalf("after a leader was found: %s", wait)
	}
}

// A part of the list that leaves a gap would make backends look gone.
func TestAPartOfTheListThatDoesNotFollowIsRefused(t *testing.T) {
	d := daemonOf(t)
	server := func(id string) rpc.Endpoint {
		return rpc.Endpoint{ID: rpc.EndpointID(id), Service: "s", Address: "x:1", Zone: "here"}
	}
	tell := func(term rpc.Term, epoch rpc.Revision, part *rpc.EndpointChunk) {
		d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: term, Revision: epoch, LogIndex: 1, LastItem: rpc.AfterAllItems, EndpointChunk: part})
	}
	tell(2, 1, &rpc.EndpointChunk{Last: "b", Endpoints: []rpc.Endpoint{server("a"), server("b")}})
	for i, bad := range []*rpc.EndpointChunk{
		{After: "d", Last: "e", Endpoints: []rpc.Endpoint{server("e")}, Complete: true},
		{After: "b", Last: "c", Endpoints: []rpc.Endpoint{server("a"), server("c")}},
	} {
		tell(2, rpc.Revision(2+i), bad)
		if seen := d.state.Known(); seen.EndpointsComplete || seen.LastEndpoint != "b" || len(d.state.Snapshot().Services["s"]) != 2 {
			t.Fatalf("%+v was taken: %+v", bad, seen)
		}
		// The rest of the news is, or a daemon would ask for the same for ever.
		if d.state.Known().Revision != rpc.Revision(2+i) {
			t.Fatal("the rest of the news was refused too")
		}
	}
	tell(2, 4, &rpc.EndpointChunk{After: "b", Last: "c", Endpoints: []rpc.Endpoint{server("c")}, Complete: true})
	if !d.state.Known().EndpointsComplete || len(d.state.Snapshot().Services["s"]) != 3 {
		t.Fatal("the part that follows was not taken")
	}
	// A new leader's list begins anew, also for one in the middle of the last's.
	tell(3, 1, &rpc.EndpointChunk{Last: "a", Endpoints: []rpc.Endpoint{server("a")}})
	tell(4, 1, &rpc.EndpointChunk{After: "a", Last: "c", Endpoints: []rpc.Endpoint{server("c")}, Complete: true})
	if seen := d.state.Known(); seen.Term != 4 || seen.EndpointsComplete || seen.LastEndpoint != "" || len(d.state.Snapshot().Services["s"]) != 3 {
		t.Fatalf("a later leader's part was taken for the first one: %+v", seen)
	}
}

// However many daemons lose their leader at once, together they stay under the
// platform's rate: a list of 600 backends is 12 calls.
func TestDaemonsAloneKeepTogetherToThePlatformsRate(t *testing.T) {
	d := daemonOf(t)
	d.leader.settings.PlatformRate = 44
	pace := d.leader.standaloneInterval(295, 594)
	if calls := 295 * 12 / pace.Seconds(); calls > 22.1 || calls < 20 {
		t.Fatalf("295 daemons make %.1f calls a second at a pace of %s", calls, pace)
	}
	if small := d.leader.standaloneInterval(0, 20); small > time.Second {
		t.Fatalf("a daemon that knows no other waits %s", small)
	}
}
