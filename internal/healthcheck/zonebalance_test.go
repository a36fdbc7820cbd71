package healthcheck

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func regionOf(zone rpc.ZoneName) string {
	if zone == "isle" {
		return "other-region"
	}
	return "main-region"
}

// A zone under pressure sends away what is above its region, to where there are free
// slots, and never out of its region; zones that are alike send nothing.
func TestZoneBalancerLevelsARegion(t *testing.T) {
	balancer := NewZoneBalancer()
	slots := map[ServiceZone]float64{{"s", "a"}: 100, {"s", "b"}: 100, {"s", "c"}: 100, {"s", "isle"}: 1000}
	update := func(a, b, c float64) {
		for i := range 40 {
			balancer.Update(time.Duration(i)*balanceInterval, map[ServiceZone]float64{{"s", "a"}: a, {"s", "b"}: b, {"s", "c"}: c}, slots, regionOf)
		}
	}
	update(50, 52, 48)
	for _, zone := range []rpc.ZoneName{"a", "b", "c", "isle"} {
		if overflows := balancer.Overflows(zone); len(overflows) != 0 {
			t.Fatalf("%s: %+v though the zones are alike", zone, overflows)
		}
	}
	update(120, 50, 20)
	overflows := balancer.Overflows("a")
	if len(overflows) != 1 || len(balancer.Overflows("b"))+len(balancer.Overflows("c")) != 0 {
		t.Fatalf("%+v", overflows)
	}
	away := 0
	for _, to := range overflows[0].Targets {
		if to.Zone == "isle" || to.Zone == "a" {
			t.Errorf("sent to %s", to.Zone)
		}
		away += to.Weight
	}
	if after := 120 * (1 - float64(away)/1000); away != overflows[0].Permille || after < 60 || after > 75 {
		t.Errorf("%d thousandths are sent away, %.0f stay", away, after)
	}
	if to := overflows[0].Targets; len(to) < 1 || to[len(to)-1].Zone != "c" || to[len(to)-1].Weight < away*2/3 {
		t.Errorf("most must go where most slots are free: %+v", to)
	}
	// A zone whose endpoints are all gone sends everything.
	slots[ServiceZone{"s", "a"}] = 0
	update(40, 30, 30)
	if overflows = balancer.Overflows("a"); len(overflows) != 1 || overflows[0].Permille < 990 {
		t.Errorf("%+v", overflows)
	}
	update(0, 0, 0)
	if len(balancer.Overflows("a")) != 0 && balancer.demand[ServiceZone{"s", "a"}] > 0.1 {
		t.Error("demand that is gone still counts")
	}
}
