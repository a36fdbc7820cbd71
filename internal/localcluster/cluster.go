// Package localcluster starts a complete tinpin system on loopback addresses, with
// stand-ins for the platform and the backends, for a first look and for end-to-end tests.
// The daemons are the real ones; only what lies outside tinpin is a stand-in, written after
// the published protocol. A Cluster is used by one goroutine, except that requests may be
// sent and the counts of a Backend read from any.
package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"tinpin/internal/controller"
	"tinpin/internal/eventlog"
	"tinpin/internal/proxy"
	"tinpin/internal/settings"
)

// Class marks failures to set up or reach the cluster.
var Class = errs.Class("localcluster")

// Backend is a stand-in for a backend.
type Backend struct {
	ID, Service, Address, Zone string
	Runs                       atomic.Int64
	// WorkTime is how long a request takes, in nanoseconds; Failing makes all of them fail.
	WorkTime atomic.Int64
	Failing  atomic.Bool
	// Server is closed with the cluster.
	Server   io.Closer
	mu       sync.Mutex
	keys     map[string]int
	callers  map[string]int
	arrivals map[string]int
}

// Zone is the zone of everything in the cluster.
const Zone = "harbour"

// CallerHeader names the session of a request.
const CallerHeader = "X-Caller"

// Callers counts how often each caller's requests ran.
func (b *Backend) Callers() (runs map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.callers)
}

// Arrivals counts how often each request arrived.
func (b *Backend) Arrivals() (arrived map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.arrivals)
}

// Keys counts how often each operation key ran.
func (b *Backend) Keys() (runs map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.keys)
}

// ServeHTTP responds as the protocol says.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Tinpin-Instance-Id", b.ID)
	if id := r.Header.Get("Tinpin-Request-Id"); id != "" {
		w.Header().Set("Tinpin-Request-Id", id)
	}
	if target := r.Header.Get("Tinpin-Target-Instance"); target != "" && target != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	body, _ := io.ReadAll(r.Body)
	run := b.Runs.Add(1)
	b.mu.Lock()
	b.arrivals[r.Header.Get("Tinpin-Request-Id")]++
	if key := r.Header.Get("Tinpin-Operation-Key"); key != "" {
		b.keys[key]++
	}
	if session := r.Header.Get(CallerHeader); session != "" {
		b.callers[session]++
	}
	b.mu.Unlock()
	time.Sleep(time.Duration(b.WorkTime.Load()))
	if b.Failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Tinpin-Response-Signature", fmt.Sprintf("%s.%d", b.ID, run))
	_, _ = fmt.Fprintf(w, "%s %s ran on %s (%d bytes)\n", r.Method, r.URL.Path, b.ID, len(body))
}

// Cluster is a running system: controllers and proxies by name, their settings by number.
type Cluster struct {
	Controllers        map[string]*controller.Controller
	Proxies            map[string]*proxy.Daemon
	Backends           []*Backend
	ControllerSettings []settings.Settings
	ProxySettings      []settings.Settings
	hosts              func(n int) string
	proxySettings      func(n int) settings.Settings
	platform           *http.Server
	mu                 sync.Mutex
	draining           map[string]bool
}

func serve(address string, handler http.Handler) (server *http.Server, err error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	server = &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// Hosts gives the loopback addresses of one process's cluster.
func Hosts() (hosts func(n int) string) {
	pid := os.Getpid()
	return func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n) }
}

// Start sets up three controllers, two proxies and four backends of two services.
func Start(folder string, hosts func(n int) string) (cluster *Cluster, err error) {
	backends, err := plainBackends(hosts)
	if err != nil {
		return nil, err
	}
	return start(folder, hosts, backends, true)
}

// StartWith sets up the same with backends that are served already, all of them
// in the cluster's one zone.
func StartWith(folder string, hosts func(n int) string, backends []*Backend) (cluster *Cluster, err error) {
	return start(folder, hosts, backends, true)
}

// StartGateway sets up the same without a directory: clients come by an address
// of the platform, which asks the proxies whether they are ready.
func StartGateway(folder string, hosts func(n int) string) (cluster *Cluster, err error) {
	backends, err := plainBackends(hosts)
	if err != nil {
		return nil, err
	}
	return start(folder, hosts, backends, false)
}

