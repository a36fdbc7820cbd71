package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/settings"
)

// slowDaemon stops when it is let go.
type slowDaemon struct {
	stopping, letGo chan struct{}
	reloads         int
}

func (d *slowDaemon) Reload(settings.Settings) { d.reloads++ }

func (d *slowDaemon) Stop(time.Time) {
	close(d.stopping)
	<-d.letGo
}

// A shutdown has its times: no further signal ends it sooner, begins it again or has settings read.
func TestFurtherSignalsChangeNothing(t *testing.T) {
	daemon := &slowDaemon{stopping: make(chan struct{}), letGo: make(chan struct{})}
	signals, ended := make(chan receivedSignal), make(chan int, 1)
	go func() { ended <- attend(daemon, "", signals, nil, eventlog.Discard()) }()
	signals <- receivedSignal{syscall.SIGTERM, time.Now()}
	<-daemon.stopping
	for _, further := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		signals <- receivedSignal{further, time.Now()}
	}
	if len(ended) > 0 || daemon.reloads > 0 {
		t.Errorf("ended %v, %d reloads", len(ended) > 0, daemon.reloads)
	}
	close(daemon.letGo)
	if code := <-ended; code != exitOK {
		t.Errorf("exit code %d", code)
	}
}
