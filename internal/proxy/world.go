// World is what this daemon knows: the configuration, the backends by service,
// the evacuated sites, the fellows and its leases. News and the daemon's own
// reading change it in one place; requests read an unchanging scene of it.
package proxy

import (
	"maps"
	"math/rand"
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

// maxLoggedItems is how many items of one telling are logged each.
const maxLoggedItems = 64

// Snapshot is one state of the world, read-only but for the servers' own marks.
type Snapshot struct {
	View     *config.View
	Services map[rpc.ServiceName][]*Backend
	// Preferred are the backends of a service that this daemon uses first, Beyond
	// all others; Share is how many daemons use each of the near ones.
	Preferred, Others map[rpc.ServiceName][]*Backend
	NodesPerBackend   map[rpc.ServiceName]int
	Evacuated         map[rpc.ZoneName]bool
	Nodes             map[rpc.NodeID]rpc.Node
	// ReadyNodes counts the daemons that share the backends now.
	ReadyNodes   int
	Configured   bool
	ListComplete bool
	Revision     uint64
}

// backendCount counts all.
func (s *Snapshot) backendCount() (count int) {
	for _, servers := range s.Services {
		count += len(servers)
	}
	return count
}

// ClusterState keeps it.
type ClusterState struct {
	settings settings.Settings
	log      *eventlog.Logger
	clock    Clock
	// History remembers what became of changes here.
	History *history.Recorder
	// Policies are the drain policy, the retired backends and the day's plan.
	Policies *Policies

	mu           sync.Mutex
	config       *config.Canon
	known        rpc.KnownState
	configured   bool
	namedInList  map[rpc.EndpointID]bool
	servers      map[rpc.EndpointID]*Backend
	evacuations  map[rpc.ZoneName]rpc.Evacuation
	nodes        map[rpc.NodeID]rpc.Node
	controllers  map[string]bool
	assignment   *healthcheck.Watch
	leaderMap    rpc.ShardMap
	outliers     *healthcheck.Judge
	listComplete bool
	view         *config.View
	leases       *quota.Shares
	snapshot     atomic.Pointer[Snapshot]
	leasesMu     sync.Mutex
	stats        map[rpc.ServiceName]*ServiceStats
}

// NewClusterState knows nothing yet.
func NewClusterState(p settings.Settings, log *eventlog.Logger, clock Clock) (world *ClusterState) {
	world = &ClusterState{
		settings: p, log: log, clock: clock, History: history.New(log), Policies: NewPolicies(clock.Now()), config: config.New(), servers: map[rpc.EndpointID]*Backend{},
		evacuations: map[rpc.ZoneName]rpc.Evacuation{}, nodes: map[rpc.NodeID]rpc.Node{}, controllers: map[string]bool{},
		assignment: healthcheck.NewWatch(rpc.NodeID(p.Name), p.SendInterval, clock.Now()),
		outliers:   healthcheck.NewJudge(), leases: quota.NewShares(), stats: map[rpc.ServiceName]*ServiceStats{},
	}
	world.Policies.Retries = retry.NewLimiter(world.Leased)
	world.view = world.config.View()
	world.publishSnapshot()
	return world
}

// Snapshot gives the newest state.
func (w *ClusterState) Snapshot() (scene *Snapshot) { return w.snapshot.Load() }

// Leased is what may be used of a leased bound now.
func (w *ClusterState) Leased(kind rpc.LeaseKind, key string) (amount float64) {
	w.leasesMu.Lock()
	defer w.leasesMu.Unlock()
	return w.leases.Amount(w.clock.Now(), quota.Key{Kind: kind, Name: key})
}

// Known is what a beat names.
func (w *ClusterState) Known() (seen rpc.KnownState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known
}

// takeLeases takes the leases of news that is not overtaken.
func (w *ClusterState) takeLeases(asked time.Duration, leases []rpc.Lease) {
	w.leasesMu.Lock()
	defer w.leasesMu.Unlock()
	for _, lease := range leases {
		w.leases.Take(asked, lease)
	}
}

// Apply takes the news that was asked for at a time, and tells whether it is the
// newest leader's: of an older one nothing is taken, however late its answer comes.
func (w *ClusterState) Apply(asked time.Duration, news *rpc.Update) (led bool) {
	if news.CompressedItems != nil {
		items, err := rpc.DecompressItems(news.CompressedItems)
		if err != nil {
			w.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			return false
		}
		news.Items = items
	}
	if news.EndpointChunk != nil {
		if err := news.EndpointChunk.Decompress(); err != nil {
			w.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			return false
		}
	}
	if news.CompressedNodes != nil {
		fellows, err := rpc.Decompress[rpc.NodeChange](news.CompressedNodes)
		if err != nil {
			w.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			return false
		}
		news.Nodes = append(news.Nodes, fellows...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	// What an older leader, or the same one earlier, told is overtaken.
	if news.Term < w.known.Term {
		return false
	}
	if news.Term == w.known.Term && news.Revision < w.known.Revision {
		return true
	}
	w.takeLeases(asked, news.Leases)
	if part := news.EndpointChunk; part != nil && !w.continuesList(news.Term, part) {
		// Only the part is refused: the rest says where to go on from.
		w.log.Emit(eventlog.NodeRequestRejected, eventlog.KeyCall, "news", eventlog.KeyReason, "a part of the list that does not follow", eventlog.KeyFrom, string(part.After), "position", string(part.Last))
		news.EndpointChunk = nil
	}
	first := w.known.LogIndex == 0
	if news.Term != w.known.Term {
		w.known.EndpointsComplete, w.known.LastEndpoint, w.known.ShardMapRevision, w.namedInList = false, "", 0, map[rpc.EndpointID]bool{}
	}
	changed := news.Full || news.EndpointChunk != nil || len(news.Endpoints) > 0 || len(news.Nodes) > 0 || len(news.Items) > 0 || len(news.Evacuations) > 0
	for _, core := range news.Controllers {
		w.controllers[core.InternalAddress] = true
	}
	if news.Full {
		w.nodes = map[rpc.NodeID]rpc.Node{}
	}
	w.known.Term, w.known.Revision = news.Term, news.Revision
	w.Policies.apply(now, asked, news, w.History, first)
	back := map[rpc.ZoneName]bool{}
	for _, evacuation := range news.Evacuations {
		if old := w.evacuations[evacuation.Zone]; old.LogIndex < evacuation.LogIndex {
			w.evacuations[evacuation.Zone] = evacuation
			w.History.Record(history.Evacuation, string(evacuation.Zone), "applied", evacuation.Summary(), evacuation.LogIndex, first)
			back[evacuation.Zone] = old.Active && !evacuation.Active
		}
	}
	for _, item := range news.Items {
		if err := w.config.Put(item); err != nil {
			w.log.Emit(eventlog.SettingsRejected, "item", item.Name, eventlog.KeyError, err.Error())
		}
	}
	for _, item := range news.Items {
		w.History.Record(history.Item, item.Path(), "applied", item.Stamp(), item.Rev, first || len(news.Items) > maxLoggedItems)
	}
	if news.LogIndex > w.known.LogIndex || news.LogIndex == w.known.LogIndex && news.LastItem > w.known.LastItem {
		w.known.LogIndex, w.known.LastItem = news.LogIndex, news.LastItem
	}
	if len(news.Items) > 0 {
		w.view = w.config.View()
		names := make([]rpc.ServiceName, 0, len(w.view.Services))
		for name := range w.view.Services {
			names = append(names, rpc.ServiceName(name))
		}
		w.assignment.Services(names)
		w.assignment.Settle(now)
	}
	if news.EndpointChunk != nil && !w.known.EndpointsComplete {
		w.applyListPart(now, news.EndpointChunk)
	}
	w.applyListChanges(now, news.Endpoints, false)
	for site, returned := range back {
		if !returned {
			continue
		}
		for _, server := range w.servers {
			if server.Zone == site {
				if service := w.view.Services[string(server.Service)]; service != nil {
					server.startWarmUp(now, service.Cold)
				}
			}
		}
	}
	for _, state := range news.States {
		if server := w.servers[state.Endpoint]; server != nil && !state.Removed {
			w.History.Record(history.Health, string(state.Endpoint), "heard", state.Summary(), uint64(news.Revision), true)
			server.update(now, nil, &state)
		}
	}
	for _, change := range news.Nodes {
		if change.Removed {
			delete(w.nodes, change.ID)
		} else {
			w.nodes[change.ID] = change.Node
		}
	}
	if delta := news.ShardMapDelta; delta != nil && w.known.ShardMapRevision > 0 && delta.BaseRevision <= w.known.ShardMapRevision && delta.Revision > w.known.ShardMapRevision {
		next := w.leaderMap.Apply(*delta)
		news.ShardMap = &next
	}
	if news.ShardMap != nil {
		w.leaderMap, w.known.ShardMapRevision = *news.ShardMap, news.ShardMap.Revision
		w.assignment.Map(now, *news.ShardMap)
	}
	for _, tally := range news.Outcomes {
		w.outliers.Add(now, tally)
	}
	w.assignment.Absent(news.Absent)
	w.assignment.Led(now, true)
	if changed {
		w.publishSnapshot()
	}
	return true
}

// OutcomeCounts gives what is to be told of the backends' outcomes: nothing at all
// while none fails. Only those are looked at of which there may be something to
// tell, so that a beat costs no more where there are more backends.
func (w *ClusterState) OutcomeCounts() (tallies []rpc.OutcomeCount) {
	now := w.clock.Now()
	w.mu.Lock()
	habits := maps.Clone(w.stats)
	w.mu.Unlock()
	for service, habit := range habits {
		before := len(tallies)
		for _, server := range habit.reportableBackends() {
			if tally, told := server.takeOutcomes(now); told {
				tallies = append(tallies, tally)
			}
		}
		if len(tallies) == before {
			continue
		}
		good, bad := habit.takeCounts()
		tallies = append(tallies, rpc.OutcomeCount{Service: service, Succeeded: good, Failed: bad})
	}
	return tallies
}

// AddControllers notes cores that were heard of.
func (w *ClusterState) AddControllers(cores []rpc.Controller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, core := range cores {
		w.controllers[core.InternalAddress] = true
	}
}

// statsOf gives what is known of a service as a whole; the caller holds the lock.
func (w *ClusterState) statsOf(service rpc.ServiceName) (habit *ServiceStats) {
	habit = w.stats[service]
	if habit == nil {
		habit = &ServiceStats{}
		w.stats[service] = habit
	}
	return habit
}

// continuesList tells that a part of the list follows what was told of it: a gap would
// be taken for backends that are gone.
func (w *ClusterState) continuesList(term rpc.Term, part *rpc.EndpointChunk) (follows bool) {
	told := w.known.LastEndpoint
	if term != w.known.Term {
		told = ""
	}
	for _, server := range part.Endpoints {
		if server.ID <= part.After {
			return false
		}
	}
	return w.known.EndpointsComplete && term == w.known.Term || part.After <= told
}

// applyListPart takes a part of the whole list; the last one drops what none named.
func (w *ClusterState) applyListPart(now time.Duration, part *rpc.EndpointChunk) {
	changes := make([]rpc.EndpointChange, len(part.Endpoints))
	for i, server := range part.Endpoints {
		changes[i].Endpoint = server
	}
	w.applyListChanges(now, changes, true)
	for i := range part.States {
		if server := w.servers[part.States[i].Endpoint]; server != nil {
			server.update(now, nil, &part.States[i])
		}
	}
	w.known.LastEndpoint = max(w.known.LastEndpoint, part.Last)
	if !part.Complete {
		return
	}
	for id, server := range w.servers {
		if !w.namedInList[id] {
			server.closeIdle(now, true)
			delete(w.servers, id)
		}
	}
	w.known.EndpointsComplete, w.listComplete, w.namedInList = true, true, nil
}

// applyListChanges takes changes of the list; those of a whole telling are not logged.
func (w *ClusterState) applyListChanges(now time.Duration, changes []rpc.EndpointChange, quiet bool) {
	for i := range changes {
		change := &changes[i]
		server := w.servers[change.ID]
		if change.Removed {
			if server != nil {
				w.History.Record(history.Backend, string(change.ID), "applied", "gone", 0, false)
				server.closeIdle(now, true)
				delete(w.servers, change.ID)
			}
			continue
		}
		if w.namedInList != nil {
			w.namedInList[change.ID] = true
		}
		if server == nil {
			server = newBackend(change.Endpoint, rpc.RegionName(w.settings.ZoneRegions[string(change.Zone)]), w.settings.Zone, w.statsOf(change.Service))
			if change.WarmupRemaining > 0 {
				server.startWarmUp(now, change.WarmupRemaining)
			}
			w.servers[change.ID] = server
		}
		if stamp := change.Summary(); server.lastStamp != stamp {
			server.lastStamp = stamp
			w.History.Record(history.Backend, string(change.ID), "applied", stamp, 0, quiet)
		}
		server.update(now, &change.Endpoint, nil)
	}
}

// ApplyOwnList takes a walk that this daemon made itself for want of a leader.
func (w *ClusterState) ApplyOwnList(walk []rpc.Endpoint) {
	changes := make([]rpc.EndpointChange, len(walk))
	for i := range walk {
		changes[i] = rpc.EndpointChange{Endpoint: walk[i]}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.applyListChanges(now, changes, false)
	w.listComplete = true
	w.publishSnapshot()
}

// publishSnapshot builds the scene anew.
func (w *ClusterState) publishSnapshot() {
	scene := &Snapshot{View: w.view, Services: map[rpc.ServiceName][]*Backend{}, Preferred: map[rpc.ServiceName][]*Backend{}, Others: map[rpc.ServiceName][]*Backend{}, Evacuated: map[rpc.ZoneName]bool{}, Nodes: map[rpc.NodeID]rpc.Node{}, ListComplete: w.listComplete, Revision: w.known.LogIndex}
	for _, server := range w.servers {
		scene.Services[server.Service] = append(scene.Services[server.Service], server)
	}
	for _, servers := range scene.Services {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	for site, evacuation := range w.evacuations {
		if evacuation.Active {
			scene.Evacuated[site] = true
		}
	}
	for id, fellow := range w.nodes {
		scene.Nodes[id] = fellow
		if fellow.Ready && !fellow.Stopping {
			scene.ReadyNodes++
		}
	}
	subset := NewSubset(rpc.NodeID(w.settings.Name), rpc.ZoneName(w.settings.Zone), w.nodes, w.settings.SubsetSize)
	scene.NodesPerBackend = map[rpc.ServiceName]int{}
	for service, servers := range scene.Services {
		here := 0
		for _, server := range servers {
			if string(server.Zone) == w.settings.Zone {
				here++
			}
		}
		scene.NodesPerBackend[service] = subset.NodesPerBackend(here)
		for _, server := range servers {
			if string(server.Zone) == w.settings.Zone && subset.Contains(server.ID, scene.NodesPerBackend[service]) {
				scene.Preferred[service] = append(scene.Preferred[service], server)
			} else {
				scene.Others[service] = append(scene.Others[service], server)
			}
		}
	}
	// Until all items are here, a way that is missing proves nothing.
	w.configured = w.configured || w.known.LastItem == rpc.AfterAllItems && !w.config.Empty()
	scene.Configured = w.configured
	w.snapshot.Store(scene)
}

// CloseIdle closes streams that lay idle too long.
func (w *ClusterState) CloseIdle() {
	w.mu.Lock()
	servers := make([]*Backend, 0, len(w.servers))
	for _, server := range w.servers {
		servers = append(servers, server)
	}
	w.mu.Unlock()
	now := w.clock.Now()
	for _, server := range servers {
		server.closeIdle(now, false)
	}
}

// abortRequests breaks off what is still at work at a backend; with but, keyed requests
// may go on.
func (w *ClusterState) abortRequests(id rpc.EndpointID, but bool) {
	w.mu.Lock()
	server := w.servers[id]
	w.mu.Unlock()
	if server != nil {
		server.closeActive(but)
	}
}

// ControllerAddresses lists the inner addresses of cores this daemon has heard of.
func (w *ClusterState) ControllerAddresses() (inners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for inner := range w.controllers {
		inners = append(inners, inner)
	}
	sort.Strings(inners)
	rand.Shuffle(len(inners), func(i, j int) { inners[i], inners[j] = inners[j], inners[i] })
	return inners
}

// Tick moves the watch on and lists the services to probe.
func (w *ClusterState) Tick(led bool) (duties []rpc.ServiceName, term rpc.Term, count rpc.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.assignment.Led(now, led)
	applied, headless := w.assignment.Tick(now)
	if applied {
		w.log.Emit(eventlog.ShardMapChanged, eventlog.KeyVersion, uint64(w.assignment.Applied().Revision), eventlog.KeyMembers, len(w.assignment.Applied().Members))
	}
	if headless {
		w.log.Emit(eventlog.Headless)
	}
	shards := w.assignment.Applied()
	return w.assignment.Duties(), shards.Term, shards.Revision
}

// DetectOutliers moves the judge's time on and gives the backends whose standing changed.
func (w *ClusterState) DetectOutliers(duties []rpc.ServiceName) (changed map[rpc.EndpointID]string) {
	scene := w.Snapshot()
	sizes := make(map[rpc.ServiceName]int, len(duties))
	for _, service := range duties {
		sizes[service] = len(scene.Services[service])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outliers.Tick(w.clock.Now(), sizes)
}

// ProbesOnlyOwn tells that this daemon probes only what it owns, not with all others.
func (w *ClusterState) ProbesOnlyOwn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.assignment.Headless() && !w.assignment.Unsettled()
}

// ProbedServices lists the services this daemon probes now.
func (w *ClusterState) ProbedServices() (duties []rpc.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment.Duties()
}

// AbsentNodes lists the fellows the leader does not hear.
func (w *ClusterState) AbsentNodes() (absent map[rpc.NodeID]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment.AbsentNow()
}

// StateOf tells how a subject stands on this daemon.
func (w *ClusterState) StateOf(kind, name string) (stamp string, rev uint64, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch kind {
	case history.Item:
		item, known := w.config.Find(name)
		return item.Stamp(), item.Rev, known
	case history.Document, history.Retirement, history.ScheduleStep:
		return w.Policies.stateOf(kind, name)
	case history.Evacuation:
		evacuation, known := w.evacuations[rpc.ZoneName(name)]
		return evacuation.Summary(), evacuation.LogIndex, known
	}
	server := w.servers[rpc.EndpointID(name)]
	if server == nil {
		return "", 0, false
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if kind == history.Backend {
		return server.Endpoint.Summary(), 0, true
	}
	return rpc.EndpointState{Health: server.health, WarmupRemaining: max(0, server.warmUpUntil-w.clock.Now())}.Summary(), 0, true
}
