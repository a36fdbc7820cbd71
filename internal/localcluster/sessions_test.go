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

// commandRunner runs a command of the operator's tool and gives its output.
type commandRunner func(subject, verb string, words ...string) (output string, err error)

// startWithOperator has a whole system and the operator's desk ready for a test.
func startWithOperator(t *testing.T) (ctx context.Context, cluster *Cluster, runCommand commandRunner) {
	t.Helper()
	test := startCluster(t, Hosts())
	ctx, cluster = test.ctx, test.cluster
	client := &adminclient.Client{}
	for _, config := range cluster.ControllerSettings {
		client.Addresses = append(client.Addresses, config.ControlAddress)
	}
	return ctx, cluster, func(subject, verb string, words ...string) (output string, err error) {
		var out bytes.Buffer
		_ = Until(ctx, func() bool {
			out.Reset()
			_, err = client.Run(ctx, &out, subject, verb, words)
			return err == nil || strings.Contains(err.Error(), "refused")
		})
		return out.String(), err
	}
}

// sessionClients are callers partway through their sessions at the edges that run.
type sessionClients struct {
	mu        sync.Mutex
	addresses []string
	running   sync.WaitGroup
	stop      chan struct{}
	statuses  map[int]int
}

func (c *sessionClients) use(fronts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = fronts
}

func (c *sessionClients) address(n int) (address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[n%len(c.addresses)]
}

func (c *sessionClients) start(ctx context.Context, count int) {
	c.stop, c.statuses = make(chan struct{}), map[int]int{}
	for session := 0; session < count; session++ {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for step := 0; ; step++ {
				select {
				case <-c.stop:
					return
				default:
				}
				status, err := RequestAs(ctx, c.address(session+step), Call{
					Method: "POST", Path: "/pay/x", Key: fmt.Sprintf("k-%d-%d", session, step),
					Session: fmt.Sprint("caller-", session),
				})
				if err != nil {
					status = -1
				}
				c.mu.Lock()
				c.statuses[status]++
				c.mu.Unlock()
			}
		}()
	}
}

// A busy morning on a whole system: edges are added and stopped and the leader
// is stopped, while callers are partway through their sessions.
func TestSessionsStayWhileNodesComeAndGo(t *testing.T) {
	ctx, cluster, runCommand := startWithOperator(t)
	policy := `{"version":%d,"rules":[{"service":"%s","from":"header","name":"X-Caller","idle":"1m",` +
		`"alone":"refuse","most":%d}]}`
	_, err := runCommand("affinity", "check", writeDocument(t, fmt.Sprintf(policy, 1, "nobody", 100)))
	mustReject(t, err, `unknown service "nobody"`)
	if _, err := runCommand("affinity", "set", writeDocument(t, fmt.Sprintf(policy, 1, "ledger", 100))); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, func() bool { return followedByAll(t, cluster, "session-affinity") }); err != nil {
		t.Fatal("not every daemon has the policy")
	}
	for _, backend := range cluster.Backends {
		backend.WorkTime.Store(int64(5 * time.Millisecond))
	}
	load := &sessionClients{}
	load.use(cluster.ProxySettings[0].FrontendAddress, cluster.ProxySettings[1].FrontendAddress)
	load.start(ctx, 12)
	more := func(by int64) {
		t.Helper()
		runs := func() int64 { return cluster.Backends[2].Runs.Load() + cluster.Backends[3].Runs.Load() }
		before := runs()
		if err := Until(ctx, func() bool { return runs() > before+by }); err != nil {
			t.Fatal("the callers come no further")
		}
	}
	more(60)
	if err := cluster.AddProxy(); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, func() bool { return cluster.IsReady(2) }); err != nil {
		t.Fatal(err)
	}
	edges := cluster.ProxySettings
	load.use(edges[0].FrontendAddress, edges[1].FrontendAddress, edges[2].FrontendAddress)
	more(60)
	fleet, err := diagnostics.Inspect(cluster.InternalAddresses())
	if err != nil {
		t.Fatal(err)
	}
	load.use(cluster.ProxySettings[1].FrontendAddress, cluster.ProxySettings[2].FrontendAddress)
	stopped := cluster.StopProxy("edge-1")
	more(60)
	cluster.StopController(fleet.Leader().Name)
	more(60)
	<-stopped
	close(load.stop)
	load.running.Wait()
	backendOf := map[string]string{}
	for _, backend := range cluster.Backends {
		for key, runs := range backend.Keys() {
			if runs != 1 {
				t.Errorf("%s ran %d times", key, runs)
			}
		}
		for session := range backend.Callers() {
			if backendOf[session] != "" {
				t.Errorf("%s was on %s and on %s", session, backendOf[session], backend.ID)
			}
			backendOf[session] = backend.ID
		}
	}
	if len(backendOf) != 12 {
		t.Errorf("%d of 12 callers were served", len(backendOf))
	}
	for status := range load.statuses {
		if status != 200 && status != 503 && status != -1 {
			t.Errorf("answers: %v", load.statuses)
		}
	}
	if load.statuses[200] < 200 {
		t.Errorf("answers: %v", load.statuses)
	}
	output, err := runCommand("affinity", "show")
	if err != nil || !strings.Contains(output, "12 of 100 sessions") {
		t.Error(output, err)
	}
	if _, err = runCommand("affinity", "withdraw", "2"); err != nil {
		t.Error(err)
	}
}

