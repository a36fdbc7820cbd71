package proxy

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/config"
	"tinpin/internal/drain"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

const (
	// nodeMemory is how long a node that is gone counts as one of the fleet, of which
	// more than half must answer where no leader is heard.
	nodeMemory = 2 * time.Minute
)

// metNode is a node that was heard of, and when it was last.
type metNode struct {
	rpc.Node
	lastSeen time.Duration
}

// PlanWeights is the schedule's step in force, by host and by service.
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
	// Retries keeps the operator's limit on retries.
	Retries *retry.Limiter
	// Sessions keeps clients where their sessions began.
	Sessions       *Sessions
	isolated       atomic.Bool
	hasRetirements atomic.Bool
}

// NewPolicies has no policy and no retirement yet.
func NewPolicies(now time.Duration) (policies *Policies) {
	policies = &Policies{
		drainPermit: drain.NewPermit(now),
		retirements: map[rpc.EndpointID]rpc.Retirement{}, documents: map[policy.Kind]policy.Document{},
		recentNodes: map[rpc.NodeID]metNode{}, Sessions: NewSessions(),
	}
	policies.planWeights.Store(&PlanWeights{})
	policies.overflow.Store(&map[rpc.ServiceName]rpc.ZoneOverflow{})
	return policies
}

// apply applies the parts of an update that concern policies; the update was asked for
// at requestedAt, from which on the leader counts as heard.
func (o *Policies) apply(
	now, requestedAt time.Duration, update *rpc.Update, recorder *history.Recorder, unlogged bool,
) {
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
		recorder.Record(history.Document, string(document.Kind), "applied", document.Summary(), document.Rev, unlogged)
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
func (o *Policies) applyRetirements(
	now time.Duration, retirements []rpc.Retirement, recorder *history.Recorder, unlogged bool,
) {
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

// AcceptsNew reports whether a new client may be sent to a backend.
func (o *Policies) AcceptsNew(now time.Duration, backend rpc.EndpointID) (sends bool) {
	if !o.hasRetirements.Load() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drainPermit.AllowsNew(now, backend)
}

// KeepsSessions reports whether a session that is there may stay on a backend: one that
// was retired keeps its sessions as long as the policy lets requests finish.
func (o *Policies) KeepsSessions(now time.Duration, backend rpc.EndpointID, service rpc.ServiceName) (keeps bool) {
	if !o.hasRetirements.Load() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drainPermit.AllowsNew(now, backend) ||
		o.drainPermit.MayFinish(now, backend, time.Duration(o.drainPolicy.RuleFor(service).Finish))
}

// Isolated reports whether this node is isolated: no new request may be taken.
func (o *Policies) Isolated() bool { return o.isolated.Load() }

// RecentNodes counts the nodes heard of lately.
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

// refreshNodes keeps nodes that are still listed from being forgotten.
func (o *Policies) refreshNodes(now time.Duration, nodes map[rpc.NodeID]rpc.Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, node := range nodes {
		o.recentNodes[id] = metNode{node, now}
	}
}

// PlanWeights gives the schedule's weights for a request, nil where there are none.
func (o *Policies) PlanWeights(host string, service rpc.ServiceName) (weights schedule.Weights) {
	plan := o.planWeights.Load()
	if len(plan.Hosts) > 0 {
		if weights = plan.Hosts[config.NormalizeHost(host)]; weights != nil {
			return weights
		}
	}
	return plan.Services[service]
}

// OverflowZone draws the zone that a request should be sent to, "" for the node's own.
// Weights are in thousandths.
func (o *Policies) OverflowZone(service rpc.ServiceName) (zone rpc.ZoneName) {
	overflow := *o.overflow.Load()
	if len(overflow) == 0 {
		return ""
	}
	point := rand.Intn(1000)
	for _, target := range overflow[service].Targets {
		if point -= target.Weight; point < 0 {
			return target.Zone
		}
	}
	return ""
}

// hasPlan reports whether a schedule is in force.
func (o *Policies) hasPlan() bool {
	plan := o.planWeights.Load()
	return len(plan.Hosts)+len(plan.Services) > 0
}

// Retirements lists the retirements this node follows, for another node that asks.
func (o *Policies) Retirements() (retirements []rpc.Retirement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, retirement := range o.retirements {
		retirements = append(retirements, retirement)
	}
	return retirements
}

// stateOf gives what this node knows of a document, a retirement or the schedule.
func (o *Policies) stateOf(kind, name string) (summary string, revision uint64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch kind {
	case history.Document:
		document, found := o.documents[policy.Kind(name)]
		return document.Summary(), document.Rev, found
	case history.Retirement:
		retirement, found := o.retirements[rpc.EndpointID(name)]
		return retirement.Summary(), retirement.Rev, found
	}
	return o.planStep.Summary(), o.planStep.Rev, o.planStep.Rev > 0
}
