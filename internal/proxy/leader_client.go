package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

const (
	// heartbeatHold is how long the leader may hold a heartbeat open until there is
	// something to answer; heartbeatTimeout comes on top for the way.
	heartbeatHold    = 500 * time.Millisecond
	heartbeatTimeout = 600 * time.Millisecond
	// updateTimeout is for a new leader's first update, which may be a large one.
	updateTimeout = 2 * time.Second
	// leaderTimeout is how long a leader that is not heard counts as one.
	leaderTimeout = 1300 * time.Millisecond
)

// LeaderClient is this node's tie to the leader: heartbeats out, updates back, claims of
// keys and questions for bindings in batches, health reports. Without a leader it asks
// every controller it knows, and reads the platform's list itself. It also holds the
// clients to other nodes. All methods may be called from any goroutine; each Run method
// runs in one of its own until Done is closed.
type LeaderClient struct {
	settings    settings.Settings
	log         *eventlog.Logger
	clock       Clock
	state       *ClusterState
	incarnation rpc.Incarnation
	self        func() rpc.Node
	seeds       atomic.Pointer[[]string]
	// lastHeard is the time, as a time.Duration of the clock, leader the internal
	// address, "" while none was ever heard.
	lastHeard    atomic.Int64
	leader       atomic.Pointer[string]
	claims       *Batcher[rpc.KeyClaim, rpc.ClaimResult]
	binds        *Batcher[rpc.SessionBinding, rpc.BindResult]
	wakeReleases chan struct{}
	searching    atomic.Bool

	// OnUpdate is called after each update that was applied.
	OnUpdate func()
	// Done is closed by the owner when the node stops; all Run methods end with it.
	Done chan struct{}
	// Loads tells what is in flight at each service, nil for nothing.
	Loads func() []rpc.Load
	// Limits tells the demand of tenants, nil where there are none.
	Limits *TenantLimits

	mu              sync.Mutex
	clients         map[string]*rpc.Client
	pendingReleases map[rpc.KeyClaim]bool
	queryTimeout    LeaderQueryTimeout
	term            rpc.Term
}

// NewLeaderClient has not found a leader yet; self tells what this node is now.
func NewLeaderClient(
	settings settings.Settings, log *eventlog.Logger, clock Clock, state *ClusterState, incarnation rpc.Incarnation,
	self func() rpc.Node,
) (client *LeaderClient) {
	client = &LeaderClient{
		settings: settings, log: log, clock: clock, state: state, incarnation: incarnation, self: self,
		wakeReleases: make(chan struct{}, 1),
		Done:         make(chan struct{}), clients: map[string]*rpc.Client{}, pendingReleases: map[rpc.KeyClaim]bool{},
	}
	client.claims = NewBatcher(claimQueueLength, claimCallsInFlight, maxClaimBatch, client.sendClaims)
	client.binds = NewBatcher(claimQueueLength, claimCallsInFlight, maxClaimBatch, client.sendBinds)
	client.lastHeard.Store(int64(-time.Hour))
	none := ""
	client.leader.Store(&none)
	client.SetSeeds(settings.Seeds)
	return client
}

// SetSeeds replaces the seeds after a change of the settings.
func (l *LeaderClient) SetSeeds(seeds []string) { l.seeds.Store(&seeds) }

// HasLeader reports whether a leader was heard lately.
func (l *LeaderClient) HasLeader() bool {
	return l.clock.Now()-time.Duration(l.lastHeard.Load()) < leaderTimeout
}

// peerClient gives the client of another node.
func (l *LeaderClient) peerClient(address string) *rpc.Client { return l.client(address, 0) }

// controllerClient gives the client of a controller. It may take as long to connect as
// the longest query timeout: where the way there takes half a second, no connection
// would ever come up otherwise.
func (l *LeaderClient) controllerClient(address string) *rpc.Client {
	return l.client(address, maxLeaderQueryTimeout)
}

// client gives the one client of an address; dialTimeout 0 leaves the default.
func (l *LeaderClient) client(address string, dialTimeout time.Duration) (client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	client = l.clients[address]
	if client == nil {
		client = rpc.NewClient(address)
		if dialTimeout > 0 {
			client.DialWait = dialTimeout
		}
		l.clients[address] = client
	}
	return client
}

