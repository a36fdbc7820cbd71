package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"tinpin/internal/await"
)

const (
	// gracePeriod and the other bounds are those that the daemons are told.
	gracePeriod  = 5 * time.Second
	contact      = 3 * time.Second
	configApply  = 2500 * time.Millisecond
	drainBound   = 2500 * time.Millisecond
	evacuation   = 5 * time.Second
	keyWindow    = 60 * time.Second
	lossSlack    = 200 * time.Millisecond
	rollback     = 250 * time.Millisecond
	startTimeout = 60 * time.Second
	// The hosts of the parts, counted on in one network of loopback addresses.
	firstProxyHost, firstControllerHost, firstBackendHost, platformHost = 1001, 1, 2001, 900
	memoryMB                                                            = 256
)

// internalPorts are the lowest and the highest port between daemons; controllers listen on the lowest.
var internalPorts = []int{17720, 17735}

// System is the processes and stand-ins of one play.
type System struct {
	schedule    Schedule
	log         *Log
	folder      string
	network     network
	grace       time.Duration
	Proxies     []*Process
	Controllers []*Process
	Backends    []*Backend
	platform    *Platform
	operator    *Operator
	readiness   *Readiness
	entrance    Entrance
	counts      counts
	watch       *Watch

	// fronts are the numbers of the proxies by their frontend addresses.
	fronts map[string]int
}

// network is a range of loopback addresses that this play has for itself.
type network struct {
	second int
	guard  net.Listener
}

// takeNetwork finds a range that no other play uses.
func takeNetwork() (n network, err error) {
	for second := 64 + os.Getpid()%32; second < 128; second++ {
		if n.guard, err = net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:18000", second)); err == nil {
			n.second = second
			return n, nil
		}
	}
	return n, Class.New("no range of loopback addresses is free: %v", err)
}

// host is the nth address of the range.
func (n network) host(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.second, number/250, number%250+1)
}

// Open lays a system out; program is the folder of the programs. Nothing runs yet.
func Open(schedule Schedule, programs string) (s *System, err error) {
	program, err := filepath.Abs(filepath.Join(programs, programName))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if _, err = os.Stat(program); err != nil {
		return nil, Class.New("there is no %s; README.md says how to build", program)
	}
	s = &System{schedule: schedule, log: NewLog(), grace: gracePeriod, fronts: map[string]int{}}
	if s.network, err = takeNetwork(); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "tinpin-soak-"); err != nil {
		return nil, Class.Wrap(err)
	}
	s.layOut(program)
	s.watch = newWatch(s.log, s.processes())
	return s, nil
}

// layOut makes the processes and stand-ins, without starting them.
func (s *System) layOut(program string) {
	size := s.schedule.Size
	var seeds, controls []string
	for i := range size.Controllers {
		controls = append(controls, s.network.host(firstControllerHost+i)+":18166")
	}
	seeds = controls[:min(3, len(controls))]
	for i := range size.Controllers {
		host := s.network.host(firstControllerHost + i)
		settings := s.settings(fmt.Sprintf("core-%d", i+1), host, i, seeds)
		settings["listen"] = map[string]string{"control_plane": controls[i]}
		settings["data_directory"] = filepath.Join(s.folder, settings["name"].(string), "data")
		controller := s.process(program, Target{ControllerRole, i + 1}, settings)
		controller.addresses = []string{controls[i], fmt.Sprintf("%s:%d", host, internalPorts[0])}
		s.Controllers = append(s.Controllers, controller)
	}
	var checks, fronts, directories []string
	for i := range size.Proxies {
		host := s.network.host(firstProxyHost + i)
		settings := s.settings(fmt.Sprintf("edge-%d", i+1), host, i, seeds)
		listen := map[string]string{"frontend": host + ":18161", "readiness": host + ":18167"}
		if s.schedule.Shape == Directory {
			listen["directory_endpoint"] = host + ":18164"
		}
		settings["listen"] = listen
		checks, fronts, directories = append(checks, listen["readiness"]), append(fronts, listen["frontend"]),
			append(directories, listen["directory_endpoint"])
		s.fronts[listen["frontend"]] = i + 1
		s.Proxies = append(s.Proxies, s.process(program, Target{ProxyRole, i + 1}, settings))
	}
	for i := range size.Backends {
		s.Backends = append(s.Backends, &Backend{
			Number: i + 1, Service: services[i%2], Zone: zones[i/2%2], log: s.log,
			address: s.network.host(firstBackendHost+i) + ":18080", drainings: map[string]time.Duration{},
		})
	}
	s.platform = &Platform{backends: s.Backends}
	s.operator = newOperator(controls, s.log, s.schedule.Seed)
	s.readiness = newReadiness(checks, fronts)
	s.entrance = s.readiness
	if s.schedule.Shape == Directory {
		s.entrance = &Lookups{directories: directories, client: shortLived(lookupTimeout)}
	}
}

