package proxy

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/config"
	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

const (
	// nodeMemory is how long a node that is gone counts as one of the fleet, of which
	// more than half must answer where no leader is heard.
	nodeMemory        = 2 * time.Minute
	peerCallTimeout   = 300 * time.Millisecond
	peerCallsInFlight = 16
	policyInterval    = 250 * time.Millisecond
)

// metNode is a node that was heard of, and when it was last.
type metNode struct {
	rpc.Node
	lastSeen time.Duration
}

// PlanWeights is the plan's step in force, by host and by service.
type PlanWeights struct {
	Hosts    map[string]schedule.Weights
	Services map[rpc.ServiceName]schedule.Weights
}

// Policies are the operator's policies at this node and what was decided under them:
// retirements, the schedule's step, overflow between zones, affinity and the limit on
// retries. They come with the leader's updates; the request path asks only about
// backends that are being retired and hosts or services under a schedule. Where no
// leader is heard the other nodes are asked, since some of them may know more.
type Policies struct {
	mu          sync.Mutex
	drainPolicy *drain.Policy
	drainPermit *drain.Permit
	retirements map[rpc.EndpointID]rpc.Retirement
	documents   map[policy.Kind]policy.Document
	planStep    rpc.ScheduleStep
	planWeights atomic.Pointer[PlanWeights]
	overflow    atomic.Pointer[map[rpc.ServiceName]rpc.ZoneOverflow]
	recentNodes map[rpc.NodeID]metNode
	// Retries keeps the written limit on retries.
	Retries *retry.Limiter
	// Sessions keeps callers where they began.
	Sessions       *Sessions
	isolated       atomic.Bool
	hasRetirements atomic.Bool
}

// NewPolicies has no policy and no retirement yet.
func NewPolicies(now time.Duration) (policies *Policies) {
	policies = &Policies{
		drainPermit: drain.NewPermit(now), retirements: map[rpc.EndpointID]rpc.Retirement{}, documents: map[policy.Kind]policy.Document{},
		recentNodes: map[rpc.NodeID]metNode{}, Sessions: NewSessions(),
	}
	policies.planWeights.Store(&PlanWeights{})
	policies.overflow.Store(&map[rpc.ServiceName]rpc.ZoneOverflow{})
	return policies
}

// apply applies the parts of an update that concern policies; the update was asked for
// at requestedAt, from which on the leader counts as heard.
func (o *Policies) apply(now, requestedAt time.Duration, update *rpc.Update, recorder *history.Recorder, unlogged bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainPermit.LeaderResponded(requestedAt)
	o.Retries.LeaderResponded(requestedAt)
	overflow := make(map[rpc.ServiceName]rpc.ZoneOverflow, len(update.ZoneOverflows))
	for _, service := range update.ZoneOverflows {
		overflow[service.Service] = service
	}
	o.overflow.Store(&overflow)
	for _, change := range update.Nodes {
		if !change.Removed {
			o.recentNodes[change.ID] = metNode{change.Node, now}
		}
	}
	for _, document := range update.Documents {
		if document.Rev <= o.documents[document.Kind].Rev {
			continue
		}
		o.documents[document.Kind] = document
		recorder.Record(history.Document, string(document.Kind), "applied", document.Stamp(), document.Rev, unlogged)
		o.applyDocument(document)
	}
	o.applyRetirements(now, update.Retirements, recorder, unlogged)
	if step := update.ScheduleStep; step != nil && step.Rev > o.planStep.Rev {
		o.planStep = *step
		recorder.Record(history.ScheduleStep, string(policy.DayPlan), "applied", step.Summary(), step.Rev, unlogged)
		o.planWeights.Store(newPlanWeights(*step))
	}
}

