package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

func newRequest(method, target, id string) *message.Request {
	return &message.Request{
		Method: method, Target: target, Host: "a.example", ID: id,
		Headers: []message.HeaderField{{message.HeaderRequestID, id}},
	}
}

// firstResponse responds to the first request with a text in which ID stands for the request's id, and to the others as
// it should; keep tells whether the connection stays open behind the text.
func firstResponse(text string, keep bool) responder {
	return func(n int, r receivedRequest, conn net.Conn) bool {
		if n > 1 {
			return respondOK(n, r, conn)
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.ID))
		return keep
	}
}

// resetAfter sends some text to the first request and resets the connection; later ones are answered.
func resetAfter(text string) responder {
	return func(n int, r receivedRequest, conn net.Conn) bool {
		if n > 1 {
			return respondOK(n, r, conn)
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.ID))
		resetConn(conn)
		return false
	}
}

// A fault of a backend must never reach a client as a success, is followed by a retry only where that is
// allowed, and must not affect the next request on the connection.
func TestFaultyBackends(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + message.HeaderRequestID + ": ID\r\n"
	signedHead := head + message.HeaderResponseSignature + ": s\r\n"
	cutChunk := "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	rejection := responseText(503, "ID", "", message.HeaderNotExecuted+": 1")
	otherInstance := responseText(421, "ID", "", message.HeaderInstanceID+": x")
	others := responseText(200, "other", "not yours")
	cases := map[string]struct {
		respond    responder
		safe, once int
		arrivals   int // of the idempotent request
	}{
		"closes without an answer": {firstResponse("", false), 200, 502, 2},
		"garbage":                  {firstResponse("garbage\r\n\r\n", false), 200, 502, 2},
		"cut short":                {firstResponse(signedHead+"Content-Length: 50\r\n\r\nhalf", false), 200, 502, 2},
		"cut in chunks":            {firstResponse(signedHead+cutChunk, false), 200, 502, 2},
		"ended by the connection":  {firstResponse(signedHead+"\r\nbody of ab", false), 200, 200, 1},
		"ended by a reset":         {resetAfter(signedHead + "\r\nwho kno"), 200, 502, 2},
		"no signature":             {firstResponse(head+"Content-Length: 2\r\n\r\nok", true), 200, 502, 2},
		"another's response only":  {firstResponse(responseText(200, "other", "not yours"), false), 200, 502, 2},
		"another's response first": {firstResponse(others+responseText(200, "ID", "body of ID"), true), 200, 200, 1},
		"rejected":                 {firstResponse(rejection, true), 200, 200, 2},
		"another instance":         {firstResponse(otherInstance, true), 200, 200, 2},
		"its own failure":          {firstResponse(responseText(500, "ID", "sorry"), true), 200, 500, 2},
	}
	for name, c := range cases {
		for _, route := range []string{"/safe/", "/once/"} {
			faulty := newFakeBackend(t, "i-1", c.respond)
			healthy := newFakeBackend(t, "i-2", respondOK)
			d := newTestDaemon(t, faulty, healthy)
			d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
			response := d.Handle(t.Context(), newRequest("GET", route+"q", "ab"), "2500")
			want := c.safe
			if route == "/once/" {
				want = c.once
			}
			if response.Status != want {
				t.Errorf("%s on %s: status %d, want %d", name, route, response.Status, want)
			}
			if response.Status == 200 && string(response.Body) != "body of ab" {
				t.Errorf("%s on %s: body %q", name, route, response.Body)
			}
			if arrivals := faulty.count() + healthy.count(); route == "/safe/" && arrivals != c.arrivals {
				t.Errorf("%s on %s: %d arrivals, want %d", name, route, arrivals, c.arrivals)
			} else if route == "/once/" && want == 502 && arrivals != 1 {
				t.Errorf("%s on %s: sent %d times though it may have run", name, route, arrivals)
			}
		}
	}
}

