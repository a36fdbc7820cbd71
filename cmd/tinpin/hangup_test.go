package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// A SIGHUP before the daemon asks for signals is harmless, and one behind it arrives.
func TestAHangUpDuringTheStartIsIgnored(t *testing.T) {
	if !signal.Ignored(syscall.SIGHUP) {
		t.Error("SIGHUP would end a daemon that starts")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if received := <-signals; received != syscall.SIGHUP {
		t.Error(received)
	}
}
