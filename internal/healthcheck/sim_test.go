package healthcheck

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

// The simulation drives real registries, caches and assignments of a fleet under a
// simulated counter, from a seed: nodes die and come back, lose contact, new ones join,
// services are added, leaders change. At each step it checks that no service stays
// without a prober for longer than the limits allow; without further faults, that each
// has exactly one and that the death of an endpoint reaches every node. Injected bugs
// prove that the checks can fail.

type injectedBug struct {
	ignoreAbsent bool // nobody takes over from absent owners
	noDebounce   bool // the first map is never applied
	keepStale    bool // the cache never takes changes from a new owner
}

type simNode struct {
	id            rpc.NodeID
	up            bool
	cut           time.Duration
	assignment    *ProbeAssignment
	lastHeartbeat time.Duration
	next          time.Duration
	seen          rpc.Revision
	term          int
	states        map[rpc.EndpointID]rpc.Health
	known         map[rpc.EndpointID]rpc.Health
}

type simFleet struct {
	random       *rand.Rand
	bug          injectedBug
	now          time.Duration
	nodes        []*simNode
	services     []rpc.ServiceName
	alive        map[rpc.ServiceName]bool
	term         int
	hasLeader    bool
	back         time.Duration
	counter      *registry.RevisionCounter
	nodeRegistry *registry.NodeRegistry
	cache        *StateCache
	shards       rpc.ShardMap
	probed       map[rpc.ServiceName]time.Duration
	violation    string
}

const (
	simStep     = 100 * time.Millisecond
	simInterval = 2 * time.Second
)

func newSimFleet(seed int64, bug injectedBug) (f *simFleet) {
	f = &simFleet{random: rand.New(rand.NewSource(seed)), bug: bug, alive: map[rpc.ServiceName]bool{}, probed: map[rpc.ServiceName]time.Duration{}}
	for i := range 12 {
		f.addService(i)
	}
	for i := range 6 {
		f.nodes = append(f.nodes, &simNode{id: rpc.NodeID(fmt.Sprint("edge-", i))})
		f.start(f.nodes[i])
	}
	f.startTerm()
	return f
}

func (f *simFleet) addService(i int) {
	name := rpc.ServiceName(fmt.Sprint("service-", i))
	f.services = append(f.services, name)
	f.alive[name] = true
	f.probed[name] = f.now
	for _, d := range f.nodes {
		d.assignment.SetServices(f.services)
		d.assignment.CoverNewServices(f.now)
	}
}

func (f *simFleet) start(d *simNode) {
	d.up, d.seen, d.term, d.lastHeartbeat = true, 0, 0, -time.Hour
	d.assignment = NewProbeAssignment(d.id, simInterval, f.now)
	d.assignment.SetServices(f.services)
	d.states, d.known = map[rpc.EndpointID]rpc.Health{}, map[rpc.EndpointID]rpc.Health{}
}

func (f *simFleet) startTerm() {
	f.term++
	f.hasLeader = true
	f.counter = &registry.RevisionCounter{}
	f.counter.Next()
	f.nodeRegistry = registry.NewNodeRegistry(f.counter, registry.NodeTimeouts{Absent: 1300 * time.Millisecond, Expired: 6 * time.Second})
	f.cache = NewStateCache(f.counter, 4*time.Second)
	f.shards = rpc.ShardMap{}
}

func (f *simFleet) members() {
	members := f.nodeRegistry.Members()
	if fmt.Sprint(members) != fmt.Sprint(f.shards.Members) {
		f.shards = rpc.ShardMap{Term: rpc.Term(f.term), Revision: f.counter.Next(), Members: members}
		f.cache.SetShardMap(f.shards)
	}
}

func (f *simFleet) step() {
	f.now += simStep
	if !f.hasLeader && f.now >= f.back {
		f.startTerm()
	}
	if f.hasLeader {
		f.nodeRegistry.Tick(f.now)
		f.members()
		f.cache.Tick(f.now)
	}
	for _, d := range f.nodes {
		if !d.up {
			continue
		}
		if f.hasLeader && f.now >= d.cut && f.now >= d.next {
			f.heartbeat(d)
		}
		d.assignment.SetHasLeader(f.now, f.now-d.lastHeartbeat < 1300*time.Millisecond)
		d.assignment.Tick(f.now)
		if f.random.Intn(5) == 0 {
			f.probe(d)
		}
	}
	f.check()
}

func (f *simFleet) heartbeat(d *simNode) {
	d.next = f.now + time.Duration(100+f.random.Intn(600))*time.Millisecond
	d.lastHeartbeat = f.now
	f.nodeRegistry.Heartbeat(f.now, rpc.Node{ID: d.id, Ready: true})
	f.members()
	if d.term != f.term {
		d.term, d.seen = f.term, 0
	}
	f.cache.States.Since(d.seen, func(id rpc.EndpointID, state rpc.EndpointState, _ bool) { d.known[id] = state.Health })
	if f.shards.Revision > d.seen && !f.bug.noDebounce {
		d.assignment.SetShardMap(f.now, f.shards)
	}
	d.seen = f.counter.Current()
	if !f.bug.ignoreAbsent {
		d.assignment.SetAbsent(f.nodeRegistry.Absent())
	}
}

