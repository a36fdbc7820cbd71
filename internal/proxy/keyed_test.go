package proxy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/idempotency"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// fakeCoordinator answers claims by a script, as the leader does, and recalls, as a node that holds keys.
type fakeCoordinator struct {
	mu       sync.Mutex
	claims   int
	released []rpc.KeyClaim
	script   func(n int, claim rpc.KeyClaim) rpc.ClaimResult
	recall   func(n int) rpc.StoredResponse
	recalls  int
}

func (f *fakeCoordinator) Claim(ask rpc.ClaimRequest, reply *rpc.ClaimResponse) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, ask.Releases...)
	reply.IsLeader, reply.Released = true, true
	for _, claim := range ask.Claims {
		f.claims++
		reply.Results = append(reply.Results, f.script(f.claims, claim))
	}
	return nil
}

func (f *fakeCoordinator) Recall(_ rpc.StoredResponseRequest, reply *rpc.StoredResponse) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recalls++
	*reply = f.recall(f.recalls)
	return nil
}

var ports atomic.Int32

// serveRPC serves the receivers on an address of its own.
func serveRPC(t *testing.T, receivers map[string]any) (address string) {
	t.Helper()
	address = fmt.Sprintf("127.%d.%d.1:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20000+ports.Add(1))
	served, err := rpc.Serve(address, receivers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(served.Close)
	return address
}

// connectToLeader makes a fake coordinator the leader that a node knows.
func connectToLeader(t *testing.T, d *Daemon, coordinator *fakeCoordinator) (address string) {
	t.Helper()
	address = serveRPC(t, map[string]any{"Forum": coordinator, "Fellow": coordinator})
	d.leader.leader.Store(&address)
	d.leader.lastHeard.Store(int64(d.clock.Now() + time.Hour))
	d.recallPause = time.Millisecond
	go d.leader.RunClaims()
	go d.leader.RunReleases()
	t.Cleanup(func() { close(d.leader.Done) })
	return address
}

func newKeyedRequest(id, key string) *message.Request {
	r := newRequest("POST", "/key/x", id)
	r.Headers = append(r.Headers, message.HeaderField{message.HeaderOperationKey, key})
	return r
}

func grantClaim(int, rpc.KeyClaim) rpc.ClaimResult {
	return rpc.ClaimResult{Outcome: rpc.ClaimGranted}
}

func TestARepeatGetsTheStoredResponse(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
	first := d.Handle(t.Context(), newKeyedRequest("a", "k"), "2500")
	repeated := d.Handle(t.Context(), newKeyedRequest("b", "k"), "2500")
	if first.Status != 200 || repeated.Status != 200 || string(repeated.Body) != "body of a" || backend.count() != 1 {
		t.Fatalf("%d %d %q, %d runs", first.Status, repeated.Status, repeated.Body, backend.count())
	}
	for _, field := range repeated.Headers {
		if field[0] == message.HeaderRequestID && field[1] != "b" ||
			field[0] == message.HeaderResponseSignature && field[1] != "stamp-a" {
			t.Fatalf("the repeat carries %v", field)
		}
	}
}

// A key whose request may have run is released only where the service deduplicates by itself; one whose
// request is proven not to have run always is.
func TestStateOfAKeyAfterAFailedAttempt(t *testing.T) {
	closing := func(int, receivedRequest, net.Conn) bool { return false }
	rejecting := func(_ int, r receivedRequest, conn net.Conn) bool {
		_, err := conn.Write([]byte(responseText(503, r.ID, "", message.HeaderNotExecuted+": 1")))
		return err == nil
	}
	for name, c := range map[string]struct {
		respond      responder
		deduplicates bool
		status       int
		state        rpc.OperationState
	}{
		"connection closed":               {closing, false, 502, rpc.OperationLost},
		"connection closed, deduplicated": {closing, true, 502, rpc.OperationReleased},
		"rejected":                        {rejecting, false, 503, rpc.OperationReleased},
	} {
		backend := newFakeBackend(t, "i-1", c.respond)
		d := newTestDaemon(t, backend)
		connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
		d.state.Snapshot().View.Services["s"].SelfDeduplicates = c.deduplicates
		if response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "2500"); response.Status != c.status {
			t.Errorf("%s: status %d", name, response.Status)
		}
		if state := d.operations.Find("k", "a").State; state != c.state {
			t.Errorf("%s: state %d, want %d", name, state, c.state)
		}
		runs := backend.count()
		response := d.Handle(t.Context(), newKeyedRequest("b", "k"), "2500")
		if c.state == rpc.OperationLost && (response.Status != 503 || backend.count() != runs) {
			t.Errorf("%s: a repeat got %d after %d runs", name, response.Status, backend.count())
		}
	}
}

func TestAKeyHeldByAnotherNode(t *testing.T) {
	stored := rpc.StoredResponse{
		State: rpc.OperationCompleted, Status: 200, Body: []byte("first body"),
		Headers: [][2]string{{message.HeaderResponseSignature, "first"}},
	}
	for name, c := range map[string]struct {
		recall func(int) rpc.StoredResponse
		status int
		runs   int
	}{
		"answered": {func(int) rpc.StoredResponse { return stored }, 200, 0},
		"running":  {func(int) rpc.StoredResponse { return rpc.StoredResponse{State: rpc.OperationRunning} }, 409, 0},
		"lost":     {func(int) rpc.StoredResponse { return rpc.StoredResponse{State: rpc.OperationLost} }, 503, 0},
		"freed":    {func(int) rpc.StoredResponse { return rpc.StoredResponse{State: rpc.OperationReleased} }, 200, 1},
	} {
		backend := newFakeBackend(t, "i-1", respondOK)
		d := newTestDaemon(t, backend)
		coordinator := &fakeCoordinator{recall: c.recall}
		address := connectToLeader(t, d, coordinator)
		coordinator.script = func(n int, _ rpc.KeyClaim) rpc.ClaimResult {
			if name == "freed" && n > 1 {
				return rpc.ClaimResult{Outcome: rpc.ClaimGranted}
			}
			return rpc.ClaimResult{
				Outcome: rpc.ClaimHeld, Holder: "edge-2", InternalAddress: address, Incarnation: 7, Request: "z",
			}
		}
		response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "2500")
		if response.Status != c.status || backend.count() != c.runs {
			t.Errorf("%s: status %d after %d runs", name, response.Status, backend.count())
		}
		if name == "answered" && string(response.Body) != "first body" {
			t.Errorf("%s: %q", name, response.Body)
		}
	}
}

