package simulation

// Hunt plays many seeds side by side and gathers what broke.

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// Range of seeds and how they are gone through.
type Range struct {
	Seeds    int           `json:"seeds"`
	From     int64         `json:"from"`
	Parallel int           `json:"parallel"`
	Limit    time.Duration `json:"limit"`
	// First ends the hunt with the first seed that broke.
	First bool `json:"-"`
}

// The largest hunt.
const (
	MaxSeeds    = 10_000_000
	MaxParallel = 256
	MaxLimit    = 24 * time.Hour
)

// Check names every size that cannot be played, in one message.
func (r Range) Check() (err error) {
	var faults []string
	if r.Seeds < 1 || r.Seeds > MaxSeeds {
		faults = append(faults, fmt.Sprintf("seeds is %d and must be from 1 to %d", r.Seeds, MaxSeeds))
	}
	if r.From < 0 || r.From > 1<<53 {
		faults = append(faults, fmt.Sprintf("from is %d and must be from 0 to %d", r.From, int64(1)<<53))
	}
	if r.Parallel < 1 || r.Parallel > MaxParallel {
		faults = append(faults, fmt.Sprintf("parallel is %d and must be from 1 to %d", r.Parallel, MaxParallel))
	}
	if r.Limit < time.Second || r.Limit > MaxLimit {
		faults = append(faults, fmt.Sprintf("limit is %s and must be from 1s to %s", r.Limit, MaxLimit))
	}
	if len(faults) > 0 {
		return Class.New("%s", strings.Join(faults, "; "))
	}
	return nil
}

// Report of a hunt.
type Report struct {
	Options   Options        `json:"options"`
	Range     Range          `json:"range"`
	Played    int            `json:"played"`
	Broken    []RunResult    `json:"broken"`
	Checks    map[string]int `json:"checks"`
	Steps     uint64         `json:"steps"`
	Confirmed int            `json:"confirmed"`
	Refused   int            `json:"refused"`
	Open      int            `json:"open"`
	Unchecked int            `json:"unchecked"`
	Simulated time.Duration  `json:"simulated"`
	Took      time.Duration  `json:"took"`
}

// Hunt runs the seeds and reports its progress after each.
func Hunt(options Options, seeds Range, observed func(report Report)) (report Report) {
	report = Report{Options: options, Range: seeds, Broken: []RunResult{}, Checks: map[string]int{}}
	begin := time.Now()
	var mu sync.Mutex
	var workers sync.WaitGroup
	next, end := seeds.From, seeds.From+int64(seeds.Seeds)
	draw := func() (seed int64, more bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= end || time.Since(begin) > seeds.Limit {
			return 0, false
		}
		next++
		return next - 1, true
	}
	for range min(seeds.Parallel, seeds.Seeds) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed, more := draw(); more; seed, more = draw() {
				result := Play(seed, options)
				mu.Lock()
				report.add(result)
				report.Took = time.Since(begin)
				if seeds.First && result.Failure != "" {
					end = min(end, seed)
				}
				observed(report)
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	report.Took = time.Since(begin)
	slices.SortFunc(report.Broken, func(a, b RunResult) int { return cmp.Compare(a.Seed, b.Seed) })
	return report
}

func (r *Report) add(result RunResult) {
	r.Played++
	r.Steps += result.Steps
	r.Confirmed += result.Confirmed
	r.Refused += result.Refused
	r.Open += result.Open
	r.Unchecked += result.Unchecked
	r.Simulated += result.At
	if result.Failure != "" {
		r.Broken = append(r.Broken, result)
		r.Checks[CheckOf(result.Failure)]++
	}
}

// StepsPerSecond is how fast the hunt went, all workers together.
func (r Report) StepsPerSecond() (steps float64) {
	return float64(r.Steps) / max(r.Took.Seconds(), 1e-9)
}

// Line summarizes the report in one line.
func (r Report) Line() (line string) {
	return fmt.Sprintf("%d seeds, %d broke, %s simulated in %s, %.0f steps a second; orders: %d confirmed, %d refused, %d open; %d histories unchecked",
		r.Played, len(r.Broken), r.Simulated.Round(time.Second), r.Took.Round(time.Second), r.StepsPerSecond(), r.Confirmed, r.Refused, r.Open, r.Unchecked)
}

// Table writes what failed, check by check, with the first seed of each.
func (r Report) Table(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "check\tseeds\tfirst seed\tat\twhat")
	for _, check := range sortedKeys(r.Checks) {
		for _, result := range r.Broken {
			if CheckOf(result.Failure) == check {
				what := strings.TrimPrefix(result.Failure, check+": ")
				_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", check, r.Checks[check], result.Seed, result.At.Round(time.Millisecond), what)
				break
			}
		}
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(out, r.Line())
}

// Find says how many seeds it takes until an injected bug is found.
type Find struct {
	InjectedBug InjectedBug `json:"plant"`
	Found       bool        `json:"found"`
	Seeds       int         `json:"seeds"`
	Seed        int64       `json:"seed,omitempty"`
	Broken      string      `json:"broken,omitempty"`
}

// Seek runs seeds with an injected bug until one of them fails.
func Seek(bug InjectedBug, options Options, seeds Range, observed func(report Report)) (find Find) {
	options.InjectedBug = bug
	seeds.First = true
	report := Hunt(options, seeds, observed)
	find = Find{InjectedBug: bug, Seeds: report.Played}
	if len(report.Broken) > 0 {
		first := report.Broken[0]
		find.Found, find.Seed, find.Broken, find.Seeds = true, first.Seed, first.Failure, int(first.Seed-seeds.From)+1
	}
	return find
}

// FindTable writes after how many seeds the injected bugs were found.
func FindTable(out io.Writer, finds []Find) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "bug\tfound\tseeds\tby")
	for _, find := range finds {
		found := "no"
		if find.Found {
			found = "yes"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", find.InjectedBug, found, find.Seeds, find.Broken)
	}
	_ = table.Flush()
}
