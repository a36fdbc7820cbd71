package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinpin/internal/testutil/hanging"
)

const (
	// restartDelay lies between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
	// keptLines is how many of its log lines are kept of each process.
	keptLines = 1000
	// programName is the program that the processes run.
	programName = "tinpin"
)

// Life is one run of a process.
type Life struct {
	Started, Ended time.Duration
	// Term and Kill are when it was sent that signal, 0 for never.
	Term, Kill time.Duration
	// Overdue tells that it was killed since its grace period was over.
	Overdue bool
	// Listening is when it said that its listeners are open, 0 for never.
	Listening time.Duration
	// ExitCode is -1 where a signal has ended it.
	ExitCode int
}

// startedLine is what a daemon's log line has once its listeners are open.
const startedLine = `"event":101,`

// LogLine is a line that a process has written.
type LogLine struct {
	At   time.Duration
	Text string
}

// Process is one daemon, through all its lives. It may be used by any goroutine.
type Process struct {
	Target  Target
	program string
	folder  string
	log     *Log
	grace   time.Duration
	// addresses are those that others connect to.
	addresses []string

	mu       sync.Mutex // guards what follows
	settings map[string]any
	lives    []*Life
	command  *exec.Cmd
	lines    []LogLine
	// disturbed are the times of signals, of starts and of ends; frozen are the spans in
	// which it stood still.
	disturbed []time.Duration
	frozen    []Span
	// offUntil is until when the machine has no power.
	offUntil time.Duration
	ending   bool
	done     chan struct{}
}

// writeSettings writes the settings file. The caller holds the lock.
func (p *Process) writeSettings() (path string, err error) {
	path = filepath.Join(p.folder, "settings.json")
	text, err := json.Marshal(p.settings)
	if err != nil {
		return "", Class.Wrap(err)
	}
	if err = os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", Class.Wrap(err)
	}
	return path, Class.Wrap(os.Rename(path+".new", path))
}

// Start starts the next life.
func (p *Process) Start() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		return nil
	}
	path, err := p.writeSettings()
	if err != nil {
		return err
	}
	p.settings["first_start"] = false
	command := exec.Command(p.program, string(p.Target.Role))
	command.Env = append(os.Environ(), "TINPIN_CONFIG="+path)
	// Its end is bound to this program's: nothing is left where this is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return Class.Wrap(err)
	}
	command.Stderr = command.Stdout
	if err = command.Start(); err != nil {
		return Class.Wrap(err)
	}
	life := &Life{Started: p.log.Now()}
	p.command, p.lives = command, append(p.lives, life)
	p.disturbed = append(p.disturbed, life.Started)
	p.done = make(chan struct{})
	go p.watch(command, life, output, p.done)
	return nil
}

// watch reads what a life writes, and waits for its end.
func (p *Process) watch(command *exec.Cmd, life *Life, output io.Reader, done chan struct{}) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		p.mu.Lock()
		if strings.Contains(lines.Text(), startedLine) {
			life.Listening = p.log.Now()
		}
		if p.lines = append(p.lines, LogLine{p.log.Now(), lines.Text()}); len(p.lines) > 2*keptLines {
			p.lines = append([]LogLine{}, p.lines[keptLines:]...)
		}
		p.mu.Unlock()
	}
	_ = command.Wait()
	p.mu.Lock()
	life.Ended, life.ExitCode = p.log.Now(), command.ProcessState.ExitCode()
	p.disturbed = append(p.disturbed, life.Ended)
	p.command = nil
	again, off := !p.ending, p.offUntil-p.log.Now()
	p.mu.Unlock()
	close(done)
	switch {
	case !again:
	case off > restartDelay:
		p.stayOff(off)
	default:
		time.AfterFunc(restartDelay, func() { _ = p.Start() })
	}
}

// signal sends a signal to the life that runs, if note, which is called with it, wants
// it so. It does nothing between two lives.
func (p *Process) signal(signal syscall.Signal, note func(life *Life) (wanted bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || !note(p.lives[len(p.lives)-1]) {
		return
	}
	p.disturbed = append(p.disturbed, p.log.Now())
	_ = p.command.Process.Signal(signal)
}

// always sends a signal that needs no note.
func always(*Life) (wanted bool) { return true }

// Term asks the process to stop, and kills it once its grace period is over.
func (p *Process) Term() {
	p.signal(syscall.SIGTERM, func(life *Life) (wanted bool) {
		if life.Term > 0 {
			return false
		}
		life.Term = p.log.Now()
		time.AfterFunc(p.grace, func() { p.killOverdue(life) })
		return true
	})
}

// Again asks a process to stop that has been asked already.
func (p *Process) Again() {
	p.signal(syscall.SIGTERM, func(life *Life) (wanted bool) { return life.Term > 0 })
}

// dumpTime is how long a process that is overdue has to write the stacks of its goroutines.
const dumpTime = 200 * time.Millisecond

// killOverdue kills a life that has not ended in its grace period. What it is doing goes to its
// log lines.
func (p *Process) killOverdue(life *Life) {
	time.AfterFunc(dumpTime, func() {
		p.signal(syscall.SIGKILL, func(current *Life) (wanted bool) { return current == life })
	})
	p.signal(syscall.SIGQUIT, func(current *Life) (wanted bool) {
		if current != life || life.Kill > 0 || hasExited(p.command.Process.Pid) {
			return false
		}
		life.Kill, life.Overdue = p.log.Now(), true
		for _, thread := range threadsOf(p.command.Process.Pid) {
			p.lines = append(p.lines, LogLine{life.Kill, "overdue thread " + thread})
		}
		return true
	})
}

// hasExited tells that a process has ended, though it may not be known here yet: on a full
// machine the thread that waits for it may get its turn seconds later.
func hasExited(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	// The state is the first field behind the name in brackets.
	_, behind, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(behind, "Z") || strings.HasPrefix(behind, "X")
}

// threadsOf tells what the threads of a process are doing, as the kernel sees it.
func threadsOf(pid int) (threads []string) {
	folders, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	for _, folder := range folders {
		text := filepath.Base(folder)
		for _, name := range []string{"stat", "wchan", "syscall"} {
			content, err := os.ReadFile(filepath.Join(folder, name))
			if err != nil {
				continue
			}
			if name == "stat" {
				_, behind, _ := strings.Cut(string(content), ") ")
				content = []byte("state " + behind[:min(1, len(behind))])
			}
			text += ", " + strings.TrimSpace(string(content))
		}
		threads = append(threads, text)
	}
	return threads
}

// Kill kills the process.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL, p.noteKill)
}