// followedByAll tells that every daemon has the document that the leader has.
func followedByAll(t *testing.T, cluster *Cluster, document string) (all bool) {
	t.Helper()
	fleet, err := diagnostics.Inspect(cluster.InternalAddresses())
	if err != nil {
		return false
	}
	var out bytes.Buffer
	all, _ = fleet.Trace(&out, "document", document)
	return all
}

// A service that fails under full load gets no more retries than the written
// limit, counted at its backends; after it recovers, new calls go through.
func TestRetryLimitOnLocalCluster(t *testing.T) {
	ctx, cluster, runCommand := startWithOperator(t)
	limit := `{"version":1,"rules":[{"service":"hello","ratio":%v,"least_per_s":0,"window":"10s"}]}`
	if _, err := runCommand("retry", "set", writeDocument(t, fmt.Sprintf(limit, 0.05))); err != nil {
		t.Fatal(err)
	}
	if err := Until(ctx, func() bool { return followedByAll(t, cluster, "retry-limit") }); err != nil {
		t.Fatal("not every daemon has the limit")
	}
	for _, backend := range cluster.Backends {
		backend.WorkTime.Store(int64(3 * time.Millisecond))
		backend.Failing.Store(true)
	}
	var load sync.WaitGroup
	for client := 0; client < 8; client++ {
		load.Add(1)
		go func() {
			defer load.Done()
			for n := 0; n < 60; n++ {
				address := cluster.ProxySettings[client%2].FrontendAddress
				_, _ = RequestAs(ctx, address, Call{Method: "GET", Path: "/hello/x"})
			}
		}()
	}
	load.Wait()
	requests, arrivals := map[string]bool{}, 0
	for _, backend := range cluster.Backends[:2] {
		for id, count := range backend.Arrivals() {
			requests[id] = true
			arrivals += count
		}
	}
	if extra := float64(arrivals - len(requests)); extra > 0.05*float64(len(requests)) || len(requests) < 100 {
		t.Errorf("%d requests arrived, %.0f arrivals beyond the first", len(requests), extra)
	}
	for _, backend := range cluster.Backends {
		backend.Failing.Store(false)
	}
	started := time.Now()
	if err := Until(ctx, func() bool {
		response, err := cluster.Request(ctx, 0, "GET", "/hello/y", "")
		status := response.Status
		return err == nil && status == 200
	}); err != nil || time.Since(started) > 5*time.Second {
		t.Errorf("new calls go through after %s: %v", time.Since(started), err)
	}
	output, err := runCommand("retry", "show")
	mustContain(t, output, err, "hello", "2 of 2 follow", "holds")
	_, err = runCommand("retry", "set", writeDocument(t, fmt.Sprintf(limit, 0.5)))
	mustReject(t, err, "version 1 is not above 1")
}
