package proxy

import (
	"errors"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tinpin/internal/message"

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

// The findings.
const (
	ProbeUp ProbeResult = iota
	ProbeDown
	ProbeBusy
	ProbeTimedOut
	ProbeInvalid
)

type probedServer struct {
	state     rpc.EndpointState
	timeouts  int
	changed   bool
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
	probed         map[rpc.EndpointID]*probedServer
	fullReportTerm map[rpc.ServiceName]rpc.Term
	phase          int
	pruned         time.Duration
}

// NewProber has found nothing yet.
func NewProber(d *Daemon) (prober *Prober) {
	return &Prober{daemon: d, probed: map[rpc.EndpointID]*probedServer{}, fullReportTerm: map[rpc.ServiceName]rpc.Term{}}
}

// Run is the duty that probes.
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

func (p *Prober) tick() {
	d := p.daemon
	duties, term, count := d.state.Tick(d.leader.HasLeader())
	scene := d.state.Snapshot()
	p.phase = (p.phase + 1) % probePhases
	mine := map[rpc.ServiceName]bool{}
	backends := 0
	for _, service := range duties {
		mine[service] = true
		backends += len(scene.Services[service])
	}
	p.applyOutliers(scene, duties, term, count)
	pace := p.schedule(backends, d.state.ProbesOnlyOwn(), len(scene.Nodes))
	now := d.clock.Now()
	room := pace.maxPerTick
	for _, service := range duties {
		way := scene.View.Services[string(service)]
		if way == nil {
			continue
		}
		for _, server := range scene.Services[service] {
			if room > 0 && !server.isDraining() && p.isDue(now, server, pace) {
				room--
				go p.probe(server, way.HealthPath, term, count)
			}
		}
		if p.phase == 0 {
			go p.report(service, scene.Services[service], term, count)
		}
	}
	p.mu.Lock()
	for service := range p.fullReportTerm {
		if !mine[service] {
			delete(p.fullReportTerm, service)
		}
	}
	p.mu.Unlock()
	if now-p.pruned > pruneInterval {
		p.pruned = now
		p.prune(scene)
	}
}

// applyOutliers brings what the sums of all daemons tell into the states.
func (p *Prober) applyOutliers(scene *Snapshot, duties []rpc.ServiceName, term rpc.Term, count rpc.Revision) {
	d := p.daemon
	changed := d.state.DetectOutliers(duties)
	if len(changed) == 0 {
		return
	}
	reports := map[rpc.ServiceName][]rpc.EndpointState{}
	for _, service := range duties {
		for _, server := range scene.Services[service] {
			aside, moved := changed[server.ID]
			if !moved {
				continue
			}
			p.mu.Lock()
			held := p.record(server.ID)
			held.state.EjectedFor = aside
			state := held.state
			p.mu.Unlock()
			server.update(d.clock.Now(), nil, &state)
			d.log.Emit(eventlog.EjectionChanged, eventlog.KeyEndpoint, string(server.ID), "ejected_in", aside)
			d.state.History.Record(history.Health, string(server.ID), "judged", state.Summary(), 0, true)
			reports[service] = append(reports[service], state)
		}
	}
	for service, states := range reports {
		if d.leader.HasLeader() {
			go d.leader.Report(rpc.HealthReport{Node: rpc.NodeID(d.settings.Name), Term: term, ShardMapRevision: count, Service: service, States: states})
		}
	}
}

// record gives what was found of a backend; the caller holds the lock.
func (p *Prober) record(id rpc.EndpointID) (held *probedServer) {
	held = p.probed[id]
	if held == nil {
		held = &probedServer{state: rpc.EndpointState{Endpoint: id}}
		p.probed[id] = held
	}
	return held
}

// probeSchedule is how often a daemon probes: backends that are well at one interval,
// those in doubt at another, and never more at once than most.
type probeSchedule struct {
	healthyInterval, suspectInterval time.Duration
	maxPerTick                       int
}

// schedule follows the number of backends to probe and the daemon's share of a
// processor, so that a large service does not use its owner up. Where all
// daemons probe, each takes a span that grows with the fleet, so that together
// they do not flood the backends.
func (p *Prober) schedule(backends int, alone bool, fellows int) (pace probeSchedule) {
	interval := p.daemon.settings.HealthCheckInterval
	rate := max(minProbesPerSecond, probesPerCPU*p.daemon.settings.CPUShare)
	pace.healthyInterval = max(interval, time.Duration(float64(backends)/rate*float64(time.Second)))
	pace.suspectInterval = interval
	if !alone {
		together := interval * time.Duration(max(1, fellows/probersPerBackend))
		pace.healthyInterval, pace.suspectInterval = max(pace.healthyInterval, together), max(pace.suspectInterval, together)
	}
	pace.maxPerTick = max(4, int(2*rate*interval.Seconds()/probePhases))
	return pace
}

// isDue tells whether a backend's next probe is due, and sets the one after it.
func (p *Prober) isDue(now time.Duration, server *Backend, pace probeSchedule) (owed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.probed[server.ID]
	if held == nil {
		held = &probedServer{state: rpc.EndpointState{Endpoint: server.ID}}
		held.nextProbe = now + time.Duration(rand.Float64()*float64(pace.suspectInterval))
		p.probed[server.ID] = held
	}
	interval := pace.healthyInterval
	if held.state.Health != rpc.Healthy || held.state.WarmupRemaining > 0 || server.suspect(now) {
		interval = pace.suspectInterval
	}
	// What is due later than the pace has it was set at another pace.
	held.nextProbe = min(held.nextProbe, now+interval)
	if now < held.nextProbe {
		return false
	}
	held.nextProbe = now + time.Duration((0.9+0.2*rand.Float64())*float64(interval))
	return true
}

// prune forgets backends that are gone.
func (p *Prober) prune(scene *Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[rpc.EndpointID]bool, len(p.probed))
	for _, servers := range scene.Services {
		for _, server := range servers {
			listed[server.ID] = true
		}
	}
	for id := range p.probed {
		if !listed[id] {
			delete(p.probed, id)
		}
	}
}

