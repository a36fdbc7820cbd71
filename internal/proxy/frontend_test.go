package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// An answer to HEAD has no body, also when it is a refusal: the bytes would be
// taken for the beginning of the next answer.
func TestARefusedHeadSpoilsNothing(t *testing.T) {
	d := daemonOf(t)
	conn, in := client(t, d)
	_, _ = io.WriteString(conn, ask("HEAD", "/safe/", "h1")+ask("GET", "/safe/", "g1"))
	for _, method := range []string{"HEAD", "GET"} {
		if response, _, err := receiveOne(t, in, method); err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s: %v %v", method, response, err)
		}
	}
}

// What was taken up ahead of answers may count as not read: it must not run if it
// may not be repeated, also when its way changed meanwhile.
func TestNothingThatMayNotBeRepeatedRunsAhead(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	for way, status := range map[string]int{"/once/": 503, "/safe/": 200} {
		ahead := request("GET", way+"x", "a")
		ahead.Pipelined = true
		if verdict := d.Handle(ahead, "2500"); verdict.Status != status {
			t.Errorf("%s: status %d", way, verdict.Status)
		}
	}
	if backend.count() != 1 {
		t.Fatalf("%d runs", backend.count())
	}
}

// Where the daemon ends, or its client goes, with a request at work, the stream
// ends with it: nothing is promised of what may have run, and what the backend
// still says reaches nobody else.
func TestAnEndWithARequestAtWorkPromisesNothing(t *testing.T) {
	for _, clientGoes := range []bool{false, true} {
		begun, gate := make(chan struct{}), make(chan struct{})
		backend := newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
			if n == 1 {
				close(begun)
				<-gate
			}
			return good(n, r, conn)
		})
		d := daemonOf(t, backend)
		conn, in := client(t, d)
		_, _ = io.WriteString(conn, ask("POST", "/once/1", "p1", "Content-Length: 0"))
		<-begun
		if clientGoes {
			_ = conn.Close()
		} else {
			d.frontend.StartDraining()
			d.frontend.CloseConns()
			if response, _, err := receiveOne(t, in, "POST"); err == nil {
				t.Fatalf("told %d", response.StatusCode)
			}
		}
		close(gate)
		if verdict := d.Handle(request("POST", "/once/2", "p2"), "2500"); verdict.Status != 200 || string(verdict.Body) != "body of p2" {
			t.Fatalf("%d %q", verdict.Status, verdict.Body)
		}
		if backend.count() != 2 {
			t.Fatalf("%d arrivals", backend.count())
		}
	}
}
