package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// deadlineOf is the deadline that a backend was handed.
func deadlineOf(t *testing.T, request receivedRequest) (deadline time.Duration) {
	t.Helper()
	milliseconds, err := strconv.Atoi(request.Header.Get(message.HeaderRequestDeadline))
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// A backend is handed what is left of the client's deadline and of the route's timeout, whichever is less, and
// a later attempt only what is left then.
func TestBackendsAreHandedTheTimeThatIsLeft(t *testing.T) {
	for _, c := range []struct {
		deadline string
		limit    time.Duration
	}{{"700", 700 * time.Millisecond}, {"60000", 900 * time.Millisecond}, {"", 900 * time.Millisecond}} {
		for _, path := range []string{"/safe/x", "/once/x", "/key/x"} {
			var d *Daemon
			sentAt := map[string]time.Duration{}
			reject := func(id string) responder {
				return func(_ int, r receivedRequest, conn net.Conn) bool {
					sentAt[id] = d.clock.Now()
					_, err := io.WriteString(conn, responseText(503, r.ID, "", message.HeaderNotExecuted+": 1"))
					return err == nil
				}
			}
			first, second := newFakeBackend(t, "i-1", reject("i-1")), newFakeBackend(t, "i-2", reject("i-2"))
			d = newTestDaemon(t, first, second)
			connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
			request := newRequest("POST", path, "a")
			request.Headers = append(request.Headers, message.HeaderField{message.HeaderOperationKey, "k"})
			begun := d.clock.Now()
			d.Handle(t.Context(), request, c.deadline)
			for id, backend := range map[string]*fakeBackend{"i-1": first, "i-2": second} {
				if backend.count() != 1 {
					t.Fatalf("%s: %d arrivals at %s", path, backend.count(), id)
				}
				// The time was looked at before the request was sent, and after it came in.
				handed := deadlineOf(t, backend.last())
				if handed > c.limit || sentAt[id]+handed < begun {
					t.Errorf("%s, deadline %q: %s was handed %v of %v", path, c.deadline, id, handed, c.limit)
				}
			}
			earlier, later := first, second
			if sentAt["i-2"] < sentAt["i-1"] {
				earlier, later = second, first
			}
			if deadlineOf(t, later.last()) > deadlineOf(t, earlier.last()) {
				t.Errorf("%s: a later attempt was handed more time", path)
			}
		}
	}
}

// A request is answered at its route's timeout, however long its client would wait.
func TestARequestIsAnsweredAtItsRoutesTimeout(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newTestDaemon(t, newSilentBackend(t, "i-1", "").fakeBackend)
			begun := d.clock.Now()
			response := d.Handle(t.Context(), newRequest("GET", path, "a"), "60000")
			took := d.clock.Now() - begun
			if response.Status != http.StatusGatewayTimeout || took < 900*time.Millisecond || took > departureTimeout {
				t.Errorf("status %d after %v", response.Status, took)
			}
		})
	}
}

// A backend that answers before it has read a long body gets the rest of that body, and then the next request.
func TestAnEarlyResponseLeavesTheConnectionInStep(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	got := make(chan string, 8)
	go func() {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		in := bufio.NewReader(conn)
		for {
			request, readErr := http.ReadRequest(in)
			if readErr != nil {
				return
			}
			id := request.Header.Get(message.HeaderRequestID)
			_, _ = io.WriteString(conn, responseText(200, id, "body of "+id))
			read, _ := io.ReadAll(request.Body)
			if len(read) > 0 && !bytes.Equal(read, body) {
				id += " with other bytes"
			}
			got <- id
		}
	}()
	early := &fakeBackend{id: "i-1", listener: listener}
	d := newTestDaemon(t, early)
	upload := newRequest("POST", "/longonce/x", "a")
	upload.Body, upload.HasBody = body, true
	for _, request := range []*message.Request{upload, newRequest("GET", "/longonce/x", "b")} {
		response := d.Handle(t.Context(), request, "60000")
		if response.Status != 200 || string(response.Body) != "body of "+request.ID {
			t.Fatalf("%s: %d %q", request.ID, response.Status, response.Body)
		}
		if id := awaitSignal(t, got, "the arrival of a request"); id != request.ID {
			t.Fatalf("the backend read %s", id)
		}
	}
	if open := d.state.backends[rpc.EndpointID("i-1")].openConns; open != 1 {
		t.Errorf("%d connections", open)
	}
}
