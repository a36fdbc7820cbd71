package proxy

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/directory"
	"tinpin/internal/eventlog"
	"tinpin/internal/frontend"
	"tinpin/internal/httpapi"
	"tinpin/internal/idempotency"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
	"tinpin/internal/settings"
	"tinpin/internal/shutdown"
)

const (
	// recallPause lies between two questions to the holder of a key that it has given back.
	recallPause = 60 * time.Millisecond
	// bodyMemoryDivisor gives the part of the memory that request bodies may take.
	bodyMemoryDivisor = 4
	// reservedDescriptors are not for connections; of the rest clients get two thirds, at least
	// minClientConns.
	reservedDescriptors = 300
	minClientConns      = 64
)

// maxClientConns is how many client connections may be open.
func maxClientConns(p settings.Settings) int {
	return max(minClientConns, (p.MaxFileDescriptors-reservedDescriptors)*2/3)
}

// Daemon is a running node.
type Daemon struct {
	settings     settings.Settings
	log          *eventlog.Logger
	clock        Clock
	incarnation  rpc.Incarnation
	recallPause  time.Duration
	state        *ClusterState
	leader       *LeaderClient
	operations   *idempotency.Store
	retryBudget  *RetryBudget
	tenantLimits *TenantLimits
	concurrency  concurrencyLimiters
	bandwidth    *BandwidthLimiter
	frontend     *frontend.Server
	prober       *Prober
	ready        atomic.Bool
	shutdown     *shutdown.Sequence
	// storing counts responses that are being stored on a peer.
	storing        sync.WaitGroup
	httpServers    []*http.Server
	rpcListener    *rpc.Server
	attempts       attemptCounts
	disabledChecks DisabledChecks
}

// Start starts a node.
func Start(p settings.Settings, log *eventlog.Logger) (daemon *Daemon, err error) {
	var random [8]byte
	_, _ = rand.Read(random[:])
	d := &Daemon{
		settings: p, log: log, clock: NewClock(),
		incarnation: rpc.Incarnation(binary.LittleEndian.Uint64(random[:])), recallPause: recallPause,
	}
	d.shutdown = shutdown.New(ShutdownTimeline(p.Bounds.GracePeriod))
	d.state = NewClusterState(p, log, d.clock)
	d.operations = idempotency.NewStore(p.Bounds.KeyWindow+20*time.Second, p.MemoryMB<<20/6, d.clock.Now)
	d.leader = NewLeaderClient(p, log, d.clock, d.state, d.incarnation, d.self)
	leasedSlack := func() float64 { return d.state.Leased(rpc.RetrySlack, "") }
	d.retryBudget = NewRetryBudget(p.Bounds.RetryBudgetRatio, p.Bounds.RetryWindow, leasedSlack)
	d.retryBudget.operatorLimit = d.state.Policies.Retries
	d.retryBudget.operatorLimit.OnGateChange = func(service rpc.ServiceName, open bool) {
		log.Emit(eventlog.RetriesSuppressed, eventlog.KeyService, string(service), "suppressed", !open)
	}
	d.tenantLimits = NewTenantLimits(d.state.Leased, func() { go d.leader.HeartbeatNow() })
	d.bandwidth = NewBandwidthLimiter(d.clock, p.LinkMbps)
	d.prober = NewProber(d)
	view := func() *config.RoutingTable { return d.state.Snapshot().View }
	d.frontend = frontend.New(d.Handle, view, maxClientConns(p), int64(p.MemoryMB)<<20/bodyMemoryDivisor)
	if err = d.listen(); err != nil {
		return nil, err
	}
	d.leader.OnUpdate = d.updateApplied
	d.leader.Limits, d.leader.Loads = d.tenantLimits, d.concurrency.loads
	go d.leader.RunHeartbeats()
	go d.leader.RunClaims()
	go d.leader.RunBinds()
	go d.leader.RunReleases()
	go d.leader.RunStandalone()
	go d.prober.Run()
	go d.reconcile()
	go d.enforcePolicies()
	return d, nil
}

// listen opens the listeners.
func (d *Daemon) listen() (err error) {
	p := d.settings
	if d.rpcListener, err = rpc.Serve(p.ProxyInternalAddress(), map[string]any{
		"Fellow": &PeerService{d}, "Status": &StatusService{d},
	}); err != nil {
		return err
	}
	if err = d.frontend.Listen(p.FrontendAddress); err != nil {
		return err
	}
	for _, address := range []string{p.ReadinessAddress, p.DirectoryAddress} {
		if address == "" {
			continue
		}
		server, serveErr := httpapi.Serve(address, httpapi.Handlers{Ready: d.isReady, Resolve: d.resolve})
		if serveErr != nil {
			return serveErr
		}
		d.httpServers = append(d.httpServers, server)
	}
	if server := httpapi.ServeMetrics(p.MetricsAddress, d.metrics(), d.log); server != nil {
		d.httpServers = append(d.httpServers, server)
	}
	return nil
}