// PowerOff kills the process as a machine does that loses power: until it starts again after a time, connections
// to it hang.
func (p *Process) PowerOff(lasting time.Duration) {
	p.signal(syscall.SIGKILL, func(life *Life) (wanted bool) {
		p.offUntil = p.log.Now() + lasting
		return p.noteKill(life)
	})
}

// stayOff has connections to the process hang for a time, and then starts its next life. An address on which
// that fails refuses them.
func (p *Process) stayOff(lasting time.Duration) {
	end := time.Now().Add(lasting)
	var hangs []*hanging.Address
	for _, address := range p.addresses {
		if hang, err := hanging.Listen(address); err == nil {
			hangs = append(hangs, hang)
		}
	}
	time.AfterFunc(time.Until(end), func() {
		for _, hang := range hangs {
			hang.Close()
		}
		_ = p.Start()
	})
}

// noteKill notes that a life is killed.
func (p *Process) noteKill(life *Life) (wanted bool) {
	life.Kill = p.log.Now()
	return true
}

// Freeze stops the process for a time.
func (p *Process) Freeze(lasting time.Duration) {
	p.signal(syscall.SIGSTOP, func(*Life) (wanted bool) {
		now := p.log.Now()
		p.frozen = append(p.frozen, Span{From: now, To: now + lasting + timerSlack, Process: p.Target})
		return true
	})
	time.AfterFunc(lasting, func() { p.signal(syscall.SIGCONT, always) })
}

// HangUp writes the settings with the seeds in another order, and says so.
func (p *Process) HangUp() {
	p.mu.Lock()
	if seeds := p.settings["seeds"].([]string); len(seeds) > 1 {
		p.settings["seeds"] = append(append([]string{}, seeds[1:]...), seeds[0])
	}
	_, _ = p.writeSettings()
	p.mu.Unlock()
	for range loadChecks {
		if pid := p.PID(); pid == 0 || isLoaded(pid) {
			break
		}
		time.Sleep(loadCheckInterval)
	}
	p.signal(syscall.SIGHUP, always)
}

// TermStarting waits for the next life and asks it to stop as soon as its program has decided about signals, which
// is before its listeners are open.
func (p *Process) TermStarting() {
	earlier := p.PID()
	for range loadChecks {
		if pid := p.PID(); pid != 0 && pid != earlier && isLoaded(pid) {
			p.Term()
			return
		}
		time.Sleep(loadCheckInterval)
	}
}

const (
	// loadCheckInterval and loadChecks bound the wait for a program that is being loaded.
	loadCheckInterval = 5 * time.Millisecond
	loadChecks        = 200
)

// isLoaded tells that a program runs and has decided about SIGHUP: while the kernel and the
// linker load it, any signal ends it, and nothing it could do would change that.
func isLoaded(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err == nil && bits&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// End ends the process for good: with SIGTERM, and SIGKILL after wait. It returns
// once the process is gone.
func (p *Process) End(wait time.Duration) {
	p.mu.Lock()
	p.ending = true
	done, running := p.done, p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGCONT, always)
	p.signal(syscall.SIGTERM, func(life *Life) (wanted bool) {
		life.Term = max(life.Term, p.log.Now())
		return true
	})
	select {
	case <-done:
	case <-time.After(wait):
		p.signal(syscall.SIGKILL, p.noteKill)
		<-done
	}
}

// PID is that of the life that runs, 0 between two.
func (p *Process) PID() (pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// lifeAt is the life that ran at a time, nil where none did.
func (p *Process) lifeAt(at time.Duration) (life *Life) {
	for _, candidate := range p.lives {
		if candidate.Started <= at && (candidate.Ended == 0 || at <= candidate.Ended) {
			life = candidate
		}
	}
	return life
}

// disturbedWithin tells that the process was signalled, started or has ended in a span.
func (p *Process) disturbedWithin(from, to time.Duration) bool {
	for _, at := range p.disturbed {
		if from <= at && at <= to {
			return true
		}
	}
	return false
}

// frozenWithin tells that the process stood still in a part of a span.
func (p *Process) frozenWithin(from, to time.Duration) bool {
	for _, span := range p.frozen {
		if span.From <= to && from <= span.To {
			return true
		}
	}
	return false
}

// linesWithin are the log lines of a span.
func (p *Process) linesWithin(from, to time.Duration) (lines []LogLine) {
	for _, line := range p.lines {
		if from <= line.At && line.At <= to {
			lines = append(lines, line)
		}
	}
	return lines
}
