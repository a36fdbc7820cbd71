package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/message"
)

// serve answers requests with a function, under the configuration that holds until there is one.
func serve(
	t *testing.T, maxConns int, handle func(*message.Request) message.Response,
) (server *Server, address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	view := config.New().RoutingTable()
	handleAny := func(_ context.Context, request *message.Request, _ string) message.Response { return handle(request) }
	server = New(handleAny, func() *config.RoutingTable { return view }, maxConns, 1<<20)
	server.Serve(listener)
	return server, listener.Addr().String()
}

func bodyOf(request *message.Request) message.Response {
	body := "body of " + request.ID
	return message.Response{Status: http.StatusOK, Body: []byte(body), ContentLength: int64(len(body))}
}

func dial(t *testing.T, address string) (conn net.Conn, in *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func get(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + message.HeaderRequestID + ": " + id + "\r\n\r\n"
}

func receive(t *testing.T, in *bufio.Reader) (response *http.Response, body string, err error) {
	t.Helper()
	if response, err = http.ReadResponse(in, nil); err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// awaitCondition gives others their turn until a condition holds.
func awaitCondition(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("what is awaited does not come")
		}
	}
}

// Beyond the limit of connections idle ones are closed first; where none is idle, the client is rejected
// with a promise, and nothing is handled.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	gate := make(chan struct{})
	var handled atomic.Int64
	server, address := serve(t, 1, func(request *message.Request) message.Response {
		handled.Add(1)
		if request.ID == "slow" {
			<-gate
		}
		return bodyOf(request)
	})
	first, firstIn := dial(t, address)
	_, _ = io.WriteString(first, get("/safe/1", "one"))
	if _, body, err := receive(t, firstIn); err != nil || body != "body of one" {
		t.Fatal(body, err)
	}
	awaitCondition(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for v, since := range server.conns {
			if !since.IsZero() && v.unanswered.Load() == 0 {
				return true
			}
		}
		return false
	})
	second, secondIn := dial(t, address)
	_, _ = io.WriteString(second, get("/safe/1", "slow"))
	if _, err := firstIn.ReadByte(); err != io.EOF {
		t.Fatalf("the idle connection was not closed: %v", err)
	}
	awaitCondition(t, func() bool { return server.InFlight() > 0 })
	third, thirdIn := dial(t, address)
	_, _ = io.WriteString(third, get("/once/1", "more"))
	response, _, err := receive(t, thirdIn)
	if err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Fatalf("%+v %v", response, err)
	}
	close(gate)
	if _, body, slowErr := receive(t, secondIn); slowErr != nil || body != "body of slow" {
		t.Fatal(body, slowErr)
	}
	if handled.Load() != 2 {
		t.Fatalf("%d requests were handled", handled.Load())
	}
}
