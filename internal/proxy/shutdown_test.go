package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/frontend"
	"tinpin/internal/message"
	"tinpin/internal/settings"
	"tinpin/internal/shutdown"
)

const (
	// testGracePeriod is long enough for the longest work to end after the last request was taken.
	testGracePeriod = 2 * time.Second
	// minTestWork is the least that a backend works on a request; each works testWorkStep longer than the
	// one before, up to testWorkSteps, so that there is no moment without a request in flight.
	minTestWork   = 200 * time.Millisecond
	testWorkStep  = 40 * time.Millisecond
	testWorkSteps = 5
)

// startTestProxy starts a whole node on a loopback address of this process. It knows the configuration of
// newTestDaemon and no leader.
func startTestProxy(t *testing.T, backends ...*fakeBackend) (d *Daemon) {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.77", 64+pid>>8&63, pid&255)
	p := settings.Settings{
		Name: "edge-1", Address: host, Zone: "here", Region: "land", ZoneRegions: map[string]string{"here": "land"},
		FrontendAddress: host + ":18161", ReadinessAddress: host + ":18167", DirectoryAddress: host + ":18164",
		InternalPortLow: 17720, InternalPortHigh: 17735, MemoryMB: 64, MaxFileDescriptors: 1024, CPUShare: 1,
		SubsetSize: 3, SendInterval: time.Minute, HealthCheckInterval: time.Minute,
		EndpointListInterval: time.Minute, MaxIdleNonIdempotent: time.Minute,
	}
	p.Bounds = settings.Bounds{
		RetryBudgetRatio: 100, RetryWindow: 10 * time.Second, KeyWindow: time.Minute,
		MaxTTL: 5 * time.Second, GracePeriod: testGracePeriod,
	}
	d, err := Start(p, eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	applyTestConfig(t, d, backends...)
	d.becomeReady()
	return d
}

// sentRequest is what a client knows of one request.
type sentRequest struct {
	id string
	// status is that of a complete response, 0 where none came.
	status int
}

// eagerClient sends one request after another, on a connection that it keeps as long as it may, until the
// node takes no connection any more.
type eagerClient struct {
	address, name string
	requests      []sentRequest
}

func (c *eagerClient) run() {
	for {
		conn, err := net.Dial("tcp4", c.address)
		if err != nil {
			return
		}
		c.useConn(conn)
		_ = conn.Close()
	}
}

// useConn sends requests on one connection until that is to be closed.
func (c *eagerClient) useConn(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(2 * testGracePeriod))
	in := bufio.NewReader(conn)
	for {
		sent := sentRequest{id: fmt.Sprint(c.name, "-", len(c.requests))}
		_, err := io.WriteString(conn, requestText("GET", "/safe/x", sent.id))
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil {
			sent.status = response.StatusCode
		}
		c.requests = append(c.requests, sent)
		if err != nil || response.Close {
			return
		}
	}
}

// arrivalCounts counts the arrivals of each request at a backend.
func arrivalCounts(backend *fakeBackend) (arrived map[string]int) {
	arrived = map[string]int{}
	for _, request := range backend.received() {
		arrived[request.ID]++
	}
	return arrived
}

// Whatever a node that stops has sent to a backend is answered, however many clients go on asking until the
// node is gone: it takes nothing that it may have to give up, and rejects nothing that has run.
func TestNothingTakenWhileStoppingIsGivenUp(t *testing.T) {
	backend := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		<-time.After(minTestWork + time.Duration(n%testWorkSteps)*testWorkStep)
		return respondOK(n, r, conn)
	})
	d := startTestProxy(t, backend)
	clients := make([]*eagerClient, 8)
	var running sync.WaitGroup
	for i := range clients {
		clients[i] = &eagerClient{address: d.settings.FrontendAddress, name: fmt.Sprint("client", i)}
		running.Add(1)
		go func() { defer running.Done(); clients[i].run() }()
	}
	d.Stop(time.Now())
	running.Wait()
	arrived, served := arrivalCounts(backend), 0
	for _, client := range clients {
		for _, sent := range client.requests {
			switch {
			case sent.status == http.StatusOK:
				served++
			case sent.status == 0 && arrived[sent.id] > 0:
				t.Errorf("request %s ran and got no answer", sent.id)
			case sent.status == http.StatusServiceUnavailable && arrived[sent.id] > 0:
				t.Errorf("request %s ran and was rejected", sent.id)
			}
		}
	}
	if served < len(clients) {
		t.Errorf("%d requests served, %d clients", served, len(clients))
	}
}