// A claim of unknown outcome may have been granted. Nothing is sent under it, as the 503 promises, and the
// key is released.
func TestAClaimOfUnknownOutcomeIsReleased(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	coordinator := &fakeCoordinator{script: func(int, rpc.KeyClaim) rpc.ClaimResult {
		return rpc.ClaimResult{Outcome: rpc.ClaimUnknown}
	}}
	connectToLeader(t, d, coordinator)
	if response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "300"); response.Status != 503 ||
		backend.count() != 0 {
		t.Fatalf("status %d after %d runs", response.Status, backend.count())
	}
	if d.operations.Find("k", "a").State != rpc.OperationReleased {
		t.Fatal("a peer that asks must learn that the key is released")
	}
	for released := false; !released; {
		_ = d.leader.Claim(t.Context(), rpc.KeyClaim{Key: "other", Request: "x"}, 0, 30*time.Millisecond)
		coordinator.mu.Lock()
		released = len(coordinator.released) > 0 && coordinator.released[0] == rpc.KeyClaim{Key: "k", Request: "a"}
		coordinator.mu.Unlock()
	}
	// It is released once, not again with every later claim.
	for range 5 {
		_ = d.leader.Claim(t.Context(), rpc.KeyClaim{Key: "other", Request: "x"}, 0, 30*time.Millisecond)
	}
	coordinator.mu.Lock()
	defer coordinator.mu.Unlock()
	if len(coordinator.released) != 1 {
		t.Fatalf("the key was released %d times", len(coordinator.released))
	}
}

