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
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	cluster, err := Start(t.TempDir(), Hosts())
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	if _, _, err = cluster.Operator(ctx, "POST", "/-/Config.Update", InitialConfiguration); err != nil {
		t.Fatal(err)
	}
	if err = cluster.Ready(ctx); err != nil {
		t.Fatal(err)
	}
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
	if _, err = runCommand("drain", "check", writeDocument(t, `{"version":1,"rules":[{"service":"nobody","notice":"0s","finish":"5s","keyed":"deadline","least_share":0}],"lost_touch":"2s","cut_off":"stop"}`)); err == nil || !strings.Contains(err.Error(), `unknown service "nobody"`) {
		t.Fatal(err)
	}
	if _, err = runCommand("drain", "set", writeDocument(t, `{"version":3,"rules":[{"service":"*","notice":"100ms","finish":"5s","keyed":"deadline","least_share":0.5}],"lost_touch":"2s","cut_off":"stop"}`)); err != nil {
		t.Fatal(err)
	}
	if _, err = runCommand("drain", "retire", "i-99"); err == nil || !strings.Contains(err.Error(), "not on the platform's list") {
		t.Fatal(err)
	}
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
				status, _, _, askErr := cluster.Request(ctx, client%2, "POST", "/pay/x", fmt.Sprintf("press-%d-%d", client, n))
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
	if _, err = runCommand("drain", "retire", "i-4"); err == nil || !strings.Contains(err.Error(), "the last of service") {
		t.Fatal(err)
	}
	if output, showErr := runCommand("drain", "show"); showErr != nil || !strings.Contains(output, "i-3") || !strings.Contains(output, "version 3") {
		t.Fatal(output, showErr)
	}
	if fleet, err = diagnostics.Inspect(cluster.InternalAddresses()); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	if _, err = fleet.Trace(&out, "retirement", "i-3"); err != nil || !strings.Contains(out.String(), "edge-2") || !strings.Contains(out.String(), "stopped") {
		t.Fatal(err, out.String())
	}
	if _, err = runCommand("drain", "restore", "i-3"); err != nil {
		t.Fatal(err)
	}
	if err = Until(ctx, func() bool {
		_, _, _, _ = cluster.Request(ctx, 0, "POST", "/pay/y", fmt.Sprint("back-", time.Now().UnixNano()))
		return retired.Runs.Load() > before
	}); err != nil {
		t.Fatal("the backend that was taken back gets nothing")
	}
	plan := `{"version":%d,"step":1,"every":"1s","room":1,"targets":[{"host":"shop.example","time_zone":"UTC","spans":[{"from":"00:00","to":"12:00","weights":{"%s":1},"ramp":"0s"},{"from":"12:00","to":"24:00","weights":{"coast":1},"ramp":"0s"}]}]}`
	if _, err = runCommand("plan", "set", writeDocument(t, fmt.Sprintf(plan, 1, "moon"))); err == nil || !strings.Contains(err.Error(), `unknown region "moon"`) {
		t.Fatal(err)
	}
	if _, err = runCommand("plan", "set", writeDocument(t, fmt.Sprintf(plan, 2, "coast"))); err != nil {
		t.Fatal(err)
	}
	if err = Until(ctx, func() bool { output, _ := runCommand("plan", "show"); return strings.Contains(output, "coast:1000") }); err != nil {
		t.Fatal(out.String())
	}
	if _, err = runCommand("plan", "set", writeDocument(t, fmt.Sprintf(plan, 1, "coast"))); err == nil || !strings.Contains(err.Error(), "version 1 is not above 2") {
		t.Fatal(err)
	}
	if _, err = runCommand("plan", "withdraw", "3"); err != nil {
		t.Fatal(err)
	}
	if status, _, _, askErr := cluster.Request(ctx, 1, "GET", "/hello/you", ""); askErr != nil || status != 200 {
		t.Fatal(status, askErr)
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
	call := strings.Replace(InitialConfiguration, `["r-pay"`, `["r-file","shop.example","/file/","download","2s","500ms",2,"hello",1],["r-pay"`, 1)
	if status, answer, callErr := cluster.Operator(ctx, "POST", "/-/Config.Update", call); callErr != nil || status != 200 {
		t.Fatal(status, answer, callErr)
	}
	if err = cluster.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/hello/you", "/file/one"} {
		if status, _, _, askErr := cluster.Request(ctx, 1, "GET", path, ""); askErr != nil || status != 200 {
			t.Fatal(path, status, askErr)
		}
	}
	done := cluster.StopProxy("edge-1")
	if err = Until(ctx, func() bool { return !cluster.IsReady(0) }); err != nil {
		t.Fatal("still ready after the order to stop")
	}
	if status, _, _, askErr := cluster.Request(ctx, 0, "GET", "/hello/late", ""); askErr != nil || status != 200 {
		t.Fatal("a client that the platform still sends here was turned away", status, askErr)
	}
	select {
	case <-done:
	case <-ctx.Done():
		t.Fatal("the daemon does not end")
	}
	if status, _, _, askErr := cluster.Request(ctx, 1, "GET", "/hello/you", ""); askErr != nil || status != 200 {
		t.Fatal(status, askErr)
	}
}
