package proxy

import (
	"fmt"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

// With more tenants than one heartbeat may report, all are reported in turn, and those with requests in
// each heartbeat.
func TestDemandsOfManyTenantsAreReportedInTurn(t *testing.T) {
	var tenants []*config.Tenant
	for n := 0; n < 4*maxIdleDemands; n++ {
		tenants = append(tenants, &config.Tenant{Name: fmt.Sprintf("t-%04d", n), Rate: 100, Burst: 100})
	}
	limits := NewTenantLimits(func(rpc.LeaseKind, string) float64 { return 0.5 }, nil)
	busy := tenants[7]
	reported := map[string]int{}
	for heartbeat := 0; heartbeat < 4; heartbeat++ {
		limits.Admit(time.Duration(heartbeat)*time.Millisecond, busy)
		demands := limits.Demands(tenants)
		if len(demands) > maxIdleDemands+1 {
			t.Fatalf("%d demands in one heartbeat", len(demands))
		}
		for _, demand := range demands {
			reported[demand.Name]++
		}
	}
	if len(reported) != len(tenants) || reported[busy.Name] != 4 {
		t.Fatalf("%d of %d tenants were reported, the busy one %d times in four heartbeats",
			len(reported), len(tenants), reported[busy.Name])
	}
	if few := limits.Demands(tenants[:10]); len(few) != 10 {
		t.Fatalf("%d of ten", len(few))
	}
}