func (d *Daemon) isReady() bool {
	return d.ready.Load() && !d.shutdown.Begun() && !d.state.Policies.Isolated()
}

// self is what this node says about itself.
func (d *Daemon) self() rpc.Node {
	return rpc.Node{
		ID: rpc.NodeID(d.settings.Name), Incarnation: d.incarnation,
		Zone: rpc.ZoneName(d.settings.Zone), Region: rpc.RegionName(d.settings.Region),
		FrontendAddress: d.settings.FrontendAddress, InternalAddress: d.settings.ProxyInternalAddress(),
		Ready: d.ready.Load(), Stopping: d.shutdown.Begun(),
	}
}

// reconcile does what is due from time to time, until the node stops.
func (d *Daemon) reconcile() {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ticker.C:
		case <-d.leader.Done:
			return
		}
		d.becomeReady()
		if turn%4 == 0 {
			d.state.CloseIdle()
			d.logDepartures()
			d.state.Policies.refreshNodes(d.clock.Now(), d.state.Snapshot().Nodes)
		}
	}
}

// updateApplied is called after each update of the leader.
func (d *Daemon) updateApplied() {
	d.frontend.ApplyLimits()
	d.becomeReady()
}

// becomeReady makes the node ready once it has the configuration and the endpoint list.
func (d *Daemon) becomeReady() {
	if d.ready.Load() {
		return
	}
	if snapshot := d.state.Snapshot(); snapshot.Configured && snapshot.ListComplete &&
		d.ready.CompareAndSwap(false, true) {
		go d.leader.HeartbeatNow()
	}
}

// Reload applies changed settings.
func (d *Daemon) Reload(p settings.Settings) { d.leader.SetSeeds(p.Seeds) }

// PeerService answers calls of other nodes. Its method names are part of the protocol.
type PeerService struct{ daemon *Daemon }

// Recall tells how an operation held here stands.
func (k *PeerService) Recall(ask rpc.StoredResponseRequest, reply *rpc.StoredResponse) (err error) {
	if ask.Incarnation != k.daemon.incarnation {
		reply.State = rpc.OperationLost
		return nil
	}
	*reply = k.daemon.operations.Find(ask.Key, ask.Request)
	if reply.State == rpc.OperationReleased {
		// The caller was told that the claim stands: it may have been
		// carried out behind the word that gave it back, which is said again.
		k.daemon.leader.Release(rpc.KeyClaim{Key: ask.Key, Request: ask.Request})
	}
	return nil
}

// Keep stores a response for a node that may not store it itself.
func (k *PeerService) Keep(ask rpc.StoreRequest, reply *rpc.StoreAcknowledgement) (err error) {
	k.daemon.operations.StoreForOther(ask.Key, ask.Request, ask.Response)
	reply.Stored = true
	return nil
}

// Kept gives such an answer back.
func (k *PeerService) Kept(ask rpc.StoredResponseRequest, reply *rpc.StoredResponse) (err error) {
	*reply = k.daemon.operations.StoredForOther(ask.Key, ask.Request)
	return nil
}

// planWeights gives the plan's weights for a host: its own, or those of the first
// service under a plan that it goes to.
func (d *Daemon) planWeights(snapshot *Snapshot, host string) (weights schedule.Weights) {
	if !d.state.Policies.hasPlan() {
		return nil
	}
	if weights = d.state.Policies.PlanWeights(host, ""); weights != nil {
		return weights
	}
	for _, service := range snapshot.View.ServicesOf(host) {
		if weights = d.state.Policies.PlanWeights("", rpc.ServiceName(service)); weights != nil {
			return weights
		}
	}
	return nil
}

// resolve tells a client where to go.
func (d *Daemon) resolve(
	ctx context.Context, host, region, zone string,
) (addresses []string, ttl time.Duration, err error) {
	snapshot := d.state.Snapshot()
	addresses = directory.Answer(directory.Query{
		Nodes: snapshot.Nodes, Absent: d.state.AbsentNodes(),
		AllowedRegions: snapshot.View.HomeRegions(host), Weights: d.planWeights(snapshot, host),
		Region: region, Zone: zone, Client: httpapi.CallerAddress(ctx),
	})
	if len(addresses) == 0 && d.isReady() {
		addresses = []string{d.settings.FrontendAddress}
	}
	if len(addresses) == 0 {
		return nil, 0, &httpapi.Error{Kind: apierror.NotReady}
	}
	return addresses, min(directory.TTL, d.settings.Bounds.MaxTTL), nil
}
