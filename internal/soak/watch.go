package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tinpin/internal/await"
)

const (
	// gapInterval is how often this program looks whether it gets its turn; a look
	// that is maxGap late shows that the machine gave it none.
	gapInterval = 20 * time.Millisecond
	maxGap      = 150 * time.Millisecond
	// starveInterval is how often it is seen how long each process waited for a
	// processor, and maxWaitShare the part of that time beyond which it was starved.
	starveInterval = 500 * time.Millisecond
	maxWaitShare   = 0.3
)

// Span is a span of time; Process is 0 for the whole machine.
type Span struct {
	From, To time.Duration
	Process  Target
	What     string
}

// Watch finds the spans in which the machine did not give the processes their turn. What
// a rule bounds in time is not decided within them.
type Watch struct {
	log       *Log
	processes []*Process

	mu    sync.Mutex // guards spans
	spans []Span
}

func newWatch(log *Log, processes []*Process) *Watch { return &Watch{log: log, processes: processes} }

// Run watches until the context ends.
func (w *Watch) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { w.watchGaps(ctx) })
	watching.Go(func() { w.watchStarving(ctx) })
	watching.Wait()
}

// watchGaps looks at this program's own turns.
func (w *Watch) watchGaps(ctx context.Context) {
	last := w.log.Now()
	for await.Delay(ctx, gapInterval) {
		now := w.log.Now()
		if now-last > maxGap {
			w.add(Span{From: last, To: now, What: "this program got no turn"})
		}
		last = now
	}
}

// watchStarving looks how long the threads of each process have waited while they could run.
func (w *Watch) watchStarving(ctx context.Context) {
	waited, last := map[int]time.Duration{}, w.log.Now()
	for await.Delay(ctx, starveInterval) {
		now := w.log.Now()
		for _, process := range w.processes {
			pid := process.PID()
			total, known := runDelay(pid)
			before, seen := waited[pid]
			if !known {
				continue
			}
			if waited[pid] = total; !seen {
				continue
			}
			if share := float64(total-before) / float64(now-last); share > maxWaitShare {
				what := fmt.Sprintf("waited %.0f%% of it", share*100)
				w.add(Span{From: last, To: now, Process: process.Target, What: what})
			}
		}
		last = now
	}
}

func (w *Watch) add(span Span) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spans = append(w.spans, span)
}

// runDelay is how long the threads of a process have waited for a processor in all, as the
// kernel counts it.
func runDelay(pid int) (total time.Duration, known bool) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(text)); len(fields) == 3 {
			waited, _ := strconv.ParseInt(fields[1], 10, 64)
			total += time.Duration(waited)
			known = true
		}
	}
	return total, known
}

// starved tells that the machine did not give a process, or this program, its turn
// within a span.
func (w *Watch) starved(process Target, from, to time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, span := range w.spans {
		if (span.Process == process || span.Process == Target{}) && span.From <= to && from <= span.To {
			return true
		}
	}
	return false
}

// Usage is what a process holds.
type Usage struct {
	Descriptors int `json:"descriptors"`
	MemoryMB    int `json:"memory_mb"`
	Goroutines  int `json:"goroutines"`
}

// usageOf reads what a process holds now; known is false for one that does not run.
func usageOf(ctx context.Context, process *Process) (usage Usage, known bool) {
	pid := process.PID()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return usage, false
	}
	usage.Descriptors = len(open)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
		pages, _ := strconv.Atoi(fields[1])
		usage.MemoryMB = pages * os.Getpagesize() >> 20
	}
	usage.Goroutines, known = goroutinesOf(ctx, process)
	return usage, known
}

// goroutineGauge is the figure of a daemon that counts its goroutines.
const goroutineGauge = "tinpin_goroutines "

// goroutinesOf asks a process for the number of its goroutines.
func goroutinesOf(ctx context.Context, process *Process) (count int, known bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+process.settings["metrics_address"].(string)+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	response, err := shortLived(callTimeout).Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), goroutineGauge); found {
			value, parseErr := strconv.ParseFloat(text, 64)
			return int(value), parseErr == nil
		}
	}
	return 0, false
}

// latencies is a histogram of the times of responses.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// latency notes the time of one response.
func (l *latencies) latency(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	_ = l.histogram.RecordValue(took.Microseconds())
}

// quantile is a quantile of the times.
func (l *latencies) quantile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
}
