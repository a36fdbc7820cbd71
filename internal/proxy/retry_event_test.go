package proxy

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// loggedLines gives a logger that writes as in production, and its lines.
func loggedLines(t *testing.T) (log *eventlog.Logger, lines *bufio.Scanner) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = write
	log = eventlog.New("edge-1")
	os.Stdout = stdout
	t.Cleanup(func() { _ = write.Close(); _ = read.Close() })
	if err = read.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return log, bufio.NewScanner(read)
}

// startLogged starts a node without a leader on free ports.
func startLogged(t *testing.T, log *eventlog.Logger) (d *Daemon) {
	t.Helper()
	const anyPort = -1 // the node listens on the port after it: 0, which stands for a free one
	d, err := Start(settings.Settings{
		Name: "edge-1", Zone: "here", Region: "land", ZoneRegions: map[string]string{"here": "land"},
		Address: "127.0.0.1", InternalPortLow: anyPort, FrontendAddress: "127.0.0.1:0",
		MemoryMB: 64, MaxFileDescriptors: 1024, SendInterval: time.Second, HealthCheckInterval: time.Second,
		SubsetSize: 3, MaxIdleNonIdempotent: time.Minute, CPUShare: 1,
		Bounds: settings.Bounds{RetryBudgetRatio: 0.1, RetryWindow: 10 * time.Second, KeyWindow: time.Minute},
	}, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop(time.Now()) })
	return d
}

// Event 129 has suppressed true when a service's attempts are late and its retries
// are held back, and false once they pass again.
func TestEventOfSuppressedRetriesSaysWhichWay(t *testing.T) {
	log, lines := loggedLines(t)
	d := startLogged(t, log)
	limiter := d.retryBudget.operatorLimit
	policy, err := retry.Parse([]byte(
		`{"version":1,"rules":[{"service":"*","ratio":0.1,"least_per_s":1,"window":"10s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	limiter.SetPolicy(policy)
	for _, inTime := range []bool{false, true} {
		for range 10 {
			limiter.RecordOutcome(time.Second, "s", inTime)
		}
	}
	var suppressed []bool
	for len(suppressed) < 2 && lines.Scan() {
		var line struct {
			Event      eventlog.Event
			Service    rpc.ServiceName
			Suppressed *bool
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatalf("%s: %v", lines.Bytes(), err)
		}
		if line.Event != eventlog.RetriesSuppressed {
			continue
		}
		if line.Service != "s" || line.Suppressed == nil {
			t.Fatalf("%s", lines.Bytes())
		}
		suppressed = append(suppressed, *line.Suppressed)
	}
	if len(suppressed) != 2 || !suppressed[0] || suppressed[1] {
		t.Fatalf("suppressed: %v, want true, then false (%v)", suppressed, lines.Err())
	}
}
