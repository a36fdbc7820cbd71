package proxy

import (
	"math/rand"
	"sync"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/rpc"
)

const (
	probePhases  = 4
	probeTimeout = time.Second
	// probesPerCPU is how many probes a second a whole processor is given to.
	probesPerCPU       = 600
	minProbesPerSecond = 20
	// probersPerBackend is how many daemons may probe a backend in one interval.
	probersPerBackend = 2
	pruneInterval     = 10 * time.Second
)

// ProbeResult is what one probe found.
type ProbeResult uint8

// What a probe may find.
const (
	// ProbeUp: the backend itself says that it is well.
	ProbeUp ProbeResult = iota
	// ProbeDown: it refuses the connection, says that it is not well, or is another one.
	ProbeDown
	// ProbeBusy: it is there but has no room for the probe.
	ProbeBusy
	ProbeTimedOut
	// ProbeInvalid: what came is no response, and says nothing.
	ProbeInvalid
)

type probedBackend struct {
	state     rpc.EndpointState
	timeouts  int
	nextProbe time.Duration
}

// Prober probes the backends of the services that the shard map gives this node and
// reports what it finds: changes at once, and with each round of a service that the
// round was made, so that the state cache can tell a stalled owner. Probes use the
// same connections as requests and are spread over the interval, which grows with the
// size of the service for backends that are healthy.
type Prober struct {
	daemon         *Daemon
	mu             sync.Mutex
	probed         map[rpc.EndpointID]*probedBackend
	fullReportTerm map[rpc.ServiceName]rpc.Term
	phase          int
	pruned         time.Duration
}

// NewProber has found nothing yet.
func NewProber(d *Daemon) (prober *Prober) {
	return &Prober{
		daemon: d, probed: map[rpc.EndpointID]*probedBackend{}, fullReportTerm: map[rpc.ServiceName]rpc.Term{},
	}
}

// Run probes until the node stops.
func (p *Prober) Run() {
	ticker := time.NewTicker(p.daemon.settings.HealthCheckInterval / probePhases)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.tick()
		case <-p.daemon.leader.Done:
			return
		}
	}
}

// tick probes what is due, as far as the pace allows, and reports once an interval.
func (p *Prober) tick() {
	d := p.daemon
	services, term, revision := d.state.Tick(d.leader.HasLeader())
	snapshot := d.state.Snapshot()
	p.phase = (p.phase + 1) % probePhases
	backends := 0
	for _, service := range services {
		backends += len(snapshot.Services[service])
	}
	p.applyOutliers(snapshot, services, term, revision)
	schedule := p.schedule(backends, d.state.ProbesOnlyOwn(), len(snapshot.Nodes))
	now := d.clock.Now()
	left := schedule.maxPerTick
	for _, service := range services {
		configured := snapshot.View.Services[string(service)]
		if configured == nil {
			continue
		}
		for _, backend := range snapshot.Services[service] {
			if left > 0 && !backend.isDraining() && p.isDue(now, backend, schedule) {
				left--
				go p.probe(backend, configured.HealthPath, term, revision)
			}
		}
		if p.phase == 0 {
			go p.report(service, snapshot.Services[service], term, revision)
		}
	}
	p.forgetReports(services)
	if now-p.pruned > pruneInterval {
		p.pruned = now
		p.prune(snapshot)
	}
}

// forgetReports forgets to whom services were reported that this node does not probe any
// more: if it does again, its first report is a full one.
func (p *Prober) forgetReports(services []rpc.ServiceName) {
	probed := make(map[rpc.ServiceName]bool, len(services))
	for _, service := range services {
		probed[service] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.fullReportTerm {
		if !probed[service] {
			delete(p.fullReportTerm, service)
		}
	}
}

// applyOutliers ejects the backends, and takes those back, of which the outcomes at all
// nodes say so.
func (p *Prober) applyOutliers(snapshot *Snapshot, services []rpc.ServiceName, term rpc.Term, revision rpc.Revision) {
	d := p.daemon
	changed := d.state.DetectOutliers(services)
	if len(changed) == 0 {
		return
	}
	reports := map[rpc.ServiceName][]rpc.EndpointState{}
	for _, service := range services {
		for _, backend := range snapshot.Services[service] {
			ejectedFor, isChanged := changed[backend.ID]
			if !isChanged {
				continue
			}
			p.mu.Lock()
			probed := p.record(backend.ID)
			probed.state.EjectedFor = ejectedFor
			state := probed.state
			p.mu.Unlock()
			backend.update(d.clock.Now(), nil, &state)
			d.log.Emit(eventlog.EjectionChanged, eventlog.KeyEndpoint, string(backend.ID), "ejected_in", ejectedFor)
			d.state.History.Record(history.Health, string(backend.ID), "judged", state.Summary(), 0, true)
			reports[service] = append(reports[service], state)
		}
	}
	for service, states := range reports {
		if d.leader.HasLeader() {
			go d.leader.Report(rpc.HealthReport{
				Node: rpc.NodeID(d.settings.Name), Term: term, ShardMapRevision: revision,
				Service: service, States: states,
			})
		}
	}
}

// record gives what is known of a backend by its probes; the caller holds the lock.
func (p *Prober) record(id rpc.EndpointID) (probed *probedBackend) {
	probed = p.probed[id]
	if probed == nil {
		probed = &probedBackend{state: rpc.EndpointState{Endpoint: id}}
		p.probed[id] = probed
	}
	return probed
}

// probeSchedule is how often this node probes: healthy backends at one interval, suspect
// ones at another, and never more in one tick than maxPerTick.
type probeSchedule struct {
	healthyInterval, suspectInterval time.Duration
	maxPerTick                       int
}

// schedule follows the number of backends to probe and this node's share of a processor,
// so that a large service does not use its owner up. Where all nodes probe, not each its
// own services only, the intervals grow with the fleet, so that together they do not
// flood the backends.
func (p *Prober) schedule(backends int, ownOnly bool, nodes int) (schedule probeSchedule) {
	interval := p.daemon.settings.HealthCheckInterval
	rate := max(minProbesPerSecond, probesPerCPU*p.daemon.settings.CPUShare)
	schedule.healthyInterval = max(interval, time.Duration(float64(backends)/rate*float64(time.Second)))
	schedule.suspectInterval = interval
	if !ownOnly {
		together := interval * time.Duration(max(1, nodes/probersPerBackend))
		schedule.healthyInterval = max(schedule.healthyInterval, together)
		schedule.suspectInterval = max(schedule.suspectInterval, together)
	}
	schedule.maxPerTick = max(4, int(2*rate*interval.Seconds()/probePhases))
	return schedule
}

// isDue reports whether a backend's next probe is due, and sets the one after it.
func (p *Prober) isDue(now time.Duration, backend *Backend, schedule probeSchedule) (due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed := p.probed[backend.ID]
	if probed == nil {
		probed = &probedBackend{state: rpc.EndpointState{Endpoint: backend.ID}}
		probed.nextProbe = now + time.Duration(rand.Float64()*float64(schedule.suspectInterval))
		p.probed[backend.ID] = probed
	}
	interval := schedule.healthyInterval
	if probed.state.Health != rpc.Healthy || probed.state.WarmupRemaining > 0 || backend.suspect(now) {
		interval = schedule.suspectInterval
	}
	// What is due later than the interval was set under another schedule.
	probed.nextProbe = min(probed.nextProbe, now+interval)
	if now < probed.nextProbe {
		return false
	}
	probed.nextProbe = now + time.Duration((0.9+0.2*rand.Float64())*float64(interval))
	return true
}

// prune forgets backends that are gone.
func (p *Prober) prune(snapshot *Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[rpc.EndpointID]bool, len(p.probed))
	for _, backends := range snapshot.Services {
		for _, backend := range backends {
			listed[backend.ID] = true
		}
	}
	for id := range p.probed {
		if !listed[id] {
			delete(p.probed, id)
		}
	}
}

