package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// fleet simulates nodes and their leader from a seed: heartbeats with delays, lost
// contact, restarts, new nodes, changes of leader.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	allocator *RateAllocator
	tenants   []RateLimit
	nodes     []*simNode
	log       map[string][]time.Duration
	refused   map[string]int
	bug       injectedBug
	maxInUse  float64 // the most of a limit that was ever in use at once
}

type injectedBug struct {
	noWait       bool // a new leader grants at once
	growTokens   bool // a part that grows brings tokens with it
	fromResponse bool // a holder counts from the response, and its clock is slow
}

type simNode struct {
	id            rpc.NodeID
	leases        *Leases
	buckets       map[string]*TokenBucket
	nextHeartbeat time.Duration
	cut           time.Duration
	gone          bool
}

func newFleet(seed int64, edges int, tenants ...RateLimit) (f *fleet) {
	f = &fleet{random: rand.New(rand.NewSource(seed)), allocator: NewTenantAllocator(0, 1600*time.Millisecond, true), tenants: tenants, log: map[string][]time.Duration{}, refused: map[string]int{}}
	for i := 0; i < edges; i++ {
		f.join()
	}
	return f
}

func (f *fleet) join() {
	e := &simNode{id: rpc.NodeID(fmt.Sprint("edge-", len(f.nodes)))}
	f.nodes = append(f.nodes, e)
	e.restart()
}

func (e *simNode) restart() {
	e.leases, e.buckets = NewLeases(), map[string]*TokenBucket{}
}

func (e *simNode) part(now time.Duration, tenant string) float64 {
	return e.leases.Amount(now, Key{rpc.TenantShare, tenant}) + e.leases.Amount(now, Key{rpc.TenantMinimum, tenant})
}

func (e *simNode) bucket(tenant string) (b *TokenBucket) {
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
	for _, e := range f.nodes {
		if !e.gone && f.now >= e.cut {
			present++
		}
	}
	for _, e := range f.nodes {
		if e.gone || f.now < e.cut || f.now < e.nextHeartbeat {
			continue
		}
		asked := f.now - time.Duration(f.random.Intn(60))*time.Millisecond
		e.nextHeartbeat = f.now + time.Duration(300+f.random.Intn(400))*time.Millisecond
		for _, tenant := range f.tenants {
			b := e.bucket(tenant.Name)
			b.Refill(f.now, tenant, e.part(f.now, tenant.Name))
			minimum := e.leases.Amount(f.now, Key{rpc.TenantMinimum, tenant.Name})
			for _, lease := range f.allocator.Grant(f.now, tenant, e.id, present, rpc.RateDemand{Name: tenant.Name, Rate: b.Demand(), Minimum: minimum}) {
				if f.bug.fromResponse {
					lease.Duration *= 3
				}
				if f.random.Intn(20) > 0 {
					e.leases.Add(asked, lease)
				}
				if f.bug.growTokens {
					b.tokens = e.part(f.now, tenant.Name) * tenant.Burst
				}
			}
		}
	}
	for _, tenant := range f.tenants {
		sum := 0.0
		for _, e := range f.nodes {
			sum += e.part(f.now, tenant.Name)
		}
		f.maxInUse = max(f.maxInUse, sum)
	}
}