// A claim may be applied after the release that was meant to undo it. A node that finds it asks its holder,
// which then releases it again.
func TestAReleasedClaimThatStillExistsIsReleasedAgain(t *testing.T) {
	d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOK))
	coordinator := &fakeCoordinator{script: grantClaim}
	connectToLeader(t, d, coordinator)
	operation, _ := d.operations.Begin("k", "a")
	d.operations.Release(operation)
	var reply rpc.StoredResponse
	recall := rpc.StoredResponseRequest{Key: "k", Request: "a", Incarnation: d.incarnation}
	if err := (&PeerService{d}).Recall(recall, &reply); err != nil || reply.State != rpc.OperationReleased {
		t.Fatal(reply, err)
	}
	for released := false; !released; {
		_ = d.leader.Claim(t.Context(), rpc.KeyClaim{Key: "other", Request: "x"}, 0, 30*time.Millisecond)
		coordinator.mu.Lock()
		released = len(coordinator.released) == 1 && coordinator.released[0] == rpc.KeyClaim{Key: "k", Request: "a"}
		coordinator.mu.Unlock()
	}
}

// A request that cannot succeed is answered at once, not near its deadline.
func TestFinalErrorsAreReturnedAtOnce(t *testing.T) {
	closing := func(int, receivedRequest, net.Conn) bool { return false }
	for name, c := range map[string]struct {
		request *message.Request
		backend bool
		led     bool
		status  int
	}{
		"no backend":      {newRequest("GET", "/safe/x", "a"), false, false, 503},
		"broken":          {newRequest("POST", "/once/x", "a"), true, false, 502},
		"broken, keyed":   {newKeyedRequest("a", "k"), true, true, 502},
		"no leader":       {newKeyedRequest("a", "k"), true, false, 503},
		"no route":        {newRequest("GET", "/else/x", "a"), true, false, 404},
		"none that works": {newRequest("GET", "/safe/x", "a"), true, false, 502},
	} {
		var backends []*fakeBackend
		if c.backend {
			backends = append(backends, newFakeBackend(t, "i-1", closing))
		}
		d := newTestDaemon(t, backends...)
		if c.led {
			connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
		}
		startedAt := d.clock.Now()
		response := d.Handle(t.Context(), c.request, "2500")
		// The route's timeout is 900 ms and its target latency 600 ms.
		if took := d.clock.Now() - startedAt; response.Status != c.status || took > 600*time.Millisecond {
			t.Errorf("%s: status %d after %v", name, response.Status, took)
		}
	}
}

// An operation that an earlier incarnation of a node held is unknown to the next, whatever that holds under
// the same key, and is never run again.
func TestAClaimOfAnEarlierIncarnationIsUnknown(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	coordinator := &fakeCoordinator{script: func(int, rpc.KeyClaim) rpc.ClaimResult {
		return rpc.ClaimResult{Outcome: rpc.ClaimHeld, Holder: "edge-1", Incarnation: d.incarnation + 1, Request: "z"}
	}}
	connectToLeader(t, d, coordinator)
	if response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "800"); response.Status != 503 ||
		backend.count() != 0 {
		t.Fatalf("status %d after %d runs", response.Status, backend.count())
	}
	for _, end := range []func(operation *idempotency.HeldOperation){
		func(*idempotency.HeldOperation) {},
		d.operations.Release,
		func(operation *idempotency.HeldOperation) { d.operations.Complete(operation, 200, nil, nil) },
	} {
		operation, _ := d.operations.Begin("other", "z")
		if operation == nil {
			break
		}
		end(operation)
		var reply rpc.StoredResponse
		recall := rpc.StoredResponseRequest{Key: "other", Request: "z", Incarnation: d.incarnation + 1}
		if err := (&PeerService{d}).Recall(recall, &reply); err != nil || reply.State != rpc.OperationLost {
			t.Fatal(reply, err)
		}
		d.operations.Release(operation)
	}
}
