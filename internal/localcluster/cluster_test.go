package localcluster

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tinpin/internal/diagnostics"
)

// clusterTest is a running cluster under test.
type clusterTest struct {
	*testing.T
	ctx     context.Context
	cluster *Cluster
	// fleet and out are what the tools saw and printed last.
	fleet *diagnostics.Fleet
	out   bytes.Buffer
}

// startCluster runs a cluster with the initial configuration until the test ends.
func startCluster(t *testing.T, hosts func(int) string) (test *clusterTest) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	cluster, err := Start(t.TempDir(), hosts)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		cluster.Close()
	})
	mustOperate(ctx, t, cluster, "/-/Config.Update", InitialConfiguration)
	if err = cluster.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return &clusterTest{T: t, ctx: ctx, cluster: cluster}
}

// inspect looks at all daemons.
func (t *clusterTest) inspect() {
	t.Helper()
	fleet, err := diagnostics.Inspect(t.cluster.InternalAddresses())
	if err != nil {
		t.Fatal(err)
	}
	t.fleet = fleet
	t.out.Reset()
}

// inspectUntil looks at all daemons until what is seen is as wanted.
func (t *clusterTest) inspectUntil(wanted string, holds func() bool) {
	t.Helper()
	if err := Until(t.ctx, func() bool { t.inspect(); return holds() }); err != nil {
		t.Fatalf("%s is not seen:\n%s", wanted, t.out.String())
	}
}

// The whole system on loopback: founding, configuration, requests, keys,
// draining, the tools, and the loss of a leader.
func TestLocalCluster(t *testing.T) {
	test := startCluster(t, Hosts())
	test.requestsAreServed()
	first := test.keysRunOnce()
	if status, _, _ := test.cluster.Operator(test.ctx, "POST", "/-/Config.Update", `{"upserts":`); status != 400 {
		t.Fatalf("a call cut short got %d", status)
	}
	test.drainingBackendIsLeft()
	test.toolsReport()
	test.leaderIsLost(first)
}

// requestsAreServed sends a request through each node.
func (t *clusterTest) requestsAreServed() {
	t.Helper()
	for edge := range 2 {
		response, err := t.cluster.Request(t.ctx, edge, "GET", "/hello/you", "")
		if err != nil || response.Status != 200 || response.Signature == "" ||
			!strings.Contains(response.Body, "ran on") {
			t.Fatal(response, err)
		}
	}
}

// keysRunOnce sends a key through one node and its repeat through the other, where it must not run again.
func (t *clusterTest) keysRunOnce() (first Response) {
	t.Helper()
	first, err := t.cluster.Request(t.ctx, 0, "POST", "/pay/1", "k-1")
	if err != nil || first.Signature == "" {
		t.Fatal(first, err)
	}
	again, err := t.cluster.Request(t.ctx, 1, "POST", "/pay/1", "k-1")
	if err != nil || again.Signature != first.Signature {
		t.Fatalf("a repeat got %+v, the first %+v: %v", again, first, err)
	}
	return first
}

// drainingBackendIsLeft drains a backend. Once the trace shows that every node has applied the change, none
// uses the backend any more.
func (t *clusterTest) drainingBackendIsLeft() {
	t.Helper()
	t.cluster.Drain("i-1")
	t.inspectUntil("a drain at every node", func() bool {
		applied, _ := t.fleet.Trace(&t.out, "backend", "i-1")
		return applied && strings.Contains(t.out.String(), "draining")
	})
	before := t.cluster.Backends[0].Runs.Load()
	for i := range 12 {
		_, _ = t.cluster.Request(t.ctx, i%2, "GET", "/hello/you", "")
	}
	if t.cluster.Backends[0].Runs.Load() != before {
		t.Fatal("the draining backend is still used")
	}
}

// toolsReport looks at status and traces of a cluster that is well.
func (t *clusterTest) toolsReport() {
	t.Helper()
	t.inspectUntil("a good status of two nodes", func() bool {
		good, _ := t.fleet.Status(&t.out, false)
		return good && len(t.fleet.Nodes) == 2
	})
	for _, want := range []string{"core-1", "edge-2", "hello", "ledger", "retry slack"} {
		if !strings.Contains(t.out.String(), want) {
			t.Errorf("status lacks %q:\n%s", want, t.out.String())
		}
	}
	for _, subject := range [][2]string{{"item", "routes/r-pay"}, {"backend", "i-1"}} {
		t.out.Reset()
		good, err := t.fleet.Trace(&t.out, subject[0], subject[1])
		if err != nil || !good || !strings.Contains(t.out.String(), "edge-1") {
			t.Errorf("trace %v: %v %v\n%s", subject, good, err, t.out.String())
		}
	}
	if _, err := t.fleet.Trace(&t.out, "item", "routes/nobody"); err == nil {
		t.Error("an unknown item was traced")
	}
}

