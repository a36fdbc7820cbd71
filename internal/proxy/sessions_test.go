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

// agreedForum binds sessions as the leader does, for any number of nodes.
type agreedForum struct {
	standInForum
	bindMu sync.Mutex
	bound  map[rpc.SessionID]rpc.EndpointID
	mute   bool
	asks   int
}

func (f *agreedForum) Bind(ask rpc.BindRequest, reply *rpc.BindResponse) (err error) {
	f.bindMu.Lock()
	defer f.bindMu.Unlock()
	reply.IsLeader = !f.mute
	if f.mute {
		return nil
	}
	for _, bind := range ask.Bindings {
		f.asks++
		standing, known := f.bound[bind.Session]
		if !known || bind.EndedEndpoint != "" && bind.EndedEndpoint == standing {
			standing = bind.Endpoint
			f.bound[bind.Session] = standing
		}
		reply.Results = append(reply.Results, rpc.BindResult{Outcome: rpc.Bound, Endpoint: standing})
	}
	return nil
}

// written sets a document at a node.
func written(d *Daemon, rev uint64, kind policy.Kind, body string) {
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: rpc.Revision(rev), LogIndex: rev, LastItem: rpc.AfterAllItems, Documents: []policy.Document{{Kind: kind, Version: policy.Version(rev), Body: body, Rev: rev}}})
}

const byCaller = `{"version":2,"rules":[{"service":"s","from":"header","name":"X-Caller","idle":"1m","alone":"refuse","most":100}]}`

func ofCaller(method, path, id, caller string) (r *message.Request) {
	r = request(method, path, id)
	r.Headers = append(r.Headers, message.HeaderField{"X-Caller", caller})
	return r
}

// nodesOf makes nodes with one leader that each see the backends in their own way.
func nodesOf(t *testing.T, forum *agreedForum, views ...[]*standIn) (nodes []*Daemon) {
	t.Helper()
	forum.script = grant
	forum.bound = map[rpc.SessionID]rpc.EndpointID{}
	inner := serveInner(t, map[string]any{"Forum": forum, "Fellow": forum})
	for _, view := range views {
		d := daemonOf(t, view...)
		d.leader.leader.Store(&inner)
		d.leader.lastHeard.Store(int64(d.clock.Now() + time.Hour))
		go d.leader.RunClaims()
		go d.leader.RunBinds()
		go d.leader.RunReleases()
		t.Cleanup(func() { close(d.leader.Done) })
		written(d, 2, policy.SessionAffinity, byCaller)
		nodes = append(nodes, d)
	}
	return nodes
}

// Two nodes with different views of the backends and of the members keep each
// caller on one backend, and a backend that ends moves only its own sessions.
func TestASessionStaysWhicheverNodeAnswers(t *testing.T) {
	var backends []*standIn
	for i := 1; i <= 4; i++ {
		backends = append(backends, newStandIn(t, fmt.Sprint("i-", i), good))
	}
	forum := &agreedForum{}
	nodes := nodesOf(t, forum, backends, []*standIn{backends[3], backends[2], backends[1], backends[0]})
	nodes[1].state.Apply(nodes[1].clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 3, LogIndex: 2, LastItem: rpc.AfterAllItems, Nodes: []rpc.NodeChange{{Node: rpc.Node{ID: "edge-9", Zone: "here", Ready: true}}}})
	where := map[string]string{}
	run := 0
	visit := func(caller string, n int) (status int, server string) {
		run++
		method, path := "GET", "/safe/x"
		r := ofCaller(method, path, fmt.Sprint("r", run), caller)
		if run%3 == 0 {
			r = ofCaller("POST", "/key/x", fmt.Sprint("r", run), caller)
			r.Headers = append(r.Headers, message.HeaderField{message.HeaderOperationKey, fmt.Sprint("k", run)})
		}
		before := map[string]int{}
		for _, backend := range backends {
			before[backend.id] = backend.count()
		}
		status = nodes[n].Handle(r, "2500").Status
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
			status, server := visit(caller, (step+c)%2)
			if status != 200 || where[caller] != "" && where[caller] != server {
				t.Fatalf("step %d of %s: %d on %q, it began on %q", step, caller, status, server, where[caller])
			}
			where[caller] = server
		}
	}
	if forum.asks > 2*12 {
		t.Errorf("%d asks for 12 sessions at two nodes", forum.asks)
	}
	// One leaves: its sessions move, once, and the others stay.
	gone := where["caller-0"]
	for _, d := range nodes {
		d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 4, LogIndex: 2, LastItem: rpc.AfterAllItems, Endpoints: []rpc.EndpointChange{{Endpoint: rpc.Endpoint{ID: rpc.EndpointID(gone), Service: "s"}, Removed: true}}})
	}
	for step := 0; step < 4; step++ {
		for c := 0; c < 12; c++ {
			caller := fmt.Sprint("caller-", c)
			status, server := visit(caller, (step+c)%2)
			if status != 200 || server == gone || where[caller] != gone && where[caller] != server {
				t.Fatalf("step %d of %s: %d on %q, it was on %q, %q ended", step, caller, status, server, where[caller], gone)
			}
			where[caller] = server
		}
	}
}

