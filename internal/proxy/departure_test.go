package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// departureTimeout bounds the wait for what must follow a client's leaving at once; the
// routes of these tests give a request a minute.
const departureTimeout = 5 * time.Second

// pipelinedTooMany is more requests than the frontend takes up before it has answered the first.
const pipelinedTooMany = 18

// awaitSignal waits for a signal.
func awaitSignal(t *testing.T, signal <-chan string, what string) (id string) {
	t.Helper()
	select {
	case id = <-signal:
		return id
	case <-time.After(departureTimeout):
		t.Fatalf("%s does not happen", what)
	}
	return ""
}

// patientRequest is the text of a request whose client would wait for a minute.
func patientRequest(method, path, id string, headers ...string) string {
	return strings.Replace(requestText(method, path, id, headers...), ": 2500", ": 60000", 1)
}

// silentBackend takes requests and answers none. It says which arrive, and which end because
// their connection is closed.
type silentBackend struct {
	*fakeBackend
	arrived, ended chan string
}

// newSilentBackend sends the beginning of a response, if any, and then nothing.
func newSilentBackend(t *testing.T, id, beginning string) *silentBackend {
	t.Helper()
	s := &silentBackend{arrived: make(chan string, 16), ended: make(chan string, 16)}
	s.fakeBackend = newFakeBackend(t, id, func(_ int, r receivedRequest, conn net.Conn) bool {
		if beginning != "" {
			_, _ = io.WriteString(conn, responseHead(r.ID)+beginning)
		}
		s.arrived <- r.ID
		_, _ = io.Copy(io.Discard, conn)
		s.ended <- r.ID
		return false
	})
	return s
}

