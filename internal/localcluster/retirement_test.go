package localcluster

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tinpin/internal/adminclient"
)

func writeDocument(t *testing.T, body string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "order.json")
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// command runs an operator's command twice: the same again changes nothing. A moment without a leader may lie
// before either.
func (t *clusterTest) command(subject, verb string, words ...string) (output string, err error) {
	client := &adminclient.Client{Wait: 30 * time.Second}
	for _, config := range t.cluster.ControllerSettings {
		client.Addresses = append(client.Addresses, config.ControlAddress)
	}
	var out bytes.Buffer
	for range 2 {
		if untilErr := Until(t.ctx, func() bool {
			out.Reset()
			_, err = client.Run(t.ctx, &out, subject, verb, words)
			return err == nil || strings.Contains(err.Error(), "refused")
		}); untilErr != nil {
			return out.String(), untilErr
		}
	}
	return out.String(), err
}

// mustCommand runs a command that must be accepted.
func (t *clusterTest) mustCommand(subject, verb string, words ...string) (output string) {
	t.Helper()
	output, err := t.command(subject, verb, words...)
	if err != nil {
		t.Fatal(output, err)
	}
	return output
}

// mustRejectCommand runs a command that must be rejected for a reason.
func (t *clusterTest) mustRejectCommand(reason, subject, verb string, words ...string) {
	t.Helper()
	_, err := t.command(subject, verb, words...)
	mustReject(t.T, err, reason)
}

// keyedLoad is clients that send keyed requests one after the other until they are stopped.
type keyedLoad struct {
	stop     chan struct{}
	running  sync.WaitGroup
	statuses []map[int]int
}

// startKeyedLoad starts clients at both edges.
func (t *clusterTest) startKeyedLoad(clients int) (load *keyedLoad) {
	load = &keyedLoad{stop: make(chan struct{}), statuses: make([]map[int]int, clients)}
	for client := range load.statuses {
		load.statuses[client] = map[int]int{}
		load.running.Go(func() { t.sendKeys(load, client) })
	}
	return load
}

// sendKeys is one client; a request without an answer counts under -1.
func (t *clusterTest) sendKeys(load *keyedLoad, client int) {
	for n := 0; ; n++ {
		select {
		case <-load.stop:
			return
		default:
		}
		key := fmt.Sprintf("press-%d-%d", client, n)
		response, err := t.cluster.Request(t.ctx, client%2, "POST", "/pay/x", key)
		status := response.Status
		if err != nil {
			status = -1
		}
		load.statuses[client][status]++
	}
}

// mustEndClean stops the clients; each request was answered with 200 or 503.
func (l *keyedLoad) mustEndClean(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.running.Wait()
	for client, counts := range l.statuses {
		for status := range counts {
			if status != 200 && status != 503 {
				t.Errorf("client %d: %v", client, counts)
			}
		}
	}
}

// A backend is retired from a whole system while keyed clients press both
// edges and the leader is stopped in between: once the order is acknowledged no
// new caller reaches it, and every operation ran once or was refused.
func TestRetirementUnderLoad(t *testing.T) {
	test := startCluster(t, Hosts())
	test.setDrainPolicy()
	retired := test.cluster.Backends[2]
	before := test.retireUnderLoad(retired, test.cluster.Backends[3])
	test.retirementIsShown()
	test.mustCommand("drain", "restore", retired.ID)
	if err := Until(test.ctx, func() bool {
		_, _ = test.cluster.Request(test.ctx, 0, "POST", "/pay/y", fmt.Sprint("back-", time.Now().UnixNano()))
		return retired.Runs.Load() > before
	}); err != nil {
		t.Fatal("the backend that was taken back gets nothing")
	}
	test.dayPlanIsKept()
	response, err := test.cluster.Request(test.ctx, 1, "GET", "/hello/you", "")
	if err != nil || response.Status != 200 {
		t.Fatal(response, err)
	}
}

// setDrainPolicy sets a policy, after commands that must be rejected.
func (t *clusterTest) setDrainPolicy() {
	t.Helper()
	document := `{"version":1,"rules":[{"service":"nobody","notice":"0s","finish":"5s",` +
		`"keyed":"deadline","least_share":0}],"lost_touch":"2s","cut_off":"stop"}`
	t.mustRejectCommand(`unknown service "nobody"`, "drain", "check", writeDocument(t.T, document))
	document = `{"version":3,"rules":[{"service":"*","notice":"100ms","finish":"5s",` +
		`"keyed":"deadline","least_share":0.5}],"lost_touch":"2s","cut_off":"stop"}`
	t.mustCommand("drain", "set", writeDocument(t.T, document))
	t.mustRejectCommand("not on the platform's list", "drain", "retire", "i-99")
}

