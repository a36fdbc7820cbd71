package frontend

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/message"
)

// lifetimeServer tells of the requests that it handles: the ids of those that have begun, and why they
// ended.
type lifetimeServer struct {
	*Server
	address string
	started chan string
	ended   chan error
}

// serveLifetimes serves requests that are answered when their lifetime ends, the one with
// id "a" also when the gate opens.
func serveLifetimes(t *testing.T, gate <-chan struct{}) (s *lifetimeServer) {
	t.Helper()
	s = &lifetimeServer{started: make(chan string, 8), ended: make(chan error, 8)}
	s.Server, s.address = serve(t, 100, bodyOf)
	s.handle = func(ctx context.Context, request *message.Request, _ string) message.Response {
		s.started <- request.ID
		mine := gate
		if request.ID != "a" {
			mine = nil
		}
		select {
		case <-ctx.Done():
			s.ended <- context.Cause(ctx)
		case <-mine:
			s.ended <- nil
		}
		return bodyOf(request)
	}
	return s
}

// receiveFrom gives what a channel brings.
func receiveFrom[T any](t *testing.T, from <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(20 * time.Second):
		t.Fatal("what is awaited does not come")
	}
	return got
}

// pausedConn has no time left for a reading while a request is at work.
type pausedConn struct {
	net.Conn
	timeouts atomic.Int64
}

func (c *pausedConn) Read(into []byte) (size int, err error) {
	if c.timeouts.Add(-1) >= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(into)
}

// A connection is not idle while a request is unanswered: its reader goes on, and notices that the client
// leaves.
func TestAConnectionAtWorkIsNotIdle(t *testing.T) {
	server := serveLifetimes(t, nil)
	view := *server.view()
	view.Limits.IdleTimeout = time.Millisecond
	server.view = func() *config.RoutingTable { return &view }
	ours, theirs := net.Pipe()
	conn := &pausedConn{Conn: ours}
	go server.serveConn(conn, false)
	_ = theirs.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(theirs, get("/safe/1", "a"))
	receiveFrom(t, server.started)
	conn.timeouts.Store(3)
	awaitCondition(t, func() bool { return conn.timeouts.Load() < 0 })
	_ = theirs.Close()
	if cause := receiveFrom(t, server.ended); cause != ErrClientLeft {
		t.Fatal(cause)
	}
	if departures := server.Departures(); departures.Clients.Load() != 1 || departures.Requests.Load() != 1 {
		t.Errorf("%d clients, %d requests", departures.Clients.Load(), departures.Requests.Load())
	}
}

// A connection that this side closes ends the lifetimes of its requests too, and its client has not left.
func TestClosedConnectionsEndTheirRequests(t *testing.T) {
	server := serveLifetimes(t, nil)
	conn, _ := dial(t, server.address)
	_, _ = io.WriteString(conn, get("/safe/1", "a"))
	receiveFrom(t, server.started)
	server.CloseConns()
	if cause := receiveFrom(t, server.ended); cause == nil || cause == ErrClientLeft {
		t.Fatal(cause)
	}
	if clients := server.Departures().Clients.Load(); clients != 0 {
		t.Errorf("%d clients are said to have left", clients)
	}
}

// What is at work behind a response that closes the connection counts as unread with the client, and ends.
func TestARequestBehindAClosingResponseEnds(t *testing.T) {
	gate := make(chan struct{})
	server := serveLifetimes(t, gate)
	conn, in := dial(t, server.address)
	_, _ = io.WriteString(conn, get("/safe/1", "a")+get("/safe/2", "b"))
	receiveFrom(t, server.started)
	receiveFrom(t, server.started)
	server.StartDraining()
	close(gate)
	if first := receiveFrom(t, server.ended); first != nil {
		t.Fatal(first)
	}
	response, _, err := receive(t, in)
	if err != nil || !response.Close {
		t.Fatal(response, err)
	}
	if cause := receiveFrom(t, server.ended); cause != errAnswered {
		t.Fatal(cause)
	}
	awaitCondition(t, func() bool { return server.InFlight() == 0 })
}
