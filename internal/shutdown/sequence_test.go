package shutdown

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedDaemon takes its phases as long as it is told, or as long as it may.
type scriptedDaemon struct {
	begun                         time.Time
	announces, drains, interrupts time.Duration
	calls                         []string
}

// take waits for a time or for the end of the phase, and notes when that was.
func (d *scriptedDaemon) take(ctx context.Context, name string, wait time.Duration) (ended bool) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
		ended = true
	}
	d.calls = append(d.calls, name+" "+time.Since(d.begun).String())
	return ended
}

func (d *scriptedDaemon) Announce(ctx context.Context) { d.take(ctx, "announce", d.announces) }

func (d *scriptedDaemon) Drain(ctx context.Context) (drained bool) {
	return d.take(ctx, "drain", d.drains)
}

func (d *scriptedDaemon) Interrupt(ctx context.Context) { d.take(ctx, "interrupt", d.interrupts) }

func (d *scriptedDaemon) Close(ctx context.Context) { d.take(ctx, "close", 0) }

func TestPhasesAndTheirBounds(t *testing.T) {
	cases := map[string]struct {
		daemon scriptedDaemon
		want   []string
	}{
		"nothing is left": {
			scriptedDaemon{announces: time.Hour, drains: time.Second},
			[]string{"announce 2.8s", "drain 3.8s", "close 3.8s"},
		},
		"nobody has to be told": {scriptedDaemon{}, []string{"announce 0s", "drain 0s", "close 0s"}},
		"work that does not end": {
			scriptedDaemon{announces: time.Hour, drains: time.Hour, interrupts: 100 * time.Millisecond},
			[]string{"announce 2.8s", "drain 5.6s", "interrupt 5.7s", "close 5.7s"},
		},
		"work that cannot be interrupted": {
			scriptedDaemon{announces: time.Hour, drains: time.Hour, interrupts: time.Hour},
			[]string{"announce 2.8s", "drain 5.6s", "interrupt 5.8s", "close 5.8s"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playPhases(t, &c.daemon, c.want) })
		})
	}
}

// playPhases takes a daemon through its shutdown, and checks what it was called for and when.
func playPhases(t *testing.T, daemon *scriptedDaemon, want []string) {
	t.Helper()
	sequence := New(NewTimeline(6*time.Second, Needs{Announce: 3 * time.Second, Work: 2 * time.Second}))
	daemon.begun = time.Now()
	if sequence.Begun() || !sequence.Accepts(Work{TimeLeft: time.Hour}) {
		t.Error("it stops before the signal")
	}
	sequence.Run(daemon.begun, daemon, func(Phase) {})
	sequence.Run(time.Now(), daemon, func(Phase) { t.Error("a second call does something") })
	if !slices.Equal(daemon.calls, want) {
		t.Errorf("%q, want %q", daemon.calls, want)
	}
	if !sequence.Begun() || sequence.Accepts(Work{TimeLeft: time.Hour}) {
		t.Error("it accepts long work after the end")
	}
}