// responseHead is the head of a success whose body comes in chunks.
func responseHead(id string) string {
	return "HTTP/1.1 200 OK\r\n" + message.HeaderRequestID + ": " + id + "\r\n" +
		message.HeaderResponseSignature + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// chunk is one chunk of a body.
func chunk(size int) string {
	return strconv.FormatInt(int64(size), 16) + "\r\n" + string(make([]byte, size)) + "\r\n"
}

// leave closes the client's connection in the way of a program that has ended.
func leave(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// A request that may be repeated is work for nobody once its client has left: the backends that
// work on it are told so by the end of their connections.
func TestWorkEndsWhenItsClientLeaves(t *testing.T) {
	long := func(id string, headers ...string) string { return patientRequest("GET", "/long/x", id, headers...) }
	once := patientRequest("POST", "/longonce/x", "behind", "Content-Length: 0")
	cases := map[string]struct {
		requests string
		// working are the requests that reach a backend before the client leaves.
		working []string
	}{
		"kept connection":            {long("a"), []string{"a"}},
		"connection that closes":     {long("a", "Connection: close"), []string{"a"}},
		"pipelined requests":         {long("a") + long("b"), []string{"a", "b"}},
		"behind it one that waits":   {long("a") + once, []string{"a"}},
		"behind it one half read":    {long("a") + once[:20], []string{"a"}},
		"a hedged request":           {patientRequest("GET", "/hedged/x", "a"), []string{"a", "a"}},
		"more than may be pipelined": {strings.Repeat(long("a"), pipelinedTooMany), []string{"a", "a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newSilentBackend(t, "i-1", ""), newSilentBackend(t, "i-2", "")
			second.arrived, second.ended = first.arrived, first.ended
			conn, _ := dialFrontend(t, newTestDaemon(t, first.fakeBackend, second.fakeBackend))
			_, _ = io.WriteString(conn, c.requests)
			for range c.working {
				awaitSignal(t, first.arrived, "the arrival of a request")
			}
			leave(t, conn)
			for range c.working {
				awaitSignal(t, first.ended, "the end of a request")
			}
			for _, got := range append(first.fakeBackend.received(), second.fakeBackend.received()...) {
				if got.ID == "behind" {
					t.Error("a request was sent after its client had left")
				}
			}
		})
	}
}

// A stream ends with its reader, also while the backend sends nothing.
func TestAStreamEndsWhenItsClientLeaves(t *testing.T) {
	backend := newSilentBackend(t, "i-1", chunk(maxStreamedPrefix+1))
	conn, in := dialFrontend(t, newTestDaemon(t, backend.fakeBackend))
	_, _ = io.WriteString(conn, patientRequest("GET", "/stream/x", "a"))
	awaitSignal(t, backend.arrived, "the arrival of the request")
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = io.ReadFull(response.Body, make([]byte, maxStreamedPrefix+1)); err != nil {
		t.Fatal(err)
	}
	leave(t, conn)
	awaitSignal(t, backend.ended, "the end of the stream")
}

// heldResponses are responses of backends that are held back until the gate opens.
type heldResponses struct {
	arrived chan string
	gate    chan struct{}
	respond responder
}

func newHeldResponses(respond responder) (h *heldResponses) {
	h = &heldResponses{arrived: make(chan string, 4), gate: make(chan struct{})}
	h.respond = func(n int, r receivedRequest, conn net.Conn) bool {
		h.arrived <- r.ID
		<-h.gate
		return respond(n, r, conn)
	}
	return h
}

// leaveMeanwhile sends a request whose client leaves before the response comes, and waits until it has ended.
func (h *heldResponses) leaveMeanwhile(t *testing.T, d *Daemon, route string) {
	t.Helper()
	connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
	conn, _ := dialFrontend(t, d)
	key := message.HeaderOperationKey + ": k"
	_, _ = io.WriteString(conn, patientRequest("POST", route+"x", "a", "Content-Length: 0", key))
	awaitSignal(t, h.arrived, "the arrival of the request")
	leave(t, conn)
	awaitCondition(t, func() bool { return d.frontend.Departures().Clients.Load() == 1 })
	close(h.gate)
	awaitCondition(t, func() bool { return d.frontend.InFlight() == 0 })
}

// What has not been sent when its client leaves is not sent any more, whatever the kind of its
// route: neither a retry nor a request that waits for capacity.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	for _, route := range []string{"/long/", "/longonce/", "/longkey/"} {
		t.Run("retry on "+route, func(t *testing.T) {
			t.Parallel()
			held := newHeldResponses(func(_ int, r receivedRequest, conn net.Conn) bool {
				_, err := io.WriteString(conn, responseText(503, r.ID, "", message.HeaderNotExecuted+": 1"))
				return err == nil
			})
			first, second := newFakeBackend(t, "i-1", held.respond), newFakeBackend(t, "i-2", held.respond)
			held.leaveMeanwhile(t, newTestDaemon(t, first, second), route)
			if sent := first.count() + second.count(); sent != 1 {
				t.Errorf("%d arrivals", sent)
			}
		})
	}
	t.Run("request that waits for capacity", func(t *testing.T) {
		t.Parallel()
		backend := newFakeBackend(t, "i-1", respondOK)
		d := newTestDaemon(t, backend)
		limiter := d.concurrency.forService("s")
		limiter.limit = minConcurrency
		for range minConcurrency {
			limiter.Acquire(0)
		}
		conn, _ := dialFrontend(t, d)
		_, _ = io.WriteString(conn, patientRequest("GET", "/long/x", "a"))
		awaitCondition(t, func() bool { return d.frontend.InFlight() == 1 })
		leave(t, conn)
		awaitCondition(t, func() bool { return d.frontend.Departures().Clients.Load() == 1 })
		for range minConcurrency {
			limiter.Release()
		}
		awaitCondition(t, func() bool { return d.frontend.InFlight() == 0 })
		if backend.count() != 0 {
			t.Error("a request that waited was sent after its client had left")
		}
	})
}

