package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// maxSearchSteps of a search take as long as a first question may, and no longer than a later one.
const maxSearchSteps = int(maxLeaderQueryTimeout / (2 * leaderQueryPause))

func TestLeaderQueryTimeoutGrowsUntilAnAnswer(t *testing.T) {
	var timeout LeaderQueryTimeout
	for i, want := range []time.Duration{200, 800, 800} {
		if got := timeout.Duration(); got != want*time.Millisecond {
			t.Fatalf("question %d may take %s", i, got)
		}
		timeout.NoAnswer()
	}
	timeout.Answered()
	if got := timeout.Duration(); got != minLeaderQueryTimeout {
		t.Fatalf("after an answer: %s", got)
	}
}

// slowCoordinator answers a leader query only once it is released.
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

// A node whose leader queries are all answered late finds the leader all the same, and a controller that
// does not respond does not delay it once another leads.
func TestALeaderIsFoundOverASlowLink(t *testing.T) {
	d := newTestDaemon(t)
	d.leader.OnUpdate = func() {}
	slow := &slowCoordinator{released: make(chan struct{}), leads: true}
	unresponsive := &slowCoordinator{released: make(chan struct{})}
	t.Cleanup(func() { close(unresponsive.released) })
	var controllers []rpc.Controller
	for _, coordinator := range []*slowCoordinator{slow, unresponsive} {
		address := serveRPC(t, map[string]any{"Forum": coordinator})
		controllers = append(controllers, rpc.Controller{InternalAddress: address})
	}
	d.state.AddControllers(controllers)
	search := d.leader.newSearch(0)
	t.Cleanup(search.end)
	slowTimeout := func() time.Duration { return search.queries[controllers[0].InternalAddress].timeout.Duration() }
	for range maxSearchSteps {
		if search.step("") {
			t.Fatal("found a leader that has not answered")
		}
	}
	if wait := slowTimeout(); wait <= minLeaderQueryTimeout {
		t.Fatalf("the next question may take only %s", wait)
	}
	close(slow.released)
	found := false
	for step := 0; step < maxSearchSteps && !found; step++ {
		found = search.step("")
	}
	if !found || *d.leader.leader.Load() != controllers[0].InternalAddress {
		t.Fatal("the leader was not found")
	}
	if wait := slowTimeout(); wait != minLeaderQueryTimeout {
		t.Fatalf("after a leader was found: %s", wait)
	}
}

// A chunk of the endpoint list that leaves a gap would make backends look removed.
func TestAnEndpointChunkThatDoesNotFollowIsRejected(t *testing.T) {
	d := newTestDaemon(t)
	endpoint := func(id string) rpc.Endpoint {
		return rpc.Endpoint{ID: rpc.EndpointID(id), Service: "s", Address: "x:1", Zone: "here"}
	}
	apply := func(term rpc.Term, revision rpc.Revision, chunk *rpc.EndpointChunk) {
		d.state.Apply(d.clock.Now(), &rpc.Update{
			IsLeader: true, Term: term, Revision: revision, LogIndex: 1, LastItem: rpc.AfterAllItems,
			EndpointChunk: chunk,
		})
	}
	apply(2, 1, &rpc.EndpointChunk{Last: "b", Endpoints: []rpc.Endpoint{endpoint("a"), endpoint("b")}})
	for i, bad := range []*rpc.EndpointChunk{
		{After: "d", Last: "e", Endpoints: []rpc.Endpoint{endpoint("e")}, Complete: true},
		{After: "b", Last: "c", Endpoints: []rpc.Endpoint{endpoint("a"), endpoint("c")}},
	} {
		apply(2, rpc.Revision(2+i), bad)
		known := d.state.Known()
		if known.EndpointsComplete || known.LastEndpoint != "b" || len(d.state.Snapshot().Services["s"]) != 2 {
			t.Fatalf("%+v was taken: %+v", bad, known)
		}
		// The rest of the update is applied, or a node would request the same for ever.
		if d.state.Known().Revision != rpc.Revision(2+i) {
			t.Fatal("the rest of the update was rejected too")
		}
	}
	apply(2, 4, &rpc.EndpointChunk{After: "b", Last: "c", Endpoints: []rpc.Endpoint{endpoint("c")}, Complete: true})
	if !d.state.Known().EndpointsComplete || len(d.state.Snapshot().Services["s"]) != 3 {
		t.Fatal("the part that follows was not taken")
	}
	// A new leader's list starts from the beginning, also at a node that had received part of the last one.
	apply(3, 1, &rpc.EndpointChunk{Last: "a", Endpoints: []rpc.Endpoint{endpoint("a")}})
	apply(4, 1, &rpc.EndpointChunk{After: "a", Last: "c", Endpoints: []rpc.Endpoint{endpoint("c")}, Complete: true})
	known := d.state.Known()
	if known.Term != 4 || known.EndpointsComplete || known.LastEndpoint != "" ||
		len(d.state.Snapshot().Services["s"]) != 3 {
		t.Fatalf("a later leader's part was taken for the first one: %+v", known)
	}
}

// However many nodes lose their leader at once, together they stay under the platform's rate: a list of 600
// backends takes 12 calls.
func TestStandaloneNodesTogetherKeepThePlatformRate(t *testing.T) {
	d := newTestDaemon(t)
	d.leader.settings.PlatformRate = 44
	interval := d.leader.standaloneInterval(295, 594)
	if calls := 295 * 12 / interval.Seconds(); calls > 22.1 || calls < 20 {
		t.Fatalf("295 nodes make %.1f calls a second at an interval of %s", calls, interval)
	}
	if small := d.leader.standaloneInterval(0, 20); small > time.Second {
		t.Fatalf("a node that knows no other waits %s", small)
	}
}
