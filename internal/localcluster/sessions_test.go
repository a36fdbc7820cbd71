package localcluster

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tinpin/internal/adminclient"
	"tinpin/internal/diagnostics"
)

// set has a whole system and the operator's desk ready for a test.
func set(t *testing.T) (ctx context.Context, stage *Stage, carry func(subject, verb string, words ...string) (said string, err error)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	stage, err := Start(t.TempDir(), Hosts())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stage.Close)
	if _, _, err = stage.Operator(ctx, "POST", "/-/Config.Update", FirstCall); err != nil {
		t.Fatal(err)
	}
	if err = stage.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	desk := &adminclient.Client{}
	for _, p := range stage.CoreProps {
		desk.Addresses = append(desk.Addresses, p.ControlAddress)
	}
	return ctx, stage, func(subject, verb string, words ...string) (said string, err error) {
		var out bytes.Buffer
		_ = Until(ctx, func() bool {
			out.Reset()
			_, err = desk.Run(ctx, &out, subject, verb, words)
			return err == nil || strings.Contains(err.Error(), "refused")
		})
		return out.String(), err
	}
}

// clients are callers partway through their sessions at the edges that run.
type clients struct {
	mu     sync.Mutex
	fronts []string
	ends   sync.WaitGroup
	stop   chan struct{}
	seen   map[int]int
}

func (c *clients) use(fronts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fronts = fronts
}

func (c *clients) front(n int) (front string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fronts[n%len(c.fronts)]
}

func (c *clients) start(ctx context.Context, count int) {
	c.stop, c.seen = make(chan struct{}), map[int]int{}
	for caller := 0; caller < count; caller++ {
		c.ends.Add(1)
		go func() {
			defer c.ends.Done()
			for step := 0; ; step++ {
				select {
				case <-c.stop:
					return
				default:
				}
				status, err := AskAs(ctx, c.front(caller+step), "POST", "/pay/x", fmt.Sprintf("k-%d-%d", caller, step), fmt.Sprint("caller-", caller))
				if err != nil {
					status = -1
				}
				c.mu.Lock()
				c.seen[status]++
				c.mu.Unlock()
			}
		}()
	}
}

// A busy morning on a whole system: edges are added and stopped and the leader
// is stopped, while callers are partway through their sessions.
func TestSessionsStayWhileNodesComeAndGo(t *testing.T) {
	ctx, stage, carry := set(t)
	policy := `{"version":%d,"rules":[{"service":"%s","from":"header","name":"X-Caller","idle":"1m","alone":"refuse","most":%d}]}`
	if _, err := carry("affinity", "check", paper(t, fmt.Sprintf(policy, 1, "nobody", 100))); err == nil || !strings.Contains(err.Error(), `unknown service "nobody"`) {
		t.Fatal(err)
	}
	if _, err := carry("affinity", "set", paper(t, fmt.Sprintf(policy, 1, "ledger", 100))); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, func() bool { return follows(t, stage, "session-affinity") }); err != nil {
		t.Fatal("not every daemon has the policy")
	}
	for _, backend := range stage.Backends {
		backend.Work.Store(int64(5 * time.Millisecond))
	}
	press := &clients{}
	press.use(stage.EdgeProps[0].FrontendAddress, stage.EdgeProps[1].FrontendAddress)
	press.start(ctx, 12)
	more := func(by int64) {
		t.Helper()
		runs := func() int64 { return stage.Backends[2].Runs.Load() + stage.Backends[3].Runs.Load() }
		before := runs()
		if err := Until(ctx, func() bool { return runs() > before+by }); err != nil {
			t.Fatal("the callers come no further")
		}
	}
	more(60)
	if err := stage.AddEdge(); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, func() bool { return stage.IsReady(2) }); err != nil {
		t.Fatal(err)
	}
	press.use(stage.EdgeProps[0].FrontendAddress, stage.EdgeProps[1].FrontendAddress, stage.EdgeProps[2].FrontendAddress)
	more(60)
	fleet, err := diagnostics.Inspect(stage.Inner())
	if err != nil {
		t.Fatal(err)
	}
	press.use(stage.EdgeProps[1].FrontendAddress, stage.EdgeProps[2].FrontendAddress)
	stopped := stage.StopEdge("edge-1")
	more(60)
	stage.StopCore(fleet.Leader().Name)
	more(60)
	<-stopped
	close(press.stop)
	press.ends.Wait()
	where := map[string]string{}
	for _, backend := range stage.Backends {
		for key, runs := range backend.Keys() {
			if runs != 1 {
				t.Errorf("%s ran %d times", key, runs)
			}
		}
		for caller := range backend.Callers() {
			if where[caller] != "" {
				t.Errorf("%s was on %s and on %s", caller, where[caller], backend.ID)
			}
			where[caller] = backend.ID
		}
	}
	if len(where) != 12 {
		t.Errorf("%d of 12 callers were served", len(where))
	}
	for status := range press.seen {
		if status != 200 && status != 503 && status != -1 {
			t.Errorf("answers: %v", press.seen)
		}
	}
	if press.seen[200] < 200 {
		t.Errorf("answers: %v", press.seen)
	}
	said, err := carry("affinity", "show")
	if err != nil || !strings.Contains(said, "12 of 100 sessions") {
		t.Error(said, err)
	}
	if _, err = carry("affinity", "withdraw", "2"); err != nil {
		t.Error(err)
	}
}

