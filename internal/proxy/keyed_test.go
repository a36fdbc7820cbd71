package proxy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/message"

	"tinpin/internal/idempotency"
	"tinpin/internal/rpc"
)

// standInForum answers claims by a script, and as a fellow that holds keys.
type standInForum struct {
	mu     sync.Mutex
	claims int
	freed  []rpc.KeyClaim
	script func(n int, claim rpc.KeyClaim) rpc.ClaimResult
	recall func(n int) rpc.StoredResponse
	asked  int
}

func (f *standInForum) Claim(ask rpc.ClaimRequest, reply *rpc.ClaimResponse) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, ask.Releases...)
	reply.IsLeader, reply.Released = true, true
	for _, claim := range ask.Claims {
		f.claims++
		reply.Results = append(reply.Results, f.script(f.claims, claim))
	}
	return nil
}

func (f *standInForum) Recall(_ rpc.StoredResponseRequest, reply *rpc.StoredResponse) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	*reply = f.recall(f.asked)
	return nil
}

var ports atomic.Int32

// serveInner answers inner calls on an address of its own.
func serveInner(t *testing.T, receivers map[string]any) (inner string) {
	t.Helper()
	inner = fmt.Sprintf("127.%d.%d.1:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20000+ports.Add(1))
	served, err := rpc.Serve(inner, receivers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(served.Close)
	return inner
}

// led ties a daemon to a stand-in for the leader.
func led(t *testing.T, d *Daemon, forum *standInForum) (inner string) {
	t.Helper()
	inner = serveInner(t, map[string]any{"Forum": forum, "Fellow": forum})
	d.leader.leader.Store(&inner)
	d.leader.lastHeard.Store(int64(d.clock.Now() + time.Hour))
	d.recallPause = time.Millisecond
	go d.leader.RunClaims()
	go d.leader.RunReleases()
	t.Cleanup(func() { close(d.leader.Done) })
	return inner
}

func keyed(id, key string) *message.Request {
	r := request("POST", "/key/x", id)
	r.Headers = append(r.Headers, message.HeaderField{message.HeaderOperationKey, key})
	return r
}

func grant(int, rpc.KeyClaim) rpc.ClaimResult {
	return rpc.ClaimResult{Outcome: rpc.ClaimGranted}
}

func TestARepeatGetsTheFirstAnswer(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	led(t, d, &standInForum{script: grant})
	first := d.Handle(keyed("a", "k"), "2500")
	again := d.Handle(keyed("b", "k"), "2500")
	if first.Status != 200 || again.Status != 200 || string(again.Body) != "body of a" || backend.count() != 1 {
		t.Fatalf("%d %d %q, %d runs", first.Status, again.Status, again.Body, backend.count())
	}
	for _, line := range again.Headers {
		if line[0] == message.HeaderRequestID && line[1] != "b" || line[0] == message.HeaderResponseSignature && line[1] != "stamp-a" {
			t.Fatalf("the repeat carries %v", line)
		}
	}
}

// An outcome that is not known frees a key only where the service keeps its
// own record of keys; one that is proven not to have run always does.
func TestWhatBecomesOfAKeyWhoseRunFailed(t *testing.T) {
	broken := func(int, seen, net.Conn) bool { return false }
	turned := func(_ int, r seen, conn net.Conn) bool {
		_, err := conn.Write([]byte(answer(503, r.ID, "", message.HeaderNotExecuted+": 1")))
		return err == nil
	}
	for name, c := range map[string]struct {
		script   func(int, seen, net.Conn) bool
		dedupes  bool
		status   int
		standing rpc.OperationState
	}{
		"broken":             {broken, false, 502, rpc.OperationLost},
		"broken, own record": {broken, true, 502, rpc.OperationReleased},
		"turned away":        {turned, false, 503, rpc.OperationReleased},
	} {
		backend := newStandIn(t, "i-1", c.script)
		d := daemonOf(t, backend)
		led(t, d, &standInForum{script: grant})
		d.state.Snapshot().View.Services["s"].SelfDeduplicates = c.dedupes
		if verdict := d.Handle(keyed("a", "k"), "2500"); verdict.Status != c.status {
			t.Errorf("%s: status %d", name, verdict.Status)
		}
		if standing := d.operations.Find("k", "a").State; standing != c.standing {
			t.Errorf("%s: standing %d, want %d", name, standing, c.standing)
		}
		runs := backend.count()
		if verdict := d.Handle(keyed("b", "k"), "2500"); c.standing == rpc.OperationLost && (verdict.Status != 503 || backend.count() != runs) {
			t.Errorf("%s: a repeat got %d after %d runs", name, verdict.Status, backend.count())
		}
	}
}

func TestAKeyHeldElsewhere(t *testing.T) {
	stored := rpc.StoredResponse{State: rpc.OperationCompleted, Status: 200, Headers: [][2]string{{message.HeaderResponseSignature, "first"}}, Body: []byte("first body")}
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
		backend := newStandIn(t, "i-1", good)
		d := daemonOf(t, backend)
		forum := &standInForum{recall: c.recall}
		inner := led(t, d, forum)
		forum.script = func(n int, _ rpc.KeyClaim) rpc.ClaimResult {
			if name == "freed" && n > 1 {
				return rpc.ClaimResult{Outcome: rpc.ClaimGranted}
			}
			return rpc.ClaimResult{Outcome: rpc.ClaimHeld, Holder: "edge-2", InternalAddress: inner, Incarnation: 7, Request: "z"}
		}
		verdict := d.Handle(keyed("a", "k"), "2500")
		if verdict.Status != c.status || backend.count() != c.runs {
			t.Errorf("%s: status %d after %d runs", name, verdict.Status, backend.count())
		}
		if name == "answered" && string(verdict.Body) != "first body" {
			t.Errorf("%s: %q", name, verdict.Body)
		}
	}
}

// A claim without a clear outcome may stand. Nothing is sent under it, the
// promise of a 503 is kept, and the key is given back.
func TestAnUnclearClaimIsGivenBack(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	forum := &standInForum{script: func(int, rpc.KeyClaim) rpc.ClaimResult { return rpc.ClaimResult{Outcome: rpc.ClaimUnknown} }}
	led(t, d, forum)
	if verdict := d.Handle(keyed("a", "k"), "300"); verdict.Status != 503 || backend.count() != 0 {
		t.Fatalf("status %d after %d runs", verdict.Status, backend.count())
	}
	if d.operations.Find("k", "a").State != rpc.OperationReleased {
		t.Fatal("a fellow that asks must be told that the key is free")
	}
	for freed := false; !freed; {
		_ = d.leader.Claim(rpc.KeyClaim{Key: "other", Request: "x"}, 0, 30*time.Millisecond)
		forum.mu.Lock()
		freed = len(forum.freed) > 0 && forum.freed[0] == rpc.KeyClaim{Key: "k", Request: "a"}
		forum.mu.Unlock()
	}
	// Once, not with every claim that follows.
	for range 5 {
		_ = d.leader.Claim(rpc.KeyClaim{Key: "other", Request: "x"}, 0, 30*time.Millisecond)
	}
	forum.mu.Lock()
	defer forum.mu.Unlock()
	if len(forum.freed) != 1 {
		t.Fatalf("the key was given back %d times", len(forum.freed))
	}
}

// A claim may be carried out behind the word that gave it back; whoever meets
// it asks its holder, who then gives it back again.
func TestAFreedClaimThatStandsIsGivenBackAgain(t *testing.T) {
	d := daemonOf(t, newStandIn(t, "i-1", good))
	forum := &standInForum{script: grant}
	led(t, d, forum)
	op, _ := d.operations.Begin("k", "a")
	d.operations.Release(op)
	var reply rpc.StoredResponse
	if err := (&PeerService{d}).Recall(rpc.StoredResponseRequest{Key: "k", Request: "a", Incarnation: d.incarnation}, &reply); err != nil || reply.State != rpc.OperationReleased {
		t.Fatal(reply, err)
	}
	for freed := false; !freed; {
		_ = d.leader.Claim(rpc.KeyClaim{Key: "other", Request: "x"}, 0, 30*time.Millisecond)
		forum.mu.Lock()
		freed = len(forum.freed) == 1 && forum.freed[0] == rpc.KeyClaim{Key: "k", Request: "a"}
		forum.mu.Unlock()
	}
}

// A request that is given up is told so at once, not near its deadline.
func TestFinalAnswersAreGivenAtOnce(t *testing.T) {
	broken := func(int, seen, net.Conn) bool { return false }
	for name, c := range map[string]struct {
		request *message.Request
		backend bool
		led     bool
		status  int
	}{
		"no backend":      {request("GET", "/safe/x", "a"), false, false, 503},
		"broken":          {request("POST", "/once/x", "a"), true, false, 502},
		"broken, keyed":   {keyed("a", "k"), true, true, 502},
		"no leader":       {keyed("a", "k"), true, false, 503},
		"no way":          {request("GET", "/else/x", "a"), true, false, 404},
		"none that works": {request("GET", "/safe/x", "a"), true, false, 502},
	} {
		var backends []*standIn
		if c.backend {
			backends = append(backends, newStandIn(t, "i-1", broken))
		}
		d := daemonOf(t, backends...)
		if c.led {
			led(t, d, &standInForum{script: grant})
		}
		begun := d.clock.Now()
		verdict := d.Handle(c.request, "2500")
		// The way's timeout is 900 ms and its aim 600 ms.
		if took := d.clock.Now() - begun; verdict.Status != c.status || took > 600*time.Millisecond {
			t.Errorf("%s: status %d after %v", name, verdict.Status, took)
		}
	}
}

// What an earlier life of a daemon held is unknown to the next, whatever it has
// under the same name, and is never run again.
func TestAClaimOfAnEarlierLifeIsUnknown(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	forum := &standInForum{script: func(int, rpc.KeyClaim) rpc.ClaimResult {
		return rpc.ClaimResult{Outcome: rpc.ClaimHeld, Holder: "edge-1", Incarnation: d.incarnation + 1, Request: "z"}
	}}
	led(t, d, forum)
	if verdict := d.Handle(keyed("a", "k"), "800"); verdict.Status != 503 || backend.count() != 0 {
		t.Fatalf("status %d after %d runs", verdict.Status, backend.count())
	}
	for _, standing := range []func(op *idempotency.HeldOperation){func(*idempotency.HeldOperation) {}, d.operations.Release, func(op *idempotency.HeldOperation) { d.operations.Complete(op, 200, nil, nil) }} {
		op, _ := d.operations.Begin("other", "z")
		if op == nil {
			break
		}
		standing(op)
		var reply rpc.StoredResponse
		if err := (&PeerService{d}).Recall(rpc.StoredResponseRequest{Key: "other", Request: "z", Incarnation: d.incarnation + 1}, &reply); err != nil || reply.State != rpc.OperationLost {
			t.Fatal(reply, err)
		}
		d.operations.Release(op)
	}
}
