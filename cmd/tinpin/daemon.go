package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/settings"
)

const (
	// settingsCheckInterval is how often the settings file is looked at, as it may
	// change without a signal.
	settingsCheckInterval = 2 * time.Second
	// heapTenths is how many tenths of the daemon's memory Go may use; the rest is
	// for stacks, buffers of the kernel and the store.
	heapTenths = 6
	// signalQueue is how many signals may wait while the daemon starts or a settings file is read.
	signalQueue = 16
)

// daemon is a running role.
type daemon interface {
	// Reload takes changed settings up.
	Reload(settings.Settings)
	// Stop shuts it down; its times count from the signal.
	Stop(signalled time.Time)
}

// serve runs a role until it is told to stop.
func serve(
	call *invocation, start func(p settings.Settings, log *eventlog.Logger) (running daemon, err error),
) (code int) {
	role := call.command.name
	if _, code, done := call.parse(role, newFlags(role), call.args, 0); done {
		return code
	}
	// Signals count from here on: one that comes while the daemon starts is heeded once it has started,
	// when it may have accepted connections already.
	signals := receiveSignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	p, err := loadSettings()
	if err != nil {
		return call.fail(err, exitUsage)
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(p.MemoryMB) << 20 * heapTenths / 10)
	log := eventlog.New(p.Name)
	running, err := start(p, log)
	if err != nil {
		return call.fail(err, exitFailure)
	}
	log.Emit(eventlog.Started, "role", role, eventlog.KeyVersion, Version)
	check := time.NewTicker(settingsCheckInterval)
	defer check.Stop()
	return attend(running, os.Getenv(settingsVariable), signals, check.C, log)
}

// receivedSignal is a signal and when it came.
type receivedSignal struct {
	os.Signal
	at time.Time
}

// receiveSignals notes when each of some signals comes, whatever the daemon is busy with then.
func receiveSignals(kinds ...os.Signal) (received <-chan receivedSignal) {
	incoming := make(chan os.Signal, signalQueue)
	signal.Notify(incoming, kinds...)
	stamped := make(chan receivedSignal, signalQueue)
	go func() {
		for each := range incoming {
			stamped <- receivedSignal{each, time.Now()}
		}
	}()
	return stamped
}

// attend heeds signals and changes of the settings file until told to stop.
func attend(
	running daemon, path string, signals <-chan receivedSignal, check <-chan time.Time, log *eventlog.Logger,
) (code int) {
	last := fileVersion(path)
	for {
		select {
		case received := <-signals:
			if received.Signal != syscall.SIGHUP {
				stop(running, received.at, signals, log)
				return exitOK
			}
		case <-check:
			if fileVersion(path) == last {
				continue
			}
		}
		last = fileVersion(path)
		changed, err := settings.Load(path)
		if err != nil {
			log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			continue
		}
		running.Reload(changed)
		log.Emit(eventlog.SettingsReloaded)
	}
}

// stop shuts the daemon down. Signals that come meanwhile change nothing: a shutdown has its times, and
// what is to end sooner gets SIGKILL.
func stop(running daemon, received time.Time, signals <-chan receivedSignal, log *eventlog.Logger) {
	log.Emit(eventlog.Stopping, "handled_after_ms", time.Since(received).Milliseconds())
	stopped := make(chan struct{})
	go func() {
		running.Stop(received)
		close(stopped)
	}()
	for {
		select {
		case received := <-signals:
			log.Emit(eventlog.SignalIgnored, "signal", received.String())
		case <-stopped:
			log.Emit(eventlog.Stopped)
			return
		}
	}
}

// fileVersion differs when a file was written again; it is empty for none.
func fileVersion(path string) (version string) {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}
