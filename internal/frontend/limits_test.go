package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/message"
)

// limitedServer is a server whose limits a test changes, and one client connection to it.
type limitedServer struct {
	server *Server
	limits atomic.Pointer[config.ClientLimits]
	client net.Conn
	in     *bufio.Reader
	// held is closed to have requests under /held/ answered.
	held chan struct{}
}

// serveLimited serves one connection under limits.
func serveLimited(t *testing.T, limits config.ClientLimits) (s *limitedServer) {
	t.Helper()
	s = &limitedServer{held: make(chan struct{})}
	s.limits.Store(&limits)
	plain := config.New().RoutingTable()
	handle := func(_ context.Context, request *message.Request, _ string) message.Response {
		if strings.HasPrefix(request.Target, "/held/") {
			<-s.held
		}
		return bodyOf(request)
	}
	s.server = New(handle, func() *config.RoutingTable {
		view := *plain
		view.Limits = *s.limits.Load()
		return &view
	}, 10, 1<<20)
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	s.client, s.in = theirs, bufio.NewReader(theirs)
	go s.server.serveConn(ours, false)
	return s
}

// change puts other limits in force, as an update of the leader does.
func (s *limitedServer) change(limits config.ClientLimits) {
	s.limits.Store(&limits)
	s.server.ApplyLimits()
}

// send writes a request; what the server does not read is dropped.
func (s *limitedServer) send(text string) {
	_ = s.client.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(s.client, text)
}

// status receives one response and gives its status.
func (s *limitedServer) status(t *testing.T) (status int) {
	t.Helper()
	response, _, err := receive(t, s.in)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// requestOf makes a request with a header and a body of so many bytes each.
func requestOf(path string, headerBytes, bodyBytes int) (text string) {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\n%s: x\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, message.HeaderRequestID, strings.Repeat("h", headerBytes), bodyBytes, strings.Repeat("b", bodyBytes))
}

var (
	tightLimits = config.ClientLimits{
		MaxHeaderBytes: 1000, MaxBodyBytes: 1000, HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second,
	}
	wideLimits = config.ClientLimits{
		MaxHeaderBytes: 8000, MaxBodyBytes: 8000, HeaderTimeout: 8 * time.Second, IdleTimeout: 40 * time.Second,
	}
)

// A request is judged by the limits that hold when it comes, on a connection that was idle, new or at work
// when they changed: kept connections refused proper requests by the limits of before.
func TestAKeptConnectionUsesTheLimitsOfNow(t *testing.T) {
	for name, c := range map[string]struct {
		before, after          config.ClientLimits
		headerBytes, bodyBytes int
		want                   int
	}{
		"larger bodies":   {tightLimits, wideLimits, 10, 4000, http.StatusOK},
		"smaller bodies":  {wideLimits, tightLimits, 10, 4000, http.StatusRequestEntityTooLarge},
		"larger headers":  {tightLimits, wideLimits, 4000, 10, http.StatusOK},
		"smaller headers": {wideLimits, tightLimits, 4000, 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		for _, state := range []string{"idle", "new", "at work"} {
			t.Run(name+", "+state, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := serveLimited(t, c.before)
					s.changeWhile(t, state, c.after)
					time.Sleep(5 * time.Second) // of the test's own clock
					s.send(requestOf("/safe/2", c.headerBytes, c.bodyBytes))
					if status := s.status(t); status != c.want {
						t.Errorf("got %d, not %d", status, c.want)
					}
				})
			})
		}
	}
}

// changeWhile changes the limits while the connection is idle after a response, new, or at work.
func (s *limitedServer) changeWhile(t *testing.T, state string, limits config.ClientLimits) {
	t.Helper()
	switch state {
	case "idle":
		s.send(requestOf("/safe/1", 10, 10))
		s.expectOK(t)
	case "at work":
		s.send(requestOf("/held/1", 10, 10))
	}
	synctest.Wait() // The reader waits for the next request.
	s.change(limits)
	if state == "at work" {
		close(s.held)
		s.expectOK(t)
	}
}

// expectOK receives the response to a request that is to be served.
func (s *limitedServer) expectOK(t *testing.T) {
	t.Helper()
	if status := s.status(t); status != http.StatusOK {
		t.Fatalf("a request before the change got %d", status)
	}
}

// A request that is arriving when the limits change is judged by those that held when its first byte came.
func TestAnArrivingRequestKeepsItsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serveLimited(t, wideLimits)
		text := requestOf("/safe/1", 4000, 4000)
		s.send(text[:10])
		synctest.Wait()
		s.change(tightLimits)
		time.Sleep(6 * time.Second) // more than the header time-out of now
		s.send(text[10:])
		if status := s.status(t); status != http.StatusOK {
			t.Errorf("got %d", status)
		}
	})
}

// A wait for a request follows a changed idle time-out: a longer one at once, a shorter one as far as the
// client was not told another.
func TestAWaitFollowsTheIdleTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		before, after time.Duration
		answered      bool
		want          time.Duration
	}{
		"longer, after a response":          {10 * time.Second, 40 * time.Second, true, 40 * time.Second},
		"longer, on a new connection":       {10 * time.Second, 40 * time.Second, false, 40 * time.Second},
		"shorter, on a new connection":      {40 * time.Second, 10 * time.Second, false, 10 * time.Second},
		"shorter, after it was told longer": {40 * time.Second, 10 * time.Second, true, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := wideLimits
				limits.IdleTimeout = c.before
				s := serveLimited(t, limits)
				s.server.ApplyLimits()
				if c.answered {
					s.send(requestOf("/safe/1", 10, 10))
					s.status(t)
				}
				begun := time.Now()
				synctest.Wait()
				time.Sleep(time.Second)
				limits.IdleTimeout = c.after
				s.change(limits)
				if _, err := s.in.ReadByte(); !errors.Is(err, io.EOF) {
					t.Fatal(err)
				}
				if took := time.Since(begun).Truncate(time.Second); took != c.want {
					t.Errorf("the connection ended after %s, not %s", took, c.want)
				}
			})
		})
	}
}
