package shutdown

import (
	"context"
	"sync/atomic"
	"time"
)

// Phase is a part of a shutdown.
type Phase uint8

// The phases, in their order.
const (
	// Announcing: others are told; everything is accepted.
	Announcing Phase = iota
	// Draining: listeners are closed, and idle connections; what was accepted goes on.
	Draining
	// Interrupting: what is still in flight is ended, with an answer where one can be
	// written.
	Interrupting
	// Closing: the last connections and stores are closed.
	Closing
)

var phaseNames = [...]string{
	Announcing: "announcing", Draining: "draining", Interrupting: "interrupting", Closing: "closing",
}

// String names the phase, as log lines do.
func (p Phase) String() string { return phaseNames[p] }

// Participant carries the phases of a daemon's shutdown out, in their order. Each
// method returns when its phase is over, at the latest when its context ends.
type Participant interface {
	// Announce tells others that the daemon stops.
	Announce(ctx context.Context)
	// Drain accepts nothing new and waits for what was accepted. It tells whether
	// nothing is left.
	Drain(ctx context.Context) (drained bool)
	// Interrupt ends what is left. It is not called where nothing is.
	Interrupt(ctx context.Context)
	// Close ends everything else.
	Close(ctx context.Context)
}

// Sequence is the shutdown of one daemon. It may be asked from any goroutine.
type Sequence struct {
	timeline Timeline
	// begun is when the shutdown began, nil while it has not.
	begun atomic.Pointer[time.Time]
	// announced is set when the announcing phase is over.
	announced atomic.Bool
}

// New is a shutdown that has not begun.
func New(timeline Timeline) *Sequence { return &Sequence{timeline: timeline} }

// Begun tells whether the shutdown has begun.
func (s *Sequence) Begun() bool { return s.begun.Load() != nil }

// Elapsed is the time since the signal, 0 while the shutdown has not begun.
func (s *Sequence) Elapsed() (elapsed time.Duration) {
	begun := s.begun.Load()
	if begun == nil {
		return 0
	}
	return time.Since(*begun)
}

// Accepts tells whether work may be accepted now.
func (s *Sequence) Accepts(work Work) bool {
	if !s.Begun() {
		return true
	}
	elapsed := s.Elapsed()
	if s.announced.Load() {
		elapsed = max(elapsed, s.timeline.AcceptUntil)
	}
	return s.timeline.Accepts(elapsed, work)
}

// Begin begins the shutdown for a signal that came at a time, as the grace period counts
// from then; it returns false where it had begun.
func (s *Sequence) Begin(signalled time.Time) (first bool) {
	return s.begun.CompareAndSwap(nil, &signalled)
}

// Run begins the shutdown for a signal that came at a time, and takes a daemon through its
// phases: what is left of them where the signal is handled late. report is called at the
// end of each. It does nothing where the shutdown had begun.
func (s *Sequence) Run(signalled time.Time, daemon Participant, report func(phase Phase)) {
	if !s.Begin(signalled) {
		return
	}
	s.phase(s.timeline.AcceptUntil, daemon.Announce)
	s.announced.Store(true)
	report(Announcing)
	drained := false
	s.phase(s.timeline.DrainUntil, func(ctx context.Context) { drained = daemon.Drain(ctx) })
	report(Draining)
	if !drained {
		s.phase(s.timeline.CloseBy, daemon.Interrupt)
		report(Interrupting)
	}
	s.phase(s.timeline.CloseBy, daemon.Close)
	report(Closing)
}

// phase runs a phase that ends at a time since the beginning.
func (s *Sequence) phase(end time.Duration, run func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), end-s.Elapsed())
	defer cancel()
	run(ctx)
}