func (p *Prober) probe(server *Backend, path string, term rpc.Term, count rpc.Revision) {
	d := p.daemon
	finding, cold := probeEndpoint(d.clock, server, path, false)
	if finding == ProbeTimedOut {
		// Asked again at once over a stream of its own: two silences are enough.
		finding, cold = probeEndpoint(d.clock, server, path, true)
		if finding == ProbeTimedOut {
			p.mu.Lock()
			if held := p.probed[server.ID]; held != nil {
				held.timeouts++
			}
			p.mu.Unlock()
		}
	}
	p.mu.Lock()
	held := p.record(server.ID)
	before := held.state
	switch finding {
	case ProbeUp:
		held.timeouts = 0
		held.state.Health, held.state.WarmupRemaining = rpc.Healthy, cold
	case ProbeDown:
		held.timeouts = 0
		held.state.Health = rpc.Unhealthy
	case ProbeTimedOut:
		if held.timeouts++; held.timeouts >= 2 {
			held.state.Health = rpc.Unhealthy
		}
	case ProbeBusy:
		held.timeouts = 0
		if held.state.Health != rpc.Healthy {
			held.state.Health = rpc.Healthy
		}
	}
	state := held.state
	turned := before.Health != state.Health || (before.WarmupRemaining > 0) != (state.WarmupRemaining > 0) || state.WarmupRemaining > 0
	held.changed = held.changed || turned
	p.mu.Unlock()
	if finding == ProbeInvalid || finding == ProbeTimedOut && state.Health != rpc.Unhealthy {
		return
	}
	server.update(d.clock.Now(), nil, &state)
	if turned {
		d.state.History.Record(history.Health, string(server.ID), "probed", state.Summary(), 0, true)
	}
	if before.Health != state.Health {
		if before.Health != rpc.HealthUnknown || state.Health == rpc.Unhealthy {
			d.log.Emit(eventlog.EndpointHealthChanged, eventlog.KeyEndpoint, string(server.ID), "health", int(state.Health))
		}
	}
	if turned && d.leader.HasLeader() {
		d.leader.Report(rpc.HealthReport{Node: rpc.NodeID(d.settings.Name), Term: term, ShardMapRevision: count, Service: server.Service, States: []rpc.EndpointState{state}})
	}
}

