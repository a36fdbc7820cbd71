// Link is this daemon's tie to the leader: beats out, news back, claims of
// keys in batches, owners' reports. Without a leader it asks every core it
// knows in turn and lets the rest of the daemon know that it is on its own.
package proxy

import (
	"errors"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/idempotency"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

const (
	heartbeatHold      = 500 * time.Millisecond
	heartbeatTimeout   = 600 * time.Millisecond
	updateTimeout      = 2 * time.Second
	claimCallTimeout   = 260 * time.Millisecond
	leaderSearchPause  = 40 * time.Millisecond
	leaderSearchLimit  = 2 * time.Second
	leaderTimeout      = 1300 * time.Millisecond
	claimQueueLength   = 1024
	claimCallsInFlight = 16
	maxClaimBatch      = 128
	claimRetryPause    = 25 * time.Millisecond
	maxReleaseBatch    = 128
	maxPendingReleases = 8192
	releaseRetryPause  = 250 * time.Millisecond
	standalonePoll     = 500 * time.Millisecond
	// firstListWithin is the time within which a daemon without a list reads it first;
	// listPage is about how many backends a page of the platform's holds.
	firstListWithin = 4 * time.Second
	listPageSize    = 50
)

// LeaderClient ties the daemon to its leader.
type LeaderClient struct {
	settings     settings.Settings
	log          *eventlog.Logger
	clock        Clock
	state        *ClusterState
	operations   *idempotency.Store
	incarnation  rpc.Incarnation
	self         func() rpc.Node
	seeds        atomic.Pointer[[]string]
	lastHeard    atomic.Int64
	leader       atomic.Pointer[string]
	claims       *Batcher[rpc.KeyClaim, rpc.ClaimResult]
	binds        *Batcher[rpc.SessionBinding, rpc.BindResult]
	wakeReleases chan struct{}
	searching    atomic.Bool

	// OnUpdate is called when news was taken.
	OnUpdate func()
	// Done is closed when the daemon ends; all duties end with it.
	Done chan struct{}
	// Loads tells what is at work.
	Loads func() []rpc.Load
	// Limits tells the demand of tenants, where there are any.
	Limits *TenantLimits

	mu              sync.Mutex
	clients         map[string]*rpc.Client
	pendingReleases map[rpc.KeyClaim]bool
	patience        LeaderQueryTimeout
	term            rpc.Term
}

// NewLeaderClient is a link that has not found a leader yet.
func NewLeaderClient(p settings.Settings, log *eventlog.Logger, clock Clock, world *ClusterState, book *idempotency.Store, life rpc.Incarnation, self func() rpc.Node) (link *LeaderClient) {
	link = &LeaderClient{
		settings: p, log: log, clock: clock, state: world, operations: book, incarnation: life, self: self,
		wakeReleases: make(chan struct{}, 1),
		Done:         make(chan struct{}), clients: map[string]*rpc.Client{}, pendingReleases: map[rpc.KeyClaim]bool{},
	}
	link.claims = NewBatcher(claimQueueLength, claimCallsInFlight, maxClaimBatch, link.sendClaims)
	link.binds = NewBatcher(claimQueueLength, claimCallsInFlight, maxClaimBatch, link.sendBinds)
	link.lastHeard.Store(int64(-time.Hour))
	nobody := ""
	link.leader.Store(&nobody)
	link.SetSeeds(p.Seeds)
	return link
}

// SetSeeds takes changed seeds up.
func (l *LeaderClient) SetSeeds(seeds []string) { l.seeds.Store(&seeds) }

// HasLeader tells whether a leader was heard lately.
func (l *LeaderClient) HasLeader() bool {
	return l.clock.Now()-time.Duration(l.lastHeard.Load()) < leaderTimeout
}

func (l *LeaderClient) peerClient(inner string) (caller *rpc.Client) { return l.client(inner, 0) }

// controllerClient gives the caller of a core. A call may wait as long for its stream as the
// patience of now allows: where the way there takes half a second, none would
// ever come up otherwise.
func (l *LeaderClient) controllerClient(inner string) (caller *rpc.Client) {
	return l.client(inner, maxLeaderQueryTimeout)
}

func (l *LeaderClient) client(inner string, dial time.Duration) (caller *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	caller = l.clients[inner]
	if caller == nil {
		caller = rpc.NewClient(inner)
		if dial > 0 {
			caller.DialWait = dial
		}
		l.clients[inner] = caller
	}
	return caller
}

// HeartbeatNow sends a beat at once, for news of one's own.
func (l *LeaderClient) HeartbeatNow() {
	if inner := *l.leader.Load(); inner != "" {
		_, _ = l.heartbeat(inner, 0, heartbeatTimeout)
	}
}

func (l *LeaderClient) isDone() bool {
	select {
	case <-l.Done:
		return true
	default:
		return false
	}
}

// candidates lists the cores that may lead.
func (l *LeaderClient) candidates() (inners []string) {
	seen := map[string]bool{"": true}
	add := func(inner string) {
		if !seen[inner] {
			seen[inner] = true
			inners = append(inners, inner)
		}
	}
	for _, seed := range *l.seeds.Load() {
		add(l.settings.SeedInternalAddress(seed))
	}
	for _, inner := range l.state.ControllerAddresses() {
		add(inner)
	}
	return inners
}

// heartbeat asks one core for news and takes them if it leads.
func (l *LeaderClient) heartbeat(target string, hold, limit time.Duration) (news *rpc.Update, err error) {
	asked := l.clock.Now()
	ask := rpc.HeartbeatRequest{Node: l.self(), KnownState: l.state.Known(), MaxWait: hold}
	tenants := l.state.Snapshot().View.Tenants()
	if l.Limits != nil {
		ask.TenantDemands = l.Limits.Demands(tenants)
	}
	ask.RetryDemands = l.state.Policies.Retries.Demands()
	ask.Outcomes = l.state.OutcomeCounts()
	ask.KnownNodes = l.state.Policies.RecentNodes(asked)
	if l.Loads != nil {
		ask.Loads = l.Loads()
	}
	news = new(rpc.Update)
	if err = l.controllerClient(target).Call(rpc.MethodHeartbeat, &ask, news, limit); err != nil {
		return nil, err
	}
	if !news.IsLeader {
		l.state.AddControllers(news.Controllers)
		return news, nil
	}
	if news.Term < l.state.Known().Term {
		news.IsLeader = false
		return news, nil
	}
	if l.Limits != nil {
		l.Limits.Fill(l.clock.Now(), tenants)
	}
	l.state.Policies.Retries.Refill(l.clock.Now())
	if !l.state.Apply(asked, news) || !l.noteLeader(target, news.Term) {
		news.IsLeader = false
		return news, nil
	}
	l.OnUpdate()
	return news, nil
}

// noteLeader notes who leads; an older leader than the one that is known does not.
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
	l.patience.LeaderHeard()
	return true
}