// Once a hedged request is answered, the other attempt is work for nobody: its backend is told so at once,
// and the response of the one that won stays whole, also where it is passed on as it comes.
func TestTheAttemptThatLostAHedgeEnds(t *testing.T) {
	for name, body := range map[string]string{
		"short response": "5\r\nwhole\r\n0\r\n\r\n",
		"streamed":       chunk(maxBufferedBody+1) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := newSilentBackend(t, "i-1", "")
			answering := newFakeBackend(t, "i-2", func(_ int, r receivedRequest, conn net.Conn) bool {
				_, err := io.WriteString(conn, responseHead(r.ID)+body)
				return err == nil
			})
			d := newTestDaemon(t, silent.fakeBackend, answering)
			d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
			conn, in := dialFrontend(t, d)
			_, _ = io.WriteString(conn, patientRequest("GET", "/hedged/x", "a"))
			response, got, err := readResponseFrom(t, in, "GET")
			if err != nil || response.StatusCode != 200 || len(got) < 4 {
				t.Fatalf("%v: %d bytes, %v", response, len(got), err)
			}
			awaitSignal(t, silent.ended, "the end of the attempt that lost")
		})
	}
}

// What may run only once is carried to its end though its client has left, its connection stays good, and
// the outcome of a keyed operation is there for the repeat.
func TestWhatMayRunOnceIsCarriedToItsEnd(t *testing.T) {
	for _, route := range []string{"/longonce/", "/longkey/"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			held := newHeldResponses(respondOK)
			backend := newFakeBackend(t, "i-1", held.respond)
			d := newTestDaemon(t, backend)
			held.leaveMeanwhile(t, d, route)
			if complete := d.attempts.byOutcome[Complete].Load(); complete != 1 {
				t.Errorf("%d responses were read", complete)
			}
			repeat := newRequest("POST", route+"x", "b")
			repeat.Headers = append(repeat.Headers, message.HeaderField{message.HeaderOperationKey, "k"})
			response := d.Handle(t.Context(), repeat, "60000")
			wantBody, wantRuns := "body of b", 2
			if route == "/longkey/" {
				wantBody, wantRuns = "body of a", 1
			}
			if response.Status != 200 || string(response.Body) != wantBody || backend.count() != wantRuns {
				t.Errorf("%d %q after %d runs", response.Status, response.Body, backend.count())
			}
			if backend.connections != 1 {
				t.Errorf("%d connections to the backend", backend.connections)
			}
		})
	}
}

// Whatever was taken for a request is given back once, at whichever point its client leaves.
func TestWhatWasTakenForADepartedClientIsGivenBackOnce(t *testing.T) {
	backend := newSilentBackend(t, "i-1", "")
	d := newTestDaemon(t, backend.fakeBackend)
	for _, path := range []string{"/long/x", "/stream/x", "/hedged/x"} {
		conn, _ := dialFrontend(t, d)
		body := "Content-Length: 4"
		_, _ = io.WriteString(conn, patientRequest("GET", path, "a", body)+"four")
		awaitSignal(t, backend.arrived, "the arrival of the request")
		leave(t, conn)
		awaitSignal(t, backend.ended, "the end of the request")
	}
	awaitCondition(t, func() bool { return d.frontend.InFlight() == 0 })
	target := d.state.Snapshot().Services["s"][0]
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.inFlight != 0 || target.openConns != 0 || len(target.activeConns) != 0 || len(target.idleConns) != 0 {
		t.Errorf("%d attempts, %d open, %d active, %d idle connections are left", target.inFlight, target.openConns,
			len(target.activeConns), len(target.idleConns))
	}
	limiter := d.concurrency.forService("s")
	if limiter.inFlight != 0 {
		t.Errorf("%d requests are left at the concurrency limit", limiter.inFlight)
	}
	if abandoned := d.attempts.byOutcome[Abandoned].Load(); abandoned != 3 {
		t.Errorf("%d attempts were abandoned", abandoned)
	}
}

