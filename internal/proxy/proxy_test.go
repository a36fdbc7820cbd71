package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tinpin/internal/message"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

func request(method, target, id string) *message.Request {
	return &message.Request{Method: method, Target: target, Host: "a.example", ID: id, Headers: []message.HeaderField{{message.HeaderRequestID, id}}}
}

// What a backend in trouble does must never reach a client as a success, must
// be tried again only where that is allowed, and must not spoil the next
// request on the stream.
func TestBackendsInTrouble(t *testing.T) {
	first := func(bad string, keep bool) func(int, seen, net.Conn) bool {
		return func(n int, r seen, conn net.Conn) bool {
			if n > 1 {
				return good(n, r, conn)
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(bad, "ID", r.ID))
			return keep
		}
	}
	cases := map[string]struct {
		script     func(int, seen, net.Conn) bool
		safe, once int
		arrivals   int // of the request that may be repeated
	}{
		"closes without an answer": {first("", false), 200, 502, 2},
		"garbage":                  {first("garbage\r\n\r\n", false), 200, 502, 2},
		"cut short":                {first("HTTP/1.1 200 OK\r\n"+message.HeaderRequestID+": ID\r\n"+message.HeaderResponseSignature+": s\r\nContent-Length: 50\r\n\r\nhalf", false), 200, 502, 2},
		"cut in chunks":            {first("HTTP/1.1 200 OK\r\n"+message.HeaderRequestID+": ID\r\n"+message.HeaderResponseSignature+": s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false), 200, 502, 2},
		"no end but the stream's":  {first("HTTP/1.1 200 OK\r\n"+message.HeaderRequestID+": ID\r\n"+message.HeaderResponseSignature+": s\r\n\r\nwho knows", false), 200, 502, 2},
		"no stamp":                 {first("HTTP/1.1 200 OK\r\n"+message.HeaderRequestID+": ID\r\nContent-Length: 2\r\n\r\nok", true), 200, 502, 2},
		"another's answer alone":   {first(answer(200, "other", "not yours"), false), 200, 502, 2},
		"another's answer first":   {first(answer(200, "other", "not yours")+answer(200, "ID", "body of ID"), true), 200, 200, 1},
		"turned away":              {first(answer(503, "ID", "", message.HeaderNotExecuted+": 1"), true), 200, 200, 2},
		"another instance":         {first(answer(421, "ID", "", message.HeaderInstanceID+": x"), true), 200, 200, 2},
		"its own failure":          {first(answer(500, "ID", "sorry"), true), 200, 500, 2},
	}
	for name, c := range cases {
		for _, way := range []string{"/safe/", "/once/"} {
			troubled := newStandIn(t, "i-1", c.script)
			sound := newStandIn(t, "i-2", good)
			d := daemonOf(t, troubled, sound)
			d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
			verdict := d.Handle(request("GET", way+"q", "ab"), "2500")
			want := c.safe
			if way == "/once/" {
				want = c.once
			}
			if verdict.Status != want {
				t.Errorf("%s on %s: status %d, want %d", name, way, verdict.Status, want)
			}
			if verdict.Status == 200 && string(verdict.Body) != "body of ab" {
				t.Errorf("%s on %s: body %q", name, way, verdict.Body)
			}
			if arrivals := troubled.count() + sound.count(); way == "/safe/" && arrivals != c.arrivals {
				t.Errorf("%s on %s: %d arrivals, want %d", name, way, arrivals, c.arrivals)
			} else if way == "/once/" && want == 502 && arrivals != 1 {
				t.Errorf("%s on %s: sent %d times though it may have run", name, way, arrivals)
			}
		}
	}
}

func TestASurplusAnswerSpoilsNothing(t *testing.T) {
	backend := newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
		_, err := io.WriteString(conn, answer(200, r.ID, "body of "+r.ID)+answer(200, r.ID, "again"))
		return err == nil
	})
	d := daemonOf(t, backend)
	for _, id := range []string{"a", "b", "c"} {
		if verdict := d.Handle(request("GET", "/once/q", id), "2500"); verdict.Status != 200 || string(verdict.Body) != "body of "+id {
			t.Fatalf("%s: %d %q", id, verdict.Status, verdict.Body)
		}
	}
}

func TestRequestsGoOutAsTheyCame(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	conn, in := client(t, d)
	path := "/once/a%2Fb//c;d?x=%zz&y=1"
	_, _ = io.WriteString(conn, "PUT "+path+" HTTP/1.1\r\nHost: a.example\r\n"+message.HeaderRequestID+": r1\r\nX-Own: 1\r\nX-Hop: 2\r\nConnection: X-Hop\r\n"+message.HeaderTargetInstance+": forged\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n")
	if response, body, err := receiveOne(t, in, "PUT"); err != nil || response.StatusCode != 200 || body != "body of r1" || response.Header.Get(message.HeaderResponseSignature) != "stamp-r1" {
		t.Fatalf("%v %q %v", response, body, err)
	}
	got := backend.last()
	if got.Method != "PUT" || got.Path != path || got.Body != "four" || got.Target != "i-1" || got.Header.Get("X-Own") != "1" || got.Header.Get("X-Hop") != "" {
		t.Fatalf("the backend got %+v", got)
	}
}