// RunHeartbeats is the duty that keeps the tie.
func (l *LeaderClient) RunHeartbeats() {
	for !l.isDone() {
		target := *l.leader.Load()
		if target == "" || !l.HasLeader() {
			l.findLeader("", 0)
			continue
		}
		news, err := l.heartbeat(target, heartbeatHold, heartbeatHold+heartbeatTimeout)
		if err != nil || !news.IsLeader {
			// The scout may have found another leader meanwhile.
			if leader := *l.leader.Load(); leader == target {
				l.findLeader(target, 0)
			}
		}
	}
}

// findLeader asks all cores but one at once who leads, until one leads in a later
// term than given or they have all answered or are overdue. The question is a
// small one: the news that a new leader owes may take a small link longer than
// a core that is gone may be waited for.
func (l *LeaderClient) findLeader(but string, after rpc.Term) (found bool) {
	l.mu.Lock()
	wait := l.patience.Duration()
	l.mu.Unlock()
	asked, answered, leader := 0, 0, ""
	answers := make(chan leaderReply, len(l.candidates())+1)
	for _, inner := range l.candidates() {
		if inner == but || asked == cap(answers) {
			continue
		}
		asked++
		go func() {
			var reply rpc.LeaderResponse
			err := l.controllerClient(inner).Call(rpc.MethodLeader, rpc.LeaderRequest{}, &reply, wait)
			answers <- leaderReply{inner, reply, err}
		}()
	}
	for ; asked > 0 && leader == ""; asked-- {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		answered++
		l.state.AddControllers(answer.reply.Controllers)
		if answer.reply.IsLeader && answer.reply.Term > after && answer.reply.Term >= l.state.Known().Term {
			leader = answer.address
		}
	}
	if leader != "" {
		news, err := l.heartbeat(leader, 0, updateTimeout)
		if err == nil && news.IsLeader {
			return true
		}
	}
	if answered == 0 {
		l.mu.Lock()
		l.patience.NoAnswer()
		l.mu.Unlock()
	}
	time.Sleep(leaderSearchPause + time.Duration(rand.Int63n(int64(leaderSearchPause))))
	return false
}

// leaderReply is one core's answer to the question who leads.
type leaderReply struct {
	address string
	reply   rpc.LeaderResponse
	err     error
}