func (l *LeaderClient) isDone() bool {
	select {
	case <-l.Done:
		return true
	default:
		return false
	}
}

// HeartbeatNow sends a heartbeat at once, when something of this node has changed.
func (l *LeaderClient) HeartbeatNow() {
	if leader := *l.leader.Load(); leader != "" {
		_, _ = l.heartbeat(leader, 0, heartbeatTimeout)
	}
}

// heartbeat sends a heartbeat to one controller and applies the update if it leads;
// update.IsLeader is cleared where it does not, or not any more.
func (l *LeaderClient) heartbeat(target string, maxWait, timeout time.Duration) (update *rpc.Update, err error) {
	requestedAt := l.clock.Now()
	tenants := l.state.Snapshot().View.Tenants()
	request := l.heartbeatRequest(requestedAt, maxWait, tenants)
	update = new(rpc.Update)
	if err = l.controllerClient(target).Call(rpc.MethodHeartbeat, &request, update, timeout); err != nil {
		return nil, err
	}
	if !update.IsLeader {
		l.state.AddControllers(update.Controllers)
		return update, nil
	}
	if update.Term < l.state.Known().Term {
		update.IsLeader = false
		return update, nil
	}
	// What the leases of before have earned is credited before new ones change the rates.
	if l.Limits != nil {
		l.Limits.Fill(l.clock.Now(), tenants)
	}
	l.state.Policies.Retries.Refill(l.clock.Now())
	if !l.state.Apply(requestedAt, update) || !l.noteLeader(target, update.Term) {
		update.IsLeader = false
		return update, nil
	}
	l.OnUpdate()
	return update, nil
}

// heartbeatRequest says what this node knows, what it demands and what it has seen.
func (l *LeaderClient) heartbeatRequest(
	now, maxWait time.Duration, tenants []*config.Tenant,
) (request rpc.HeartbeatRequest) {
	request = rpc.HeartbeatRequest{Node: l.self(), KnownState: l.state.Known(), MaxWait: maxWait}
	if l.Limits != nil {
		request.TenantDemands = l.Limits.Demands(tenants)
	}
	request.RetryDemands = l.state.Policies.Retries.Demands()
	request.Outcomes = l.state.OutcomeCounts()
	request.KnownNodes = l.state.Policies.RecentNodes(now)
	if l.Loads != nil {
		request.Loads = l.Loads()
	}
	return request
}

// noteLeader notes who leads, unless a leader of a later term is known.
func (l *LeaderClient) noteLeader(target string, term rpc.Term) (newest bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term {
		return false
	}
	if old := *l.leader.Load(); !l.HasLeader() || old != target {
		l.log.Emit(eventlog.LeaderFound, "leader", target, eventlog.KeyTerm, uint64(term))
	}
	l.term = term
	l.lastHeard.Store(int64(l.clock.Now()))
	l.leader.Store(&target)
	l.queryTimeout.LeaderHeard()
	return true
}

// RunHeartbeats keeps the tie to the leader until Done is closed.
func (l *LeaderClient) RunHeartbeats() {
	for !l.isDone() {
		target := *l.leader.Load()
		if target == "" || !l.HasLeader() {
			l.findLeader("", 0)
			continue
		}
		update, err := l.heartbeat(target, heartbeatHold, heartbeatHold+heartbeatTimeout)
		if err != nil || !update.IsLeader {
			// A search beside the heartbeat may have found another leader meanwhile.
			if leader := *l.leader.Load(); leader == target {
				l.logLeaderLost(target, err)
				l.findLeader(target, 0)
			}
		}
	}
}

// logLeaderLost logs that a heartbeat failed, or that the controller it went to does not lead any more.
func (l *LeaderClient) logLeaderLost(leader string, err error) {
	silence := l.clock.Now() - time.Duration(l.lastHeard.Load())
	pairs := []any{"leader", leader, "silent_ms", silence.Milliseconds()}
	if err != nil {
		pairs = append(pairs, eventlog.KeyError, err.Error())
	}
	l.log.Emit(eventlog.LeaderLost, pairs...)
}
