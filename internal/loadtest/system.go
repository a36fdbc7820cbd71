package loadtest

// A system is what a measurement sets up: controllers and stub nodes as processes of the same
// program, a stand-in for the platform's endpoint list, and an operator.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

const (
	controllerCount = 3
	settleTimeout   = 90 * time.Second
	rowsPerPage     = 1000
	controlPort     = 18266
	listPort        = 18269
	internalPortLow = 17820
)

// worker is one process of the measurement.
type worker struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
}

// nodesTask is the task of a process of stub nodes.
type nodesTask struct {
	Settings settings.Settings `json:"props"`
	First    int               `json:"first"`
	Count    int               `json:"count"`
	Size     Size              `json:"size"`
	Members  float64           `json:"members"`
	Claims   float64           `json:"claims"`
	Reports  float64           `json:"reports"`
}

type system struct {
	size        Size
	hosts       func(n int) string
	controllers []*worker
	settings    []settings.Settings
	nodes       []*worker
	platform    *http.Server
	version     int
}

func startWorker(program, command string, task any) (w *worker, err error) {
	text, err := json.Marshal(task)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	w = &worker{command: exec.Command(program, command)}
	w.command.Stderr = os.Stderr
	if w.in, err = w.command.StdinPipe(); err != nil {
		return nil, Class.Wrap(err)
	}
	pipe, err := w.command.StdoutPipe()
	if err != nil {
		return nil, Class.Wrap(err)
	}
	w.out = bufio.NewScanner(pipe)
	if err = w.command.Start(); err != nil {
		return nil, Class.Wrap(err)
	}
	_, err = fmt.Fprintf(w.in, "%s\n", text)
	return w, Class.Wrap(err)
}

// stop closes the worker's input, by which it ends, and waits for it.
func (w *worker) stop() {
	_ = w.in.Close()
	done := make(chan struct{})
	go func() { _ = w.command.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		_ = w.command.Process.Kill()
		<-done
	}
}

// usage gives the processor seconds of a worker so far, and its memory in MB.
func (w *worker) usage() (seconds, mb float64) {
	return resourceUsage(w.command.Process.Pid)
}

func resourceUsage(pid int) (seconds, mb float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) > 21 {
		user, _ := strconv.ParseFloat(fields[11], 64)
		kernel, _ := strconv.ParseFloat(fields[12], 64)
		pages, _ := strconv.ParseFloat(fields[21], 64)
		seconds, mb = (user+kernel)/100, pages*float64(os.Getpagesize())/(1<<20)
	}
	return seconds, mb
}

// common are the settings of every daemon.
func (s *system) common(name, address string, seeds []string) (config settings.Settings) {
	config = settings.Settings{
		Name: name, Address: address, Zone: "z0", Region: "r0",
		ZoneRegions: map[string]string{"z0": "r0", "z1": "r0", "z2": "r1"}, FirstStart: true,
		InternalPortLow: internalPortLow, InternalPortHigh: internalPortLow + 15,
		Seeds: seeds, MemoryMB: 4096, MaxFileDescriptors: 8192,
		PlatformAddress: net.JoinHostPort(s.hosts(200), strconv.Itoa(listPort)), PlatformRate: 44,
		SubsetSize: 3, MaxIdleNonIdempotent: 250 * time.Millisecond, CPUShare: 1,
		SendInterval: 4 * time.Second, HealthCheckInterval: time.Second,
		EndpointListInterval: 700 * time.Millisecond, ToleratedMachineLosses: 1,
	}
	config.Bounds = settings.Bounds{
		GracePeriod: time.Second, KeyWindow: time.Minute, RetryWindow: 10 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetSlack: 600, MaxTTL: 5 * time.Second,
	}
	return config
}

func setUp(ctx context.Context, program, folder string, size Size) (s *system, err error) {
	pid := os.Getpid()
	hosts := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 192+pid>>8&31, pid&255, n) }
	s = &system{size: size, version: 1, hosts: hosts}
	listener, err := net.Listen("tcp4", net.JoinHostPort(s.hosts(200), strconv.Itoa(listPort)))
	if err != nil {
		return s, Class.Wrap(err)
	}
	platform := &http.Server{Handler: http.HandlerFunc(s.serveEndpointList)}
	s.platform = platform
	go func() { _ = platform.Serve(listener) }()
	var seeds []string
	for i := 1; i <= controllerCount; i++ {
		seeds = append(seeds, net.JoinHostPort(s.hosts(i), strconv.Itoa(controlPort)))
	}
	for i := 1; i <= controllerCount; i++ {
		config := s.common(fmt.Sprint("core-", i), s.hosts(i), seeds)
		config.ControlAddress, config.DataDirectory = seeds[i-1], filepath.Join(folder, config.Name)
		process, startErr := startWorker(program, "core", config)
		if startErr != nil {
			return s, startErr
		}
		s.controllers, s.settings = append(s.controllers, process), append(s.settings, config)
	}
	if err = s.operator(ctx, s.initialConfiguration()); err != nil {
		return s, err
	}
	count := size.processes()
	for i := 0; i < count; i++ {
		first, last := i*size.Nodes/count, (i+1)*size.Nodes/count
		task := nodesTask{
			Settings: s.common("node", s.hosts(100), seeds), First: first, Count: last - first, Size: size,
			Members: float64(size.Members) / float64(count),
			Claims:  float64(size.Claims) / float64(count),
			Reports: float64(size.Reports) / float64(count),
		}
		nodes, startErr := startWorker(program, "nodes", task)
		if startErr != nil {
			return s, startErr
		}
		s.nodes = append(s.nodes, nodes)
	}
	_, err = s.broadcast(ctx, "listed")
	return s, err
}