func (f *simFleet) probe(d *simNode) {
	absent := map[rpc.NodeID]bool{}
	if f.hasLeader {
		for _, id := range f.nodeRegistry.Absent() {
			absent[id] = true
		}
	}
	for _, service := range d.assignment.AssignedServices() {
		f.probed[service] = f.now
		health := rpc.Healthy
		if !f.alive[service] {
			health = rpc.Unhealthy
		}
		id := rpc.EndpointID(service)
		d.known[id] = health
		if f.hasLeader && f.now >= d.cut && d.term == f.term {
			if f.bug.keepStale && f.cache.owners[service] != nil && f.cache.owners[service].node != d.id {
				continue
			}
			f.cache.Report(f.now, rpc.HealthReport{Node: d.id, Service: service, Full: true, States: []rpc.EndpointState{{Endpoint: id, Health: health}}}, absent)
		}
	}
}

// check asserts that nothing is left unprobed for longer than it may take: until a new
// leader is found or all probe without one, until the owner's service is taken over,
// until the update arrives, and until the next probe.
func (f *simFleet) check() {
	anyone := false
	for _, d := range f.nodes {
		anyone = anyone || d.up
	}
	if !anyone {
		return
	}
	bound := (TakeoverDelay + simInterval) + TakeoverDelay + 700*time.Millisecond + 2200*time.Millisecond
	for _, service := range f.services {
		if gap := f.now - f.probed[service]; gap > bound && f.violation == "" {
			f.violation = fmt.Sprintf("at %v: %s was not probed for %v", f.now, service, gap)
		}
	}
}

func (f *simFleet) injectFault() {
	d := f.nodes[f.random.Intn(len(f.nodes))]
	switch f.random.Intn(6) {
	case 0:
		d.up = false
	case 1:
		d.cut = f.now + time.Duration(f.random.Intn(4000))*time.Millisecond
	case 2:
		if f.hasLeader {
			f.hasLeader = false
			f.back = f.now + time.Duration(300+f.random.Intn(3000))*time.Millisecond
		}
	case 3:
		if len(f.nodes) < 9 {
			fresh := &simNode{id: rpc.NodeID(fmt.Sprint("edge-", len(f.nodes)))}
			f.nodes = append(f.nodes, fresh)
			f.start(fresh)
		}
	case 4:
		if len(f.services) < 16 {
			f.addService(len(f.services))
		}
	case 5:
		service := f.services[f.random.Intn(len(f.services))]
		f.alive[service] = !f.alive[service]
	}
}

func runFleet(seed int64, bug injectedBug) (violation string) {
	f := newSimFleet(seed, bug)
	for f.now < 120*time.Second && f.violation == "" {
		f.step()
		if f.random.Intn(20) == 0 {
			f.injectFault()
		}
		for _, d := range f.nodes {
			if !d.up && f.random.Intn(30) == 0 {
				f.start(d)
			}
		}
	}
	for _, d := range f.nodes {
		if !d.up {
			f.start(d)
		}
		d.cut = 0
	}
	for end := f.now + 20*time.Second; f.now < end && f.violation == ""; {
		f.step()
	}
	if f.violation != "" {
		return f.violation
	}
	for _, service := range f.services {
		probers := 0
		for _, d := range f.nodes {
			if d.assignment.Probes(service) {
				probers++
			}
		}
		if probers != 1 {
			return fmt.Sprintf("%s has %d probers once covered", service, probers)
		}
	}
	for service := range f.alive {
		f.alive[service] = !f.alive[service]
	}
	for end := f.now + 5*time.Second; f.now < end; {
		f.step()
	}
	for _, d := range f.nodes {
		for _, service := range f.services {
			want := rpc.Healthy
			if !f.alive[service] {
				want = rpc.Unhealthy
			}
			if d.known[rpc.EndpointID(service)] != want {
				return fmt.Sprintf("%s does not know the health of %s", d.id, service)
			}
		}
	}
	return f.violation
}

func TestProbeAssignmentUnderFaults(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		if violation := runFleet(seed, injectedBug{}); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

func TestInjectedBugsOfProbeAssignmentAreFound(t *testing.T) {
	for name, bug := range map[string]injectedBug{"ignoreAbsent": {ignoreAbsent: true}, "noDebounce": {noDebounce: true}, "keepStale": {keepStale: true}} {
		found := ""
		for seed := int64(1); seed <= 30 && found == ""; seed++ {
			found = runFleet(seed, bug)
		}
		if found == "" {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}
