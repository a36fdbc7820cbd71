package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestLeaderQueryTimeoutGrowsUntilALeaderAnswers(t *testing.T) {
	var timeout LeaderQueryTimeout
	for i, want := range []time.Duration{200, 800, 800} {
		if got := timeout.Duration(); got != want*time.Millisecond {
			t.Fatalf("question %d may take %s", i, got)
		}
		timeout.NoAnswer()
	}
	timeout.LeaderHeard()
	if got := timeout.Duration(); got != minLeaderQueryTimeout {
		t.Fatalf("after a leader was heard: %s", got)
	}
}

// slowCoordinator answers who leads only when it is let.
type slowCoordinator struct {
	released chan struct{}
	leads    bool
}

func (f *slowCoordinator) Lead(_ rpc.LeaderRequest, reply *rpc.LeaderResponse) (err error) {
	<-f.released
	reply.IsLeader, reply.Term = f.leads, 7
	return nil
}

func (f *slowCoordinator) Beat(_ rpc.HeartbeatRequest, update *rpc.Update) (err error) {
	update.IsLeader, update.Term, update.Revision = true, 7, 1
	return nil
}

// A daemon that hears every answer late finds its leader all the same, and a
// core that says nothing does not hold it up once another leads.
func TestALeaderIsFoundOverASlowLink(t *testing.T) {
	d := newTestDaemon(t)
	d.leader.OnUpdate = func() {}
	slow, unresponsive := &slowCoordinator{released: make(chan struct{}), leads: true}, &slowCoordinator{released: make(chan struct{})}
	t.Cleanup(func() { close(unresponsive.released) })
	var controllers []rpc.Controller
	for _, coordinator := range []*slowCoordinator{slow, unresponsive} {
		controllers = append(controllers, rpc.Controller{InternalAddress: serveRPC(t, map[string]any{"Forum": coordinator})})
	}
	d.state.AddControllers(controllers)
	if d.leader.findLeader("", 0) {
		t.Fatal("found a leader that has not answered")
	}
	if wait := d.leader.queryTimeout.Duration(); wait <= minLeaderQueryTimeout {
		t.Fatalf("the next question may take only %s", wait)
	}
	close(slow.released)
	if !d.leader.findLeader("", 0) || *d.leader.leader.Load() != controllers[0].InternalAddress {
		t.Fatal("the leader was not found")
	}
	if wait := d.leader.queryTimeout.Duration(); wait != minLeaderQueryTimeout {
		t.Fatalf("after a leader was found: %s", wait)
	}
}

// A part of the list that leaves a gap would make backends look gone.
func TestAnEndpointChunkThatDoesNotFollowIsRejected(t *testing.T) {
	d := newTestDaemon(t)
	endpoint := func(id string) rpc.Endpoint {
		return rpc.Endpoint{ID: rpc.EndpointID(id), Service: "s", Address: "x:1", Zone: "here"}
	}
	apply := func(term rpc.Term, revision rpc.Revision, chunk *rpc.EndpointChunk) {
		d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: term, Revision: revision, LogIndex: 1, LastItem: rpc.AfterAllItems, EndpointChunk: chunk})
	}
	apply(2, 1, &rpc.EndpointChunk{Last: "b", Endpoints: []rpc.Endpoint{endpoint("a"), endpoint("b")}})
	for i, bad := range []*rpc.EndpointChunk{
		{After: "d", Last: "e", Endpoints: []rpc.Endpoint{endpoint("e")}, Complete: true},
		{After: "b", Last: "c", Endpoints: []rpc.Endpoint{endpoint("a"), endpoint("c")}},
	} {
		apply(2, rpc.Revision(2+i), bad)
		if known := d.state.Known(); known.EndpointsComplete || known.LastEndpoint != "b" || len(d.state.Snapshot().Services["s"]) != 2 {
			t.Fatalf("%+v was taken: %+v", bad, known)
		}
		// The rest of the news is, or a daemon would ask for the same for ever.
		if d.state.Known().Revision != rpc.Revision(2+i) {
			t.Fatal("the rest of the news was refused too")
		}
	}
	apply(2, 4, &rpc.EndpointChunk{After: "b", Last: "c", Endpoints: []rpc.Endpoint{endpoint("c")}, Complete: true})
	if !d.state.Known().EndpointsComplete || len(d.state.Snapshot().Services["s"]) != 3 {
		t.Fatal("the part that follows was not taken")
	}
	// A new leader's list begins anew, also for one in the middle of the last's.
	apply(3, 1, &rpc.EndpointChunk{Last: "a", Endpoints: []rpc.Endpoint{endpoint("a")}})
	apply(4, 1, &rpc.EndpointChunk{After: "a", Last: "c", Endpoints: []rpc.Endpoint{endpoint("c")}, Complete: true})
	if known := d.state.Known(); known.Term != 4 || known.EndpointsComplete || known.LastEndpoint != "" || len(d.state.Snapshot().Services["s"]) != 3 {
		t.Fatalf("a later leader's part was taken for the first one: %+v", known)
	}
}

// However many daemons lose their leader at once, together they stay under the
// platform's rate: a list of 600 backends is 12 calls.
func TestStandaloneNodesTogetherKeepThePlatformRate(t *testing.T) {
	d := newTestDaemon(t)
	d.leader.settings.PlatformRate = 44
	interval := d.leader.standaloneInterval(295, 594)
	if calls := 295 * 12 / interval.Seconds(); calls > 22.1 || calls < 20 {
		t.Fatalf("295 daemons make %.1f calls a second at a pace of %s", calls, interval)
	}
	if small := d.leader.standaloneInterval(0, 20); small > time.Second {
		t.Fatalf("a daemon that knows no other waits %s", small)
	}
}