// applyDocument puts a document in force, or out of it; the caller holds the lock. The
// controllers accept only what parses.
func (o *Policies) applyDocument(document policy.Document) {
	body := []byte(document.Body)
	switch document.Kind {
	case policy.DrainPolicy:
		o.drainPolicy = nil
		if document.Active() {
			o.drainPolicy, _ = drain.Parse(body)
		}
		o.drainPermit.SetPolicy(o.drainPolicy)
	case policy.SessionAffinity:
		var rules *affinity.Policy
		if document.Active() {
			rules, _ = affinity.Parse(body)
		}
		o.Sessions.Set(rules)
	case policy.RetryLimit:
		var limit *retry.Policy
		if document.Active() {
			limit, _ = retry.Parse(body)
		}
		o.Retries.SetPolicy(limit)
	}
}

// applyRetirements applies agreed retirements; the caller holds the lock.
func (o *Policies) applyRetirements(now time.Duration, retirements []rpc.Retirement, recorder *history.Recorder, unlogged bool) {
	for _, order := range retirements {
		if order.Rev <= o.retirements[order.Server].Rev {
			continue
		}
		o.retirements[order.Server] = order
		o.drainPermit.Apply(now, order)
		o.hasRetirements.Store(true)
		recorder.Record(history.Retirement, string(order.Server), "applied", order.Summary(), order.Rev, unlogged)
	}
}

// newPlanWeights sorts a step's weights by host and by service.
func newPlanWeights(step rpc.ScheduleStep) (plan *PlanWeights) {
	plan = &PlanWeights{Hosts: map[string]schedule.Weights{}, Services: map[rpc.ServiceName]schedule.Weights{}}
	for _, target := range step.Targets {
		weights := schedule.Weights{}
		for _, part := range target.Weights {
			weights[part.Region] = part.Weight
		}
		if target.Host != "" {
			plan.Hosts[config.NormalizeHost(target.Host)] = weights
		} else {
			plan.Services[target.Service] = weights
		}
	}
	return plan
}

// AcceptsNew tells whether a new caller may be sent to a backend.
func (o *Policies) AcceptsNew(now time.Duration, server rpc.EndpointID) (sends bool) {
	if !o.hasRetirements.Load() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drainPermit.AllowsNew(now, server)
}

// KeepsSessions tells whether a session that is there may stay on a backend: one that
// was retired keeps its sessions as long as the policy lets requests finish.
func (o *Policies) KeepsSessions(now time.Duration, server rpc.EndpointID, service rpc.ServiceName) (keeps bool) {
	if !o.hasRetirements.Load() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drainPermit.AllowsNew(now, server) || o.drainPermit.MayFinish(now, server, time.Duration(o.drainPolicy.RuleFor(service).Finish))
}

// Isolated tells that nothing new may be taken.
func (o *Policies) Isolated() bool { return o.isolated.Load() }

// RecentNodes counts the fellows met lately.
func (o *Policies) RecentNodes(now time.Duration) (known int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, met := range o.recentNodes {
		if now-met.lastSeen > nodeMemory {
			delete(o.recentNodes, id)
		}
	}
	return len(o.recentNodes)
}

// refreshNodes keeps fellows that still stand from being forgotten.
func (o *Policies) refreshNodes(now time.Duration, fellows map[rpc.NodeID]rpc.Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, fellow := range fellows {
		o.recentNodes[id] = metNode{fellow, now}
	}
}

// PlanWeights gives the plan's weights for a request, nil where there are none.
func (o *Policies) PlanWeights(host string, service rpc.ServiceName) (weights schedule.Weights) {
	moves := o.planWeights.Load()
	if len(moves.Hosts) > 0 {
		if weights = moves.Hosts[config.NormalizeHost(host)]; weights != nil {
			return weights
		}
	}
	return moves.Services[service]
}

// OverflowZone draws the site that a request should be sent to, empty for one's own.
func (o *Policies) OverflowZone(service rpc.ServiceName) (site rpc.ZoneName) {
	spills := *o.overflow.Load()
	if len(spills) == 0 {
		return ""
	}
	at := rand.Intn(1000)
	for _, to := range spills[service].Targets {
		if at -= to.Weight; at < 0 {
			return to.Zone
		}
	}
	return ""
}

