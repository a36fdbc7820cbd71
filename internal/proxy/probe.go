// Prober probes the backends of the services that the watch gives this daemon
// and reports what it finds: changes at once, and with each round of a service
// that the round was made, so that the cache can tell a stalled owner. Probes
// go over the same pools as requests and are spread over the interval, which
// grows with the size of the service for backends that are well.
package proxy

import (
	"errors"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/rpc"
)

const (
	probePhases  = 4
	probePatient = time.Second
	// probesPerCPU is how many probes a second a whole processor is given to.
	probesPerCPU = 600
	probesLeast  = 20
	// probersEach is how many daemons may probe a backend in one interval.
	probersEach = 2
	pruneSpan   = 10 * time.Second
)

// Finding is what one probe found.
type Finding uint8

// The findings.
const (
	FoundUp Finding = iota
	FoundDown
	FoundBusy
	FoundSilent
	FoundGarbled
)

type watchedServer struct {
	state   rpc.State
	silent  int
	changed bool
	due     time.Duration
}

// Prober probes.
type Prober struct {
	daemon *Daemon
	mu     sync.Mutex
	found  map[rpc.ServerID]*watchedServer
	told   map[rpc.ServiceName]rpc.Term
	phase  int
	pruned time.Duration
}

// NewProber has found nothing yet.
func NewProber(d *Daemon) (prober *Prober) {
	return &Prober{daemon: d, found: map[rpc.ServerID]*watchedServer{}, told: map[rpc.ServiceName]rpc.Term{}}
}

// Run is the duty that probes.
func (p *Prober) Run() {
	ticker := time.NewTicker(p.daemon.props.HealthCheckInterval / probePhases)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.turn()
		case <-p.daemon.link.Ended:
			return
		}
	}
}

func (p *Prober) turn() {
	d := p.daemon
	duties, term, count := d.world.Tick(d.link.Led())
	scene := d.world.Scene()
	p.phase = (p.phase + 1) % probePhases
	mine := map[rpc.ServiceName]bool{}
	backends := 0
	for _, service := range duties {
		mine[service] = true
		backends += len(scene.Services[service])
	}
	p.judge(scene, duties, term, count)
	pace := p.pace(backends, d.world.Alone(), len(scene.Fellows))
	now := d.clock.Now()
	room := pace.most
	for _, service := range duties {
		way := scene.View.Services[string(service)]
		if way == nil {
			continue
		}
		for _, server := range scene.Services[service] {
			if room > 0 && !server.leaving() && p.owed(now, server, pace) {
				room--
				go p.probe(server, way.HealthPath, term, count)
			}
		}
		if p.phase == 0 {
			go p.report(service, scene.Services[service], term, count)
		}
	}
	p.mu.Lock()
	for service := range p.told {
		if !mine[service] {
			delete(p.told, service)
		}
	}
	p.mu.Unlock()
	if now-p.pruned > pruneSpan {
		p.pruned = now
		p.prune(scene)
	}
}

// judge brings what the sums of all daemons tell into the states.
func (p *Prober) judge(scene *Scene, duties []rpc.ServiceName, term rpc.Term, count rpc.Epoch) {
	d := p.daemon
	changed := d.world.Judge(duties)
	if len(changed) == 0 {
		return
	}
	reports := map[rpc.ServiceName][]rpc.State{}
	for _, service := range duties {
		for _, server := range scene.Services[service] {
			aside, moved := changed[server.ID]
			if !moved {
				continue
			}
			p.mu.Lock()
			held := p.held(server.ID)
			held.state.Aside = aside
			state := held.state
			p.mu.Unlock()
			server.note(d.clock.Now(), nil, &state)
			d.log.Emit(eventlog.EjectionChanged, eventlog.KeyEndpoint, string(server.ID), "ejected_in", aside)
			d.world.Chronicle.Note(history.Health, string(server.ID), "judged", state.Stamp(), 0, true)
			reports[service] = append(reports[service], state)
		}
	}
	for service, states := range reports {
		if d.link.Led() {
			go d.link.Report(rpc.ReportAsk{Fellow: rpc.FellowID(d.props.Name), Term: term, Count: count, Service: service, States: states})
		}
	}
}