// retireUnderLoad retires a backend while clients send keys and the leader is stopped, and gives how many runs
// it had when the order was acknowledged. What was at work may still end; nothing new may begin.
func (t *clusterTest) retireUnderLoad(retired, other *Backend) (runs int64) {
	t.Helper()
	for _, backend := range t.cluster.Backends {
		backend.WorkTime.Store(int64(15 * time.Millisecond))
	}
	load := t.startKeyedLoad(6)
	if err := Until(t.ctx, func() bool { return retired.Runs.Load() > 5 }); err != nil {
		t.Fatal("nothing reaches the backend")
	}
	t.inspect()
	leader := t.fleet.Leader().Name
	done := make(chan error, 1)
	var output string
	go func() {
		var err error
		output, err = t.command("drain", "retire", retired.ID)
		done <- err
	}()
	t.cluster.StopController(leader)
	if err := <-done; err != nil || !strings.Contains(output, "together") {
		t.Fatal(err, output)
	}
	runs = retired.Runs.Load()
	beside := other.Runs.Load()
	if err := Until(t.ctx, func() bool { return other.Runs.Load() > beside+40 }); err != nil {
		t.Fatal("the other backend gets nothing")
	}
	if after := retired.Runs.Load(); after > runs {
		t.Fatalf("%d new callers reached the retired backend", after-runs)
	}
	load.mustEndClean(t.T)
	for _, backend := range t.cluster.Backends {
		for key, count := range backend.Keys() {
			if count != 1 {
				t.Errorf("%s ran %d times", key, count)
			}
		}
	}
	return runs
}

// retirementIsShown looks at a retirement with the operator's tools.
func (t *clusterTest) retirementIsShown() {
	t.Helper()
	t.mustRejectCommand("the last of service", "drain", "retire", "i-4")
	output, err := t.command("drain", "show")
	mustContain(t.T, output, err, "i-3", "version 3")
	t.inspect()
	_, err = t.fleet.Trace(&t.out, "retirement", "i-3")
	mustContain(t.T, t.out.String(), err, "edge-2", "stopped")
}

// dayPlanIsKept sets a day plan, waits until its weights are in force, and withdraws it.
func (t *clusterTest) dayPlanIsKept() {
	t.Helper()
	plan := `{"version":%d,"step":1,"every":"1s","room":1,"targets":[{"host":"shop.example","time_zone":"UTC",` +
		`"spans":[{"from":"00:00","to":"12:00","weights":{"%s":1},"ramp":"0s"},` +
		`{"from":"12:00","to":"24:00","weights":{"coast":1},"ramp":"0s"}]}]}`
	t.mustRejectCommand(`unknown region "moon"`, "plan", "set", writeDocument(t.T, fmt.Sprintf(plan, 1, "moon")))
	t.mustCommand("plan", "set", writeDocument(t.T, fmt.Sprintf(plan, 2, "coast")))
	var output string
	if err := Until(t.ctx, func() bool {
		output, _ = t.command("plan", "show")
		return strings.Contains(output, "coast:1000")
	}); err != nil {
		t.Fatal(output)
	}
	t.mustRejectCommand("version 1 is not above 2", "plan", "set", writeDocument(t.T, fmt.Sprintf(plan, 1, "coast")))
	t.mustCommand("plan", "withdraw", "3")
}

// mustReject checks that a command was rejected for a reason.
func mustReject(t *testing.T, err error, reason string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), reason) {
		t.Fatalf("got %v, want a rejection with %q", err, reason)
	}
}

// mustContain checks that an output has all that it must.
func mustContain(t *testing.T, output string, err error, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if err != nil || !strings.Contains(output, text) {
			t.Fatalf("%q is missing: %v\n%s", text, err, output)
		}
	}
}

// The gateway on loopback: no directory, true readiness, and after the order
// to stop requests are still served while the platform has not noticed.
func TestGatewayOnLocalCluster(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	cluster, err := StartGateway(t.TempDir(), Hosts())
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	if cluster.IsReady(0) {
		t.Fatal("ready before there is a configuration")
	}
	file := `["r-file","shop.example","/file/","download","2s","500ms",2,"hello",1],`
	call := strings.Replace(InitialConfiguration, `["r-pay"`, file+`["r-pay"`, 1)
	mustOperate(ctx, t, cluster, "/-/Config.Update", call)
	if err = cluster.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/hello/you", "/file/one"} {
		if response, askErr := cluster.Request(ctx, 1, "GET", path, ""); askErr != nil || response.Status != 200 {
			t.Fatal(path, response, askErr)
		}
	}
	done := cluster.StopProxy("edge-1")
	if err = Until(ctx, func() bool { return !cluster.IsReady(0) }); err != nil {
		t.Fatal("still ready after the order to stop")
	}
	if response, askErr := cluster.Request(ctx, 0, "GET", "/hello/late", ""); askErr != nil || response.Status != 200 {
		t.Fatal("a client that the platform still sends here was turned away", response, askErr)
	}
	select {
	case <-done:
	case <-ctx.Done():
		t.Fatal("the daemon does not end")
	}
	if response, askErr := cluster.Request(ctx, 1, "GET", "/hello/you", ""); askErr != nil || response.Status != 200 {
		t.Fatal(response, askErr)
	}
}
