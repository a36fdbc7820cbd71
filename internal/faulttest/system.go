package faulttest

// A System is the daemons and the stand-ins; a play runs operations through it and
// summarizes its request log once nothing is in flight any more.

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"tinpin/internal/localcluster"
)

const (
	startTimeout = time.Minute
	// maxSends is the limit on how often an attempt is sent to backends.
	maxSends      = 3
	settleTimeout = 5 * time.Second
	settlePause   = 10 * time.Millisecond
)

// System on loopback.
type System struct {
	Cluster  *localcluster.Cluster
	folder   string
	backends []*backend
}

// configurationCall is the configuration: a route of each kind.
func configurationCall() (text string) {
	routes := ""
	for kind := range kindCount {
		routes += fmt.Sprintf(`["r-%d","%s","/%s/","%s","%v","%v",%d,"%s",1],`, kind, host, kind, kind,
			routeTimeouts[kind], routeTimeouts[kind]/3, maxSends, services[kind%2])
	}
	return `{"upserts":{"services":{"column_names":["name","health_check_path","max_connections","version"],` +
		`"row_values":[["` + services[0] + `","/health",200,1],["` + services[1] + `","/health",200,1]]},` + "\n" +
		`"routes":{"column_names":["name","hostname","path_prefix","route_type","timeout","target_latency",` +
		`"max_attempts","service_name","version"],"row_values":[` + routes[:len(routes)-1] + `]}}}`
}

// routeTimeouts of the routes: one with a claim waits for the controllers' disks as well.
var routeTimeouts = [kindCount]time.Duration{
	Idempotent: routeTimeout, NonIdempotent: routeTimeout, Keyed: 4 * routeTimeout,
}

var services = [...]string{"shelf", "till"}

// Open starts real daemons with stand-ins for their backends.
func Open(hosts func(n int) string) (system *System, err error) {
	system = &System{}
	defer func() {
		if err != nil {
			system.Close()
		}
	}()
	if system.folder, err = os.MkdirTemp("", "tinpin-faulttest-"); err != nil {
		return system, Class.Wrap(err)
	}
	var listed []*localcluster.Backend
	for n := range 6 {
		b, openErr := startBackend(fmt.Sprint("i-", n+1), hosts(40+n)+":18080")
		if openErr != nil {
			return system, openErr
		}
		system.backends = append(system.backends, b)
		listed = append(listed, &localcluster.Backend{
			ID: b.id, Service: services[n%2], Address: b.listener.Addr().String(), Zone: localcluster.Zone, Server: b,
		})
	}
	if system.Cluster, err = localcluster.StartWith(system.folder, hosts, listed); err != nil {
		return system, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	status, answer, err := system.Cluster.Operator(ctx, "POST", "/-/Config.Update", configurationCall())
	if err == nil && status != 200 {
		err = Class.New("the configuration got %d: %s", status, answer)
	}
	if err != nil {
		return system, err
	}
	return system, system.Cluster.Ready(ctx)
}

// Close ends everything.
func (s *System) Close() {
	if s.Cluster != nil {
		s.Cluster.Close()
	}
	for _, b := range s.backends {
		_ = b.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// Report of a play.
type Report struct {
	Seed       uint64           `json:"seed"`
	Clients    int              `json:"clients"`
	Operations int              `json:"rounds"`
	Asked      int              `json:"rounds_asked"`
	Seconds    float64          `json:"seconds"`
	Kinds      []KindSummary    `json:"lines"`
	Faults     map[string]int64 `json:"troubles"`
	Mismatches int              `json:"mismatches"`
	// Unsettled tells that something was still in flight when the log was summarized.
	Unsettled bool `json:"unsettled"`
}

// Play sends rounds until they are played, the time is over, or the context ends.
func (s *System) Play(ctx context.Context, options Options) (report Report, err error) {
	if err = options.Check(); err != nil {
		return report, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Time)
	defer cancel()
	log := NewRequestLog()
	before := s.faultCounts()
	for n, b := range s.backends {
		b.start(log, options.Seed<<8+uint64(n))
	}
	var addresses []string
	for _, p := range s.Cluster.ProxySettings {
		addresses = append(addresses, p.FrontendAddress)
	}
	started := time.Now()
	var next, played atomic.Int64
	var clients sync.WaitGroup
	for n := range options.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := newClient(log, options.Seed<<16+uint64(n), addresses)
			defer c.close()
			for ctx.Err() == nil {
				number := int(next.Add(1))
				if number > options.Operations {
					return
				}
				// Keys are new in each play.
				c.runOperation(int(options.Seed&0xffff)<<32 + number)
				played.Add(1)
			}
		}()
	}
	clients.Wait()
	report = Report{
		Seed: options.Seed, Clients: options.Clients, Operations: int(played.Load()), Asked: options.Operations,
		Seconds: time.Since(started).Seconds(), Unsettled: !s.settle(), Faults: map[string]int64{},
	}
	for _, line := range log.Summarize(maxSends) {
		report.Kinds = append(report.Kinds, line)
		report.Mismatches += line.Mismatches()
	}
	for fault, count := range s.faultCounts() {
		if count -= before[fault]; count > 0 {
			report.Faults[faultSpecs[fault].name] = count
		}
	}
	return report, nil
}

func (s *System) faultCounts() (done [faultCount]int64) {
	for _, b := range s.backends {
		for fault := range done {
			done[fault] += b.faults[fault].Load()
		}
	}
	return done
}

// settle waits until whatever a daemon might still send has come and nothing is
// in flight at the stand-ins.
func (s *System) settle() (settled bool) {
	for started := time.Now(); time.Since(started) < settleTimeout; time.Sleep(settlePause) {
		busy := time.Since(started) < routeTimeouts[Keyed]
		for _, b := range s.backends {
			busy = busy || b.inFlight.Load() > 0
		}
		if !busy {
			settled = true
			break
		}
	}
	for _, b := range s.backends {
		b.quiesce()
	}
	return settled
}

// Good tells that everything agrees.
func (r Report) Good() bool { return r.Mismatches == 0 && !r.Unsettled && r.Operations > 0 }

// Table writes the report for reading.
func (r Report) Table(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "kind\tattempts\truns\tserved\tnot run\tunknown\tbackend failure\tin progress\tgone\t"+
		"repeats\trun after not run\twrong response\twithout a run\tlost\tunexpected\t")
	for _, l := range r.Kinds {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", l.Kind,
			l.Attempts, l.Runs, l.Served, l.NotRun, l.Unknown, l.BackendFailure, l.InProgress, l.ClientGone,
			l.Repeats, l.RanAfterNotRun, l.WrongResponse, l.WithoutRun, l.Lost, l.Unexpected)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(out)
	faultTable := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for fault, spec := range faultSpecs {
		label := spec.name
		if Fault(fault) == None {
			label = "answered as it should be"
		}
		_, _ = fmt.Fprintf(faultTable, "%s\t%d\n", label, r.Faults[spec.name])
	}
	_ = faultTable.Flush()
	_, _ = fmt.Fprintf(out, "\nseed %d: %d of %d rounds by %d clients in %.1f s, %d mismatches\n",
		r.Seed, r.Operations, r.Asked, r.Clients, r.Seconds, r.Mismatches)
	if r.Unsettled {
		_, _ = fmt.Fprintln(out, "something was still in flight at the end: nothing is proven")
	}
}