// leaderIsLost stops the leader: orders are taken, the configuration and a key are still known, and the tools
// name the daemon that is gone.
func (t *clusterTest) leaderIsLost(first Response) {
	t.Helper()
	t.cluster.StopController(t.fleet.Leader().Name)
	mustOperate(t.ctx, t.T, t.cluster, "/-/Evacuations.Start/elsewhere", "")
	_, described, err := t.cluster.Operator(t.ctx, "GET", "/-/Config.Describe", "")
	if err != nil || !strings.Contains(described, "r-pay") {
		t.Fatalf("after the leader's end: %q %v", described, err)
	}
	err = Until(t.ctx, func() bool {
		repeated, _ := t.cluster.Request(t.ctx, 0, "POST", "/pay/1", "k-1")
		return repeated.Signature == first.Signature
	})
	if err != nil {
		t.Fatal("the key is forgotten")
	}
	t.inspectUntil("an evacuation that names the daemon that is gone", func() bool {
		good, traceErr := t.fleet.Trace(&t.out, "evacuation", "elsewhere")
		return traceErr == nil && !good && strings.Contains(t.out.String(), "unreachable") &&
			!strings.Contains(t.out.String(), "lacks")
	})
}

// mustOperate makes an operator's call that must be accepted.
func mustOperate(ctx context.Context, t *testing.T, cluster *Cluster, path, body string) {
	t.Helper()
	status, answer, err := cluster.Operator(ctx, "POST", path, body)
	if err != nil || status != 200 {
		t.Fatal(path, status, answer, err)
	}
}

// keyOutcomes are the outcomes of requests with keys, as clients see them.
type keyOutcomes struct {
	mu         sync.Mutex // guards what follows
	signatures map[string]map[string]bool
	rejections int
}

// add notes the answer to a request with a key.
func (o *keyOutcomes) add(key string, response Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && response.Status == 200:
		if o.signatures[key] == nil {
			o.signatures[key] = map[string]bool{}
		}
		o.signatures[key][response.Signature] = true
	case response.Status == 503:
		o.rejections++
	}
}

// Clients send each key several times, to both edges at once, while the
// leader is stopped and a backend drains: no key runs twice, and a success is
// always the first run's.
func TestKeysRunOnceThroughLossOfLeader(t *testing.T) {
	const keys, attempts, workers = 150, 4, 10
	hosts := Hosts()
	test := startCluster(t, func(n int) string { return hosts(100 + n) })
	test.inspect()
	if test.fleet.Leader() == nil {
		t.Fatal("no leader")
	}
	outcomes := keyOutcomes{signatures: map[string]map[string]bool{}}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for worker := range workers {
		clients.Go(func() {
			for n := worker; n < keys*attempts; n += workers {
				if n == keys*attempts/3 {
					close(stop)
				}
				key := fmt.Sprint("k-", n%keys)
				response, err := test.cluster.Request(test.ctx, n%2, "POST", "/pay/x", key)
				outcomes.add(key, response, err)
			}
		})
	}
	<-stop
	test.cluster.Drain("i-3")
	test.cluster.StopController(test.fleet.Leader().Name)
	clients.Wait()
	test.noKeyRanTwice()
	for key, seen := range outcomes.signatures {
		if len(seen) > 1 {
			t.Errorf("%s was answered with different stamps: %v", key, seen)
		}
	}
	if served := len(outcomes.signatures); served < keys/2 {
		t.Fatalf("only %d of %d keys were served (%d refusals)", served, keys, outcomes.rejections)
	}
}

// noKeyRanTwice asks all backends what they ran.
func (t *clusterTest) noKeyRanTwice() {
	t.Helper()
	runs := map[string]int{}
	for _, backend := range t.cluster.Backends {
		for key, count := range backend.Keys() {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
	}
}