// plainBackends starts four backends without faults.
func plainBackends(hosts func(n int) string) (backends []*Backend, err error) {
	for i, service := range []string{"hello", "hello", "ledger", "ledger"} {
		backend := &Backend{ID: fmt.Sprint("i-", i+1), Service: service, Address: hosts(40+i) + ":18080", Zone: Zone, keys: map[string]int{}, callers: map[string]int{}, arrivals: map[string]int{}}
		if backend.Server, err = serve(backend.Address, backend); err != nil {
			return nil, err
		}
		backends = append(backends, backend)
	}
	return backends, nil
}

func start(folder string, hosts func(n int) string, backends []*Backend, directory bool) (cluster *Cluster, err error) {
	cluster = &Cluster{Controllers: map[string]*controller.Controller{}, Proxies: map[string]*proxy.Daemon{}, Backends: backends, hosts: hosts, draining: map[string]bool{}}
	platform := hosts(30) + ":18169"
	if cluster.platform, err = serve(platform, http.HandlerFunc(cluster.serveEndpointList)); err != nil {
		return nil, err
	}
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, hosts(i)+":18166")
	}
	common := func(name string, n int) (config settings.Settings) {
		config = settings.Settings{
			Name: name, Address: hosts(n), Zone: Zone, Region: "coast", ZoneRegions: map[string]string{Zone: "coast"}, FirstStart: true,
			InternalPortLow: 17720, InternalPortHigh: 17735, Seeds: seeds, MemoryMB: 256, MaxFileDescriptors: 1024, PlatformAddress: platform, PlatformRate: 100,
			SubsetSize: 3, MaxIdleNonIdempotent: 250 * time.Millisecond, CPUShare: 1,
			SendInterval: time.Second, HealthCheckInterval: 500 * time.Millisecond, EndpointListInterval: 200 * time.Millisecond,
		}
		config.Bounds = settings.Bounds{GracePeriod: 2 * time.Second, KeyWindow: time.Minute, RetryWindow: 10 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 20, MaxTTL: 5 * time.Second}
		return config
	}
	for i := 1; i <= 3; i++ {
		config := common(fmt.Sprint("core-", i), i)
		config.ControlAddress, config.DataDirectory = hosts(i)+":18166", filepath.Join(folder, config.Name)
		cluster.ControllerSettings = append(cluster.ControllerSettings, config)
		if cluster.Controllers[config.Name], err = controller.Start(config, eventlog.Discard()); err != nil {
			return nil, err
		}
	}
	cluster.proxySettings = func(n int) (config settings.Settings) {
		config = common(fmt.Sprint("edge-", n), 20+n)
		config.FrontendAddress, config.ReadinessAddress = config.Address+":18161", config.Address+":18167"
		if directory {
			config.DirectoryAddress = config.Address + ":18164"
		}
		return config
	}
	for i := 1; i <= 2; i++ {
		if err = cluster.AddProxy(); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// AddProxy starts one more proxy.
func (s *Cluster) AddProxy() (err error) {
	config := s.proxySettings(len(s.ProxySettings) + 1)
	edge, err := proxy.Start(config, eventlog.Discard())
	if err != nil {
		return err
	}
	s.ProxySettings = append(s.ProxySettings, config)
	s.Proxies[config.Name] = edge
	return nil
}

// serveEndpointList is the stand-in for the platform.
func (s *Cluster) serveEndpointList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for _, backend := range s.Backends {
		state := "ready"
		if s.draining[backend.ID] {
			state = "draining"
		}
		rows = append(rows, []any{backend.ID, backend.Service, backend.Address, backend.Zone, state, 8, "0ms", "v1"})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instances":       map[string]any{"column_names": []string{"instance_id", "service_name", "address", "zone", "state", "capacity_slots", "cold_remaining", "version"}, "row_values": rows},
		"next_page_token": nil,
	})
}

// Drain has the platform list a backend as draining.
func (s *Cluster) Drain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[id] = true
}

// InternalAddresses lists the controllers' internal addresses, as the tools expect them.
func (s *Cluster) InternalAddresses() (addresses []string) {
	for _, config := range s.ControllerSettings {
		addresses = append(addresses, config.ControllerInternalAddress())
	}
	return addresses
}