// broadcast has every process of nodes do something, waits for all, and sums their
// answers.
func (s *system) broadcast(ctx context.Context, command string) (sum float64, err error) {
	for _, nodes := range s.nodes {
		if _, err = fmt.Fprintln(nodes.in, command); err != nil {
			return 0, Class.Wrap(err)
		}
	}
	answers := make(chan string, len(s.nodes))
	for _, nodes := range s.nodes {
		go func() {
			nodes.out.Scan()
			answers <- nodes.out.Text()
		}()
	}
	for range s.nodes {
		select {
		case answer := <-answers:
			number, numberErr := strconv.ParseFloat(answer, 64)
			if numberErr != nil {
				return 0, Class.New("a process of nodes answered %q", answer)
			}
			sum += number
		case <-ctx.Done():
			return 0, Class.New("the nodes did not get there in time")
		}
	}
	return sum, nil
}

func (s *system) close() {
	for _, nodes := range s.nodes {
		nodes.stop()
	}
	for _, process := range s.controllers {
		process.stop()
	}
	if s.platform != nil {
		_ = s.platform.Close()
	}
}

func serviceName(n int) string { return fmt.Sprint("s", n) }
func backendName(n int) string { return fmt.Sprintf("i-%06d", n) }

// serveEndpointList is the stand-in for the platform.
func (s *system) serveEndpointList(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token"))
	rows := [][]any{}
	for n := from; n < min(from+rowsPerPage, s.size.Backends); n++ {
		address := fmt.Sprintf("10.%d.%d.%d:8080", n>>16&255, n>>8&255, n&255)
		rows = append(rows, []any{
			backendName(n), serviceName(n % s.size.Services), address, fmt.Sprint("z", n%3), "ready", 4, "0ms", "v1",
		})
	}
	var next any
	if from+rowsPerPage < s.size.Backends {
		next = strconv.Itoa(from + rowsPerPage)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instances":       tableOf(instanceColumns, rows),
		"next_page_token": next,
	})
}

func routeRow(n, services, version int) []any {
	return []any{
		fmt.Sprint("r", n), fmt.Sprintf("h%d.example", n/10), fmt.Sprintf("/p%d/", n%10), "keyed",
		"2s", "500ms", 2, serviceName(n % services), version,
	}
}

var (
	instanceColumns = []string{
		"instance_id", "service_name", "address", "zone", "state", "capacity_slots", "cold_remaining", "version",
	}
	serviceColumns = []string{"name", "health_check_path", "max_connections", "version"}
	tenantColumns  = []string{"name", "hostnames", "rate", "burst", "version"}
	routeColumns   = []string{
		"name", "hostname", "path_prefix", "route_type",
		"timeout", "target_latency", "max_attempts", "service_name", "version",
	}
)

// tableOf is rows in the form that the platform and the operator send them.
func tableOf(columns []string, rows [][]any) map[string]any {
	return map[string]any{"column_names": columns, "row_values": rows}
}

func (s *system) initialConfiguration() (body []byte) {
	services, routes, tenants := [][]any{}, [][]any{}, [][]any{}
	for n := 0; n < s.size.Services; n++ {
		services = append(services, []any{serviceName(n), "/health", 100, 1})
	}
	for n := 0; n < s.size.Routes; n++ {
		routes = append(routes, routeRow(n, s.size.Services, 1))
	}
	for n := 0; n < s.size.Tenants; n++ {
		tenants = append(tenants, []any{fmt.Sprint("t", n), []string{fmt.Sprintf("t%d.example", n)}, 100, 100, 1})
	}
	upserts := map[string]any{
		"services": tableOf(serviceColumns, services),
		"routes":   tableOf(routeColumns, routes),
	}
	if len(tenants) > 0 {
		upserts["tenants"] = tableOf(tenantColumns, tenants)
	}
	body, _ = json.Marshal(map[string]any{"upserts": upserts})
	return body
}

// change sends one route under a new version.
func (s *system) change(ctx context.Context) (err error) {
	s.version++
	route := routeRow(s.version%s.size.Routes, s.size.Services, s.version)
	upserts := map[string]any{"routes": tableOf(routeColumns, [][]any{route})}
	body, _ := json.Marshal(map[string]any{"upserts": upserts})
	return s.operator(ctx, body)
}

// operator sends a call until it is acknowledged.
func (s *system) operator(ctx context.Context, body []byte) (err error) {
	for {
		for _, config := range s.settings {
			url := "http://" + config.ControlAddress + "/-/Config.Update"
			request, requestErr := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
			if requestErr != nil {
				return Class.Wrap(requestErr)
			}
			request.Header.Set("Content-Type", "application/json")
			response, callErr := http.DefaultClient.Do(request)
			if callErr != nil {
				continue
			}
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			if response.StatusCode < 500 {
				return Class.New("the operator's call got %d: %s", response.StatusCode, answer)
			}
		}
		select {
		case <-ctx.Done():
			return Class.New("no controller accepted the operator's call")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// leader asks the controllers for their status and returns the one that leads.
func (s *system) leader() (at int, status controller.Status, err error) {
	for i, config := range s.settings {
		client := rpc.NewClient(config.ControllerInternalAddress())
		var reply rpc.StatusResponse
		callErr := client.Call(rpc.MethodStatus, rpc.StatusRequest{}, &reply, 5*time.Second)
		client.Close()
		if callErr != nil {
			continue
		}
		var status controller.Status
		if json.Unmarshal(reply.JSON, &status) == nil && status.IsLeader && status.Settled {
			return i, status, nil
		}
	}
	return 0, status, Class.New("no controller leads")
}
