package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/frontend"
	"tinpin/internal/idempotency"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
	"tinpin/internal/shutdown"
)

// receivedRequest is a request as a fake backend got it.
type receivedRequest struct {
	ID, Target, Method, Path, Body, Key string
	Header                              http.Header
}

// responder answers the nth request of a fake backend; keep tells whether the connection stays open.
type responder func(n int, request receivedRequest, conn net.Conn) (keep bool)

// fakeBackend is a backend on loopback.
type fakeBackend struct {
	id          string
	listener    net.Listener
	respond     responder
	mu          sync.Mutex
	requests    []receivedRequest
	connections int
}

func newFakeBackend(t testing.TB, id string, respond responder) *fakeBackend {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeBackend{id: id, listener: listener, respond: respond}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// endpoint is the backend's entry in the endpoint list.
func (s *fakeBackend) endpoint() rpc.Endpoint {
	return rpc.Endpoint{
		ID: rpc.EndpointID(s.id), Service: "s", Address: s.listener.Addr().String(), Zone: "here", Slots: 4,
	}
}

func (s *fakeBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		got := receivedRequest{
			ID: request.Header.Get(message.HeaderRequestID), Target: request.Header.Get(message.HeaderTargetInstance),
			Method: request.Method, Path: request.RequestURI, Body: string(body),
			Key: request.Header.Get(message.HeaderOperationKey), Header: request.Header,
		}
		s.mu.Lock()
		s.requests = append(s.requests, got)
		n := len(s.requests)
		s.mu.Unlock()
		if !s.respond(n, got, conn) {
			return
		}
	}
}

func (s *fakeBackend) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// received lists the requests that have arrived.
func (s *fakeBackend) received() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

func (s *fakeBackend) last() receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1]
}

func responseText(status int, id, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: stamp-%s\r\nContent-Length: %d\r\n",
		status, message.HeaderRequestID, id, message.HeaderResponseSignature, id, len(body))
	for _, line := range headers {
		text += line + "\r\n"
	}
	return text + "\r\n" + body
}

func respondOK(_ int, request receivedRequest, conn net.Conn) bool {
	_, err := io.WriteString(conn, responseText(200, request.ID, "body of "+request.ID))
	return err == nil
}

// newTestDaemon makes a node that has the fake backends in its endpoint list, as backends of service s,
// and routes: /safe/ is idempotent, /once/ is not, /key/ is keyed; /long/, /longonce/ and /longkey/ are
// their like with a minute to answer, /stream/ is a download and requests to /hedged/ are soon hedged.
func newTestDaemon(t testing.TB, backends ...*fakeBackend) (d *Daemon) {
	t.Helper()
	p := settings.Settings{
		Name: "edge-1", Zone: "here", Region: "land", ZoneRegions: map[string]string{"here": "land", "there": "far"},
		MemoryMB: 64, MaxFileDescriptors: 1024, CPUShare: 1, SubsetSize: 3,
		SendInterval: time.Second, HealthCheckInterval: time.Second, MaxIdleNonIdempotent: time.Minute,
	}
	p.Bounds = settings.Bounds{
		RetryBudgetRatio: 100, RetryWindow: 10 * time.Second, KeyWindow: time.Minute,
		MaxTTL: 5 * time.Second, GracePeriod: time.Second,
	}
	clock := NewClock()
	d = &Daemon{
		settings: p, log: eventlog.Discard(), clock: clock, incarnation: 1,
		shutdown: shutdown.New(ShutdownTimeline(p.Bounds.GracePeriod)),
	}
	d.state = NewClusterState(p, d.log, clock)
	d.operations = idempotency.NewStore(time.Minute, 1<<20, clock.Now)
	d.leader = NewLeaderClient(p, d.log, clock, d.state, 1, d.self)
	d.retryBudget = NewRetryBudget(p.Bounds.RetryBudgetRatio, p.Bounds.RetryWindow, func() float64 { return 0 })
	d.tenantLimits = NewTenantLimits(d.state.Leased, nil)
	d.frontend = frontend.New(d.Handle, func() *config.RoutingTable { return d.state.Snapshot().View }, 100, 1<<20)
	applyTestConfig(t, d, backends...)
	return d
}

// applyTestConfig gives a node the configuration and the endpoint list of newTestDaemon.
func applyTestConfig(t testing.TB, d *Daemon, backends ...*fakeBackend) {
	t.Helper()
	items := config.New()
	document := `{"upserts":{"routes":{
		"column_names":["name","hostname","path_prefix","route_type",
		"timeout","target_latency","max_attempts","version",
		"service_name"],"row_values":[
		["r1","a.example","/safe/","idempotent","900ms","600ms",3,1,"s"],
		["r2","a.example","/once/","non_idempotent","900ms","600ms",3,1,"s"],
		["r3","a.example","/key/","keyed","900ms","600ms",3,1,"s"],
		["r4","a.example","/long/","idempotent","60s","60s",3,1,"s"],
		["r5","a.example","/longonce/","non_idempotent","60s","60s",3,1,"s"],
		["r6","a.example","/longkey/","keyed","60s","60s",3,1,"s"],
		["r7","a.example","/stream/","download","60s","60s",3,1,"s"],
		["r8","a.example","/hedged/","idempotent","60s","20ms",3,1,"s"]]},
		"services":{"column_names":["name","health_check_path","max_connections","version"],
			"row_values":[["s","/health",100,1]]},
		"limits":{"max_header_bytes":2000,"max_body_bytes":5000,
			"header_timeout":"1s","idle_timeout":"2s","version":1}}}`
	if err := items.Apply([]byte(document), 1); err != nil {
		t.Fatal(err)
	}
	update := &rpc.Update{
		IsLeader: true, Term: 1, Revision: 1, Full: true, LogIndex: 1, LastItem: rpc.AfterAllItems,
		Items: items.Items(), EndpointChunk: &rpc.EndpointChunk{Complete: true},
	}
	for _, backend := range backends {
		update.EndpointChunk.Endpoints = append(update.EndpointChunk.Endpoints, backend.endpoint())
	}
	d.state.Apply(0, update)
}

// dialFrontend opens a client connection to the node.
func dialFrontend(t testing.TB, d *Daemon) (conn net.Conn, in *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.frontend.Serve(listener)
	conn, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(); _ = listener.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func requestText(method, path, id string, headers ...string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" + message.HeaderRequestID + ": " + id + "\r\n" +
		message.HeaderRequestDeadline + ": 2500\r\n"
	for _, line := range headers {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

func readResponseFrom(t testing.TB, in *bufio.Reader, method string) (response *http.Response, body string, err error) {
	t.Helper()
	response, err = http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}