// InitialConfiguration is the configuration that tests begin with.
const InitialConfiguration = `{"upserts":{
 "services":{"column_names":["name","health_check_path","max_connections","version"],
  "row_values":[["hello","/health",100,1],["ledger","/health",100,1]]},
 "routes":{"column_names":["name","hostname","path_prefix","route_type","timeout","target_latency","max_attempts","service_name","version"],
  "row_values":[["r-hello","shop.example","/hello/","idempotent","2s","500ms",2,"hello",1],
                ["r-pay","shop.example","/pay/","keyed","2s","500ms",2,"ledger",1]]}}}`

// Operator sends a call to the controllers in turn until one accepts it, as an operator would.
func (s *Cluster) Operator(ctx context.Context, method, path, body string) (status int, answer string, err error) {
	for {
		for _, config := range s.ControllerSettings {
			request, requestErr := http.NewRequestWithContext(ctx, method, "http://"+config.ControlAddress+path, bytes.NewReader([]byte(body)))
			if requestErr != nil {
				return 0, "", Class.Wrap(requestErr)
			}
			request.Header.Set("Content-Type", "application/json")
			response, callErr := http.DefaultClient.Do(request)
			if callErr != nil {
				continue
			}
			data, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode < 500 {
				return response.StatusCode, string(data), nil
			}
		}
		if err = pause(ctx); err != nil {
			return 0, "", err
		}
	}
}

func pause(ctx context.Context) (err error) {
	select {
	case <-ctx.Done():
		return Class.Wrap(ctx.Err())
	case <-time.After(20 * time.Millisecond):
		return nil
	}
}

// Until polls until a condition holds or the context ends.
func Until(ctx context.Context, holds func() bool) (err error) {
	for !holds() {
		if err = pause(ctx); err != nil {
			return err
		}
	}
	return nil
}

var requestCount atomic.Int64

// Request sends one client request to a proxy.
func (s *Cluster) Request(ctx context.Context, edge int, method, path, key string) (status int, signature, body string, err error) {
	return sendRequest(ctx, s.ProxySettings[edge].FrontendAddress, method, path, key, "")
}

// RequestAs sends one client request of a caller to a proxy's address.
func RequestAs(ctx context.Context, address, method, path, key, session string) (status int, err error) {
	status, _, _, err = sendRequest(ctx, address, method, path, key, session)
	return status, err
}

func sendRequest(ctx context.Context, address, method, path, key, session string) (status int, signature, body string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return 0, "", "", Class.Wrap(err)
	}
	request.Host = "shop.example"
	request.Header.Set("Tinpin-Request-Id", "q-"+strconv.FormatInt(requestCount.Add(1), 10))
	request.Header.Set("Tinpin-Request-Deadline", "2000")
	if key != "" {
		request.Header.Set("Tinpin-Operation-Key", key)
	}
	if session != "" {
		request.Header.Set(CallerHeader, session)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", Class.Wrap(err)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Tinpin-Response-Signature"), string(data), Class.Wrap(err)
}

// StopProxy stops a proxy as a SIGTERM would; done is closed once it has stopped.
func (s *Cluster) StopProxy(name string) (done chan struct{}) {
	done = make(chan struct{})
	edge := s.Proxies[name]
	delete(s.Proxies, name)
	go func() {
		edge.Stop()
		close(done)
	}()
	return done
}

// IsReady tells whether a proxy reports to the platform that it is ready.
func (s *Cluster) IsReady(edge int) (ready bool) {
	response, err := http.Get("http://" + s.ProxySettings[edge].ReadinessAddress + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Ready waits until all proxies are ready.
func (s *Cluster) Ready(ctx context.Context) (err error) {
	for edge := range s.ProxySettings {
		if err = Until(ctx, func() bool { return s.IsReady(edge) }); err != nil {
			return err
		}
	}
	return nil
}

// StopController stops one controller, as a SIGTERM would.
func (s *Cluster) StopController(name string) {
	s.Controllers[name].Stop()
	delete(s.Controllers, name)
}

// Close stops everything: proxies, controllers, platform, backends.
func (s *Cluster) Close() {
	var stopping sync.WaitGroup
	for _, edge := range s.Proxies {
		stopping.Add(1)
		go func() { defer stopping.Done(); edge.Stop() }()
	}
	stopping.Wait()
	for name := range s.Controllers {
		s.StopController(name)
	}
	_ = s.platform.Close()
	for _, backend := range s.Backends {
		_ = backend.Server.Close()
	}
}