func TestASessionThatNobodyCanPlaceIsRefusedClearly(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	forum := &agreedForum{mute: true}
	d := nodesOf(t, forum, []*standIn{backend})[0]
	verdict := d.Handle(ofCaller("GET", "/safe/x", "a", "anna"), "2500")
	if verdict.Status != 503 || backend.count() != 0 {
		t.Fatalf("%d, %d runs", verdict.Status, backend.count())
	}
	again := ""
	for _, line := range verdict.Headers {
		if line[0] == "Retry-After" {
			again = line[1]
		}
	}
	if again == "" {
		t.Fatal("the refusal does not say when to come back")
	}
	keyed := ofCaller("POST", "/key/x", "b", "anna")
	keyed.Headers = append(keyed.Headers, message.HeaderField{message.HeaderOperationKey, "k"})
	if verdict = d.Handle(keyed, "2500"); verdict.Status != 503 || backend.count() != 0 {
		t.Fatalf("keyed: %d, %d runs", verdict.Status, backend.count())
	}
	if standing := d.operations.Find("k", "b").State; standing != rpc.OperationReleased {
		t.Fatalf("the key of an operation that was not sent stands at %d", standing)
	}
	written(d, 3, policy.SessionAffinity, `{"version":3,"rules":[{"service":"s","from":"header","name":"X-Caller","idle":"1m","alone":"serve","most":100}]}`)
	if verdict = d.Handle(ofCaller("GET", "/safe/x", "c", "anna"), "2500"); verdict.Status != 200 {
		t.Fatalf("under \"serve\" what may be repeated gets %d", verdict.Status)
	}
	if verdict = d.Handle(ofCaller("POST", "/once/x", "d", "anna"), "2500"); verdict.Status != 503 {
		t.Fatalf("under \"serve\" what may run once gets %d", verdict.Status)
	}
	r := ofCaller("GET", "/safe/x", "e", "anna")
	r.Headers = append(r.Headers, message.HeaderField{"X-Caller", "ben"})
	if verdict = d.Handle(r, "2500"); verdict.Status != 200 || d.state.Policies.Sessions.Status().Repeated != 1 {
		t.Fatalf("a name that is there twice: %d, %+v", verdict.Status, d.state.Policies.Sessions.Status())
	}
}

// A backend that turns a session's request away is asked again, and no other.
func TestABusyBackendKeepsItsSession(t *testing.T) {
	busy := newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
		text := answer(200, r.ID, "body of "+r.ID)
		if n == 1 {
			text = answer(503, r.ID, "", message.HeaderNotExecuted+": 1")
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	other := newStandIn(t, "i-2", good)
	forum := &agreedForum{}
	d := nodesOf(t, forum, []*standIn{busy, other})[0]
	for c := 0; ; c++ {
		caller := fmt.Sprint("caller-", c)
		verdict := d.Handle(ofCaller("GET", "/safe/x", caller, caller), "2500")
		if verdict.Status != 200 {
			t.Fatal(verdict.Status)
		}
		if busy.count() > 0 {
			break
		}
	}
	if busy.count() != 2 {
		t.Fatalf("the busy backend was asked %d times", busy.count())
	}
}

// Under a written limit of nothing, what fails is not sent again; the limit can
// only tighten the deployment's own.
func TestTheWrittenLimitBoundsTheBudget(t *testing.T) {
	failing := func(_ int, r seen, conn net.Conn) bool {
		_, err := io.WriteString(conn, answer(500, r.ID, "no"))
		return err == nil
	}
	arrivals := func(limit string) (count int) {
		backends := []*standIn{newStandIn(t, "i-1", failing), newStandIn(t, "i-2", failing)}
		d := daemonOf(t, backends...)
		d.retryBudget.operatorLimit = d.state.Policies.Retries
		if limit != "" {
			written(d, 2, policy.RetryLimit, limit)
		}
		for i := 0; i < 10; i++ {
			d.Handle(request("GET", "/safe/x", fmt.Sprint("r", i)), "2500")
		}
		if limit != "" {
			account := d.state.Policies.Retries.Status(d.clock.Now())
			if len(account) != 1 || account[0].Rejected+account[0].RejectedSlow == 0 {
				t.Errorf("%+v", account)
			}
		}
		return backends[0].count() + backends[1].count()
	}
	if free := arrivals(""); free < 20 {
		t.Fatalf("without a limit %d arrivals of 10 requests that fail", free)
	}
	if none := arrivals(`{"version":2,"rules":[{"service":"s","ratio":0,"least_per_s":0,"window":"10s"}]}`); none != 10 {
		t.Fatalf("under a limit of none %d arrivals of 10 requests", none)
	}
	if some := arrivals(`{"version":2,"rules":[{"service":"*","ratio":0.2,"least_per_s":0,"window":"10s"}]}`); some < 11 || some > 12 {
		t.Fatalf("under a limit of a fifth %d arrivals of 10 requests", some)
	}
}