// A key that was claimed for a client that has left meanwhile is free again.
func TestAClaimForADepartedClientIsReleased(t *testing.T) {
	asked, gate := make(chan string, 4), make(chan struct{})
	coordinator := &fakeCoordinator{script: func(int, rpc.KeyClaim) rpc.ClaimResult {
		asked <- "claim"
		<-gate
		return rpc.ClaimResult{Outcome: rpc.ClaimGranted}
	}}
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	connectToLeader(t, d, coordinator)
	conn, _ := dialFrontend(t, d)
	key := message.HeaderOperationKey + ": k"
	_, _ = io.WriteString(conn, patientRequest("POST", "/longkey/x", "a", "Content-Length: 0", key))
	awaitSignal(t, asked, "the claim")
	leave(t, conn)
	awaitCondition(t, func() bool { return d.frontend.InFlight() == 0 })
	close(gate)
	awaitCondition(t, func() bool {
		coordinator.mu.Lock()
		defer coordinator.mu.Unlock()
		return slices.Contains(coordinator.released, rpc.KeyClaim{Key: "k", Request: "a"})
	})
	if backend.count() != 0 {
		t.Error("the request was sent")
	}
}

// A backend that answers nobody stays suspect though the attempts at it were abandoned.
func TestASilentBackendStaysOverdueAfterAnAbandonedAttempt(t *testing.T) {
	d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOK))
	backend := d.state.Snapshot().Services["s"][0]
	overdue := func(now time.Duration) bool {
		backend.mu.Lock()
		defer backend.mu.Unlock()
		return backend.overdue(now, 10)
	}
	begun, left := time.Hour, time.Hour+400*time.Millisecond
	backend.attemptStarted(begun)
	if !overdue(left) {
		t.Fatal("not overdue after 400 ms of silence")
	}
	backend.attemptEnded(left, left-begun, Abandoned)
	if !overdue(left + abandonedMemory/2) {
		t.Error("forgotten as soon as the attempt was abandoned")
	}
	if overdue(left + abandonedMemory) {
		t.Error("still overdue when the memory has passed")
	}
	backend.attemptStarted(left)
	backend.attemptEnded(left+10*time.Millisecond, 10*time.Millisecond, Complete)
	if overdue(left + 20*time.Millisecond) {
		t.Error("overdue after a response")
	}
}

// An interruption that was stopped in time leaves the connection alone, also when the lifetime ends later;
// one that has happened is told.
func TestInterruptionOfAConnection(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _, _ = ours.Close(), theirs.Close() }()
	conn := &Conn{netConn: ours, interrupt: func() { _ = ours.SetDeadline(longAgo) }}
	if conn.stopInterruption() {
		t.Fatal("interrupted without an interruption")
	}
	ctx, cancel := context.WithCancel(t.Context())
	conn.interruptAtEnd(ctx)
	if conn.stopInterruption() {
		t.Fatal("interrupted before the end of the lifetime")
	}
	cancel()
	go func() { _, _ = theirs.Write([]byte("x")) }()
	if _, err := ours.Read(make([]byte, 1)); err != nil {
		t.Fatal("interrupted after it was stopped: ", err)
	}
	conn.interruptAtEnd(ctx)
	if _, err := ours.Read(make([]byte, 1)); !message.IsTimeout(err) {
		t.Fatal("not interrupted: ", err)
	}
	for range 2 {
		if !conn.stopInterruption() {
			t.Fatal("an interruption was not told")
		}
	}
}

// What waits in a queue for a caller that has left is not sent.
func TestABatchLeavesOutWhoHasLeft(t *testing.T) {
	var sent []int
	batcher := NewBatcher(4, 1, 4, func(requests []int, _ time.Duration) []int {
		sent = append(sent, requests...)
		return requests
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	batch := []pendingRequest[int, int]{
		{ctx, 1, time.Now().Add(time.Hour), make(chan int, 1)},
		{t.Context(), 2, time.Now().Add(time.Hour), make(chan int, 1)},
	}
	batcher.slots <- struct{}{}
	batcher.sendBatch(batch)
	if !slices.Equal(sent, []int{2}) {
		t.Errorf("sent %v", sent)
	}
	if _, queued, answered := batcher.Call(ctx, 3, time.Hour); !queued || answered {
		t.Error("a call of one who has left did not end as unanswered")
	}
}

// awaitCondition gives others their turn until a condition holds.
func awaitCondition(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(departureTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("what is awaited does not come")
		}
	}
}