// hasPlan tells that a plan is in force.
func (o *Policies) hasPlan() bool {
	moves := o.planWeights.Load()
	return len(moves.Hosts)+len(moves.Services) > 0
}

// Retirements lists the orders this daemon follows, for a fellow that asks.
func (o *Policies) Retirements() (retired []rpc.Retirement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range o.retirements {
		retired = append(retired, order)
	}
	return retired
}

// stateOf tells how an order stands on this daemon.
func (o *Policies) stateOf(kind, name string) (stamp string, rev uint64, has bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch kind {
	case history.Document:
		document, known := o.documents[policy.Kind(name)]
		return document.Stamp(), document.Rev, known
	case history.Retirement:
		retired, known := o.retirements[rpc.EndpointID(name)]
		return retired.Summary(), retired.Rev, known
	}
	return o.planStep.Summary(), o.planStep.Rev, o.planStep.Rev > 0
}

// enforcePolicies is the duty that keeps to the policy by time: it asks fellows where
// no leader is heard, notes when the daemon is cut off, and ends requests that
// have had their time at a backend that was stopped.
func (d *Daemon) enforcePolicies() {
	ticker := time.NewTicker(policyInterval)
	defer ticker.Stop()
	for asked := time.Duration(0); ; {
		select {
		case <-ticker.C:
		case <-d.leader.Done:
			return
		}
		now := d.clock.Now()
		o := d.state.Policies
		o.mu.Lock()
		lonely, sessionPolicy := o.drainPermit.ShouldAskPeers(now), o.drainPolicy
		over := o.drainPermit.Expired(now, func(service rpc.ServiceName) time.Duration {
			return time.Duration(sessionPolicy.RuleFor(service).Finish)
		})
		o.mu.Unlock()
		for _, retired := range over {
			d.state.abortRequests(retired.Server, sessionPolicy.RuleFor(retired.Service).KeyedRequests == drain.KeyedDeadline)
		}
		if sessionPolicy == nil {
			o.isolated.Store(false)
			continue
		}
		if lonely && now-asked > time.Duration(sessionPolicy.IsolatedAfter)/4 {
			asked = now
			d.askPeers(now)
		}
		o.mu.Lock()
		cut := o.drainPermit.Isolated(d.clock.Now())
		o.mu.Unlock()
		if o.isolated.Swap(cut) != cut {
			d.log.Emit(eventlog.IsolationChanged, "isolated", cut)
		}
	}
}

// askPeers asks all fellows what they follow; more than half of the fleet,
// this daemon counted, must answer for it to have heard them.
func (d *Daemon) askPeers(now time.Duration) {
	o := d.state.Policies
	o.mu.Lock()
	var inners []string
	for id, met := range o.recentNodes {
		if string(id) != d.settings.Name {
			inners = append(inners, met.InternalAddress)
		}
	}
	o.mu.Unlock()
	var asked sync.WaitGroup
	var answers atomic.Int64
	places := make(chan struct{}, peerCallsInFlight)
	for _, inner := range inners {
		asked.Add(1)
		places <- struct{}{}
		go func() {
			defer func() { <-places; asked.Done() }()
			var reply rpc.RetirementsResponse
			if err := d.leader.peerClient(inner).Call(rpc.MethodRetirements, rpc.RetirementsRequest{From: rpc.NodeID(d.settings.Name)}, &reply, peerCallTimeout); err != nil {
				return
			}
			answers.Add(1)
			o.mu.Lock()
			o.applyRetirements(d.clock.Now(), reply.Retirements, d.state.History, true)
			o.mu.Unlock()
		}()
	}
	asked.Wait()
	if 2*(int(answers.Load())+1) > len(inners)+1 {
		o.mu.Lock()
		o.drainPermit.PeersResponded(now)
		o.mu.Unlock()
	}
}

// Orders tells a fellow what this daemon follows.
func (k *PeerService) Orders(_ rpc.RetirementsRequest, reply *rpc.RetirementsResponse) (err error) {
	reply.Retirements = k.daemon.state.Policies.Retirements()
	return nil
}