func (f *fleet) ask(e *simNode, tenant RateLimit) (admitted bool) {
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

// runFaults runs a noisy and a quiet tenant through cuts, restarts, newcomers
// and changes of leader.
func runFaults(seed int64, fault injectedBug) (f *fleet, noisy, quiet RateLimit) {
	noisy = RateLimit{Name: "noisy", Rate: 40, Burst: 40}
	quiet = RateLimit{Name: "quiet", Rate: 60, Burst: 60}
	f = newFleet(seed, 8, noisy, quiet)
	f.bug = fault
	for f.now < 60*time.Second {
		f.step()
		e := f.nodes[f.random.Intn(len(f.nodes))]
		switch f.random.Intn(400) {
		case 0:
			e.cut = f.now + time.Duration(f.random.Intn(8000))*time.Millisecond
		case 1:
			e.restart()
		case 2:
			e.gone = !e.gone
		case 3:
			if len(f.nodes) < 14 {
				f.join()
			}
		case 4:
			f.allocator = NewTenantAllocator(f.now, 1600*time.Millisecond, fault.noWait)
		}
		for i := 0; i < 3; i++ {
			f.ask(f.nodes[f.random.Intn(len(f.nodes))], noisy)
		}
		if f.random.Intn(10) == 0 {
			f.ask(f.nodes[f.random.Intn(len(f.nodes))], quiet)
		}
	}
	return f, noisy, quiet
}

func TestTenantLimitsHoldUnderFaults(t *testing.T) {
	var admitted, possible float64
	for seed := int64(1); seed <= 20; seed++ {
		f, noisy, quiet := runFaults(seed, injectedBug{})
		f.check(t, noisy)
		f.check(t, quiet)
		if f.maxInUse > 1+1e-9 {
			t.Fatalf("seed %d: %.3f of a limit was in use at once", seed, f.maxInUse)
		}
		admitted += float64(len(f.log["noisy"]))
		possible += noisy.Rate * 60
	}
	t.Logf("noisy tenant: %.0f admitted of %.0f that its rate allows", admitted, possible)
	if admitted < possible/2 {
		t.Fatalf("only %.0f of %.0f admitted: the limit is far from used", admitted, possible)
	}
}

func TestInjectedBugsOfLeasesAreFound(t *testing.T) {
	for name, fault := range map[string]injectedBug{"noWait": {noWait: true}, "growTokens": {growTokens: true}, "fromAnswer": {fromResponse: true}} {
		found := false
		for seed := int64(1); seed <= 30 && !found; seed++ {
			f, noisy, _ := runFaults(seed, fault)
			found = f.worst(noisy) > noisy.Burst+1e-6 || f.maxInUse > 1+1e-9
		}
		if !found {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}

func TestSurgeLeavesOtherTenantsUntouched(t *testing.T) {
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
					f.ask(f.nodes[f.random.Intn(6)], noisy)
				}
			}
			if f.now%(50*time.Millisecond) == 0 {
				f.ask(f.nodes[int(f.now/(50*time.Millisecond))%6], quiet)
			}
		}
		f.check(t, noisy)
		if surge {
			t.Logf("surge: noisy %d admitted, %d refused; quiet %d admitted, %d refused", len(f.log["noisy"]), f.refused["noisy"], len(f.log["quiet"]), f.refused["quiet"])
		}
		return len(f.log["quiet"]), f.refused["quiet"]
	}
	baselineAdmitted, baselineRefused := run(false)
	admitted, refused := run(true)
	if refused > baselineRefused || admitted < baselineAdmitted {
		t.Fatalf("a surge changed another tenant's service: admitted %d/%d, refused %d/%d", baselineAdmitted, admitted, baselineRefused, refused)
	}
	if baselineRefused > baselineAdmitted/50 {
		t.Fatalf("a tenant well within its limit was refused %d times of %d", baselineRefused, baselineAdmitted)
	}
}

func TestOneNodeMayTakeNearlyTheWholeLimit(t *testing.T) {
	tenant := RateLimit{Name: "t", Rate: 50, Burst: 50}
	f := newFleet(5, 8, tenant)
	for f.now < 20*time.Second {
		f.step()
		f.ask(f.nodes[3], tenant)
	}
	f.check(t, tenant)
	if got := len(f.log["t"]); got < 500 {
		t.Fatalf("only %d of 1000 when all clients come in at one node", got)
	}
}

func TestNodeWithoutContactKeepsItsMinimum(t *testing.T) {
	tenant := RateLimit{Name: "t", Rate: 200, Burst: 200}
	f := newFleet(6, 4, tenant)
	for f.now < 5*time.Second {
		f.step()
	}
	f.nodes[0].cut = time.Hour
	before := 0
	for f.now < 65*time.Second {
		f.step()
		if f.now > 10*time.Second && f.ask(f.nodes[0], tenant) {
			before++
		}
		f.ask(f.nodes[1], tenant)
	}
	f.check(t, tenant)
	minimum := tenant.Rate * minimumPart / (4 + spareNodes)
	if got := float64(before) / 55; got < minimum*0.8 || got > minimum*1.2 {
		t.Fatalf("without contact %.1f a second were admitted, the minimum is %.1f", got, minimum)
	}
	for f.now < 6*time.Minute {
		f.step()
	}
	if part := f.nodes[0].part(f.now, "t"); part != 0 {
		t.Fatalf("after the minimum has expired %.3f is still held", part)
	}
}

func TestSmallBurstsAreNotGrantedInPartsThatAdmitNothing(t *testing.T) {
	tenant := RateLimit{Name: "t", Rate: 4, Burst: 3}
	f := newFleet(7, 10, tenant)
	for f.now < 60*time.Second {
		f.step()
		f.ask(f.nodes[f.random.Intn(10)], tenant)
	}
	f.check(t, tenant)
	if got := len(f.log["t"]); got < 60 {
		t.Fatalf("only %d of 240 admitted", got)
	}
}