// searchForLeader looks for a new leader beside the beat, which may be held open by one
// that is gone without a word. It ends when the old one is heard again.
func (l *LeaderClient) searchForLeader() {
	if !l.searching.CompareAndSwap(false, true) {
		return
	}
	defer l.searching.Store(false)
	old := *l.leader.Load()
	begun := l.clock.Now()
	term := l.state.Known().Term
	for l.clock.Now()-begun < leaderSearchLimit && time.Duration(l.lastHeard.Load()) <= begun {
		if l.findLeader(old, term) {
			l.controllerClient(old).Close()
			return
		}
	}
}

// RunStandalone is the duty that reads the platform's list while there is no leader,
// at a pace the whole fleet together may keep.
func (l *LeaderClient) RunStandalone() {
	if l.settings.PlatformAddress == "" {
		return
	}
	platform := registry.NewPlatformClient(l.settings.PlatformAddress)
	var due time.Duration
	for alone := false; !l.isDone(); {
		time.Sleep(standalonePoll)
		if l.HasLeader() {
			alone = false
			continue
		}
		scene := l.state.Snapshot()
		now := l.clock.Now()
		if !alone {
			// All lose a leader in the same moment, so the first reading of each lies
			// anywhere within the pace that all together may keep. Who has no list at
			// all cannot serve and comes sooner.
			spread := l.standaloneInterval(len(scene.Nodes), scene.backendCount())
			if !scene.ListComplete {
				spread = min(spread, firstListWithin)
			}
			alone, due = true, now+time.Duration(rand.Float64()*float64(spread))
		}
		if now < due {
			continue
		}
		walk, pages, err := platform.Walk(100*time.Millisecond, func([]rpc.Endpoint) {})
		if err == nil && !l.HasLeader() {
			l.state.ApplyOwnList(walk)
		}
		due = l.clock.Now() + max(l.standaloneInterval(len(scene.Nodes), pages*listPageSize), time.Second)
	}
}

// standaloneInterval is how often each of so many daemons may read a list of so many
// backends by itself.
func (l *LeaderClient) standaloneInterval(fellows, backends int) (pace time.Duration) {
	pages := max(1, (backends+listPageSize-1)/listPageSize)
	return time.Duration(float64(2*max(4, fellows)*pages) / max(l.settings.PlatformRate, 0.1) * float64(time.Second))
}

// Claim asks the cores for a key, again where a try had no clear outcome: to
// claim twice for one request is the same as once. It waits for a leader no
// longer than patience.
func (l *LeaderClient) Claim(claim rpc.KeyClaim, patience, limit time.Duration) (found rpc.ClaimResult) {
	begun := l.clock.Now()
	unclear := false
	for pause := claimRetryPause; ; pause *= 2 {
		found = l.claimOnce(claim, min(claimCallTimeout, limit-(l.clock.Now()-begun)))
		switch found.Outcome {
		case rpc.ClaimGranted, rpc.ClaimHeld:
			return found
		case rpc.ClaimUnknown:
			unclear = true
		}
		go l.searchForLeader()
		spent := l.clock.Now() - begun
		if spent+pause > limit || !unclear && spent+pause > patience {
			break
		}
		time.Sleep(pause)
	}
	if unclear {
		found.Outcome = rpc.ClaimUnknown
	}
	return found
}

func (l *LeaderClient) claimOnce(claim rpc.KeyClaim, limit time.Duration) (found rpc.ClaimResult) {
	if limit <= 0 || !l.HasLeader() {
		return rpc.ClaimResult{Outcome: rpc.ClaimRejected}
	}
	found, taken, answered := l.claims.Call(claim, limit)
	switch {
	case !taken:
		found.Outcome = rpc.ClaimRejected
	case !answered:
		found.Outcome = rpc.ClaimUnknown
	}
	return found
}

// Bind asks where a session is bound, again where there was no clear outcome: to
// ask twice is the same as once. It waits no longer than patience for a leader.
func (l *LeaderClient) Bind(bind rpc.SessionBinding, patience, limit time.Duration) (found rpc.BindResult) {
	begun := l.clock.Now()
	for pause := claimRetryPause; ; pause *= 2 {
		if wait := min(claimCallTimeout, limit-(l.clock.Now()-begun)); wait > 0 && l.HasLeader() {
			found, _, _ = l.binds.Call(bind, wait)
		}
		if found.Outcome != rpc.BindUnknown {
			return found
		}
		go l.searchForLeader()
		if l.clock.Now()-begun+pause > min(patience, limit) {
			return found
		}
		time.Sleep(pause)
	}
}

// Release gives a key back; it is told to the cores until they have it.
func (l *LeaderClient) Release(claim rpc.KeyClaim) {
	l.mu.Lock()
	if len(l.pendingReleases) < maxPendingReleases {
		l.pendingReleases[claim] = true
	}
	l.mu.Unlock()
	select {
	case l.wakeReleases <- struct{}{}:
	default:
	}
}