// probe probes a backend once, or twice where the first one timed out, and reports a
// changed state.
func (p *Prober) probe(backend *Backend, path string, term rpc.Term, revision rpc.Revision) {
	d := p.daemon
	result, warmUp := probeEndpoint(d.clock, backend, path, false)
	if result == ProbeTimedOut {
		// Asked again at once over a connection of its own: two time-outs are enough.
		result, warmUp = probeEndpoint(d.clock, backend, path, true)
		if result == ProbeTimedOut {
			p.countTimeout(backend.ID)
		}
	}
	before, state := p.apply(backend.ID, result, warmUp)
	if result == ProbeInvalid || result == ProbeTimedOut && state.Health != rpc.Unhealthy {
		return
	}
	backend.update(d.clock.Now(), nil, &state)
	changed := before.Health != state.Health || before.WarmupRemaining > 0 || state.WarmupRemaining > 0
	if changed {
		d.state.History.Record(history.Health, string(backend.ID), "probed", state.Summary(), 0, true)
	}
	if before.Health != state.Health && (before.Health != rpc.HealthUnknown || state.Health == rpc.Unhealthy) {
		d.log.Emit(eventlog.EndpointHealthChanged,
			eventlog.KeyEndpoint, string(backend.ID), "health", int(state.Health))
	}
	if changed && d.leader.HasLeader() {
		d.leader.Report(rpc.HealthReport{
			Node: rpc.NodeID(d.settings.Name), Term: term, ShardMapRevision: revision,
			Service: backend.Service, States: []rpc.EndpointState{state},
		})
	}
}

// countTimeout counts a time-out of a backend that was probed before.
func (p *Prober) countTimeout(id rpc.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if probed := p.probed[id]; probed != nil {
		probed.timeouts++
	}
}

// apply brings a result into what is known of a backend, and gives its state before and
// after. An invalid response says nothing.
func (p *Prober) apply(id rpc.EndpointID, result ProbeResult, warmUp time.Duration) (before, after rpc.EndpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed := p.record(id)
	before = probed.state
	switch result {
	case ProbeUp:
		probed.timeouts = 0
		probed.state.Health, probed.state.WarmupRemaining = rpc.Healthy, warmUp
	case ProbeDown:
		probed.timeouts = 0
		probed.state.Health = rpc.Unhealthy
	case ProbeTimedOut:
		if probed.timeouts++; probed.timeouts >= 2 {
			probed.state.Health = rpc.Unhealthy
		}
	case ProbeBusy:
		probed.timeouts = 0
		probed.state.Health = rpc.Healthy
	}
	return before, probed.state
}

// report tells the state cache that a round was made; the first report to a leader holds
// all states.
func (p *Prober) report(service rpc.ServiceName, backends []*Backend, term rpc.Term, revision rpc.Revision) {
	d := p.daemon
	leaderTerm := d.state.Known().Term
	report := rpc.HealthReport{
		Node: rpc.NodeID(d.settings.Name), Term: term, ShardMapRevision: revision, Service: service,
	}
	p.mu.Lock()
	report.Full = p.fullReportTerm[service] != leaderTerm
	if report.Full {
		for _, backend := range backends {
			if probed := p.probed[backend.ID]; probed != nil && probed.state.Health != rpc.HealthUnknown {
				report.States = append(report.States, probed.state)
			}
		}
		report.Full = len(report.States) == len(backends)
	}
	p.mu.Unlock()
	if d.leader.Report(report) && report.Full {
		p.mu.Lock()
		p.fullReportTerm[service] = leaderTerm
		p.mu.Unlock()
	}
}
