package proxy

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// BenchmarkChooseEndpoint is the cost of one choice among the backends of a
// service: near alone, where the first few serve, and far, where all are
// looked at because the request is to go to another zone.
func BenchmarkChooseEndpoint(b *testing.B) {
	d := newTestDaemon(b)
	var rows []rpc.Endpoint
	for n := range 18 {
		for _, zone := range []rpc.ZoneName{"here", "there", "beyond"} {
			id := rpc.EndpointID(fmt.Sprintf("%s-%d", zone, n))
			rows = append(rows, rpc.Endpoint{ID: id, Service: "s", Address: "x:1", Zone: zone, Slots: 6})
		}
	}
	d.state.Apply(d.clock.Now(), &rpc.Update{
		IsLeader: true, Term: 2, Revision: 2, Full: true, LogIndex: 1, LastItem: rpc.AfterAllItems,
		EndpointChunk: &rpc.EndpointChunk{Complete: true, Endpoints: rows},
	})
	snapshot := d.state.Snapshot()
	near := Criteria{Service: "s", TargetLatency: 600 * time.Millisecond, Idempotent: true}
	far := near
	far.OverflowZone = "there"
	for _, c := range []struct {
		name   string
		wanted Criteria
	}{{"near", near}, {"far", far}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if backend, _ := d.state.chooseEndpoint(snapshot, c.wanted); backend == nil {
					b.Fatal("no backend was chosen")
				}
			}
		})
	}
}
