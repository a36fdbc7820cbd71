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
	"testing/synctest"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/message"
)

// heldRequests are requests whose handling lasts until they are let go, or their lifetime ends.
type heldRequests struct {
	begun chan string
	letGo chan struct{}
}

func (h *heldRequests) handle(ctx context.Context, request *message.Request, _ string) message.Response {
	h.begun <- request.ID
	select {
	case <-h.letGo:
		return bodyOf(request)
	case <-ctx.Done():
		return message.Response{Status: http.StatusBadGateway, Close: true}
	}
}

// serveHeld serves requests that are held.
func serveHeld(t *testing.T) (server *Server, address string, held *heldRequests) {
	t.Helper()
	held = &heldRequests{begun: make(chan string, 16), letGo: make(chan struct{})}
	view := config.New().RoutingTable()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = New(held.handle, func() *config.RoutingTable { return view }, 100, 1<<20)
	server.listener = listener
	server.Serve(listener)
	t.Cleanup(func() { server.CloseListener(); server.CloseConns() })
	return server, listener.Addr().String(), held
}

// drainLater drains the server and tells how that ended.
func drainLater(ctx context.Context, server *Server) <-chan bool {
	drained := make(chan bool, 1)
	go func() { drained <- server.Drain(ctx) }()
	return drained
}

// heldListener accepts nothing, and its end is seen only once it is let go.
type heldListener struct {
	net.Listener
	letGo chan struct{}
}

func (l heldListener) Accept() (conn net.Conn, err error) {
	<-l.letGo
	return nil, net.ErrClosed
}

func (l heldListener) Close() (err error) { return nil }

// A server that is drained right after it began to listen waits for the loop that accepts: it counted as ended
// while that loop had not had its turn yet.
func TestDrainingWaitsForALoopThatHasNotBegun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		view := config.New().RoutingTable()
		held := heldListener{letGo: make(chan struct{})}
		server := New(nil, func() *config.RoutingTable { return view }, 100, 1<<20)
		server.listener = held
		server.Serve(held)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if server.Drain(ctx) {
			t.Error("it counts as drained while it accepts")
		}
		close(held.letGo)
		if !server.Drain(t.Context()) {
			t.Error("it does not end with its listener")
		}
	})
}

// What waits for a request is closed, what is being read is served, and draining ends with the last
// connection: not before, and without a wait for the client to leave an idle one.
func TestDrainingEndsWithTheLastConnection(t *testing.T) {
	server, address, held := serveHeld(t)
	_, idleIn := dial(t, address)
	busy, busyIn := dial(t, address)
	_, _ = io.WriteString(busy, get("/safe/1", "busy"))
	<-held.begun
	reading, readingIn := dial(t, address)
	text := get("/safe/2", "reading")
	_, _ = io.WriteString(reading, text[:20])
	awaitReaders(t, server, 1)
	drained := drainLater(t.Context(), server)
	if _, err := idleIn.Peek(1); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	_, _ = io.WriteString(reading, text[20:])
	if id := <-held.begun; id != "reading" {
		t.Errorf("%s is handled", id)
	}
	select {
	case <-drained:
		t.Fatal("drained with requests in flight")
	default:
	}
	close(held.letGo)
	for _, in := range []*bufio.Reader{busyIn, readingIn} {
		response, _, err := receive(t, in)
		if err != nil || response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("%v %v", response, err)
		}
	}
	_, _ = busy.Close(), reading.Close()
	if !<-drained {
		t.Error("not drained")
	}
	if conn, err := net.Dial("tcp4", address); err == nil {
		_ = conn.Close()
		t.Error("a connection was accepted")
	}
}

