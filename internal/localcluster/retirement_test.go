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
	"tinpin/internal/diagnostics"
)

func writeDocument(t *testing.T, body string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "order.json")
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A backend is retired from a whole system while keyed clients press both
// edges and the leader is stopped in between: once the order is acknowledged no
// new caller reaches it, and every operation ran once or was refused.
func TestRetirementUnderLoad(t *testing.T) {
	test := startCluster(t, Hosts())
	ctx, cluster := test.ctx, test.cluster
	client := &adminclient.Client{Wait: 30 * time.Second}
	for _, config := range cluster.ControllerSettings {
		client.Addresses = append(client.Addresses, config.ControlAddress)
	}
	var out bytes.Buffer
	runCommand := func(subject, verb string, words ...string) (output string, err error) {
		// Each call is made twice: the same again changes nothing. A moment without a
		// leader may lie before either.
		for range 2 {
			if untilErr := Until(ctx, func() bool {
				out.Reset()
				_, err = client.Run(ctx, &out, subject, verb, words)
				return err == nil || strings.Contains(err.Error(), "refused")
			}); untilErr != nil {
				return out.String(), untilErr
			}
		}
		return out.String(), err
	}
	document := `{"version":1,"rules":[{"service":"nobody","notice":"0s","finish":"5s",` +
		`"keyed":"deadline","least_share":0}],"lost_touch":"2s","cut_off":"stop"}`
	_, err := runCommand("drain", "check", writeDocument(t, document))
	mustReject(t, err, `unknown service "nobody"`)
	document = `{"version":3,"rules":[{"service":"*","notice":"100ms","finish":"5s",` +
		`"keyed":"deadline","least_share":0.5}],"lost_touch":"2s","cut_off":"stop"}`
	if _, err = runCommand("drain", "set", writeDocument(t, document)); err != nil {
		t.Fatal(err)
	}
	_, err = runCommand("drain", "retire", "i-99")
	mustReject(t, err, "not on the platform's list")
	for _, backend := range cluster.Backends {
		backend.WorkTime.Store(int64(15 * time.Millisecond))
	}
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	statuses := make([]map[int]int, 6)
	for client := range statuses {
		statuses[client] = map[int]int{}
		load.Add(1)
		go func() {
			defer load.Done()
			for n := 0; ; n++ {
				select {
				case <-stopLoad:
					return
				default:
				}
				key := fmt.Sprintf("press-%d-%d", client, n)
				response, askErr := cluster.Request(ctx, client%2, "POST", "/pay/x", key)
				status := response.Status
				if askErr != nil {
					status = -1
				}
				statuses[client][status]++
			}
		}()
	}
	retired := cluster.Backends[2]
	if err = Until(ctx, func() bool { return retired.Runs.Load() > 5 }); err != nil {
		t.Fatal("nothing reaches the backend")
	}
	var fleet *diagnostics.Fleet
	if fleet, err = diagnostics.Inspect(cluster.InternalAddresses()); err != nil {
		t.Fatal(err)
	}
	leader := fleet.Leader().Name
	done := make(chan error, 1)
	go func() {
		_, retireErr := runCommand("drain", "retire", retired.ID)
		done <- retireErr
	}()
	cluster.StopController(leader)
	if err = <-done; err != nil || !strings.Contains(out.String(), "together") {
		t.Fatal(err, out.String())
	}
	// What was at work may still end; nothing new may begin.
	before := retired.Runs.Load()
	beside := cluster.Backends[3].Runs.Load()
	if err = Until(ctx, func() bool { return cluster.Backends[3].Runs.Load() > beside+40 }); err != nil {
		t.Fatal("the other backend gets nothing")
	}
	if after := retired.Runs.Load(); after > before {
		t.Fatalf("%d new callers reached the retired backend", after-before)
	}
	close(stopLoad)
	load.Wait()
	for _, backend := range cluster.Backends {
		for key, runs := range backend.Keys() {
			if runs != 1 {
				t.Errorf("%s ran %d times", key, runs)
			}
		}
	}
	for client, counts := range statuses {
		for status := range counts {
			if status != 200 && status != 503 {
				t.Errorf("client %d: %v", client, counts)
			}
		}
	}
	_, err = runCommand("drain", "retire", "i-4")
	mustReject(t, err, "the last of service")
	output, showErr := runCommand("drain", "show")
	if showErr != nil || !strings.Contains(output, "i-3") || !strings.Contains(output, "version 3") {
		t.Fatal(output, showErr)
	}
	if fleet, err = diagnostics.Inspect(cluster.InternalAddresses()); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	_, err = fleet.Trace(&out, "retirement", "i-3")
	if err != nil || !strings.Contains(out.String(), "edge-2") || !strings.Contains(out.String(), "stopped") {
		t.Fatal(err, out.String())
	}
	if _, err = runCommand("drain", "restore", "i-3"); err != nil {
		t.Fatal(err)
	}
	if err = Until(ctx, func() bool {
		_, _ = cluster.Request(ctx, 0, "POST", "/pay/y", fmt.Sprint("back-", time.Now().UnixNano()))
		return retired.Runs.Load() > before
	}); err != nil {
		t.Fatal("the backend that was taken back gets nothing")
	}
	plan := `{"version":%d,"step":1,"every":"1s","room":1,"targets":[{"host":"shop.example","time_zone":"UTC",` +
		`"spans":[{"from":"00:00","to":"12:00","weights":{"%s":1},"ramp":"0s"},` +
		`{"from":"12:00","to":"24:00","weights":{"coast":1},"ramp":"0s"}]}]}`
	_, err = runCommand("plan", "set", writeDocument(t, fmt.Sprintf(plan, 1, "moon")))
	mustReject(t, err, `unknown region "moon"`)
	if _, err = runCommand("plan", "set", writeDocument(t, fmt.Sprintf(plan, 2, "coast"))); err != nil {
		t.Fatal(err)
	}
	err = Until(ctx, func() bool {
		output, _ := runCommand("plan", "show")
		return strings.Contains(output, "coast:1000")
	})
	if err != nil {
		t.Fatal(out.String())
	}
	_, err = runCommand("plan", "set", writeDocument(t, fmt.Sprintf(plan, 1, "coast")))
	mustReject(t, err, "version 1 is not above 2")
	if _, err = runCommand("plan", "withdraw", "3"); err != nil {
		t.Fatal(err)
	}
	if response, askErr := cluster.Request(ctx, 1, "GET", "/hello/you", ""); askErr != nil || response.Status != 200 {
		t.Fatal(response, askErr)
	}
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
