package soak

import (
	"context"
	"sync"
	"time"

	"tinpin/internal/await"
)

// Play starts everything, plays the schedule, and checks what was seen. It returns an
// error where nothing could be played, or the context ended before.
func (s *System) Play(ctx context.Context) (report *Report, err error) {
	if err = s.start(ctx); err != nil {
		return nil, err
	}
	s.beginTime()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { s.readiness.Run(ctx) })
	running.Go(func() { s.watch.Run(ctx) })
	before := s.usages(ctx)
	s.runClients(ctx)
	if ctx.Err() != nil {
		return nil, Class.New("interrupted")
	}
	after := s.usages(ctx)
	described, describeErr := s.operator.describe(ctx)
	stop()
	running.Wait()
	violations := s.Check()
	violations = append(violations, s.checkDescription(described, describeErr)...)
	violations = append(violations, s.checkUsages(before, after)...)
	report = s.newReport(violations)
	report.Usage = compareUsages(before, after)
	return report, nil
}

// beginTime has the time of the play begin now: all that was before is the start.
func (s *System) beginTime() {
	started := s.log.Now()
	s.log.begun = time.Now()
	for _, process := range s.processes() {
		process.mu.Lock()
		for _, life := range process.lives {
			life.Started -= started
		}
		process.disturbed, process.lines = nil, nil
		process.mu.Unlock()
	}
}

// runClients has the clients come, carries the events out, and returns once all is over.
func (s *System) runClients(ctx context.Context) {
	sending, stopSending := context.WithTimeout(ctx, s.schedule.Time)
	defer stopSending()
	var clients, events sync.WaitGroup
	for number := range s.schedule.Size.Clients {
		clients.Go(func() { newClient(s, number+1).run(sending) })
	}
	for _, event := range s.schedule.Events {
		if !await.Delay(sending, event.At-s.log.Now()) {
			break
		}
		s.counts.events.Add(1)
		events.Go(func() { s.carry(sending, event) })
	}
	clients.Wait()
	events.Wait()
}

// carry carries one event out.
func (s *System) carry(ctx context.Context, event Event) {
	number := event.Target.Number - 1
	if event.Target.Role == BackendRole {
		s.carryAtBackend(s.Backends[number], event)
		return
	}
	var process *Process
	switch event.Target.Role {
	case ProxyRole:
		process = s.Proxies[number]
	case ControllerRole:
		process = s.Controllers[number]
	default:
		s.operator.Carry(ctx, event)
		return
	}
	s.counts.signals.Add(1)
	switch event.Action {
	case Term:
		process.Term()
	case TermTwice:
		process.Term()
		time.AfterFunc(s.grace/4, func() { process.Again() })
	case TermStarting:
		process.Kill()
		process.TermStarting()
	case Kill:
		process.Kill()
	case HUP:
		process.HangUp()
	case Freeze:
		process.Freeze(event.For)
	case PowerOff:
		process.PowerOff(event.For)
	}
}

// carryAtBackend carries an event out at a backend.
func (s *System) carryAtBackend(backend *Backend, event Event) {
	until := int64(s.log.Now() + event.For)
	switch event.Action {
	case Drain:
		backend.Drain(drainBound)
	case Slow:
		backend.slowUntil.Store(until)
	case BreakOff:
		backend.failUntil.Store(until)
	case Garble:
		backend.garbleUntil.Store(until)
	case Crash:
		backend.end(crashListed, max(event.For, crashListed+addressReuse))
	}
}

// addressReuse is how long after its end an address is taken up again at the earliest.
const addressReuse = 2 * time.Second