// held gives what was found of a backend; the caller holds the lock.
func (p *Prober) held(id rpc.ServerID) (held *watchedServer) {
	held = p.found[id]
	if held == nil {
		held = &watchedServer{state: rpc.State{Server: id}}
		p.found[id] = held
	}
	return held
}

// Pace is how often a daemon probes: backends that are well at one interval,
// those in doubt at another, and never more at once than most.
type Pace struct {
	well, doubt time.Duration
	most        int
}

// pace follows the number of backends to probe and the daemon's share of a
// processor, so that a large service does not use its owner up. Where all
// daemons probe, each takes a span that grows with the fleet, so that together
// they do not flood the backends.
func (p *Prober) pace(backends int, alone bool, fellows int) (pace Pace) {
	interval := p.daemon.props.HealthCheckInterval
	rate := max(probesLeast, probesPerCPU*p.daemon.props.CPUShare)
	pace.well = max(interval, time.Duration(float64(backends)/rate*float64(time.Second)))
	pace.doubt = interval
	if !alone {
		together := interval * time.Duration(max(1, fellows/probersEach))
		pace.well, pace.doubt = max(pace.well, together), max(pace.doubt, together)
	}
	pace.most = max(4, int(2*rate*interval.Seconds()/probePhases))
	return pace
}

// owed tells whether a backend's next probe is due, and sets the one after it.
func (p *Prober) owed(now time.Duration, server *Server, pace Pace) (owed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.found[server.ID]
	if held == nil {
		held = &watchedServer{state: rpc.State{Server: server.ID}}
		held.due = now + time.Duration(rand.Float64()*float64(pace.doubt))
		p.found[server.ID] = held
	}
	interval := pace.well
	if held.state.Health != rpc.Up || held.state.Cold > 0 || server.doubtful(now) {
		interval = pace.doubt
	}
	// What is due later than the pace has it was set at another pace.
	held.due = min(held.due, now+interval)
	if now < held.due {
		return false
	}
	held.due = now + time.Duration((0.9+0.2*rand.Float64())*float64(interval))
	return true
}

// prune forgets backends that are gone.
func (p *Prober) prune(scene *Scene) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[rpc.ServerID]bool, len(p.found))
	for _, servers := range scene.Services {
		for _, server := range servers {
			listed[server.ID] = true
		}
	}
	for id := range p.found {
		if !listed[id] {
			delete(p.found, id)
		}
	}
}

func (p *Prober) probe(server *Server, path string, term rpc.Term, count rpc.Epoch) {
	d := p.daemon
	finding, cold := probe(d.clock, server, path, false)
	if finding == FoundSilent {
		// Asked again at once over a stream of its own: two silences are enough.
		finding, cold = probe(d.clock, server, path, true)
		if finding == FoundSilent {
			p.mu.Lock()
			if held := p.found[server.ID]; held != nil {
				held.silent++
			}
			p.mu.Unlock()
		}
	}
	p.mu.Lock()
	held := p.held(server.ID)
	before := held.state
	switch finding {
	case FoundUp:
		held.silent = 0
		held.state.Health, held.state.Cold = rpc.Up, cold
	case FoundDown:
		held.silent = 0
		held.state.Health = rpc.Down
	case FoundSilent:
		if held.silent++; held.silent >= 2 {
			held.state.Health = rpc.Down
		}
	case FoundBusy:
		held.silent = 0
		if held.state.Health != rpc.Up {
			held.state.Health = rpc.Up
		}
	}
	state := held.state
	turned := before.Health != state.Health || (before.Cold > 0) != (state.Cold > 0) || state.Cold > 0
	held.changed = held.changed || turned
	p.mu.Unlock()
	if finding == FoundGarbled || finding == FoundSilent && state.Health != rpc.Down {
		return
	}
	server.note(d.clock.Now(), nil, &state)
	if turned {
		d.world.Chronicle.Note(history.Health, string(server.ID), "probed", state.Stamp(), 0, true)
	}
	if before.Health != state.Health {
		if before.Health != rpc.Unknown || state.Health == rpc.Down {
			d.log.Emit(eventlog.EndpointHealthChanged, eventlog.KeyEndpoint, string(server.ID), "health", int(state.Health))
		}
	}
	if turned && d.link.Led() {
		d.link.Report(rpc.ReportAsk{Fellow: rpc.FellowID(d.props.Name), Term: term, Count: count, Service: server.Service, States: []rpc.State{state}})
	}
}

