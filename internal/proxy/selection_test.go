package proxy

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A node that knows nothing yet of a service whose answers take long keeps to
// its own region: it neither takes what it has not tried for fast, nor what is at
// work for lost.
func TestWithoutLatencyStatisticsTheOwnZoneIsUsed(t *testing.T) {
	d := newTestDaemon(t)
	var rows []rpc.Endpoint
	for n := 0; n < 12; n++ {
		rows = append(rows, rpc.Endpoint{ID: rpc.EndpointID(fmt.Sprintf("near-%d", n)), Service: "s", Address: "x:1", Zone: "here", Slots: 6}, rpc.Endpoint{ID: rpc.EndpointID(fmt.Sprintf("far-%d", n)), Service: "s", Address: "x:1", Zone: "there", Slots: 6})
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{IsLeader: true, Term: 2, Revision: 2, Full: true, LogIndex: 1, LastItem: rpc.AfterAllItems, EndpointChunk: &rpc.EndpointChunk{Complete: true, Endpoints: rows}})
	snapshot := d.state.Snapshot()
	criteria := Criteria{Service: "s", TargetLatency: 2 * time.Second, Idempotent: true}
	for n := 0; n < 24; n++ {
		backend, _ := d.state.chooseEndpoint(snapshot, criteria)
		if backend == nil || backend.Zone != "here" {
			t.Fatalf("request %d goes to %+v", n, backend)
		}
		// They are all still at work, a third of a second later.
		backend.attemptStarted(d.clock.Now())
		backend.mu.Lock()
		backend.busySince, backend.respondedAt = d.clock.Now()-300*time.Millisecond, -time.Second
		backend.mu.Unlock()
	}
}
