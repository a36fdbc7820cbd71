package main

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/settings"
	"tinpin/internal/shutdown"
)

// busyDaemon takes its time to take settings up, and its shutdown as long as it may.
type busyDaemon struct {
	reload   time.Duration
	sequence *shutdown.Sequence
}

func (d *busyDaemon) Reload(settings.Settings) { time.Sleep(d.reload) }

func (d *busyDaemon) Stop(signalled time.Time) { d.sequence.Run(signalled, d, func(shutdown.Phase) {}) }

func (d *busyDaemon) Announce(ctx context.Context) { <-ctx.Done() }

func (d *busyDaemon) Drain(ctx context.Context) (drained bool) {
	<-ctx.Done()
	return false
}

func (d *busyDaemon) Interrupt(ctx context.Context) { <-ctx.Done() }

func (d *busyDaemon) Close(context.Context) {}

// Guards against a shutdown that outlasts the grace period since its signal was handled late.
func TestAShutdownCountsFromItsSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	writeSettings(t, path, "10.0.0.2:1")
	const grace, reload = 6 * time.Second, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		timeline := shutdown.NewTimeline(grace, shutdown.Needs{Announce: 3 * time.Second})
		daemon := &busyDaemon{reload: reload, sequence: shutdown.New(timeline)}
		signals, ended := make(chan receivedSignal, 2), make(chan int, 1)
		sent := time.Now()
		signals <- receivedSignal{syscall.SIGHUP, sent}
		signals <- receivedSignal{syscall.SIGTERM, sent}
		go func() { ended <- attend(daemon, path, signals, nil, eventlog.Discard()) }()
		<-ended
		if took := time.Since(sent); took > grace || took < reload {
			t.Errorf("the daemon ended %s after it was told to; its grace period is %s", took, grace)
		}
	})
}
