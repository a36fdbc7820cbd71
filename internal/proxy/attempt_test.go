package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// newIdleConnDaemon makes a node whose connection to its one backend has carried a request.
func newIdleConnDaemon(t *testing.T, respond responder) (d *Daemon, backend *fakeBackend) {
	t.Helper()
	backend = newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		if n == 1 {
			return respondOK(n, r, conn)
		}
		return respond(n, r, conn)
	})
	d = newTestDaemon(t, backend)
	if response := d.Handle(t.Context(), newRequest("GET", "/once/first", "first"), "2500"); response.Status != 200 {
		t.Fatal(response.Status)
	}
	return d, backend
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Responses that arrive on a connection before the request's own, or instead of it, must neither be
// accepted as its response nor prove that it has not run.
func TestWhichResponsesAreAccepted(t *testing.T) {
	unnamed := func(status int, headers string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n", status, headers)
	}
	cutShort := func(text string) string { return strings.Replace(text, "Length: 0", "Length: 9", 1) }
	own := responseText(200, "ID", "body of ID")
	ownID, otherID := message.HeaderRequestID+": ID", message.HeaderRequestID+": other"
	notRun := message.HeaderNotExecuted + ": 1"
	cases := map[string]struct {
		text        string
		fresh, idle int // the status of a request that is not idempotent
		runs        int // on a fresh connection
	}{
		"421 without an id":            {unnamed(421, ""), 200, 502, 2},
		"not run without an id":        {unnamed(503, message.HeaderNotExecuted+": 1\r\n"), 200, 502, 2},
		"503 without a word":           {unnamed(503, ""), 502, 502, 1},
		"another's, 421 without an id": {responseText(200, "other", "not yours") + unnamed(421, ""), 502, 502, 1},
		"1xx, 421 without an id":       {"HTTP/1.1 100 Continue\r\n\r\n" + unnamed(421, ""), 502, 502, 1},
		"421 without an id, then mine": {unnamed(421, "") + own, 200, 502, 2},
		"its own 503 without a word":   {responseText(503, "ID", "sorry"), 502, 502, 1},
		"its own 429 without a word":   {responseText(429, "ID", "sorry"), 502, 502, 1},
		"its own 408 without a word":   {responseText(408, "ID", "sorry"), 502, 502, 1},
		"its own 504":                  {responseText(504, "ID", "sorry"), 504, 504, 1},
		"its own 404":                  {responseText(404, "ID", "sorry"), 404, 404, 1},
		"an empty id":                  {unnamed(421, message.HeaderRequestID+":\r\n"), 200, 502, 2},
		"two ids, mine first":          {responseText(200, "ID", "body of ID", otherID), 502, 502, 1},
		"two ids, mine last":           {responseText(200, "other", "body of ID", ownID), 502, 502, 1},
		"two ids, not run":             {responseText(503, "ID", "", otherID, notRun), 502, 502, 1},
		"an id of another length":      {responseText(200, "ID0", "body of ID") + own, 200, 200, 1},
		"only ids of another length":   {responseText(200, "ID0", ""), 504, 504, 1},
		"too many of others":           {strings.Repeat(responseText(200, "other", "no"), 6) + own, 502, 502, 1},
		"two lengths":                  {responseText(200, "ID", "body of ID", "Content-Length: 3"), 502, 502, 1},
		"a length that is no number":   {strings.Replace(own, "Length: 1", "Length: -1", 1), 502, 502, 1},
		"a status that is no number":   {strings.Replace(own, "200", "2x0", 1), 502, 502, 1},
		"a status with a sign":         {strings.Replace(own, "200", "+20", 1), 502, 502, 1},
		"a status out of range":        {strings.Replace(own, "200", "999", 1), 502, 502, 1},
		"1xx, then mine":               {"HTTP/1.1 103 Early Hints\r\n\r\n" + own, 200, 200, 1},
		"1xx without end":              {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 6) + own, 502, 502, 1},
		"another protocol":             {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + own, 502, 502, 1},
		"a success that was not run":   {responseText(200, "ID", "body of ID", notRun), 502, 502, 1},
		"not run, cut short":           {cutShort(responseText(503, "ID", "", notRun)), 200, 200, 2},
		"another's not run, cut short": {cutShort(responseText(503, "other", "", notRun)), 502, 502, 1},
	}
	for name, c := range cases {
		bad := func(_ int, r receivedRequest, conn net.Conn) bool {
			_, _ = io.WriteString(conn, strings.ReplaceAll(c.text, "ID", r.ID))
			return strings.HasPrefix(name, "only")
		}
		for _, isFresh := range []bool{true, false} {
			want, wantRuns := c.idle, 1
			if isFresh {
				want, wantRuns = c.fresh, c.runs
			} else if c.idle == 200 {
				wantRuns = c.runs
			}
			d, backend := newIdleConnDaemon(t, bad)
			if isFresh {
				d.state.backends["i-1"].closeIdle(d.clock.Now(), true)
				d.state.backends["i-1"].closed = false
			}
			healthy := newFakeBackend(t, "i-2", respondOK)
			endpoint := healthy.endpoint()
			d.state.Apply(0, &rpc.Update{
				IsLeader: true, Term: 1, Revision: 2, Endpoints: []rpc.EndpointChange{{Endpoint: endpoint}},
			})
			d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
			response := d.Handle(t.Context(), newRequest("GET", "/once/q", "ab"), "300")
			if runs := backend.count() - 1 + healthy.count(); response.Status != want || runs != wantRuns {
				t.Errorf("%s, fresh %v: status %d after %d arrivals, want %d after %d",
					name, isFresh, response.Status, runs, want, wantRuns)
			}
			if response.Status == 200 && string(response.Body) != "body of ab" {
				t.Errorf("%s, fresh %v: body %q", name, isFresh, response.Body)
			}
		}
	}
}

