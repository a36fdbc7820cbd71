package healthcheck

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func land(site rpc.ZoneName) string {
	if site == "isle" {
		return "sea"
	}
	return "land"
}

// A pressed site sends away what is above its region, to where there is room,
// and never out of its region; places that are alike send nothing.
func TestBalanceLevelsARegion(t *testing.T) {
	balance := NewZoneBalancer()
	slots := map[ServiceZone]float64{{"s", "a"}: 100, {"s", "b"}: 100, {"s", "c"}: 100, {"s", "isle"}: 1000}
	turn := func(a, b, c float64) {
		for i := range 40 {
			balance.Update(time.Duration(i)*balanceInterval, map[ServiceZone]float64{{"s", "a"}: a, {"s", "b"}: b, {"s", "c"}: c}, slots, land)
		}
	}
	turn(50, 52, 48)
	for _, site := range []rpc.ZoneName{"a", "b", "c", "isle"} {
		if spills := balance.Overflows(site); len(spills) != 0 {
			t.Fatalf("%s: %+v though the sites are alike", site, spills)
		}
	}
	turn(120, 50, 20)
	spills := balance.Overflows("a")
	if len(spills) != 1 || len(balance.Overflows("b"))+len(balance.Overflows("c")) != 0 {
		t.Fatalf("%+v", spills)
	}
	away := 0
	for _, to := range spills[0].Targets {
		if to.Zone == "isle" || to.Zone == "a" {
			t.Errorf("sent to %s", to.Zone)
		}
		away += to.Weight
	}
	if after := 120 * (1 - float64(away)/1000); away != spills[0].Permille || after < 60 || after > 75 {
		t.Errorf("%d thousandths are sent away, %.0f stay", away, after)
	}
	if to := spills[0].Targets; len(to) < 1 || to[len(to)-1].Zone != "c" || to[len(to)-1].Weight < away*2/3 {
		t.Errorf("most must go where most room is: %+v", to)
	}
	// A site whose backends are all gone sends everything.
	slots[ServiceZone{"s", "a"}] = 0
	turn(40, 30, 30)
	if spills = balance.Overflows("a"); len(spills) != 1 || spills[0].Permille < 990 {
		t.Errorf("%+v", spills)
	}
	turn(0, 0, 0)
	if len(balance.Overflows("a")) != 0 && balance.demand[ServiceZone{"s", "a"}] > 0.1 {
		t.Error("demand that is gone still counts")
	}
}
