// Package localcluster starts a complete tinpin system on loopback addresses, with
// stand-ins for the platform and the backends, for a first look and for end-to-end tests.
// The daemons are the real ones; only what lies outside tinpin is a stand-in, written after
// the published protocol. A Cluster is used by one goroutine, except that requests may be
// sent and the counts of a Backend read from any.
package localcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"tinpin/internal/controller"
	"tinpin/internal/eventlog"
	"tinpin/internal/proxy"
	"tinpin/internal/settings"
)

// Class marks failures to set up or reach the cluster.
var Class = errs.Class("localcluster")

// Zone is the zone of everything in the cluster.
const Zone = "harbour"

// Cluster is a running system: controllers and proxies by name, their settings by number.
type Cluster struct {
	Controllers        map[string]*controller.Controller
	Proxies            map[string]*proxy.Daemon
	Backends           []*Backend
	ControllerSettings []settings.Settings
	ProxySettings      []settings.Settings

	hosts     func(n int) string
	directory bool
	seeds     []string
	// platformAddress is where the list of backends is served.
	platformAddress string
	platform        *http.Server

	mu       sync.Mutex // guards draining
	draining map[string]bool
}

func serve(address string, handler http.Handler) (server *http.Server, err error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	serving := &http.Server{Handler: handler}
	go func() { _ = serving.Serve(listener) }()
	return serving, nil
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
	return open(folder, hosts, backends, true)
}

// StartWith sets up the same with backends that are served already, all of them
// in the cluster's one zone.
func StartWith(folder string, hosts func(n int) string, backends []*Backend) (cluster *Cluster, err error) {
	return open(folder, hosts, backends, true)
}

// StartGateway sets up the same without a directory: clients come by an address
// of the platform, which asks the proxies whether they are ready.
func StartGateway(folder string, hosts func(n int) string) (cluster *Cluster, err error) {
	backends, err := plainBackends(hosts)
	if err != nil {
		return nil, err
	}
	return open(folder, hosts, backends, false)
}

// open sets a cluster up: the platform, three controllers and two proxies.
func open(
	folder string, hosts func(n int) string, backends []*Backend, directory bool,
) (cluster *Cluster, err error) {
	cluster = &Cluster{
		Controllers: map[string]*controller.Controller{}, Proxies: map[string]*proxy.Daemon{}, Backends: backends,
		hosts: hosts, directory: directory, platformAddress: hosts(30) + ":18169", draining: map[string]bool{},
	}
	if cluster.platform, err = serve(cluster.platformAddress, http.HandlerFunc(cluster.serveEndpointList)); err != nil {
		return nil, err
	}
	for i := 1; i <= 3; i++ {
		cluster.seeds = append(cluster.seeds, controlAddress(hosts(i)))
	}
	for i := 1; i <= 3; i++ {
		if err = cluster.addController(i, folder); err != nil {
			return nil, err
		}
	}
	for range 2 {
		if err = cluster.AddProxy(); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// controlAddress is where the controller on a host answers operators.
func controlAddress(host string) (address string) { return host + ":18166" }

// commonSettings are those of every daemon.
func (s *Cluster) commonSettings(name, host string) settings.Settings {
	return settings.Settings{
		Name: name, Address: host, Zone: Zone, Region: "coast", ZoneRegions: map[string]string{Zone: "coast"},
		FirstStart: true, InternalPortLow: 17720, InternalPortHigh: 17735, Seeds: s.seeds,
		MemoryMB: 256, MaxFileDescriptors: 1024, PlatformAddress: s.platformAddress, PlatformRate: 100,
		SubsetSize: 3, MaxIdleNonIdempotent: 250 * time.Millisecond, CPUShare: 1,
		SendInterval: time.Second, HealthCheckInterval: 500 * time.Millisecond,
		EndpointListInterval: 200 * time.Millisecond,
		Bounds: settings.Bounds{
			GracePeriod: 2 * time.Second, KeyWindow: time.Minute, RetryWindow: 10 * time.Second,
			RetryBudgetRatio: 0.2, RetryBudgetSlack: 20, MaxTTL: 5 * time.Second,
		},
	}
}

// addController starts the nth controller, with its data in a folder.
func (s *Cluster) addController(n int, folder string) (err error) {
	config := s.commonSettings(fmt.Sprint("core-", n), s.hosts(n))
	config.ControlAddress, config.DataDirectory = controlAddress(config.Address), filepath.Join(folder, config.Name)
	s.ControllerSettings = append(s.ControllerSettings, config)
	s.Controllers[config.Name], err = controller.Start(config, eventlog.Discard())
	return err
}

// newProxySettings are the settings of the nth proxy.
func (s *Cluster) newProxySettings(n int) (config settings.Settings) {
	config = s.commonSettings(fmt.Sprint("edge-", n), s.hosts(20+n))
	config.FrontendAddress, config.ReadinessAddress = config.Address+":18161", config.Address+":18167"
	if s.directory {
		config.DirectoryAddress = config.Address + ":18164"
	}
	return config
}

// AddProxy starts one more proxy.
func (s *Cluster) AddProxy() (err error) {
	config := s.newProxySettings(len(s.ProxySettings) + 1)
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
		"instances":       map[string]any{"column_names": endpointColumns, "row_values": rows},
		"next_page_token": nil,
	})
}

// endpointColumns are the columns of the platform's list.
var endpointColumns = []string{
	"instance_id", "service_name", "address", "zone", "state", "capacity_slots", "cold_remaining", "version",
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

// StopProxy stops a proxy as a SIGTERM would; done is closed once it has stopped.
func (s *Cluster) StopProxy(name string) (done <-chan struct{}) {
	stopped := make(chan struct{})
	edge := s.Proxies[name]
	delete(s.Proxies, name)
	go func() {
		edge.Stop(time.Now())
		close(stopped)
	}()
	return stopped
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
	s.Controllers[name].Stop(time.Now())
	delete(s.Controllers, name)
}

// Close stops everything: proxies, controllers, platform, backends.
func (s *Cluster) Close() {
	var stopping sync.WaitGroup
	for _, edge := range s.Proxies {
		stopping.Add(1)
		go func() { defer stopping.Done(); edge.Stop(time.Now()) }()
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