// report tells the cache that a round was made; the first to a leader is full.
func (p *Prober) report(service rpc.ServiceName, servers []*Backend, term rpc.Term, count rpc.Revision) {
	d := p.daemon
	leader := d.state.Known().Term
	ask := rpc.HealthReport{Node: rpc.NodeID(d.settings.Name), Term: term, ShardMapRevision: count, Service: service}
	p.mu.Lock()
	ask.Full = p.fullReportTerm[service] != leader
	if ask.Full {
		for _, server := range servers {
			if held := p.probed[server.ID]; held != nil && held.state.Health != rpc.HealthUnknown {
				ask.States = append(ask.States, held.state)
			}
		}
		ask.Full = len(ask.States) == len(servers)
	}
	p.mu.Unlock()
	if d.leader.Report(ask) && ask.Full {
		p.mu.Lock()
		p.fullReportTerm[service] = leader
		p.mu.Unlock()
	}
}

// probeEndpoint asks a backend how it is.
func probeEndpoint(clock Clock, server *Backend, path string, anew bool) (finding ProbeResult, cold time.Duration) {
	now := clock.Now()
	var stream *Conn
	if !anew {
		stream = server.takeIdle(now, defaultMaxIdle)
	}
	if stream == nil {
		var err error
		if stream, err = server.dial(probeTimeout); err != nil {
			if message.IsTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
				return ProbeTimedOut, 0
			}
			return ProbeDown, 0
		}
	}
	_ = stream.netConn.SetDeadline(time.Now().Add(probeTimeout))
	text := "GET " + path + " HTTP/1.1\r\nHost: " + server.Address + "\r\n" + message.HeaderTargetInstance + ": " + string(server.ID) + "\r\n\r\n"
	if _, err := stream.netConn.Write([]byte(text)); err != nil {
		server.closeConn(stream)
		return ProbeInvalid, 0
	}
	for skipped := 0; skipped <= maxSkippedResponses; skipped++ {
		response, err := http.ReadResponse(stream.reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			server.closeConn(stream)
			if message.IsTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) {
				return ProbeTimedOut, 0
			}
			return ProbeInvalid, 0
		}
		_, whole, _ := readBody(response, maxBufferedBody)
		if !whole {
			server.closeConn(stream)
			return ProbeInvalid, 0
		}
		if response.Header.Get(message.HeaderRequestID) != "" || response.StatusCode < 200 {
			continue
		}
		if keep := keepAliveOf(response); !response.Close && stream.reader.Buffered() == 0 && keep > 0 {
			_ = stream.netConn.SetDeadline(time.Time{})
			server.putIdle(clock.Now(), stream, keep)
		} else {
			server.closeConn(stream)
		}
		if span, ok := parseWarmUp(response.Header.Get(message.HeaderColdRemaining)); ok {
			cold = span
		}
		switch {
		case response.StatusCode == http.StatusOK && response.Header.Get(message.HeaderInstanceID) == string(server.ID):
			return ProbeUp, cold
		case response.StatusCode == http.StatusOK || response.StatusCode == http.StatusMisdirectedRequest:
			return ProbeDown, 0
		case response.Header.Get(message.HeaderNotExecuted) != "" || response.StatusCode == http.StatusTooManyRequests:
			return ProbeBusy, 0
		}
		return ProbeDown, 0
	}
	server.closeConn(stream)
	return ProbeInvalid, 0
}
