package proxy

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A node without latency statistics of a slow service keeps to its own zone: it takes backends that it has
// sent nothing for no faster than others, and requests in flight for no sign of a fault.
func TestWithoutLatencyStatisticsTheOwnZoneIsUsed(t *testing.T) {
	d := newTestDaemon(t)
	var rows []rpc.Endpoint
	for n := 0; n < 12; n++ {
		near, far := rpc.EndpointID(fmt.Sprintf("near-%d", n)), rpc.EndpointID(fmt.Sprintf("far-%d", n))
		rows = append(rows,
			rpc.Endpoint{ID: near, Service: "s", Address: "x:1", Zone: "here", Slots: 6},
			rpc.Endpoint{ID: far, Service: "s", Address: "x:1", Zone: "there", Slots: 6})
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{
		IsLeader: true, Term: 2, Revision: 2, Full: true, LogIndex: 1, LastItem: rpc.AfterAllItems,
		EndpointChunk: &rpc.EndpointChunk{Complete: true, Endpoints: rows},
	})
	snapshot := d.state.Snapshot()
	criteria := Criteria{Service: "s", TargetLatency: 2 * time.Second, Idempotent: true}
	for n := 0; n < 24; n++ {
		backend, _ := d.state.chooseEndpoint(snapshot, criteria)
		if backend == nil || backend.Zone != "here" {
			t.Fatalf("request %d goes to %+v", n, backend)
		}
		// All of them are still in flight, a third of a second later.
		backend.attemptStarted(d.clock.Now())
		backend.mu.Lock()
		backend.busySince, backend.respondedAt = d.clock.Now()-300*time.Millisecond, -time.Second
		backend.mu.Unlock()
	}
}
