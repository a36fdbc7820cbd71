package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// A response to HEAD has no body, also when it is an error: the client would take the bytes for the
// beginning of the next response.
func TestARejectedHeadRequestHasNoBody(t *testing.T) {
	d := newTestDaemon(t)
	conn, in := dialFrontend(t, d)
	_, _ = io.WriteString(conn, requestText("HEAD", "/safe/", "h1")+requestText("GET", "/safe/", "g1"))
	for _, method := range []string{"HEAD", "GET"} {
		response, _, err := readResponseFrom(t, in, method)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s: %v %v", method, response, err)
		}
	}
}

// A client may take a pipelined request for unread: it must not run unless it is idempotent, also when its
// route has changed since it was read.
func TestNonIdempotentRequestsAreNotPipelined(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	for route, status := range map[string]int{"/once/": 503, "/safe/": 200} {
		pipelined := newRequest("GET", route+"x", "a")
		pipelined.Pipelined = true
		if response := d.Handle(t.Context(), pipelined, "2500"); response.Status != status {
			t.Errorf("%s: status %d", route, response.Status)
		}
	}
	if backend.count() != 1 {
		t.Fatalf("%d runs", backend.count())
	}
}

// Where the node shuts down, or the client closes its connection, with a request in flight, the client's
// connection ends without a response: nothing is promised about a request that may have run, and the
// backend's late response reaches no other request.
func TestShutdownWithARequestInFlightPromisesNothing(t *testing.T) {
	for _, clientCloses := range []bool{false, true} {
		begun, gate := make(chan struct{}), make(chan struct{})
		backend := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
			if n == 1 {
				close(begun)
				<-gate
			}
			return respondOK(n, r, conn)
		})
		d := newTestDaemon(t, backend)
		conn, in := dialFrontend(t, d)
		_, _ = io.WriteString(conn, requestText("POST", "/once/1", "p1", "Content-Length: 0"))
		<-begun
		if clientCloses {
			_ = conn.Close()
		} else {
			d.frontend.StartDraining()
			d.frontend.CloseConns()
			if response, _, err := readResponseFrom(t, in, "POST"); err == nil {
				t.Fatalf("answered with status %d", response.StatusCode)
			}
		}
		close(gate)
		response := d.Handle(t.Context(), newRequest("POST", "/once/2", "p2"), "2500")
		if response.Status != 200 || string(response.Body) != "body of p2" {
			t.Fatalf("%d %q", response.Status, response.Body)
		}
		if backend.count() != 2 {
			t.Fatalf("%d arrivals", backend.count())
		}
	}
}
