// The simulation drives real rolls, caches and watches of a fleet under a
// seeded clock: daemons die and come back, lose touch, new ones join, services
// are added, leaders change. At each step it checks that no service stays
// without a prober for longer than the bounds allow; once calm, that each has
// exactly one and that a backend's death reaches every watcher. Planted faults
// prove that the checks can fail.
package healthcheck

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

type planted struct {
	deafToAbsent bool // watches do not stand in for absent owners
	noDebounce   bool // the first map is never applied
	keepStale    bool // the cache never takes changes from a new owner
}

type simDaemon struct {
	id     rpc.NodeID
	up     bool
	cut    time.Duration
	watch  *ProbeAssignment
	heard  time.Duration
	next   time.Duration
	seen   rpc.Revision
	term   int
	states map[rpc.EndpointID]rpc.Health
	known  map[rpc.EndpointID]rpc.Health
}

type simFleet struct {
	luck     *rand.Rand
	fault    planted
	now      time.Duration
	daemons  []*simDaemon
	services []rpc.ServiceName
	alive    map[rpc.ServiceName]bool
	term     int
	leads    bool
	back     time.Duration
	clock    *registry.RevisionCounter
	roll     *registry.NodeRegistry
	cache    *StateCache
	shards   rpc.ShardMap
	probed   map[rpc.ServiceName]time.Duration
	broken   string
}

const (
	simStep     = 100 * time.Millisecond
	simInterval = 2 * time.Second
)

func newSimFleet(seed int64, fault planted) (f *simFleet) {
	f = &simFleet{luck: rand.New(rand.NewSource(seed)), fault: fault, alive: map[rpc.ServiceName]bool{}, probed: map[rpc.ServiceName]time.Duration{}}
	for i := range 12 {
		f.addService(i)
	}
	for i := range 6 {
		f.daemons = append(f.daemons, &simDaemon{id: rpc.NodeID(fmt.Sprint("edge-", i))})
		f.start(f.daemons[i])
	}
	f.lead()
	return f
}

func (f *simFleet) addService(i int) {
	name := rpc.ServiceName(fmt.Sprint("service-", i))
	f.services = append(f.services, name)
	f.alive[name] = true
	f.probed[name] = f.now
	for _, d := range f.daemons {
		d.watch.SetServices(f.services)
		d.watch.CoverNewServices(f.now)
	}
}

func (f *simFleet) start(d *simDaemon) {
	d.up, d.seen, d.term, d.heard = true, 0, 0, -time.Hour
	d.watch = NewProbeAssignment(d.id, simInterval, f.now)
	d.watch.SetServices(f.services)
	d.states, d.known = map[rpc.EndpointID]rpc.Health{}, map[rpc.EndpointID]rpc.Health{}
}

func (f *simFleet) lead() {
	f.term++
	f.leads = true
	f.clock = &registry.RevisionCounter{}
	f.clock.Next()
	f.roll = registry.NewNodeRegistry(f.clock, registry.NodeTimeouts{Absent: 1300 * time.Millisecond, Expired: 6 * time.Second})
	f.cache = NewStateCache(f.clock, 4*time.Second)
	f.shards = rpc.ShardMap{}
}

func (f *simFleet) members() {
	members := f.roll.Members()
	if fmt.Sprint(members) != fmt.Sprint(f.shards.Members) {
		f.shards = rpc.ShardMap{Term: rpc.Term(f.term), Revision: f.clock.Next(), Members: members}
		f.cache.SetShardMap(f.shards)
	}
}

func (f *simFleet) step() {
	f.now += simStep
	if !f.leads && f.now >= f.back {
		f.lead()
	}
	if f.leads {
		f.roll.Tick(f.now)
		f.members()
		f.cache.Tick(f.now)
	}
	for _, d := range f.daemons {
		if !d.up {
			continue
		}
		if f.leads && f.now >= d.cut && f.now >= d.next {
			f.beat(d)
		}
		d.watch.SetHasLeader(f.now, f.now-d.heard < 1300*time.Millisecond)
		d.watch.Tick(f.now)
		if f.luck.Intn(5) == 0 {
			f.probe(d)
		}
	}
	f.check()
}

func (f *simFleet) beat(d *simDaemon) {
	d.next = f.now + time.Duration(100+f.luck.Intn(600))*time.Millisecond
	d.heard = f.now
	f.roll.Heartbeat(f.now, rpc.Node{ID: d.id, Ready: true})
	f.members()
	if d.term != f.term {
		d.term, d.seen = f.term, 0
	}
	f.cache.States.Since(d.seen, func(id rpc.EndpointID, state rpc.EndpointState, _ bool) { d.known[id] = state.Health })
	if f.shards.Revision > d.seen && !f.fault.noDebounce {
		d.watch.SetShardMap(f.now, f.shards)
	}
	d.seen = f.clock.Current()
	if !f.fault.deafToAbsent {
		d.watch.SetAbsent(f.roll.Absent())
	}
}