func TestASurplusResponseIsDiscarded(t *testing.T) {
	backend := newFakeBackend(t, "i-1", func(_ int, r receivedRequest, conn net.Conn) bool {
		_, err := io.WriteString(conn, responseText(200, r.ID, "body of "+r.ID)+responseText(200, r.ID, "again"))
		return err == nil
	})
	d := newTestDaemon(t, backend)
	for _, id := range []string{"a", "b", "c"} {
		response := d.Handle(t.Context(), newRequest("GET", "/once/q", id), "2500")
		if response.Status != 200 || string(response.Body) != "body of "+id {
			t.Fatalf("%s: %d %q", id, response.Status, response.Body)
		}
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	conn, in := dialFrontend(t, d)
	path := "/once/a%2Fb//c;d?x=%zz&y=1"
	_, _ = io.WriteString(conn, "PUT "+path+" HTTP/1.1\r\nHost: a.example\r\n"+message.HeaderRequestID+": r1\r\n"+
		"X-Own: 1\r\nX-Hop: 2\r\nConnection: X-Hop\r\n"+message.HeaderTargetInstance+": forged\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n")
	response, body, err := readResponseFrom(t, in, "PUT")
	if err != nil || response.StatusCode != 200 || body != "body of r1" ||
		response.Header.Get(message.HeaderResponseSignature) != "stamp-r1" {
		t.Fatalf("%v %q %v", response, body, err)
	}
	got := backend.last()
	if got.Method != "PUT" || got.Path != path || got.Body != "four" || got.Target != "i-1" ||
		got.Header.Get("X-Own") != "1" || got.Header.Get("X-Hop") != "" {
		t.Fatalf("the backend got %+v", got)
	}
}

func TestPipelinedResponsesComeInOrder(t *testing.T) {
	gate := make(chan struct{})
	backend := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		if r.ID == "p1" {
			<-gate
		} else if r.ID == "p3" {
			close(gate)
		}
		return respondOK(n, r, conn)
	})
	d := newTestDaemon(t, backend)
	conn, in := dialFrontend(t, d)
	_, _ = io.WriteString(conn, requestText("GET", "/safe/1", "p1")+requestText("GET", "/safe/2", "p2")+
		requestText("GET", "/safe/3", "p3"))
	for _, id := range []string{"p1", "p2", "p3"} {
		if _, body, err := readResponseFrom(t, in, "GET"); err != nil || body != "body of "+id {
			t.Fatalf("%s: %q %v", id, body, err)
		}
	}
}

// A response that closes the connection tells the client that the requests behind it were not read, so one
// that is not idempotent must not have been handled.
func TestNothingRunsBehindAClosingResponse(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	conn, in := dialFrontend(t, d)
	d.frontend.StartDraining()
	_, _ = io.WriteString(conn, requestText("GET", "/safe/1", "p1")+
		requestText("POST", "/once/2", "p2", "Content-Length: 0"))
	response, _, err := readResponseFrom(t, in, "GET")
	if err != nil || !response.Close {
		t.Fatalf("%v %v", response, err)
	}
	if _, _, err = readResponseFrom(t, in, "POST"); err == nil {
		t.Fatal("a response behind the closing one")
	}
	if backend.count() != 1 {
		t.Fatalf("%d requests ran", backend.count())
	}
}

