package proxy

import (
	"maps"
	"math/rand"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/history"
	"tinpin/internal/quota"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// ClusterState is what this node knows: the configuration, the backends by
// service, the evacuated zones, the other nodes, its leases and its part of the
// shard map. The leader's updates and the node's own reading of the platform's
// list change it; requests read an immutable Snapshot of it. All methods may be
// called from any goroutine.
type ClusterState struct {
	settings settings.Settings
	log      *eventlog.Logger
	clock    Clock
	// History remembers what became of changes here.
	History *history.Recorder
	// Policies are the operator's policies and what was decided under them.
	Policies *Policies
	leases   leaseTable
	snapshot atomic.Pointer[Snapshot]

	// mu guards what is below. It may be taken before leases' and Policies' locks
	// and a backend's, never while one of those is held.
	mu     sync.Mutex
	config *config.Store
	view   *config.RoutingTable
	// known is how far this node has come in the leader's updates.
	known rpc.KnownState
	// configured is set for good once all of the configuration has arrived.
	configured bool
	// namedInList are the backends named so far in a whole list that arrives in
	// chunks, nil once it is complete.
	namedInList  map[rpc.EndpointID]bool
	listComplete bool
	backends     map[rpc.EndpointID]*Backend
	stats        map[rpc.ServiceName]*ServiceStats
	evacuations  map[rpc.ZoneName]rpc.Evacuation
	nodes        map[rpc.NodeID]rpc.Node
	controllers  map[string]bool
	// leaderMap is the leader's newest shard map; assignment says which one is in use.
	leaderMap  rpc.ShardMap
	assignment *healthcheck.ProbeAssignment
	outliers   *healthcheck.OutlierDetector
}

// leaseTable holds the leases of fleet-wide limits.
type leaseTable struct {
	mu     sync.Mutex
	shares *quota.Leases
}

// take takes leases that were asked for at a time: they run from then.
func (t *leaseTable) take(requestedAt time.Duration, leases []rpc.Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, lease := range leases {
		t.shares.Add(requestedAt, lease)
	}
}

// amount is what may be used of a limit now.
func (t *leaseTable) amount(now time.Duration, key quota.Key) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shares.Amount(now, key)
}

// NewClusterState knows nothing yet.
func NewClusterState(settings settings.Settings, log *eventlog.Logger, clock Clock) (state *ClusterState) {
	state = &ClusterState{
		settings: settings, log: log, clock: clock,
		History:     history.New(log),
		Policies:    NewPolicies(clock.Now()),
		leases:      leaseTable{shares: quota.NewLeases()},
		config:      config.New(),
		backends:    map[rpc.EndpointID]*Backend{},
		stats:       map[rpc.ServiceName]*ServiceStats{},
		evacuations: map[rpc.ZoneName]rpc.Evacuation{},
		nodes:       map[rpc.NodeID]rpc.Node{},
		controllers: map[string]bool{},
		assignment:  healthcheck.NewProbeAssignment(rpc.NodeID(settings.Name), settings.SendInterval, clock.Now()),
		outliers:    healthcheck.NewOutlierDetector(),
	}
	state.Policies.Retries = retry.NewLimiter(state.Leased)
	state.view = state.config.RoutingTable()
	state.publishSnapshot()
	return state
}

// Leased is what may be used of a leased limit now.
func (s *ClusterState) Leased(kind rpc.LeaseKind, key string) (amount float64) {
	return s.leases.amount(s.clock.Now(), quota.Key{Kind: kind, Name: key})
}

// Known is how far this node has come; a heartbeat names it.
func (s *ClusterState) Known() rpc.KnownState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// AddControllers adds controllers that another one named.
func (s *ClusterState) AddControllers(controllers []rpc.Controller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addControllers(controllers)
}

// addControllers is AddControllers for a caller that holds the lock.
func (s *ClusterState) addControllers(controllers []rpc.Controller) {
	for _, controller := range controllers {
		s.controllers[controller.InternalAddress] = true
	}
}

