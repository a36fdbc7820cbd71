package proxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"tinpin/internal/message"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// bindingCoordinator binds sessions as the leader does, for any number of nodes.
type bindingCoordinator struct {
	fakeCoordinator
	bindMu     sync.Mutex
	endpoints  map[rpc.SessionID]rpc.EndpointID
	notLeading bool
	bindings   int
}

func (f *bindingCoordinator) Bind(ask rpc.BindRequest, reply *rpc.BindResponse) (err error) {
	f.bindMu.Lock()
	defer f.bindMu.Unlock()
	reply.IsLeader = !f.notLeading
	if f.notLeading {
		return nil
	}
	for _, bind := range ask.Bindings {
		f.bindings++
		endpoint, known := f.endpoints[bind.Session]
		if !known || bind.EndedEndpoint != "" && bind.EndedEndpoint == endpoint {
			endpoint = bind.Endpoint
			f.endpoints[bind.Session] = endpoint
		}
		reply.Results = append(reply.Results, rpc.BindResult{Outcome: rpc.Bound, Endpoint: endpoint})
	}
	return nil
}

// setDocument sets a document at a node.
func setDocument(d *Daemon, rev uint64, kind policy.Kind, body string) {
	d.state.Apply(d.clock.Now(), &rpc.Update{
		IsLeader: true, Term: 1, Revision: rpc.Revision(rev), LogIndex: rev, LastItem: rpc.AfterAllItems,
		Documents: []policy.Document{{Kind: kind, Version: policy.Version(rev), Body: body, Rev: rev}},
	})
}

const affinityByCaller = `{"version":2,"rules":[
	{"service":"s","from":"header","name":"X-Caller","idle":"1m","alone":"refuse","most":100}]}`

func newCallerRequest(method, path, id, caller string) (r *message.Request) {
	r = newRequest(method, path, id)
	r.Headers = append(r.Headers, message.HeaderField{"X-Caller", caller})
	return r
}

// newTestNodes makes nodes with one leader, each with a list of backends of its own.
func newTestNodes(t *testing.T, coordinator *bindingCoordinator, views ...[]*fakeBackend) (nodes []*Daemon) {
	t.Helper()
	coordinator.script = grantClaim
	coordinator.endpoints = map[rpc.SessionID]rpc.EndpointID{}
	address := serveRPC(t, map[string]any{"Forum": coordinator, "Fellow": coordinator})
	for _, view := range views {
		d := newTestDaemon(t, view...)
		d.leader.leader.Store(&address)
		d.leader.lastHeard.Store(int64(d.clock.Now() + time.Hour))
		go d.leader.RunClaims()
		go d.leader.RunBinds()
		go d.leader.RunReleases()
		t.Cleanup(func() { close(d.leader.Done) })
		setDocument(d, 2, policy.SessionAffinity, affinityByCaller)
		nodes = append(nodes, d)
	}
	return nodes
}

// Two nodes with different lists of backends and of nodes keep each caller on one backend, and a backend
// that is removed moves only its own sessions.
func TestASessionStaysOnItsBackendAtEveryNode(t *testing.T) {
	var backends []*fakeBackend
	for i := 1; i <= 4; i++ {
		backends = append(backends, newFakeBackend(t, fmt.Sprint("i-", i), respondOK))
	}
	coordinator := &bindingCoordinator{}
	nodes := newTestNodes(t, coordinator, backends, []*fakeBackend{backends[3], backends[2], backends[1], backends[0]})
	nodes[1].state.Apply(nodes[1].clock.Now(), &rpc.Update{
		IsLeader: true, Term: 1, Revision: 3, LogIndex: 2, LastItem: rpc.AfterAllItems,
		Nodes: []rpc.NodeChange{{Node: rpc.Node{ID: "edge-9", Zone: "here", Ready: true}}},
	})
	backendOf := map[string]string{}
	run := 0
	send := func(caller string, n int) (status int, server string) {
		run++
		method, path := "GET", "/safe/x"
		r := newCallerRequest(method, path, fmt.Sprint("r", run), caller)
		if run%3 == 0 {
			r = newCallerRequest("POST", "/key/x", fmt.Sprint("r", run), caller)
			r.Headers = append(r.Headers, message.HeaderField{message.HeaderOperationKey, fmt.Sprint("k", run)})
		}
		before := map[string]int{}
		for _, backend := range backends {
			before[backend.id] = backend.count()
		}
		status = nodes[n].Handle(t.Context(), r, "2500").Status
		for _, backend := range backends {
			if backend.count() > before[backend.id] {
				server = backend.id
			}
		}
		return status, server
	}
	for step := 0; step < 6; step++ {
		for c := 0; c < 12; c++ {
			caller := fmt.Sprint("caller-", c)
			status, server := send(caller, (step+c)%2)
			if status != 200 || backendOf[caller] != "" && backendOf[caller] != server {
				t.Fatalf("step %d of %s: %d on %q, it began on %q", step, caller, status, server, backendOf[caller])
			}
			backendOf[caller] = server
		}
	}
	if coordinator.bindings > 2*12 {
		t.Errorf("%d asks for 12 sessions at two nodes", coordinator.bindings)
	}
	// One is removed: its sessions move, once, and the others stay.
	removed := backendOf["caller-0"]
	for _, d := range nodes {
		endpoint := rpc.Endpoint{ID: rpc.EndpointID(removed), Service: "s"}
		d.state.Apply(d.clock.Now(), &rpc.Update{
			IsLeader: true, Term: 1, Revision: 4, LogIndex: 2, LastItem: rpc.AfterAllItems,
			Endpoints: []rpc.EndpointChange{{Endpoint: endpoint, Removed: true}},
		})
	}
	for step := 0; step < 4; step++ {
		for c := 0; c < 12; c++ {
			caller := fmt.Sprint("caller-", c)
			status, server := send(caller, (step+c)%2)
			if status != 200 || server == removed || backendOf[caller] != removed && backendOf[caller] != server {
				t.Fatalf("step %d of %s: %d on %q, it was on %q, %q was removed",
					step, caller, status, server, backendOf[caller], removed)
			}
			backendOf[caller] = server
		}
	}
}