func TestBadInput(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	key := message.HeaderOperationKey + ": k"
	longChunks := "1388\r\n" + strings.Repeat("z", 5000) + "\r\n5\r\nabcde\r\n0\r\n\r\n"
	cases := map[string]struct {
		text   string
		status int
	}{
		"no route":        {requestText("GET", "/nowhere/", "x"), 404},
		"no key":          {requestText("POST", "/key/", "x", "Content-Length: 0"), 400},
		"no id":           {"GET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 400},
		"no host":         {"GET /safe/ HTTP/1.1\r\n\r\n", 400},
		"not HTTP":        {"hello there\r\n\r\n", 400},
		"two lengths":     {requestText("POST", "/once/", "x", "Content-Length: 3", "Content-Length: 4") + "abcd", 400},
		"long head":       {requestText("GET", "/safe/", "x", "X: "+strings.Repeat("y", 2500)), 431},
		"long body":       {requestText("POST", "/once/", "x", "Content-Length: 6000"), 413},
		"long in chunks":  {requestText("POST", "/once/", "x", "Transfer-Encoding: chunked") + longChunks, 413},
		"deadline is now": {strings.Replace(requestText("GET", "/safe/", "x"), ": 2500", ": 0", 1), 503},
		"no quorum":       {requestText("POST", "/key/", "x", key, "Content-Length: 0"), 503},
	}
	for name, c := range cases {
		d := newTestDaemon(t, backend)
		conn, in := dialFrontend(t, d)
		_, _ = io.WriteString(conn, c.text)
		response, _, err := readResponseFrom(t, in, "GET")
		if err != nil || response.StatusCode != c.status {
			t.Errorf("%s: %v %v, want %d", name, response, err, c.status)
		}
	}
	if backend.count() != 0 {
		t.Fatalf("%d requests reached a backend", backend.count())
	}
}

func TestHeadAndContinue(t *testing.T) {
	d := newTestDaemon(t, newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		if r.Method == "HEAD" {
			text := responseText(200, r.ID, "0123456789")
			_, err := io.WriteString(conn, text[:len(text)-10])
			return err == nil
		}
		return respondOK(n, r, conn)
	}))
	conn, in := dialFrontend(t, d)
	_, _ = io.WriteString(conn, requestText("HEAD", "/safe/", "h1"))
	response, body, err := readResponseFrom(t, in, "HEAD")
	if err != nil || response.ContentLength != 10 || body != "" {
		t.Fatalf("%v %q %v", response, body, err)
	}
	_, _ = io.WriteString(conn, requestText("POST", "/once/", "c1", "Content-Length: 4", "Expect: 100-continue"))
	if response, _, err := readResponseFrom(t, in, "POST"); err != nil || response.StatusCode != 100 {
		t.Fatalf("%v %v", response, err)
	}
	_, _ = io.WriteString(conn, "body")
	if response, body, err := readResponseFrom(t, in, "POST"); err != nil || body != "body of c1" {
		t.Fatalf("%v %q %v", response, body, err)
	}
}