// RunClaims is the duty that sends claims, Binds the one that asks for bindings.
func (l *LeaderClient) RunClaims() { l.claims.Run(l.Done) }

// RunBinds sends what asks where sessions are bound.
func (l *LeaderClient) RunBinds() { l.binds.Run(l.Done) }

func (l *LeaderClient) sendClaims(claims []rpc.KeyClaim, left time.Duration) (found []rpc.ClaimResult) {
	ask := rpc.ClaimRequest{Holder: rpc.NodeID(l.settings.Name), Incarnation: l.incarnation, Claims: claims, TimeLeft: left}
	var reply rpc.ClaimResponse
	err := l.controllerClient(*l.leader.Load()).Call(rpc.MethodClaim, ask, &reply, 2*claimCallTimeout)
	if err == nil && reply.IsLeader {
		return reply.Results
	}
	found = make([]rpc.ClaimResult, len(claims))
	if err == nil || errors.Is(err, rpc.ErrNotSent) {
		for i := range found {
			found[i].Outcome = rpc.ClaimRejected
		}
	}
	return found
}

func (l *LeaderClient) sendBinds(binds []rpc.SessionBinding, _ time.Duration) (found []rpc.BindResult) {
	var reply rpc.BindResponse
	if err := l.controllerClient(*l.leader.Load()).Call(rpc.MethodBind, rpc.BindRequest{Bindings: binds}, &reply, 2*claimCallTimeout); err != nil {
		return nil
	}
	if reply.Term > 0 && reply.Term < l.state.Known().Term {
		// An older leader's answer came late; a newer one may have bound it anew. A
		// core of an earlier build names no term.
		return nil
	}
	return reply.Results
}

// RunReleases is the duty that gives keys back, in one call at a time: told again
// with every claim they would bury a leader that is only slow.
func (l *LeaderClient) RunReleases() {
	for {
		select {
		case <-l.wakeReleases:
		case <-l.Done:
			return
		}
		for !l.isDone() {
			l.mu.Lock()
			var frees []rpc.KeyClaim
			for claim := range l.pendingReleases {
				if frees = append(frees, claim); len(frees) == maxReleaseBatch {
					break
				}
			}
			l.mu.Unlock()
			if len(frees) == 0 {
				break
			}
			ask := rpc.ClaimRequest{Holder: rpc.NodeID(l.settings.Name), Incarnation: l.incarnation, Releases: frees}
			var reply rpc.ClaimResponse
			err := l.controllerClient(*l.leader.Load()).Call(rpc.MethodClaim, ask, &reply, time.Second)
			if err != nil || !reply.IsLeader || !reply.Released {
				time.Sleep(releaseRetryPause)
				continue
			}
			l.mu.Lock()
			for _, claim := range frees {
				delete(l.pendingReleases, claim)
			}
			l.mu.Unlock()
		}
	}
}

// Recall asks the holder of a key how the operation stands.
func (l *LeaderClient) Recall(found rpc.ClaimResult, key string) (reply rpc.StoredResponse) {
	if found.InternalAddress == "" {
		return reply
	}
	ask := rpc.StoredResponseRequest{Key: key, Request: found.Request, Incarnation: found.Incarnation}
	if err := l.peerClient(found.InternalAddress).Call(rpc.MethodStoredResponse, ask, &reply, 600*time.Millisecond); err != nil {
		return rpc.StoredResponse{State: rpc.OperationLost}
	}
	return l.Fetch(reply, key, found.Request)
}

// Fetch gets an answer that was moved from the fellow that keeps it.
func (l *LeaderClient) Fetch(reply rpc.StoredResponse, key, request string) (fetched rpc.StoredResponse) {
	if reply.State != rpc.OperationMoved {
		return reply
	}
	if err := l.peerClient(reply.InternalAddress).Call(rpc.MethodMovedResponse, rpc.StoredResponseRequest{Key: key, Request: request}, &fetched, 600*time.Millisecond); err != nil {
		return rpc.StoredResponse{State: rpc.OperationLost}
	}
	return fetched
}

// StoreAt hands an answer to a fellow that may keep it.
func (l *LeaderClient) StoreAt(inner string, ask rpc.StoreRequest) (kept bool) {
	var reply rpc.StoreAcknowledgement
	err := l.peerClient(inner).Call(rpc.MethodStoreResponse, ask, &reply, time.Second)
	return err == nil && reply.Stored
}

// Report brings an owner's findings to the state cache.
func (l *LeaderClient) Report(ask rpc.HealthReport) (taken bool) {
	if !l.HasLeader() {
		return false
	}
	var reply rpc.HealthReportResponse
	err := l.controllerClient(*l.leader.Load()).Call(rpc.MethodHealthReport, ask, &reply, 500*time.Millisecond)
	return err == nil && reply.IsLeader && reply.Accepted
}