func TestPipelinedAnswersComeInOrder(t *testing.T) {
	gate := make(chan struct{})
	backend := newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
		if r.ID == "p1" {
			<-gate
		} else if r.ID == "p3" {
			close(gate)
		}
		return good(n, r, conn)
	})
	d := daemonOf(t, backend)
	conn, in := client(t, d)
	_, _ = io.WriteString(conn, ask("GET", "/safe/1", "p1")+ask("GET", "/safe/2", "p2")+ask("GET", "/safe/3", "p3"))
	for _, id := range []string{"p1", "p2", "p3"} {
		if _, body, err := receiveOne(t, in, "GET"); err != nil || body != "body of "+id {
			t.Fatalf("%s: %q %v", id, body, err)
		}
	}
}

// An answer that closes the stream tells that those behind it were not read,
// so a request that may not be repeated must not have been taken up.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	conn, in := client(t, d)
	d.frontend.StartDraining()
	_, _ = io.WriteString(conn, ask("GET", "/safe/1", "p1")+ask("POST", "/once/2", "p2", "Content-Length: 0"))
	response, _, err := receiveOne(t, in, "GET")
	if err != nil || !response.Close {
		t.Fatalf("%v %v", response, err)
	}
	if _, _, err = receiveOne(t, in, "POST"); err == nil {
		t.Fatal("an answer behind the closing one")
	}
	if backend.count() != 1 {
		t.Fatalf("%d requests ran", backend.count())
	}
}

func TestBadInput(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	cases := map[string]struct {
		text   string
		status int
	}{
		"no way":          {ask("GET", "/nowhere/", "x"), 404},
		"no key":          {ask("POST", "/key/", "x", "Content-Length: 0"), 400},
		"no id":           {"GET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 400},
		"no host":         {"GET /safe/ HTTP/1.1\r\n\r\n", 400},
		"not HTTP":        {"hello there\r\n\r\n", 400},
		"two lengths":     {ask("POST", "/once/", "x", "Content-Length: 3", "Content-Length: 4") + "abcd", 400},
		"long head":       {ask("GET", "/safe/", "x", "X: "+strings.Repeat("y", 2500)), 431},
		"long body":       {ask("POST", "/once/", "x", "Content-Length: 6000"), 413},
		"long in chunks":  {ask("POST", "/once/", "x", "Transfer-Encoding: chunked") + "1388\r\n" + strings.Repeat("z", 5000) + "\r\n5\r\nabcde\r\n0\r\n\r\n", 413},
		"deadline is now": {"GET /safe/ HTTP/1.1\r\nHost: a.example\r\n" + message.HeaderRequestID + ": x\r\n" + message.HeaderRequestDeadline + ": 0\r\n\r\n", 503},
		"no quorum":       {ask("POST", "/key/", "x", message.HeaderOperationKey+": k", "Content-Length: 0"), 503},
	}
	for name, c := range cases {
		d := daemonOf(t, backend)
		conn, in := client(t, d)
		_, _ = io.WriteString(conn, c.text)
		response, _, err := receiveOne(t, in, "GET")
		if err != nil || response.StatusCode != c.status {
			t.Errorf("%s: %v %v, want %d", name, response, err, c.status)
		}
	}
	if backend.count() != 0 {
		t.Fatalf("%d requests reached a backend", backend.count())
	}
}

func TestHeadAndContinue(t *testing.T) {
	d := daemonOf(t, newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
		if r.Method == "HEAD" {
			text := answer(200, r.ID, "0123456789")
			_, err := io.WriteString(conn, text[:len(text)-10])
			return err == nil
		}
		return good(n, r, conn)
	}))
	conn, in := client(t, d)
	_, _ = io.WriteString(conn, ask("HEAD", "/safe/", "h1"))
	if response, body, err := receiveOne(t, in, "HEAD"); err != nil || response.ContentLength != 10 || body != "" {
		t.Fatalf("%v %q %v", response, body, err)
	}
	_, _ = io.WriteString(conn, ask("POST", "/once/", "c1", "Content-Length: 4", "Expect: 100-continue"))
	if response, _, err := receiveOne(t, in, "POST"); err != nil || response.StatusCode != 100 {
		t.Fatalf("%v %v", response, err)
	}
	_, _ = io.WriteString(conn, "body")
	if response, body, err := receiveOne(t, in, "POST"); err != nil || body != "body of c1" {
		t.Fatalf("%v %q %v", response, body, err)
	}
}