func TestLargeResponsesAreCompleteOrAborted(t *testing.T) {
	large := strings.Repeat("0123456789", 60000)
	for _, cut := range []bool{false, true} {
		d := newTestDaemon(t, newFakeBackend(t, "i-1", func(_ int, r receivedRequest, conn net.Conn) bool {
			text := responseText(200, r.ID, large)
			if cut {
				text = text[:len(text)-1000]
			}
			_, _ = io.WriteString(conn, text)
			return !cut
		}))
		conn, in := dialFrontend(t, d)
		_, _ = io.WriteString(conn, requestText("GET", "/safe/", "l1"))
		_, body, err := readResponseFrom(t, in, "GET")
		if cut && err == nil {
			t.Fatal("a large answer cut short looks complete")
		}
		if !cut && (err != nil || body != large) {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
}

// A plan never promises that nothing ran once something may have, and retries only a request that is
// idempotent or proven not to have run.
func TestPlanTable(t *testing.T) {
	for _, routeType := range []config.RouteType{config.Idempotent, config.NonIdempotent, config.Keyed} {
		for first := NotSent; first <= TimedOut; first++ {
			for second := NotSent; second <= TimedOut; second++ {
				for attempts := 1; attempts <= 3; attempts++ {
					plan := &Plan{Route: &config.Route{Type: routeType}, Deadline: time.Second, AttemptsLeft: attempts}
					mayHaveRun, arrivals := false, 0
					for i, outcome := range []Outcome{first, second, Rejected, Rejected, Rejected} {
						sent := outcome != NotSent
						if sent {
							arrivals++
						}
						mayHaveRun = mayHaveRun || outcome == ConnectionFailed || outcome == TimedOut
						step, kind := plan.Next(0, "b", Attempt{Outcome: outcome, Sent: sent})
						if step == StepRetry && mayHaveRun && routeType != config.Idempotent {
							t.Fatalf("%s %d %d: retried though it may have run", routeType, first, second)
						}
						if step == StepRetry && arrivals >= attempts {
							t.Fatalf("%s %d %d: more attempts than allowed", routeType, first, second)
						}
						if step == StepFail && mayHaveRun != kind.Response().MayHaveRun {
							t.Fatalf("%s %d %d: may have run: %v, but the response is %v",
								routeType, first, second, mayHaveRun, kind.Response())
						}
						if step != StepRetry {
							break
						}
						if i == 4 {
							t.Fatalf("%s %d %d: no end", routeType, first, second)
						}
					}
				}
			}
		}
	}
}

func TestOnlyStatusesOfUnexecutedRequestsPromise(t *testing.T) {
	for kind := apierror.BadRequest; kind <= apierror.Isolated; kind++ {
		answer := kind.Response()
		promise := answer.Status == 408 || answer.Status == 421 || answer.Status == 429 || answer.Status == 503
		if answer.Status == 0 || promise && answer.MayHaveRun || promise != apierror.PromisesNotRun(answer.Status) {
			t.Errorf("kind %d: %+v", kind, answer)
		}
	}
}

func TestChooseEndpointRules(t *testing.T) {
	var backends []*fakeBackend
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		backends = append(backends, newFakeBackend(t, id, respondOK))
	}
	d := newTestDaemon(t, backends...)
	choose := func(criteria Criteria) (id rpc.EndpointID) {
		criteria.Service = "s"
		if backend, _ := d.state.chooseEndpoint(d.state.Snapshot(), criteria); backend != nil {
			id = backend.ID
		}
		return id
	}
	now := d.clock.Now()
	one, two, three := d.state.backends["i-1"], d.state.backends["i-2"], d.state.backends["i-3"]
	one.Draining = true
	two.warmUpUntil = now + time.Hour
	for i := 0; i < 20; i++ {
		if choose(Criteria{}) != "i-3" {
			t.Fatal("a draining backend, or one in slow start without a lease, was chosen")
		}
	}
	if choose(Criteria{Attempted: []rpc.EndpointID{"i-3"}}) != "" {
		t.Fatal("a backend was chosen twice")
	}
	if choose(Criteria{Homes: []string{"far"}}) != "" {
		t.Fatal("a backend outside the allowed regions was chosen")
	}
	three.health = rpc.Unhealthy
	if choose(Criteria{}) != "i-3" {
		t.Fatal("the only backend is chosen even if it is unhealthy")
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{
		IsLeader: true, Term: 1, Revision: 2, LogIndex: 2,
		Evacuations: []rpc.Evacuation{{Zone: "here", Active: true, LogIndex: 2}},
	})
	if choose(Criteria{}) != "" {
		t.Fatal("a backend of an evacuated zone was chosen")
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{
		IsLeader: true, Term: 1, Revision: 3, LogIndex: 3,
		Evacuations: []rpc.Evacuation{{Zone: "here", LogIndex: 3}},
	})
	one.Draining = false
	three.health = rpc.Healthy
	if got := choose(Criteria{}); got == "" {
		t.Fatal("no backend is chosen after the evacuation has ended")
	}
}

func TestWarmingUpBackendsGetNoMoreThanTheLease(t *testing.T) {
	var arrivals []time.Duration
	clock := NewClock()
	d := newTestDaemon(t, newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		arrivals = append(arrivals, clock.Now())
		return respondOK(n, r, conn)
	}))
	d.state.backends["i-1"].warmUpUntil = d.clock.Now() + time.Hour
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 2, Leases: []rpc.Lease{
		{Kind: rpc.WarmupRate, Key: "i-1", Amount: 3.7, Duration: time.Minute},
	}})
	for range 12 {
		d.Handle(t.Context(), newRequest("GET", "/safe/q", "c"), "2500")
	}
	if len(arrivals) < 3 {
		t.Fatalf("only %d arrivals: the lease is not used", len(arrivals))
	}
	for i := 3; i < len(arrivals); i++ {
		// The limit counts from before the request is sent, so arrivals may lie closer together.
		if arrivals[i]-arrivals[i-3] < 800*time.Millisecond {
			t.Fatalf("4 arrivals within %v, the lease was for 3 a second", arrivals[i]-arrivals[i-3])
		}
	}
}