// ControllerAddresses lists the internal addresses of all controllers this node has
// heard of, in random order.
func (s *ClusterState) ControllerAddresses() (addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.controllers {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// statsOf gives the statistics of a service as a whole; the caller holds the lock.
func (s *ClusterState) statsOf(service rpc.ServiceName) (stats *ServiceStats) {
	stats = s.stats[service]
	if stats == nil {
		stats = &ServiceStats{}
		s.stats[service] = stats
	}
	return stats
}

// OutcomeCounts takes the outcomes of attempts to report: none while nothing
// fails. Only backends that may have something to report are looked at, so that a
// heartbeat costs no more where there are more backends.
func (s *ClusterState) OutcomeCounts() (counts []rpc.OutcomeCount) {
	now := s.clock.Now()
	s.mu.Lock()
	services := maps.Clone(s.stats)
	s.mu.Unlock()
	for service, stats := range services {
		before := len(counts)
		for _, backend := range stats.reportableBackends() {
			if count, reportable := backend.takeOutcomes(now); reportable {
				counts = append(counts, count)
			}
		}
		if len(counts) == before {
			continue
		}
		succeeded, failed := stats.takeCounts()
		counts = append(counts, rpc.OutcomeCount{Service: service, Succeeded: succeeded, Failed: failed})
	}
	return counts
}

// listedBackends are the backends of the endpoint list.
func (s *ClusterState) listedBackends() (backends []*Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.backends))
}

// CloseIdle closes connections to backends that were idle too long.
func (s *ClusterState) CloseIdle() {
	now := s.clock.Now()
	for _, backend := range s.listedBackends() {
		backend.closeIdle(now, false)
	}
}

// abortRequests breaks off what is in flight at a backend; with keepKeyed, keyed
// requests may go on.
func (s *ClusterState) abortRequests(id rpc.EndpointID, keepKeyed bool) {
	s.mu.Lock()
	backend := s.backends[id]
	s.mu.Unlock()
	if backend != nil {
		backend.closeActive(keepKeyed)
	}
}

// Tick moves the shard assignment on and lists the services to probe, with the term
// and revision of the shard map that says so.
func (s *ClusterState) Tick(hasLeader bool) (services []rpc.ServiceName, term rpc.Term, revision rpc.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.assignment.SetHasLeader(now, hasLeader)
	applied, headless := s.assignment.Tick(now)
	if applied {
		applied := s.assignment.AppliedMap()
		s.log.Emit(eventlog.ShardMapChanged,
			eventlog.KeyVersion, uint64(applied.Revision), eventlog.KeyMembers, len(applied.Members))
	}
	if headless {
		s.log.Emit(eventlog.NoLeader)
	}
	shards := s.assignment.AppliedMap()
	return s.assignment.AssignedServices(), shards.Term, shards.Revision
}

// DetectOutliers moves outlier detection on and gives the backends whose ejection changed.
func (s *ClusterState) DetectOutliers(services []rpc.ServiceName) (changed map[rpc.EndpointID]string) {
	snapshot := s.Snapshot()
	sizes := make(map[rpc.ServiceName]int, len(services))
	for _, service := range services {
		sizes[service] = len(snapshot.Services[service])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.Tick(s.clock.Now(), sizes)
}

// ProbesOnlyOwn reports whether this node probes only what it owns, not beside all others.
func (s *ClusterState) ProbesOnlyOwn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.assignment.WithoutLeader() && !s.assignment.HasUncovered()
}

// ProbedServices lists the services this node probes now.
func (s *ClusterState) ProbedServices() (services []rpc.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment.AssignedServices()
}

// AbsentNodes are the nodes that the leader does not hear.
func (s *ClusterState) AbsentNodes() (absent map[rpc.NodeID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment.AbsentNodes()
}

// StateOf gives what this node knows of a subject of the history: its summary, its
// revision where it has one, and whether it is known at all.
func (s *ClusterState) StateOf(kind, name string) (summary string, revision uint64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case history.Item:
		item, found := s.config.Find(name)
		return item.Summary(), item.Rev, found
	case history.Document, history.Retirement, history.ScheduleStep:
		return s.Policies.stateOf(kind, name)
	case history.Evacuation:
		evacuation, found := s.evacuations[rpc.ZoneName(name)]
		return evacuation.Summary(), evacuation.LogIndex, found
	}
	backend := s.backends[rpc.EndpointID(name)]
	if backend == nil {
		return "", 0, false
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if kind == history.Backend {
		return backend.Endpoint.Summary(), 0, true
	}
	warmUp := max(0, backend.warmUpUntil-s.clock.Now())
	return rpc.EndpointState{Health: backend.health, WarmupRemaining: warmUp}.Summary(), 0, true
}

// appliedShards is the shard map in use.
func (s *ClusterState) appliedShards() rpc.ShardMap {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment.AppliedMap()
}
