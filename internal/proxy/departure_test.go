package proxy

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"tinpin/internal/message"
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

// What has not been sent when its client leaves is not sent any more, whatever the kind of its
// route: neither a retry nor a request that waits for capacity.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	for _, route := range []string{"/long/", "/longonce/", "/longkey/"} {
		t.Run("retry on "+route, func(t *testing.T) {
			t.Parallel()
			arrived, gate := make(chan string, 4), make(chan struct{})
			reject := func(_ int, r receivedRequest, conn net.Conn) bool {
				arrived <- r.ID
				<-gate
				_, err := io.WriteString(conn, responseText(503, r.ID, "", message.HeaderNotExecuted+": 1"))
				return err == nil
			}
			first, second := newFakeBackend(t, "i-1", reject), newFakeBackend(t, "i-2", reject)
			d := newTestDaemon(t, first, second)
			if route == "/longkey/" {
				connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
			}
			conn, _ := dialFrontend(t, d)
			key := message.HeaderOperationKey + ": k"
			_, _ = io.WriteString(conn, patientRequest("POST", route+"x", "a", "Content-Length: 0", key))
			awaitSignal(t, arrived, "the arrival of the request")
			leave(t, conn)
			await(t, func() bool { return d.frontend.Departures().Clients.Load() == 1 })
			close(gate)
			await(t, func() bool { return d.frontend.InFlight() == 0 })
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
		await(t, func() bool { return d.frontend.InFlight() == 1 })
		leave(t, conn)
		await(t, func() bool { return d.frontend.Departures().Clients.Load() == 1 })
		for range minConcurrency {
			limiter.Release()
		}
		await(t, func() bool { return d.frontend.InFlight() == 0 })
		if backend.count() != 0 {
			t.Error("a request that waited was sent after its client had left")
		}
	})
}

// await gives others their turn until a condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(departureTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("what is awaited does not come")
		}
	}
}