func (f *simFleet) probe(d *simDaemon) {
	absent := map[rpc.NodeID]bool{}
	if f.leads {
		for _, id := range f.roll.Absent() {
			absent[id] = true
		}
	}
	for _, service := range d.watch.AssignedServices() {
		f.probed[service] = f.now
		health := rpc.Healthy
		if !f.alive[service] {
			health = rpc.Unhealthy
		}
		id := rpc.EndpointID(service)
		d.known[id] = health
		if f.leads && f.now >= d.cut && d.term == f.term {
			if f.fault.keepStale && f.cache.owners[service] != nil && f.cache.owners[service].node != d.id {
				continue
			}
			f.cache.Report(f.now, rpc.HealthReport{Node: d.id, Service: service, Full: true, States: []rpc.EndpointState{{Endpoint: id, Health: health}}}, absent)
		}
	}
}

// check holds that nothing is left unwatched for longer than it may take: till
// the leader is missed and found (or everybody goes headless), till the owner is
// stood in for, till the news is told, and till the next probe.
func (f *simFleet) check() {
	anyone := false
	for _, d := range f.daemons {
		anyone = anyone || d.up
	}
	if !anyone {
		return
	}
	bound := (TakeoverDelay + simInterval) + TakeoverDelay + 700*time.Millisecond + 2200*time.Millisecond
	for _, service := range f.services {
		if silence := f.now - f.probed[service]; silence > bound && f.broken == "" {
			f.broken = fmt.Sprintf("at %v: %s was not probed for %v", f.now, service, silence)
		}
	}
}

func (f *simFleet) trouble() {
	d := f.daemons[f.luck.Intn(len(f.daemons))]
	switch f.luck.Intn(6) {
	case 0:
		d.up = false
	case 1:
		d.cut = f.now + time.Duration(f.luck.Intn(4000))*time.Millisecond
	case 2:
		if f.leads {
			f.leads = false
			f.back = f.now + time.Duration(300+f.luck.Intn(3000))*time.Millisecond
		}
	case 3:
		if len(f.daemons) < 9 {
			fresh := &simDaemon{id: rpc.NodeID(fmt.Sprint("edge-", len(f.daemons)))}
			f.daemons = append(f.daemons, fresh)
			f.start(fresh)
		}
	case 4:
		if len(f.services) < 16 {
			f.addService(len(f.services))
		}
	case 5:
		service := f.services[f.luck.Intn(len(f.services))]
		f.alive[service] = !f.alive[service]
	}
}

func playFleet(seed int64, fault planted) (broken string) {
	f := newSimFleet(seed, fault)
	for f.now < 120*time.Second && f.broken == "" {
		f.step()
		if f.luck.Intn(20) == 0 {
			f.trouble()
		}
		for _, d := range f.daemons {
			if !d.up && f.luck.Intn(30) == 0 {
				f.start(d)
			}
		}
	}
	for _, d := range f.daemons {
		if !d.up {
			f.start(d)
		}
		d.cut = 0
	}
	for end := f.now + 20*time.Second; f.now < end && f.broken == ""; {
		f.step()
	}
	if f.broken != "" {
		return f.broken
	}
	for _, service := range f.services {
		probers := 0
		for _, d := range f.daemons {
			if d.watch.Probes(service) {
				probers++
			}
		}
		if probers != 1 {
			return fmt.Sprintf("%s has %d probers once settled", service, probers)
		}
	}
	for service := range f.alive {
		f.alive[service] = !f.alive[service]
	}
	for end := f.now + 5*time.Second; f.now < end; {
		f.step()
	}
	for _, d := range f.daemons {
		for _, service := range f.services {
			want := rpc.Healthy
			if !f.alive[service] {
				want = rpc.Unhealthy
			}
			if d.known[rpc.EndpointID(service)] != want {
				return fmt.Sprintf("%s does not know how %s is", d.id, service)
			}
		}
	}
	return f.broken
}

func TestWatchUnderTrouble(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		if broken := playFleet(seed, planted{}); broken != "" {
			t.Errorf("seed %d: %s", seed, broken)
		}
	}
}

func TestPlantedFaultsOfTheWatchAreFound(t *testing.T) {
	for name, fault := range map[string]planted{"deafToAbsent": {deafToAbsent: true}, "noDebounce": {noDebounce: true}, "keepStale": {keepStale: true}} {
		found := ""
		for seed := int64(1); seed <= 30 && found == ""; seed++ {
			found = playFleet(seed, fault)
		}
		if found == "" {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}