func TestLargeAnswersPassThroughOrBreakVisibly(t *testing.T) {
	large := strings.Repeat("0123456789", 60000)
	for _, cut := range []bool{false, true} {
		d := daemonOf(t, newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
			text := answer(200, r.ID, large)
			if cut {
				text = text[:len(text)-1000]
			}
			_, _ = io.WriteString(conn, text)
			return !cut
		}))
		conn, in := client(t, d)
		_, _ = io.WriteString(conn, ask("GET", "/safe/", "l1"))
		_, body, err := receiveOne(t, in, "GET")
		if cut && err == nil {
			t.Fatal("a large answer cut short looks complete")
		}
		if !cut && (err != nil || body != large) {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
}

// A plan never promises that nothing ran once something may have, and sends
// again only what is idempotent or proven not to have run.
func TestPlanTable(t *testing.T) {
	for _, repeat := range []config.RouteType{config.Idempotent, config.NonIdempotent, config.Keyed} {
		for first := NotSent; first <= TimedOut; first++ {
			for second := NotSent; second <= TimedOut; second++ {
				for rounds := 1; rounds <= 3; rounds++ {
					plan := &Plan{Route: &config.Route{Type: repeat}, Deadline: time.Second, AttemptsLeft: rounds}
					mayHaveRun, arrivals := false, 0
					for i, outcome := range []Outcome{first, second, Rejected, Rejected, Rejected} {
						sent := outcome != NotSent
						if sent {
							arrivals++
						}
						mayHaveRun = mayHaveRun || outcome == ConnectionFailed || outcome == TimedOut
						step, kind := plan.Next(0, "b", Attempt{Outcome: outcome, Sent: sent})
						if step == StepRetry && mayHaveRun && repeat != config.Idempotent {
							t.Fatalf("%s %d %d: sent again though it may have run", repeat, first, second)
						}
						if step == StepRetry && arrivals >= rounds {
							t.Fatalf("%s %d %d: more rounds than allowed", repeat, first, second)
						}
						if step == StepFail && mayHaveRun != kind.Response().MayHaveRun {
							t.Fatalf("%s %d %d: may have run: %v, but the answer is %v", repeat, first, second, mayHaveRun, kind.Response())
						}
						if step != StepRetry {
							break
						}
						if i == 4 {
							t.Fatalf("%s %d %d: no end", repeat, first, second)
						}
					}
				}
			}
		}
	}
}

func TestPromisesStandOnlyBehindWhatHasNotRun(t *testing.T) {
	for kind := apierror.BadRequest; kind <= apierror.Isolated; kind++ {
		answer := kind.Response()
		promise := answer.Status == 408 || answer.Status == 421 || answer.Status == 429 || answer.Status == 503
		if answer.Status == 0 || promise && answer.MayHaveRun || promise != apierror.PromisesNotRun(answer.Status) {
			t.Errorf("kind %d: %+v", kind, answer)
		}
	}
}

func TestChooseKeepsToTheRules(t *testing.T) {
	backends := []*standIn{newStandIn(t, "i-1", good), newStandIn(t, "i-2", good), newStandIn(t, "i-3", good)}
	d := daemonOf(t, backends...)
	pick := func(wanted Criteria) (id rpc.EndpointID) {
		wanted.Service = "s"
		if server, _ := d.state.chooseEndpoint(d.state.Snapshot(), wanted); server != nil {
			id = server.ID
		}
		return id
	}
	now := d.clock.Now()
	one, two, three := d.state.backends["i-1"], d.state.backends["i-2"], d.state.backends["i-3"]
	one.Draining = true
	two.warmUpUntil = now + time.Hour
	for i := 0; i < 20; i++ {
		if pick(Criteria{}) != "i-3" {
			t.Fatal("a draining backend, or a cold one without a lease, was chosen")
		}
	}
	if pick(Criteria{Attempted: []rpc.EndpointID{"i-3"}}) != "" {
		t.Fatal("a backend was chosen twice")
	}
	if pick(Criteria{Homes: []string{"far"}}) != "" {
		t.Fatal("a backend outside the homes was chosen")
	}
	three.health = rpc.Unhealthy
	if pick(Criteria{}) != "i-3" {
		t.Fatal("the only one is taken even if it is held to be down")
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 2, LogIndex: 2, Evacuations: []rpc.Evacuation{{Zone: "here", Active: true, LogIndex: 2}}})
	if pick(Criteria{}) != "" {
		t.Fatal("a backend of an evacuated site was chosen")
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 3, LogIndex: 3, Evacuations: []rpc.Evacuation{{Zone: "here", LogIndex: 3}}})
	one.Draining = false
	three.health = rpc.Healthy
	if got := pick(Criteria{}); got == "" {
		t.Fatal("none after the evacuation was taken back")
	}
}

