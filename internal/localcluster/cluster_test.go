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

// The whole system on loopback: founding, configuration, requests, keys,
// draining, the tools, and the loss of a leader.
func TestLocalCluster(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	cluster, err := Start(t.TempDir(), Hosts())
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	mustOperate(ctx, t, cluster, "/-/Config.Update", InitialConfiguration)
	if err = cluster.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	for edge := range 2 {
		response, askErr := cluster.Request(ctx, edge, "GET", "/hello/you", "")
		if askErr != nil || response.Status != 200 || response.Signature == "" ||
			!strings.Contains(response.Body, "ran on") {
			t.Fatal(response, askErr)
		}
	}
	first, err := cluster.Request(ctx, 0, "POST", "/pay/1", "k-1")
	if err != nil || first.Signature == "" {
		t.Fatal(first, err)
	}
	// The repeat comes in at the other daemon and must not run again.
	again, err := cluster.Request(ctx, 1, "POST", "/pay/1", "k-1")
	if err != nil || again.Signature != first.Signature {
		t.Fatalf("a repeat got %+v, the first %+v: %v", again, first, err)
	}
	if status, _, _ := cluster.Operator(ctx, "POST", "/-/Config.Update", `{"upserts":`); status != 400 {
		t.Fatalf("a call cut short got %d", status)
	}
	cluster.Drain("i-1")
	var out bytes.Buffer
	var fleet *diagnostics.Fleet
	inspect := func() {
		if fleet, err = diagnostics.Inspect(cluster.InternalAddresses()); err != nil {
			t.Fatal(err)
		}
		out.Reset()
	}
	// Once the trace shows that every node has applied the change, none uses the backend any more.
	err = Until(ctx, func() bool {
		inspect()
		applied, _ := fleet.Trace(&out, "backend", "i-1")
		return applied && strings.Contains(out.String(), "draining")
	})
	if err != nil {
		t.Fatalf("not every node has applied that the backend drains:\n%s", out.String())
	}
	before := cluster.Backends[0].Runs.Load()
	for i := range 12 {
		_, _ = cluster.Request(ctx, i%2, "GET", "/hello/you", "")
	}
	if cluster.Backends[0].Runs.Load() != before {
		t.Fatal("the draining backend is still used")
	}

	err = Until(ctx, func() bool {
		inspect()
		good, _ := fleet.Status(&out, false)
		return good && len(fleet.Nodes) == 2
	})
	if err != nil {
		t.Fatal(out.String())
	}
	for _, want := range []string{"core-1", "edge-2", "hello", "ledger", "retry slack"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("status lacks %q:\n%s", want, out.String())
		}
	}
	for _, subject := range [][2]string{{"item", "routes/r-pay"}, {"backend", "i-1"}} {
		out.Reset()
		good, traceErr := fleet.Trace(&out, subject[0], subject[1])
		if traceErr != nil || !good || !strings.Contains(out.String(), "edge-1") {
			t.Errorf("trace %v: %v %v\n%s", subject, good, traceErr, out.String())
		}
	}
	if _, err = fleet.Trace(&out, "item", "routes/nobody"); err == nil {
		t.Error("an unknown item was traced")
	}

	cluster.StopController(fleet.Leader().Name)
	mustOperate(ctx, t, cluster, "/-/Evacuations.Start/elsewhere", "")
	_, described, err := cluster.Operator(ctx, "GET", "/-/Config.Describe", "")
	if err != nil || !strings.Contains(described, "r-pay") {
		t.Fatalf("after the leader's end: %q %v", described, err)
	}
	err = Until(ctx, func() bool {
		repeated, _ := cluster.Request(ctx, 0, "POST", "/pay/1", "k-1")
		return repeated.Signature == first.Signature
	})
	if err != nil {
		t.Fatal("the key is forgotten")
	}
	if err = Until(ctx, func() bool {
		inspect()
		good, traceErr := fleet.Trace(&out, "evacuation", "elsewhere")
		return traceErr == nil && !good && strings.Contains(out.String(), "unreachable") &&
			!strings.Contains(out.String(), "lacks")
	}); err != nil {
		t.Fatalf("a daemon that is gone must be named:\n%s", out.String())
	}
}

// mustOperate makes an operator's call that must be accepted.
func mustOperate(ctx context.Context, t *testing.T, cluster *Cluster, path, body string) {
	t.Helper()
	status, answer, err := cluster.Operator(ctx, "POST", path, body)
	if err != nil || status != 200 {
		t.Fatal(path, status, answer, err)
	}
}

// Clients send each key several times, to both edges at once, while the
// leader is stopped and a backend drains: no key runs twice, and a success is
// always the first run's.
func TestKeysRunOnceThroughLossOfLeader(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	hosts := Hosts()
	cluster, err := Start(t.TempDir(), func(n int) string { return hosts(100 + n) })
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	mustOperate(ctx, t, cluster, "/-/Config.Update", InitialConfiguration)
	if err = cluster.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	fleet, err := diagnostics.Inspect(cluster.InternalAddresses())
	if err != nil || fleet.Leader() == nil {
		t.Fatal("no leader", err)
	}
	const keys, attempts = 150, 4
	var mu sync.Mutex
	signatures := map[string]map[string]bool{}
	rejections := 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for worker := range 10 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := worker; n < keys*attempts; n += 10 {
				if n == keys*attempts/3 {
					close(stop)
				}
				key := fmt.Sprint("k-", n%keys)
				response, askErr := cluster.Request(ctx, n%2, "POST", "/pay/x", key)
				status, signature := response.Status, response.Signature
				mu.Lock()
				if askErr == nil && status == 200 {
					if signatures[key] == nil {
						signatures[key] = map[string]bool{}
					}
					signatures[key][signature] = true
				} else if status == 503 {
					rejections++
				}
				mu.Unlock()
			}
		}()
	}
	<-stop
	cluster.Drain("i-3")
	cluster.StopController(fleet.Leader().Name)
	clients.Wait()
	runs := map[string]int{}
	for _, backend := range cluster.Backends {
		for key, count := range backend.Keys() {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if count > 1 {
			t.Errorf("%s ran %d times", key, count)
		}
	}
	for key, seen := range signatures {
		if len(seen) > 1 {
			t.Errorf("%s was answered with different stamps: %v", key, seen)
		}
	}
	if len(signatures) < keys/2 {
		t.Fatalf("only %d of %d keys were served (%d refusals)", len(signatures), keys, rejections)
	}
}
