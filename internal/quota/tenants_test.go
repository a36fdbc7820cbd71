package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// fleet simulates daemons and their leader under a seeded clock: beats with
// delays, lost touch, restarts, newcomers, changes of leader.
type fleet struct {
	luck    *rand.Rand
	now     time.Duration
	lender  *RateAllocator
	opened  time.Duration
	tenants []RateLimit
	edges   []*edge
	log     map[string][]time.Duration
	refused map[string]int
	fault   plantedFault
	most    float64 // the most of a limit that was ever in use at once
}

type plantedFault struct {
	noWait     bool // a new leader lends at once
	growTokens bool // a part that grows brings tokens with it
	fromAnswer bool // a holder counts from the answer, and its clock is slow
}

type edge struct {
	id      rpc.NodeID
	shares  *Leases
	buckets map[string]*TokenBucket
	beat    time.Duration
	cut     time.Duration
	gone    bool
}

func newFleet(seed int64, edges int, tenants ...RateLimit) (f *fleet) {
	f = &fleet{luck: rand.New(rand.NewSource(seed)), lender: NewTenantAllocator(0, 1600*time.Millisecond, true), tenants: tenants, log: map[string][]time.Duration{}, refused: map[string]int{}}
	for i := 0; i < edges; i++ {
		f.join()
	}
	return f
}

func (f *fleet) join() {
	e := &edge{id: rpc.NodeID(fmt.Sprint("edge-", len(f.edges)))}
	f.edges = append(f.edges, e)
	e.restart()
}

func (e *edge) restart() {
	e.shares, e.buckets = NewLeases(), map[string]*TokenBucket{}
}

func (e *edge) part(now time.Duration, tenant string) float64 {
	return e.shares.Amount(now, Key{rpc.TenantShare, tenant}) + e.shares.Amount(now, Key{rpc.TenantMinimum, tenant})
}

func (e *edge) bucket(tenant string) (b *TokenBucket) {
	if b = e.buckets[tenant]; b == nil {
		b = &TokenBucket{}
		e.buckets[tenant] = b
	}
	return b
}

// step moves time on by 10 ms and lets edges beat.
func (f *fleet) step() {
	f.now += 10 * time.Millisecond
	present := 0
	for _, e := range f.edges {
		if !e.gone && f.now >= e.cut {
			present++
		}
	}
	for _, e := range f.edges {
		if e.gone || f.now < e.cut || f.now < e.beat {
			continue
		}
		asked := f.now - time.Duration(f.luck.Intn(60))*time.Millisecond
		e.beat = f.now + time.Duration(300+f.luck.Intn(400))*time.Millisecond
		for _, tenant := range f.tenants {
			b := e.bucket(tenant.Name)
			b.Refill(f.now, tenant, e.part(f.now, tenant.Name))
			floor := e.shares.Amount(f.now, Key{rpc.TenantMinimum, tenant.Name})
			for _, lease := range f.lender.Grant(f.now, tenant, e.id, present, rpc.RateDemand{Name: tenant.Name, Rate: b.Demand(), Minimum: floor}) {
				if f.fault.fromAnswer {
					lease.Duration *= 3
				}
				if f.luck.Intn(20) > 0 {
					e.shares.Add(asked, lease)
				}
				if f.fault.growTokens {
					b.tokens = e.part(f.now, tenant.Name) * tenant.Burst
				}
			}
		}
	}
	for _, tenant := range f.tenants {
		sum := 0.0
		for _, e := range f.edges {
			sum += e.part(f.now, tenant.Name)
		}
		f.most = max(f.most, sum)
	}
}

func (f *fleet) ask(e *edge, tenant RateLimit) (admitted bool) {
	if e.gone {
		return false
	}
	admitted, _ = e.bucket(tenant.Name).Admit(f.now, tenant, e.part(f.now, tenant.Name))
	if admitted {
		f.log[tenant.Name] = append(f.log[tenant.Name], f.now)
	} else {
		f.refused[tenant.Name]++
	}
	return admitted
}

// check holds every span against rate x time + burst.
func (f *fleet) check(t *testing.T, tenant RateLimit) {
	t.Helper()
	if worst := f.worst(tenant); worst > tenant.Burst+1e-6 {
		t.Fatalf("%s: some span admits %.1f more than rate x time, the burst is %.0f", tenant.Name, worst, tenant.Burst)
	}
}

// worst is the most that any span admits beyond rate x time.
func (f *fleet) worst(tenant RateLimit) (worst float64) {
	times := f.log[tenant.Name]
	// The most tokens left behind any start decides; one pass suffices.
	level := 0.0
	for i, at := range times {
		if i > 0 {
			level = max(0, level-tenant.Rate*(at-times[i-1]).Seconds())
		}
		level++
		worst = max(worst, level)
	}
	return worst
}

// trouble plays a noisy and a quiet tenant through cuts, restarts, newcomers
// and changes of leader.
func trouble(seed int64, fault plantedFault) (f *fleet, noisy, quiet RateLimit) {
	noisy = RateLimit{Name: "noisy", Rate: 40, Burst: 40}
	quiet = RateLimit{Name: "quiet", Rate: 60, Burst: 60}
	f = newFleet(seed, 8, noisy, quiet)
	f.fault = fault
	for f.now < 60*time.Second {
		f.step()
		e := f.edges[f.luck.Intn(len(f.edges))]
		switch f.luck.Intn(400) {
		case 0:
			e.cut = f.now + time.Duration(f.luck.Intn(8000))*time.Millisecond
		case 1:
			e.restart()
		case 2:
			e.gone = !e.gone
		case 3:
			if len(f.edges) < 14 {
				f.join()
			}
		case 4:
			f.lender = NewTenantAllocator(f.now, 1600*time.Millisecond, fault.noWait)
		}
		for i := 0; i < 3; i++ {
			f.ask(f.edges[f.luck.Intn(len(f.edges))], noisy)
		}
		if f.luck.Intn(10) == 0 {
			f.ask(f.edges[f.luck.Intn(len(f.edges))], quiet)
		}
	}
	return f, noisy, quiet
}