func TestColdBackendsTakeNoMoreThanTheLease(t *testing.T) {
	var arrivals []time.Duration
	clock := NewClock()
	d := daemonOf(t, newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
		arrivals = append(arrivals, clock.Now())
		return good(n, r, conn)
	}))
	d.state.backends["i-1"].warmUpUntil = d.clock.Now() + time.Hour
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 2, Leases: []rpc.Lease{{Kind: rpc.WarmupRate, Key: "i-1", Amount: 3.7, Duration: time.Minute}}})
	for range 12 {
		d.Handle(request("GET", "/safe/q", "c"), "2500")
	}
	if len(arrivals) < 3 {
		t.Fatalf("only %d arrivals: the lease is not used", len(arrivals))
	}
	for i := 3; i < len(arrivals); i++ {
		// The sender counts from before the sending, so arrivals may lie closer.
		if arrivals[i]-arrivals[i-3] < 800*time.Millisecond {
			t.Fatalf("4 arrivals within %v, the lease was for 3 a second", arrivals[i]-arrivals[i-3])
		}
	}
}

func TestBudget(t *testing.T) {
	slack := 6.0
	budget := NewRetryBudget(0.2, 10*time.Second, func() float64 { return slack })
	for i := 0; i < 100; i++ {
		budget.RecordRequest(time.Second, "s")
	}
	spent := 0
	for i := 0; i < 100; i++ {
		if budget.Spend(time.Second, "s") {
			spent++
		}
	}
	if spent < 10 || float64(spent) > 0.2*100+slack {
		t.Fatalf("%d extra arrivals for 100 requests", spent)
	}
	if budget.Spend(2*time.Second, "other") != true || budget.Spend(30*time.Second, "s") != true {
		t.Fatal("services are apart, and the window slides")
	}
	slack = 0
	if budget.Spend(60*time.Second, "s") {
		t.Fatal("without requests and without a lease nothing may be spent")
	}
}

// A request over its tenant's limit is refused before anything is taken.
func TestOverLimitTakesNothing(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	items := config.New()
	call := `{"upserts":{"tenants":{"column_names":["name","hostnames","rate","burst","version"],"row_values":[["t",["a.example"],10,5,1]]}}}`
	if err := items.Apply([]byte(call), 2); err != nil {
		t.Fatal(err)
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 2, LogIndex: 2, Items: items.Items()})
	conn, in := client(t, d)
	_, _ = io.WriteString(conn, ask("POST", "/key/", "x", message.HeaderOperationKey+": k", "Content-Length: 4")+"body"+ask("GET", "/safe/", "y"))
	for range 2 {
		response, _, err := receiveOne(t, in, "GET")
		if err != nil || response.StatusCode != 429 || response.Header.Get("Retry-After") == "" {
			t.Fatalf("%v %v", response, err)
		}
	}
	if reply := d.operations.Find("t/k", "x"); reply.State != rpc.OperationLost || backend.count() != 0 {
		t.Fatal("a refused request left something behind")
	}
}

// Beats may cross: what was told earlier must not undo what was told later.
func TestOvertakenNewsChangeNothing(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	server := d.state.backends["i-1"].Endpoint
	server.Draining = true
	d.state.Apply(0, &rpc.Update{IsLeader: true, Term: 3, Revision: 9, Endpoints: []rpc.EndpointChange{{Endpoint: server}}})
	server.Draining = false
	for _, old := range []rpc.Update{{Term: 3, Revision: 8}, {Term: 2, Revision: 50, Full: true}} {
		old.IsLeader, old.Endpoints = true, []rpc.EndpointChange{{Endpoint: server}}
		d.state.Apply(0, &old)
		if !d.state.backends["i-1"].Draining {
			t.Fatalf("news of term %d, epoch %d undid a later one", old.Term, old.Revision)
		}
	}
}

// A backend that has gone dark after taking a request must not keep a request
// that may be repeated, nor have one that may not sent again.
func TestASilentBackendIsHedgedOnlyWhereAllowed(t *testing.T) {
	gate := make(chan struct{})
	defer close(gate)
	for way, arrivals := range map[string]int{"/safe/": 1, "/once/": 0} {
		dark := newStandIn(t, "i-1", func(int, seen, net.Conn) bool { <-gate; return false })
		sound := newStandIn(t, "i-2", good)
		d := daemonOf(t, dark, sound)
		d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
		verdict := d.Handle(request("GET", way+"q", "ab"), "800")
		if way == "/safe/" && verdict.Status != 200 || way == "/once/" && verdict.Status != 504 {
			t.Errorf("%s: status %d", way, verdict.Status)
		}
		if sound.count() != arrivals {
			t.Errorf("%s: %d arrivals at the second backend, want %d", way, sound.count(), arrivals)
		}
	}
}