// What is in flight when a node must end is answered at once: with a promise where nothing was sent, and
// without one where a backend is at work, however often the request may run.
func TestInterruptedRequestsPromiseOnlyWhatIsProven(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		headers      []string
	}{
		"idempotent":     {"GET", "/long/x", nil},
		"non-idempotent": {"POST", "/longonce/x", []string{"Content-Length: 0"}},
		"keyed":          {"POST", "/longkey/x", []string{"Content-Length: 0", message.HeaderOperationKey + ": k"}},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newSilentBackend(t, "i-1", "")
			d := newTestDaemon(t, backend.fakeBackend)
			connectToLeader(t, d, &fakeCoordinator{script: grantClaim})
			conn, in := dialFrontend(t, d)
			_, _ = io.WriteString(conn, patientRequest(c.method, c.path, "a", c.headers...))
			awaitSignal(t, backend.arrived, "the arrival of the request")
			go nodeShutdown{d}.Interrupt(t.Context())
			response, _, err := readResponseFrom(t, in, c.method)
			if err != nil || response.StatusCode != http.StatusBadGateway || !response.Close {
				t.Errorf("%v %v", response, err)
			}
			awaitSignal(t, backend.ended, "the end of the request")
		})
	}
}

// A request that is waiting for its turn when the node must end has not run, and never will.
func TestARequestThatWaitsIsRejectedAtTheEnd(t *testing.T) {
	backend := newFakeBackend(t, "i-1", respondOK)
	d := newTestDaemon(t, backend)
	limiter := d.concurrency.forService("s")
	limiter.limit = minConcurrency
	for limiter.Acquire(0) {
		t.Cleanup(limiter.Release)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(frontend.ErrShuttingDown)
	response := d.Handle(ctx, newRequest("GET", "/long/x", "a"), "60000")
	if response.Status != http.StatusServiceUnavailable || backend.count() != 0 {
		t.Errorf("status %d, %d arrivals", response.Status, backend.count())
	}
}

// Once others know that a node stops, it takes only what ends in time; a large response, which may still be
// delivered when its backend is done, only that from the beginning.
func TestWhatAStoppingNodeTakes(t *testing.T) {
	for name, c := range map[string]struct {
		path, deadline string
		announced      bool
		status         int
	}{
		"long, others do not know":      {"/long/x", "60000", false, http.StatusOK},
		"long, others know":             {"/long/x", "60000", true, http.StatusServiceUnavailable},
		"short, others know":            {"/long/x", "100", true, http.StatusOK},
		"large, others do not know":     {"/stream/x", "60000", false, http.StatusServiceUnavailable},
		"large and ends in time":        {"/stream/x", "100", false, http.StatusOK},
		"unknown route, others know":    {"/nowhere/", "60000", true, http.StatusNotFound},
		"may run once, others know":     {"/longonce/x", "60000", true, http.StatusServiceUnavailable},
		"may run once, others do not":   {"/longonce/x", "60000", false, http.StatusOK},
		"may run once and ends in time": {"/longonce/x", "100", true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newFakeBackend(t, "i-1", respondOK)
			d := newTestDaemon(t, backend)
			line := shutdown.Timeline{DrainUntil: time.Minute / 2, CloseBy: time.Minute}
			if !c.announced {
				line.AcceptUntil = line.DrainUntil
			}
			d.shutdown = shutdown.New(line)
			d.shutdown.Begin(time.Now())
			response := d.Handle(t.Context(), newRequest("GET", c.path, "a"), c.deadline)
			if response.Status != c.status {
				t.Errorf("status %d", response.Status)
			}
			if ran := backend.count() == 1; ran != (c.status == http.StatusOK) {
				t.Errorf("%d arrivals", backend.count())
			}
		})
	}
}

// A node that was never ready ends at once: nobody was sent to it.
func TestANodeThatWasNeverReadyEndsAtOnce(t *testing.T) {
	d := startTestProxy(t)
	d.ready.Store(false)
	begun := time.Now()
	d.Stop(time.Now())
	if took := time.Since(begun); took >= ShutdownTimeline(testGracePeriod).AcceptUntil {
		t.Errorf("it took %v", took)
	}
}

// A key that was given back right before the end is free again: the node waits for the leader to have it.
func TestKeysAreGivenBackBeforeTheEnd(t *testing.T) {
	backend := newFakeBackend(t, "i-1", func(_ int, r receivedRequest, conn net.Conn) bool {
		_, err := io.WriteString(conn, strings.Replace(
			responseText(503, r.ID, ""), "Content-Length", message.HeaderNotExecuted+": full\r\nContent-Length", 1))
		return err == nil
	})
	d := newTestDaemon(t, backend)
	coordinator := &fakeCoordinator{script: grantClaim}
	connectToLeader(t, d, coordinator)
	response := d.Handle(t.Context(), newKeyedRequest("a", "k"), "400")
	if response.Status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", response.Status)
	}
	nodeShutdown{d}.Drain(t.Context())
	coordinator.mu.Lock()
	defer coordinator.mu.Unlock()
	if len(coordinator.released) == 0 {
		t.Error("the key is still claimed")
	}
}