func TestRetryBudget(t *testing.T) {
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
	if !budget.Spend(2*time.Second, "other") || !budget.Spend(30*time.Second, "s") {
		t.Fatal("services are apart, and the window slides")
	}
	slack = 0
	if budget.Spend(60*time.Second, "s") {
		t.Fatal("without requests and without a lease nothing may be spent")
	}
}

// A request beyond its tenant's limit is rejected before it has any effect.
func TestARateLimitedRequestHasNoEffect(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	items := config.New()
	document := `{"upserts":{"tenants":{"column_names":["name","hostnames","rate","burst","version"],
		"row_values":[["t",["a.example"],10,5,1]]}}}`
	if err := items.Apply([]byte(document), 2); err != nil {
		t.Fatal(err)
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 1, Revision: 2, LogIndex: 2, Items: items.Items()})
	conn, in := dialFrontend(t, d)
	key := message.HeaderOperationKey + ": k"
	_, _ = io.WriteString(conn, requestText("POST", "/key/", "x", key, "Content-Length: 4")+"body"+
		requestText("GET", "/safe/", "y"))
	for range 2 {
		response, _, err := readResponseFrom(t, in, "GET")
		if err != nil || response.StatusCode != 429 || response.Header.Get("Retry-After") == "" {
			t.Fatalf("%v %v", response, err)
		}
	}
	if reply := d.operations.Find("t/k", "x"); reply.State != rpc.OperationLost || backend.count() != 0 {
		t.Fatal("a rejected request had an effect")
	}
}

// Heartbeats may overtake each other: an earlier update must not undo a later one.
func TestStaleUpdatesChangeNothing(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	endpoint := d.state.backends["i-1"].Endpoint
	endpoint.Draining = true
	changes := []rpc.EndpointChange{{Endpoint: endpoint}}
	d.state.Apply(0, &rpc.Update{IsLeader: true, Term: 3, Revision: 9, Endpoints: changes})
	endpoint.Draining = false
	for _, stale := range []rpc.Update{{Term: 3, Revision: 8}, {Term: 2, Revision: 50, Full: true}} {
		stale.IsLeader, stale.Endpoints = true, []rpc.EndpointChange{{Endpoint: endpoint}}
		d.state.Apply(0, &stale)
		if !d.state.backends["i-1"].Draining {
			t.Fatalf("an update of term %d, revision %d undid a later one", stale.Term, stale.Revision)
		}
	}
}

// A backend that does not respond after it took a request must not delay an idempotent request beyond the
// hedge, and one that is not idempotent must not be sent again.
func TestHedgingOnlyOfIdempotentRequests(t *testing.T) {
	gate := make(chan struct{})
	defer close(gate)
	for route, arrivals := range map[string]int{"/safe/": 1, "/once/": 0} {
		unresponsive := newFakeBackend(t, "i-1", func(int, receivedRequest, net.Conn) bool { <-gate; return false })
		healthy := newFakeBackend(t, "i-2", respondOK)
		d := newTestDaemon(t, unresponsive, healthy)
		d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
		response := d.Handle(t.Context(), newRequest("GET", route+"q", "ab"), "800")
		if route == "/safe/" && response.Status != 200 || route == "/once/" && response.Status != 504 {
			t.Errorf("%s: status %d", route, response.Status)
		}
		if healthy.count() != arrivals {
			t.Errorf("%s: %d arrivals at the second backend, want %d", route, healthy.count(), arrivals)
		}
	}
}