// settings are what every daemon is told; the nth of its role stands in a zone by turns.
func (s *System) settings(name, host string, n int, seeds []string) map[string]any {
	return map[string]any{
		"name": name, "address": host, "zone": zones[n%2], "region": region,
		"zone_regions": map[string]string{zones[0]: region, zones[1]: region},
		"first_start":  true, "internal_ports": internalPorts, "seeds": append([]string{}, seeds...),
		"memory_mb": memoryMB, "max_file_descriptors": 4096, "metrics_address": host + ":19464",
		"platform":      map[string]any{"address": s.network.host(platformHost) + ":18169", "rate_per_s": 200},
		"send_interval": "2s", "health_check_interval": "1s", "endpoint_list_interval": "300ms",
		"tolerated_machine_losses": (s.schedule.Size.Controllers - 1) / 2,
		"bounds": map[string]any{
			"contact": contact.String(), "catch_up": "4s", "drain": drainBound.String(),
			"grace_period": gracePeriod.String(), "config_apply": configApply.String(),
			"retry_budget_ratio": 0.2, "retry_budget_slack": 50, "retry_window": "10s",
			"key_window": keyWindow.String(), "ttl_max": "5s",
		},
	}
}

func (s *System) process(program string, target Target, settings map[string]any) *Process {
	return &Process{
		Target: target, program: program, folder: filepath.Join(s.folder, settings["name"].(string)),
		log: s.log, grace: s.grace, settings: settings,
	}
}

func (s *System) processes() []*Process {
	return append(append([]*Process{}, s.Controllers...), s.Proxies...)
}

// proxyAt is the number of the proxy with a frontend address, 0 for none.
func (s *System) proxyAt(address string) (number int) { return s.fronts[address] }

// start starts everything, and waits until all proxies are ready.
func (s *System) start(ctx context.Context) (err error) {
	if err = s.platform.Start(s.network.host(platformHost) + ":18169"); err != nil {
		return err
	}
	for _, backend := range s.Backends {
		if err = backend.Start(); err != nil {
			return err
		}
	}
	for _, process := range s.processes() {
		if err = os.MkdirAll(process.folder, 0o700); err != nil {
			return Class.Wrap(err)
		}
		if err = process.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if status := s.operator.order(ctx, "POST", "/-/Config.Update", s.operator.initial(), 0); status != 200 {
		return Class.New("the first configuration got %d", status)
	}
	checking, stop := context.WithCancel(ctx)
	defer stop()
	go s.readiness.Run(checking)
	for !s.readiness.allReady() {
		if !await.Delay(ctx, 50*time.Millisecond) {
			return Class.New("not all proxies are ready after %v", startTimeout)
		}
	}
	return nil
}

// Close ends every process and stand-in, and removes their files.
func (s *System) Close() {
	var ending sync.WaitGroup
	for _, process := range s.processes() {
		ending.Go(func() { process.End(s.grace) })
	}
	ending.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, backend := range s.Backends {
		backend.Stop(ctx)
	}
	if s.platform.server != nil {
		_ = s.platform.server.Close()
	}
	_ = s.network.guard.Close()
	_ = os.RemoveAll(s.folder)
}
