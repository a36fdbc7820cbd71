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
)

// daemon is a running role.
type daemon interface {
	// Reload takes changed settings up.
	Reload(settings.Settings)
	Stop()
}

// serve runs a role until it is told to stop.
func serve(
	call *invocation, start func(p settings.Settings, log *eventlog.Logger) (running daemon, err error),
) (code int) {
	role := call.command.name
	if _, code, done := call.parse(role, newFlags(role), call.args, 0); done {
		return code
	}
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	check := time.NewTicker(settingsCheckInterval)
	defer check.Stop()
	return attend(running, os.Getenv(settingsVariable), signals, check.C, log)
}

// attend heeds signals and changes of the settings file until told to stop.
func attend(
	running daemon, path string, signals <-chan os.Signal, check <-chan time.Time, log *eventlog.Logger,
) (code int) {
	last := fileVersion(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				log.Emit(eventlog.Stopping)
				running.Stop()
				log.Emit(eventlog.Stopped)
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

// fileVersion differs when a file was written again; it is empty for none.
func fileVersion(path string) (version string) {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}
