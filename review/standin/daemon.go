package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay lies between the end of a process and its next start by the platform.
const restartDelay = 300 * time.Millisecond

// daemon is one process of the deploy file, through all its lives.
type daemon struct {
	name, role, folder string
	settings           map[string]any
	record             *record

	mu      sync.Mutex // guards what follows
	command *exec.Cmd
	ended   chan struct{}
	// starts counts lives; closing keeps the platform from starting another, and darkUntil does so for a time.
	starts    int
	closing   bool
	darkUntil time.Time
}

// start begins a life, with the settings of this moment.
func (d *daemon) start() (err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil
	}
	if err = os.MkdirAll(d.folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(d.folder, "settings.json")
	text, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	d.settings["first_start"] = false
	command := exec.Command("target/tinpin", d.role)
	command.Env = append(os.Environ(), "TINPIN_CONFIG="+path)
	// Nothing is left where this program is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = command.Stdout
	if err = command.Start(); err != nil {
		return err
	}
	d.command, d.ended = command, make(chan struct{})
	d.starts++
	d.record.write("%s started, life %d", d.name, d.starts)
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			if os.Getenv("REVIEW_LOGS") != "" {
				d.record.write("%s log %s", d.name, lines.Text())
			}
		}
		d.awaitEnd(command)
	}()
	return nil
}

// awaitEnd waits for a life's end, and has the platform start the next.
func (d *daemon) awaitEnd(command *exec.Cmd) {
	_ = command.Wait()
	d.record.write("%s ended: %s", d.name, command.ProcessState)
	d.mu.Lock()
	d.command = nil
	close(d.ended)
	wait := max(restartDelay, time.Until(d.darkUntil))
	d.mu.Unlock()
	time.AfterFunc(wait, func() { _ = d.start() })
}

// powerOff has the machine lose its power for a time.
func (d *daemon) powerOff(lasting time.Duration) {
	d.mu.Lock()
	d.darkUntil = time.Now().Add(lasting)
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// signal sends a signal to the life that runs.
func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		d.record.write("%s gets %s", d.name, signal)
		_ = d.command.Process.Signal(signal)
	}
}

// close ends the daemon for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.closing = true
	command, ended := d.command, d.ended
	d.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// memory is what of the life that runs is resident, in bytes.
func (d *daemon) memory() (bytes int64, err error) {
	d.mu.Lock()
	command := d.command
	d.mu.Unlock()
	if command == nil {
		return 0, errors.New("it does not run")
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, parseErr := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10, parseErr
		}
	}
	return 0, errors.New("no line RssAnon")
}