func TestTenantLimitsHoldUnderTrouble(t *testing.T) {
	var admitted, possible float64
	for seed := int64(1); seed <= 20; seed++ {
		f, noisy, quiet := trouble(seed, plantedFault{})
		f.check(t, noisy)
		f.check(t, quiet)
		if f.most > 1+1e-9 {
			t.Fatalf("seed %d: %.3f of a limit was in use at once", seed, f.most)
		}
		admitted += float64(len(f.log["noisy"]))
		possible += noisy.Rate * 60
	}
	t.Logf("noisy tenant: %.0f admitted of %.0f that its rate allows", admitted, possible)
	if admitted < possible/2 {
		t.Fatalf("only %.0f of %.0f admitted: the limit is far from used", admitted, possible)
	}
}

func TestPlantedFaultsOfLeasesAreFound(t *testing.T) {
	for name, fault := range map[string]plantedFault{"noWait": {noWait: true}, "growTokens": {growTokens: true}, "fromAnswer": {fromAnswer: true}} {
		found := false
		for seed := int64(1); seed <= 30 && !found; seed++ {
			f, noisy, _ := trouble(seed, fault)
			found = f.worst(noisy) > noisy.Burst+1e-6 || f.most > 1+1e-9
		}
		if !found {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}

func TestASurgeLeavesOthersUntouched(t *testing.T) {
	noisy := RateLimit{Name: "noisy", Rate: 50, Burst: 50}
	quiet := RateLimit{Name: "quiet", Rate: 50, Burst: 50}
	run := func(surge bool) (admitted, refused int) {
		f := newFleet(4, 6, noisy, quiet)
		for f.now < 40*time.Second {
			f.step()
			if f.now < 2*time.Second {
				continue
			}
			if surge {
				for i := 0; i < 20; i++ {
					f.ask(f.edges[f.luck.Intn(6)], noisy)
				}
			}
			if f.now%(50*time.Millisecond) == 0 {
				f.ask(f.edges[int(f.now/(50*time.Millisecond))%6], quiet)
			}
		}
		f.check(t, noisy)
		if surge {
			t.Logf("surge: noisy %d admitted, %d refused; quiet %d admitted, %d refused", len(f.log["noisy"]), f.refused["noisy"], len(f.log["quiet"]), f.refused["quiet"])
		}
		return len(f.log["quiet"]), f.refused["quiet"]
	}
	calmAdmitted, calmRefused := run(false)
	admitted, refused := run(true)
	if refused > calmRefused || admitted < calmAdmitted {
		t.Fatalf("a surge changed another tenant's service: admitted %d/%d, refused %d/%d", calmAdmitted, admitted, calmRefused, refused)
	}
	if calmRefused > calmAdmitted/50 {
		t.Fatalf("a tenant well within its limit was refused %d times of %d", calmRefused, calmAdmitted)
	}
}

func TestOneNodeMayTakeNearlyTheWholeLimit(t *testing.T) {
	tenant := RateLimit{Name: "t", Rate: 50, Burst: 50}
	f := newFleet(5, 8, tenant)
	for f.now < 20*time.Second {
		f.step()
		f.ask(f.edges[3], tenant)
	}
	f.check(t, tenant)
	if got := len(f.log["t"]); got < 500 {
		t.Fatalf("only %d of 1000 when all clients come in at one node", got)
	}
}

func TestADaemonOutOfTouchKeepsItsFloor(t *testing.T) {
	tenant := RateLimit{Name: "t", Rate: 200, Burst: 200}
	f := newFleet(6, 4, tenant)
	for f.now < 5*time.Second {
		f.step()
	}
	f.edges[0].cut = time.Hour
	before := 0
	for f.now < 65*time.Second {
		f.step()
		if f.now > 10*time.Second && f.ask(f.edges[0], tenant) {
			before++
		}
		f.ask(f.edges[1], tenant)
	}
	f.check(t, tenant)
	floor := tenant.Rate * minimumPart / (4 + spareNodes)
	if got := float64(before) / 55; got < floor*0.8 || got > floor*1.2 {
		t.Fatalf("out of touch %.1f a second were admitted, the floor is %.1f", got, floor)
	}
	for f.now < 6*time.Minute {
		f.step()
	}
	if part := f.edges[0].part(f.now, "t"); part != 0 {
		t.Fatalf("after the floor's span %.3f is still held", part)
	}
}

func TestSmallBurstsAreNotLentInPiecesThatAdmitNothing(t *testing.T) {
	tenant := RateLimit{Name: "t", Rate: 4, Burst: 3}
	f := newFleet(7, 10, tenant)
	for f.now < 60*time.Second {
		f.step()
		f.ask(f.edges[f.luck.Intn(10)], tenant)
	}
	f.check(t, tenant)
	if got := len(f.log["t"]); got < 60 {
		t.Fatalf("only %d of 240 admitted", got)
	}
}