func TestASessionThatCannotBeBoundIsRejected(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	coordinator := &bindingCoordinator{notLeading: true}
	d := newTestNodes(t, coordinator, []*fakeBackend{backend})[0]
	response := d.Handle(t.Context(), newCallerRequest("GET", "/safe/x", "a", "anna"), "2500")
	if response.Status != 503 || backend.count() != 0 {
		t.Fatalf("%d, %d runs", response.Status, backend.count())
	}
	retryAfter := ""
	for _, field := range response.Headers {
		if field[0] == "Retry-After" {
			retryAfter = field[1]
		}
	}
	if retryAfter == "" {
		t.Fatal("the rejection does not say when to retry")
	}
	keyed := newCallerRequest("POST", "/key/x", "b", "anna")
	keyed.Headers = append(keyed.Headers, message.HeaderField{message.HeaderOperationKey, "k"})
	if response = d.Handle(t.Context(), keyed, "2500"); response.Status != 503 || backend.count() != 0 {
		t.Fatalf("keyed: %d, %d runs", response.Status, backend.count())
	}
	if state := d.operations.Find("k", "b").State; state != rpc.OperationReleased {
		t.Fatalf("the key of an operation that was not sent is in state %d", state)
	}
	setDocument(d, 3, policy.SessionAffinity, `{"version":3,"rules":[
		{"service":"s","from":"header","name":"X-Caller","idle":"1m","alone":"serve","most":100}]}`)
	response = d.Handle(t.Context(), newCallerRequest("GET", "/safe/x", "c", "anna"), "2500")
	if response.Status != 200 {
		t.Fatalf("under \"serve\" an idempotent request gets %d", response.Status)
	}
	response = d.Handle(t.Context(), newCallerRequest("POST", "/once/x", "d", "anna"), "2500")
	if response.Status != 503 {
		t.Fatalf("under \"serve\" one that is not idempotent gets %d", response.Status)
	}
	r := newCallerRequest("GET", "/safe/x", "e", "anna")
	r.Headers = append(r.Headers, message.HeaderField{"X-Caller", "ben"})
	if response = d.Handle(t.Context(), r, "2500"); response.Status != 200 ||
		d.state.Policies.Sessions.Status().Repeated != 1 {
		t.Fatalf("a session header that occurs twice: %d, %+v", response.Status, d.state.Policies.Sessions.Status())
	}
}

// A session's request that its backend rejects is retried there, and at no other backend.
func TestABusyBackendKeepsItsSessions(t *testing.T) {
	busy := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		text := responseText(200, r.ID, "body of "+r.ID)
		if n == 1 {
			text = responseText(503, r.ID, "", message.HeaderNotExecuted+": 1")
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	other := newFakeBackend(t, "i-2", respondOK)
	coordinator := &bindingCoordinator{}
	d := newTestNodes(t, coordinator, []*fakeBackend{busy, other})[0]
	for c := 0; ; c++ {
		caller := fmt.Sprint("caller-", c)
		response := d.Handle(t.Context(), newCallerRequest("GET", "/safe/x", caller, caller), "2500")
		if response.Status != 200 {
			t.Fatal(response.Status)
		}
		if busy.count() > 0 {
			break
		}
	}
	if busy.count() != 2 {
		t.Fatalf("the busy backend was asked %d times", busy.count())
	}
}

// Under an operator's limit of zero a failed request is not retried; the limit can only tighten the one of
// the deployment.
func TestOperatorsRetryLimitBoundsTheBudget(t *testing.T) {
	failing := func(_ int, r receivedRequest, conn net.Conn) bool {
		_, err := io.WriteString(conn, responseText(500, r.ID, "no"))
		return err == nil
	}
	arrivals := func(limit string) (count int) {
		backends := []*fakeBackend{newFakeBackend(t, "i-1", failing), newFakeBackend(t, "i-2", failing)}
		d := newTestDaemon(t, backends...)
		d.retryBudget.operatorLimit = d.state.Policies.Retries
		if limit != "" {
			setDocument(d, 2, policy.RetryLimit, limit)
		}
		for i := 0; i < 10; i++ {
			d.Handle(t.Context(), newRequest("GET", "/safe/x", fmt.Sprint("r", i)), "2500")
		}
		if limit != "" {
			status := d.state.Policies.Retries.Status(d.clock.Now())
			if len(status) != 1 || status[0].Rejected+status[0].RejectedSlow == 0 {
				t.Errorf("%+v", status)
			}
		}
		return backends[0].count() + backends[1].count()
	}
	if free := arrivals(""); free < 20 {
		t.Fatalf("without a limit %d arrivals of 10 requests that fail", free)
	}
	none := arrivals(`{"version":2,"rules":[{"service":"s","ratio":0,"least_per_s":0,"window":"10s"}]}`)
	if none != 10 {
		t.Fatalf("under a limit of none %d arrivals of 10 requests", none)
	}
	some := arrivals(`{"version":2,"rules":[{"service":"*","ratio":0.2,"least_per_s":0,"window":"10s"}]}`)
	if some < 11 || some > 12 {
		t.Fatalf("under a limit of a fifth %d arrivals of 10 requests", some)
	}
}
