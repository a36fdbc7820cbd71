package coordinator

import (
	"sync"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/history"
	"tinpin/internal/node"
	"tinpin/internal/raft"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
	"tinpin/internal/statemachine"
)

// reconcileInterval is how often time moves on for the state machines.
const reconcileInterval = 100 * time.Millisecond

// Coordinator works while this controller leads in one term.
type Coordinator struct {
	settings settings.Settings
	log      *eventlog.Logger
	node     *node.Node
	history  *history.Recorder
	term     rpc.Term
	started  time.Time
	// closed is closed by Close, once.
	closed     chan struct{}
	rejections rejectionLog

	// mu guards all fields below.
	mu sync.Mutex
	// changed is closed and replaced whenever open heartbeats should look again.
	changed chan struct{}

	// revisions numbers the changes of the tables that updates are made from.
	revisions *registry.RevisionCounter
	nodes     nodeTable
	endpoints *registry.EndpointList
	health    *healthcheck.StateCache

	// routingTable and revision are the replicated configuration as last read,
	// evacuatedZones what is evacuated by it.
	routingTable   *config.RoutingTable
	logIndex       uint64
	evacuatedZones map[rpc.ZoneName]bool

	encoded     encodedParts
	outcomes    outcomeRelay
	leases      leaseTable
	followers   followerTable
	policies    policies
	sessions    sessionTable
	zoneBalance *healthcheck.ZoneBalancer
}

// Start begins a leader's term. The first term of all grants leases at once;
// later ones wait until those of older leaders have run out.
func Start(p settings.Settings, log *eventlog.Logger, raftNode *node.Node, term raft.Term) (c *Coordinator) {
	c = newCoordinator(p, log, rpc.Term(term))
	c.node, c.history = raftNode, raftNode.History
	go c.reconcileLoop()
	if p.PlatformAddress != "" {
		go c.listLoop()
	}
	return c
}

// newCoordinator is one whose loops do not run.
func newCoordinator(p settings.Settings, log *eventlog.Logger, term rpc.Term) (c *Coordinator) {
	revisions := &registry.RevisionCounter{}
	revisions.Next()
	timeouts := registry.NodeTimeouts{Absent: healthcheck.TakeoverDelay, Expired: removeNodeAfter}
	return &Coordinator{
		settings: p, log: log, term: term, started: time.Now(),
		changed: make(chan struct{}), closed: make(chan struct{}),
		revisions:      revisions,
		nodes:          newNodeTable(revisions, timeouts),
		endpoints:      registry.NewEndpointList(revisions),
		health:         healthcheck.NewStateCache(revisions, 3*p.HealthCheckInterval+time.Second),
		routingTable:   config.New().RoutingTable(),
		evacuatedZones: map[rpc.ZoneName]bool{},
		outcomes:       newOutcomeRelay(),
		leases:         newLeaseTable(term == 1),
		followers:      newFollowerTable(),
		policies:       newPolicies(),
		sessions:       newSessionTable(),
		zoneBalance:    healthcheck.NewZoneBalancer(),
	}
}

// Close ends the loops and answers open heartbeats. It must be called once.
func (c *Coordinator) Close() { close(c.closed) }

// now is the time since the term began, the clock of all the state machines.
func (c *Coordinator) now() time.Duration { return time.Since(c.started) }

// wakeHeartbeats lets open heartbeats look for updates; the caller holds mu.
func (c *Coordinator) wakeHeartbeats() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// StateChanged takes up what changed in the replicated state.
func (c *Coordinator) StateChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var routingTable *config.RoutingTable
	active := map[rpc.ZoneName]bool{}
	c.node.ReadState(func(state *statemachine.State) {
		if state.Revision != c.logIndex {
			c.logIndex = state.Revision
			routingTable = state.Config.RoutingTable()
			c.policies.load(state)
			c.sessions.load(state)
		}
		for zone, evacuation := range state.Evacuations {
			if evacuation.Active {
				active[rpc.ZoneName(zone)] = true
			}
		}
	})
	if routingTable != nil {
		c.routingTable = routingTable
	}
	for zone := range c.evacuatedZones {
		if !active[zone] {
			c.suspectWarmUp(zone)
		}
	}
	c.evacuatedZones = active
	c.wakeHeartbeats()
}

// suspectWarmUp treats the backends of a zone that takes traffic again as
// possibly warming up: they may have restarted while nobody looked.
func (c *Coordinator) suspectWarmUp(zone rpc.ZoneName) {
	c.endpoints.Endpoints.Each(func(id rpc.EndpointID, endpoint rpc.Endpoint) {
		if endpoint.Zone != zone {
			return
		}
		if service := c.routingTable.Services[string(endpoint.Service)]; service != nil {
			c.health.SetWarmingUp(c.now(), id, endpoint.Service, service.SlowStart)
		}
	})
}

// reconcileLoop moves the time of the state machines on until Close.
func (c *Coordinator) reconcileLoop() {
	c.StateChanged()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
			c.reconcile()
		}
	}
}

func (c *Coordinator) reconcile() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	changed := c.reconcileNodes(now)
	if c.health.Tick(now) {
		changed = true
	}
	c.reconcilePolicies(now)
	c.expireSessions(now)
	if c.zoneBalance.Due(now) {
		c.balanceZones(now)
	}
	c.leases.warmingUp = c.health.WarmingUp(now-time.Second, c.leases.warmingUp[:0])
	if changed {
		c.wakeHeartbeats()
	}
}