// What is in flight at the end of the time for draining is answered, and its connection ends.
func TestInterruptedRequestsAreAnswered(t *testing.T) {
	server, address, held := serveHeld(t)
	conn, in := dial(t, address)
	_, _ = io.WriteString(conn, get("/safe/1", "a"))
	<-held.begun
	ended, end := context.WithCancel(t.Context())
	end()
	if server.Drain(ended) {
		t.Error("drained with a request in flight")
	}
	calls := 0
	interrupted := make(chan struct{})
	go func() {
		server.Interrupt(t.Context(), func() { calls++ })
		close(interrupted)
	}()
	response, _, err := receive(t, in)
	if err != nil || response.StatusCode != http.StatusBadGateway || !response.Close {
		t.Errorf("%v %v", response, err)
	}
	_ = conn.Close()
	<-interrupted
	if abandoned := server.DrainCounts().Abandoned.Load(); abandoned != 1 || calls != 1 {
		t.Errorf("%d abandoned, %d calls", abandoned, calls)
	}
}

// A request that comes while its connection is closed as idle is either answered, or never handled.
func TestARequestThatCrossesTheCloseIsNotTaken(t *testing.T) {
	for range 50 {
		server, address, held := serveHeld(t)
		close(held.letGo)
		conn, in := dial(t, address)
		awaitReaders(t, server, 1)
		drained := drainLater(t.Context(), server)
		_, _ = io.WriteString(conn, get("/safe/1", "a"))
		response, _, err := receive(t, in)
		_ = conn.Close()
		<-drained
		answered := err == nil && response.StatusCode == http.StatusOK
		if handled := len(held.begun) == 1; handled != answered {
			t.Fatalf("handled %v, answered %v: %v", handled, answered, err)
		}
	}
}

// A connection that has just been opened is given the time for its first request, and no more.
func TestANewConnectionMaySendItsFirstRequest(t *testing.T) {
	server, address, held := serveHeld(t)
	close(held.letGo)
	unused, unusedIn := dial(t, address)
	conn, in := dial(t, address)
	awaitReaders(t, server, 2)
	drained := drainLater(t.Context(), server)
	for !server.closingIdle.Load() {
		runtime.Gosched()
	}
	_, _ = io.WriteString(conn, get("/safe/1", "a"))
	if response, _, err := receive(t, in); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v %v", response, err)
	}
	if _, err := unusedIn.Peek(1); err != io.EOF {
		t.Errorf("one without a request: %v", err)
	}
	_, _ = unused.Close(), conn.Close()
	if !<-drained {
		t.Error("not drained")
	}
}

// A client may use its connection for as long as it was told, though its reader waits by the idle time-out
// that held before.
func TestAnAnnouncedIdleTimeoutHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var idleTime atomic.Int64
		idleTime.Store(int64(20 * time.Second))
		handle := func(_ context.Context, request *message.Request, _ string) message.Response {
			// The reader waits for the next request already.
			synctest.Wait()
			idleTime.Store(int64(time.Minute))
			return bodyOf(request)
		}
		plain := config.New().RoutingTable()
		server := New(handle, func() *config.RoutingTable {
			changed := *plain
			changed.Limits.IdleTimeout = time.Duration(idleTime.Load())
			return &changed
		}, 10, 1<<20)
		ours, theirs := net.Pipe()
		defer func() { _ = theirs.Close() }()
		go server.serveConn(ours, false)
		in := bufio.NewReader(theirs)
		for _, id := range []string{"first", "second"} {
			if _, err := io.WriteString(theirs, get("/safe/1", id)); err != nil {
				t.Fatalf("%s: %v", id, err)
			}
			if _, body, err := receive(t, in); err != nil || body != "body of "+id {
				t.Fatalf("%s: %q %v", id, body, err)
			}
			time.Sleep(30 * time.Second) // of the test's own clock
		}
	})
}

// awaitReaders waits until so many connections wait for a request.
func awaitReaders(t *testing.T, server *Server, count int) {
	t.Helper()
	for waiting := 0; waiting < count; {
		waiting = 0
		server.mu.Lock()
		for c := range server.conns {
			c.idleWait.mu.Lock()
			if c.idleWait.waiting {
				waiting++
			}
			c.idleWait.mu.Unlock()
		}
		server.mu.Unlock()
		select {
		case <-t.Context().Done():
			t.Fatal("the readers do not come to wait")
		case <-time.After(time.Millisecond):
		}
	}
}
