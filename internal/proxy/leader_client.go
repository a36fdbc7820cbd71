package proxy

import (
	"context"
	"errors"
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
	// updateTimeout is for an update that is arriving, which may be a large one, and
	// firstUpdateTimeout for a new leader to begin with its first.
	updateTimeout      = 2 * time.Second
	firstUpdateTimeout = time.Second
	// leaderTimeout is how long a leader that is not heard counts as one.
	leaderTimeout = 1300 * time.Millisecond
)

// ErrLeaderReplaced ends calls to a leader once another was found.
var ErrLeaderReplaced = errors.New("another leader was found")

// LeaderClient is this node's tie to the leader: heartbeats out, updates back, claims of
// keys and questions for bindings in batches, health reports. Without a leader it asks
// every controller it knows, and reads the platform's list itself. It also calls other
// nodes. All methods may be called from any goroutine; each Run method runs in one of
// its own until Done is closed.
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

	clients clientPool

	mu              sync.Mutex // guards what follows
	pendingReleases map[rpc.KeyClaim]bool
	term            rpc.Term
	// leaderContext is the lifetime of calls to the leader; replaceLeader ends it.
	leaderContext context.Context
	replaceLeader context.CancelCauseFunc
}

// NewLeaderClient has not found a leader yet; self tells what this node is now.
func NewLeaderClient(
	settings settings.Settings, log *eventlog.Logger, clock Clock, state *ClusterState, incarnation rpc.Incarnation,
	self func() rpc.Node,
) (client *LeaderClient) {
	client = &LeaderClient{
		settings: settings, log: log, clock: clock, state: state, incarnation: incarnation, self: self,
		wakeReleases: make(chan struct{}, 1),
		Done:         make(chan struct{}), pendingReleases: map[rpc.KeyClaim]bool{},
	}
	client.claims = NewBatcher(claimQueueLength, claimCallsInFlight, maxClaimBatch, client.sendClaims)
	client.binds = NewBatcher(claimQueueLength, claimCallsInFlight, maxClaimBatch, client.sendBinds)
	client.leaderContext, client.replaceLeader = context.WithCancelCause(context.Background())
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

// currentLeader is the leader's internal address, "" while none was ever heard, and the lifetime of calls
// to it.
func (l *LeaderClient) currentLeader() (address string, ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.leader.Load(), l.leaderContext
}

// callLeader makes a call that carries work. It ends with ErrLeaderReplaced once another leader was found.
func (l *LeaderClient) callLeader(method string, request, response any, limit time.Duration) (err error) {
	leader, ctx := l.currentLeader()
	return l.clients.of(leader, workCalls).CallContext(ctx, method, request, response, limit)
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
	if leader, ctx := l.currentLeader(); leader != "" {
		_, _ = l.heartbeat(ctx, leader, 0, heartbeatTimeout)
	}
}

// heartbeat sends a heartbeat to one controller and applies the update if it leads;
// update.IsLeader is cleared where it does not, or not any more. An update that arrives may take
// updateTimeout, one of which nothing arrives no longer than timeout, both beyond maxWait.
func (l *LeaderClient) heartbeat(
	ctx context.Context, target string, maxWait, timeout time.Duration,
) (update *rpc.Update, err error) {
	requestedAt := l.clock.Now()
	tenants := l.state.Snapshot().View.Tenants()
	request := l.heartbeatRequest(requestedAt, maxWait, tenants)
	update = new(rpc.Update)
	limits := rpc.Limits{NoData: maxWait + timeout, Total: maxWait + updateTimeout}
	if err = l.clients.of(target, contactCalls).CallLarge(
		ctx, rpc.MethodHeartbeat, &request, update, limits,
	); err != nil {
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
	old := *l.leader.Load()
	if !l.HasLeader() || old != target {
		l.log.Emit(eventlog.LeaderFound, "leader", target, eventlog.KeyTerm, uint64(term))
	}
	if old != target {
		l.replaceLeader(ErrLeaderReplaced)
		l.leaderContext, l.replaceLeader = context.WithCancelCause(context.Background())
	}
	l.term = term
	l.lastHeard.Store(int64(l.clock.Now()))
	l.leader.Store(&target)
	return true
}

// RunHeartbeats keeps the tie to the leader until Done is closed.
func (l *LeaderClient) RunHeartbeats() {
	for !l.isDone() {
		leader, ctx := l.currentLeader()
		if leader == "" || !l.HasLeader() {
			l.recoverLeader("")
			continue
		}
		update, err := l.heartbeat(ctx, leader, heartbeatHold, heartbeatTimeout)
		// A search beside the heartbeat may have found another leader meanwhile.
		if err == nil && update.IsLeader || ctx.Err() != nil {
			continue
		}
		l.logLeaderLost(leader, err)
		// It is asked once more beside the search, which does not wait for it.
		go func() { _, _ = l.heartbeat(ctx, leader, 0, heartbeatTimeout) }()
		l.recoverLeader(leader)
	}
}

// recoverLeader looks for the leader until one is heard. The lost one, "" for none, is not asked who leads while
// it still counts as the leader.
func (l *LeaderClient) recoverLeader(lost string) {
	startedAt := l.clock.Now()
	search := l.newSearch(0)
	defer search.end()
	for !l.isDone() && time.Duration(l.lastHeard.Load()) <= startedAt {
		except := lost
		if !l.HasLeader() {
			except = ""
		}
		search.step(except)
	}
}

// logLeaderLost logs that a heartbeat failed, or that the controller it went to does not lead any more.
func (l *LeaderClient) logLeaderLost(leader string, err error) {
	since := l.clock.Now() - time.Duration(l.lastHeard.Load())
	pairs := []any{"leader", leader, "last_heard_ms", since.Milliseconds()}
	if err != nil {
		pairs = append(pairs, eventlog.KeyError, err.Error())
	}
	l.log.Emit(eventlog.LeaderLost, pairs...)
}
