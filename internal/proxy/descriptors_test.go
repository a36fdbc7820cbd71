package proxy

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

// await gives others their turn until a condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("what is awaited does not come")
		}
	}
}

// Beyond the budget of descriptors idle streams go first; where none is idle,
// the client is refused with a promise, and nothing reaches a backend.
func TestStreamsBeyondTheBudget(t *testing.T) {
	gate := make(chan struct{})
	backend := newStandIn(t, "i-1", func(n int, r seen, conn net.Conn) bool {
		if r.ID == "slow" {
			<-gate
		}
		return good(n, r, conn)
	})
	d := daemonOf(t, backend)
	d.frontend.maxConns = 1
	first, firstIn := client(t, d)
	_, _ = io.WriteString(first, ask("GET", "/safe/1", "one"))
	if _, body, err := receiveOne(t, firstIn, "GET"); err != nil || body != "body of one" {
		t.Fatal(body, err)
	}
	await(t, func() bool {
		d.frontend.mu.Lock()
		defer d.frontend.mu.Unlock()
		for v, since := range d.frontend.conns {
			if !since.IsZero() && v.unansweredCount.Load() == 0 {
				return true
			}
		}
		return false
	})
	dial := func() (conn net.Conn, in *bufio.Reader) {
		conn, err := net.Dial("tcp4", first.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	second, secondIn := dial()
	_, _ = io.WriteString(second, ask("GET", "/safe/1", "slow"))
	if _, err := firstIn.ReadByte(); err != io.EOF {
		t.Fatalf("the idle stream was not let go: %v", err)
	}
	await(t, func() bool { return d.frontend.InFlight() > 0 })
	third, thirdIn := dial()
	_, _ = io.WriteString(third, ask("GET", "/once/1", "more"))
	response, _, err := receiveOne(t, thirdIn, "GET")
	if err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Fatalf("%+v %v", response, err)
	}
	close(gate)
	if _, body, slowErr := receiveOne(t, secondIn, "GET"); slowErr != nil || body != "body of slow" {
		t.Fatal(body, slowErr)
	}
	if backend.count() != 2 {
		t.Fatalf("%d requests reached the backend", backend.count())
	}
}
