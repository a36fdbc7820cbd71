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
	d := daemonOf(b)
	var rows []rpc.Server
	for n := range 18 {
		for _, zone := range []rpc.SiteName{"here", "there", "beyond"} {
			rows = append(rows, rpc.Server{ID: rpc.ServerID(fmt.Sprintf("%s-%d", zone, n)), Service: "s", Address: "x:1", Site: zone, Slots: 6})
		}
	}
	d.state.Apply(d.clock.Now(), &rpc.News{Leader: true, Term: 2, Epoch: 2, Full: true, Rev: 1, ItemAt: rpc.AllItems, Part: &rpc.ListPart{Done: true, Servers: rows}})
	scene := d.state.Snapshot()
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
				if server, _ := d.state.chooseEndpoint(scene, c.wanted); server == nil {
					b.Fatal("no backend was chosen")
				}
			}
		})
	}
}