// A closed or reset connection proves nothing, wherever in the request or its response it ends.
func TestAClosedConnectionProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(r receivedRequest, conn net.Conn)
		status int
	}{
		"reset, nothing said":  {func(_ receivedRequest, conn net.Conn) { resetConn(conn) }, 502},
		"closed, nothing said": {func(_ receivedRequest, conn net.Conn) { _ = conn.Close() }, 502},
		"reset behind the answer": {func(r receivedRequest, conn net.Conn) {
			_, _ = io.WriteString(conn, responseText(200, r.ID, "body of "+r.ID))
			_ = conn.Close()
		}, 200},
		"reset within the answer": {func(r receivedRequest, conn net.Conn) {
			_, _ = io.WriteString(conn, responseText(200, r.ID, "body of "+r.ID)[:30])
			resetConn(conn)
		}, 502},
	} {
		for _, route := range []string{"/once/", "/safe/"} {
			d, backend := newIdleConnDaemon(t, func(n int, r receivedRequest, conn net.Conn) bool {
				if n == 2 {
					c.end(r, conn)
					return false
				}
				return respondOK(n, r, conn)
			})
			response := d.Handle(t.Context(), newRequest("GET", route+"q", "ab"), "2500")
			if response.Status != c.status || backend.count() != 2 {
				t.Errorf("%s on %s: status %d after %d arrivals", name, route, response.Status, backend.count())
			}
		}
	}
}

// The response of a backend that answers before it has read the complete request, and then resets the
// connection, is accepted; without a response the outcome stays unknown.
func TestConnectionResetWhileTheRequestIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"rejected":      {responseText(503, "up", "", message.HeaderNotExecuted+": 1"), 503},
		"nothing":       {"", 502},
		"another's":     {responseText(503, "other", "", message.HeaderNotExecuted+": 1"), 502},
		"its own error": {responseText(500, "up", ""), 500},
	} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, acceptErr := listener.Accept()
				if acceptErr != nil {
					return
				}
				_, _ = bufio.NewReader(conn).ReadString('\n')
				_, _ = io.WriteString(conn, c.text)
				// Closing with unread bytes resets the connection.
				_ = conn.Close()
			}
		}()
		d := newTestDaemon(t, &fakeBackend{id: "i-1", listener: listener})
		large := newRequest("POST", "/once/q", "up")
		large.HasBody, large.Body = true, make([]byte, 16<<20)
		if response := d.Handle(t.Context(), large, "800"); response.Status != c.status {
			t.Errorf("%s: status %d, want %d", name, response.Status, c.status)
		}
		_ = listener.Close()
	}
}

// A choice made before the process was suspended has expired afterwards: nothing is sent.
func TestNothingIsSentAfterTheChoiceExpired(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	target := d.state.backends["i-1"]
	now := d.clock.Now()
	for name, c := range map[string]struct {
		options AttemptOptions
		outcome Outcome
	}{
		"chosen long ago": {
			AttemptOptions{ChosenAt: now - choiceLifetime - time.Hour, Deadline: now + time.Hour}, SendCancelled,
		},
		"deadline passes while permission is checked": {AttemptOptions{
			ChosenAt: now, Deadline: now + 50*time.Millisecond, Permits: permitsFunc(func(*Backend) bool {
				for d.clock.Now() < now+50*time.Millisecond {
				}
				return true
			}),
		}, SendCancelled},
		"not permitted": {AttemptOptions{
			ChosenAt: now, Deadline: now + time.Hour, Permits: permitsFunc(func(*Backend) bool { return false }),
		}, SendCancelled},
		"deadline has passed": {AttemptOptions{ChosenAt: now, Deadline: now}, NotSent},
	} {
		attempt := runAttempt(t.Context(), d.clock, target, newRequest("GET", "/once/q", "a"), c.options)
		if attempt.Outcome != c.outcome || attempt.Sent {
			t.Errorf("%s: %+v", name, attempt)
		}
	}
	if response := d.Handle(t.Context(), newRequest("GET", "/once/q", "b"), "800"); response.Status != 200 ||
		backend.count() != 1 {
		t.Fatalf("status %d after %d arrivals", response.Status, backend.count())
	}
}