// report tells the cache that a round was made; the first to a leader is full.
func (p *Prober) report(service rpc.ServiceName, servers []*Server, term rpc.Term, count rpc.Epoch) {
	d := p.daemon
	leader := d.world.Seen().Term
	ask := rpc.ReportAsk{Fellow: rpc.FellowID(d.props.Name), Term: term, Count: count, Service: service}
	p.mu.Lock()
	ask.Full = p.told[service] != leader
	if ask.Full {
		for _, server := range servers {
			if held := p.found[server.ID]; held != nil && held.state.Health != rpc.Unknown {
				ask.States = append(ask.States, held.state)
			}
		}
		ask.Full = len(ask.States) == len(servers)
	}
	p.mu.Unlock()
	if d.link.Report(ask) && ask.Full {
		p.mu.Lock()
		p.told[service] = leader
		p.mu.Unlock()
	}
}

// probe asks a backend how it is.
func probe(clock Clock, server *Server, path string, anew bool) (finding Finding, cold time.Duration) {
	now := clock.Now()
	var stream *Stream
	if !anew {
		stream = server.take(now, restFull)
	}
	if stream == nil {
		var err error
		if stream, err = server.dial(probePatient); err != nil {
			if isTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
				return FoundSilent, 0
			}
			return FoundDown, 0
		}
	}
	_ = stream.conn.SetDeadline(time.Now().Add(probePatient))
	text := "GET " + path + " HTTP/1.1\r\nHost: " + server.Address + "\r\n" + headTarget + ": " + string(server.ID) + "\r\n\r\n"
	if _, err := stream.conn.Write([]byte(text)); err != nil {
		server.drop(stream)
		return FoundGarbled, 0
	}
	for skipped := 0; skipped <= skipMost; skipped++ {
		response, err := http.ReadResponse(stream.in, &http.Request{Method: http.MethodGet})
		if err != nil {
			server.drop(stream)
			if isTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) {
				return FoundSilent, 0
			}
			return FoundGarbled, 0
		}
		_, whole, _ := readBody(response, wholeMost)
		if !whole {
			server.drop(stream)
			return FoundGarbled, 0
		}
		if response.Header.Get(headRequest) != "" || response.StatusCode < 200 {
			continue
		}
		if keep := keepFor(response); !response.Close && stream.in.Buffered() == 0 && keep > 0 {
			_ = stream.conn.SetDeadline(time.Time{})
			server.give(clock.Now(), stream, keep)
		} else {
			server.drop(stream)
		}
		if span, ok := coldSpan(response.Header.Get(headCold)); ok {
			cold = span
		}
		switch {
		case response.StatusCode == http.StatusOK && response.Header.Get(headInstance) == string(server.ID):
			return FoundUp, cold
		case response.StatusCode == http.StatusOK || response.StatusCode == http.StatusMisdirectedRequest:
			return FoundDown, 0
		case response.Header.Get(headNotRun) != "" || response.StatusCode == http.StatusTooManyRequests:
			return FoundBusy, 0
		}
		return FoundDown, 0
	}
	server.drop(stream)
	return FoundGarbled, 0
}