// follows tells that every daemon has the document that the leader has.
func follows(t *testing.T, stage *Stage, document string) (all bool) {
	t.Helper()
	fleet, err := diagnostics.Inspect(stage.Inner())
	if err != nil {
		return false
	}
	var out bytes.Buffer
	all, _ = fleet.Trace(&out, "document", document)
	return all
}

// A service that fails under full load gets no more retries than the written
// limit, counted at its backends; after it recovers, new calls go through.
func TestTheWrittenLimitOnAWholeSystem(t *testing.T) {
	ctx, stage, carry := set(t)
	if _, err := carry("retry", "set", paper(t, `{"version":1,"rules":[{"service":"hello","ratio":0.05,"least_per_s":0,"window":"10s"}]}`)); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, func() bool { return follows(t, stage, "retry-limit") }); err != nil {
		t.Fatal("not every daemon has the limit")
	}
	for _, backend := range stage.Backends {
		backend.Work.Store(int64(3 * time.Millisecond))
		backend.Failing.Store(true)
	}
	var press sync.WaitGroup
	for client := 0; client < 8; client++ {
		press.Add(1)
		go func() {
			defer press.Done()
			for n := 0; n < 60; n++ {
				_, _ = AskAs(ctx, stage.EdgeProps[client%2].FrontendAddress, "GET", "/hello/x", "", "")
			}
		}()
	}
	press.Wait()
	requests, arrivals := map[string]bool{}, 0
	for _, backend := range stage.Backends[:2] {
		for id, count := range backend.Arrived() {
			requests[id] = true
			arrivals += count
		}
	}
	if extra := float64(arrivals - len(requests)); extra > 0.05*float64(len(requests)) || len(requests) < 100 {
		t.Errorf("%d requests arrived, %.0f arrivals beyond the first", len(requests), extra)
	}
	for _, backend := range stage.Backends {
		backend.Failing.Store(false)
	}
	begun := time.Now()
	if err := Until(ctx, func() bool {
		status, _, _, err := stage.Ask(ctx, 0, "GET", "/hello/y", "")
		return err == nil && status == 200
	}); err != nil || time.Since(begun) > 5*time.Second {
		t.Errorf("new calls go through after %s: %v", time.Since(begun), err)
	}
	said, err := carry("retry", "show")
	if err != nil || !strings.Contains(said, "hello") || !strings.Contains(said, "2 of 2 follow") || !strings.Contains(said, "holds") {
		t.Error(said, err)
	}
	if _, err = carry("retry", "set", paper(t, `{"version":1,"rules":[{"service":"hello","ratio":0.5,"least_per_s":0,"window":"10s"}]}`)); err == nil || !strings.Contains(err.Error(), "version 1 is not above 1") {
		t.Error(err)
	}
}