// A backend in slow start that was chosen under a lease gets nothing once the lease has expired.
func TestAnExpiredLeaseIsNotUsed(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	target := d.state.backends["i-1"]
	target.warmUpUntil = d.clock.Now() + time.Hour
	route := d.state.Snapshot().View.Find("a.example", "/once/x")
	for _, bound := range []rpc.EndpointID{"", "i-1"} {
		outcomes := map[time.Duration]Outcome{time.Nanosecond: SendCancelled, time.Minute: Complete}
		for duration, outcome := range outcomes {
			now := d.clock.Now()
			d.state.Apply(now, &rpc.Update{IsLeader: true, Term: 1, Revision: 1, Leases: []rpc.Lease{
				{Kind: rpc.WarmupRate, Key: "i-1", Amount: 3, Duration: duration},
			}})
			plan := &Plan{Route: route, Service: "s", Deadline: now + time.Second, BoundBackend: bound}
			request, options := newRequest("POST", "/once/x", "a"), d.attemptOptions(plan, now)
			attempt := runAttempt(t.Context(), d.clock, target, request, options)
			if attempt.Outcome != outcome {
				t.Errorf("bound to %q, a lease for %v: %+v", bound, duration, attempt)
			}
		}
	}
	if backend.count() != 2 {
		t.Fatalf("%d arrivals", backend.count())
	}
}

// A claim is valid for its window from when it was requested, and no longer.
func TestAnExpiredClaimIsNotUsed(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	d.settings.Bounds.KeyWindow = time.Nanosecond
	connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
	if response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "2500"); response.Status != 503 ||
		backend.count() != 0 {
		t.Fatalf("status %d after %d runs", response.Status, backend.count())
	}
	if d.operations.Find("k", "a").State != rpc.OperationReleased {
		t.Fatal("the key is not given back")
	}
	// The same request must not run under the claim that is being released.
	d.settings.Bounds.KeyWindow = time.Minute
	if response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "2500"); response.Status != 503 ||
		backend.count() != 0 {
		t.Fatalf("status %d after %d runs", response.Status, backend.count())
	}
	if response := d.Handle(t.Context(), newKeyedRequest("b", "k"), "2500"); response.Status != 200 ||
		backend.count() != 1 {
		t.Fatalf("status %d after %d runs", response.Status, backend.count())
	}
}

// A retry at the backend that a session is bound to uses a fresh connection: on the old one a duplicate
// of the first rejection would be taken as proof about the second attempt.
func TestADuplicateRejectionProvesNothing(t *testing.T) {
	for disabled, want := range map[DisabledChecks]int{0: 2, ReuseRejectingConn: 3} {
		var rejected sync.Map
		backend := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
			rejection := responseText(503, r.ID, "", message.HeaderNotExecuted+": 1")
			if _, again := rejected.LoadOrStore(conn, true); n == 1 || again {
				// The duplicate arrives before the response to the second attempt.
				_, err := io.WriteString(conn, rejection)
				if n == 1 {
					return err == nil
				}
			}
			return respondOK(n, r, conn)
		})
		d := newTestDaemon(t, backend)
		d.disabledChecks = disabled
		d.retryBudget.RecordRequest(d.clock.Now(), "s")
		view := d.state.Snapshot().View
		plan := &Plan{
			Route: view.Find("a.example", "/once/x"), Service: "s", Request: newRequest("POST", "/once/x", "a"),
			Deadline: d.clock.Now() + 2*time.Second, AttemptsLeft: 3, BoundBackend: "i-1",
		}
		_, kind := d.runAttempts(t.Context(), plan, d.concurrency.forService("s"))
		if kind != 0 || backend.count() != want {
			t.Errorf("disabled checks %d: kind %d after %d arrivals, want %d", disabled, kind, backend.count(), want)
		}
	}
}

// A write to a connection that was reset after it was checked takes no bytes of the request. That
// proves that the request has not run, also for one that is not idempotent.
func TestAFailedWriteOfNoBytesIsProof(t *testing.T) {
	conns := make(chan net.Conn, 2)
	backend := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		conns <- conn
		return respondOK(n, r, conn)
	})
	d := newTestDaemon(t, backend)
	target := d.state.backends["i-1"]
	now := d.clock.Now()
	options := AttemptOptions{ChosenAt: now, Deadline: now + time.Second, MaxIdle: time.Minute}
	attempt := runAttempt(t.Context(), d.clock, target, newRequest("POST", "/once/1", "a"), options)
	if attempt.Outcome != Complete {
		t.Fatalf("%+v", attempt)
	}
	options.Permits = permitsFunc(func(target *Backend) bool {
		resetConn(<-conns)
		for active := range target.activeConns {
			for active.isQuiet() {
			}
		}
		return true
	})
	attempt = runAttempt(t.Context(), d.clock, target, newRequest("POST", "/once/2", "b"), options)
	if attempt.Outcome != NotSent || attempt.Sent || backend.count() != 1 {
		t.Fatalf("%+v after %d arrivals", attempt, backend.count())
	}
}

// permitsFunc decides by a function which backends may be sent requests.
type permitsFunc func(backend *Backend) bool

func (f permitsFunc) mayReceive(backend *Backend) bool { return f(backend) }
