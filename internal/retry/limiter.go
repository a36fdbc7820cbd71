package retry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

const (
	// contactTime is how long after a heartbeat that the leader answered a node
	// counts as connected.
	contactTime = 2 * time.Second
	// isolatedRatio is the fraction of the ratio that is earned while not connected.
	isolatedRatio = 0.2
)

// Decision on one retry.
type Decision uint8

// The decisions; all but Allowed say why not.
const (
	Allowed Decision = iota
	LimitReached
	ServiceSlow
	DeadlineTooShort
)

// serviceState is what a limiter holds for one service under a rule.
type serviceState struct {
	rule     Rule
	budget   Budget
	bucket   quota.TokenBucket
	gate     CircuitGate
	used     uint64
	rejected [DeadlineTooShort + 1]uint64
}

// ServiceStatus is how one service stands at one node.
type ServiceStatus struct {
	Service string  `json:"service"`
	Ratio   float64 `json:"ratio"`
	Used    uint64  `json:"used"`
	// Rejected counts those over the limit, RejectedSlow those that the gate held
	// back, RejectedLate those whose response could not have been in time.
	Rejected     uint64  `json:"refused"`
	RejectedSlow uint64  `json:"refused_slow"`
	RejectedLate uint64  `json:"refused_late"`
	PassFraction float64 `json:"open"`
}

// Limiter keeps the written limit at one node. While connected to the leader the
// node earns the whole ratio; after that isolatedRatio of it and the guaranteed
// minimum of its leases, and after a minute nothing, so that a lowered limit
// holds for nodes that have not heard of it.
type Limiter struct {
	// leased is the rate a second that this node holds of a service's least rate.
	leased func(kind rpc.LeaseKind, service string) float64
	// OnGateChange is called, under the limiter's lock, when the retries of a
	// service are held back or pass again. It is set before the first use.
	OnGateChange func(service rpc.ServiceName, open bool)

	mu                sync.Mutex
	policy            *Policy
	leaderRespondedTo time.Duration
	services          map[rpc.ServiceName]*serviceState
}

// NewLimiter makes a limiter that draws on the rates leased to this node.
func NewLimiter(leased func(kind rpc.LeaseKind, service string) float64) (limiter *Limiter) {
	return &Limiter{
		leased: leased, OnGateChange: func(rpc.ServiceName, bool) {}, services: map[rpc.ServiceName]*serviceState{},
	}
}

// SetPolicy sets the policy in force, nil for none. What was earned under another
// rule is dropped, so that a lowered limit holds at once here.
func (l *Limiter) SetPolicy(policy *Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy = policy
	for service, state := range l.services {
		rule, limited := policy.RuleFor(service)
		switch {
		case !limited:
			delete(l.services, service)
		case rule != state.rule:
			state.rule, state.budget, state.bucket = rule, Budget{}, quota.TokenBucket{}
		}
	}
}

// LeaderResponded notes that the leader answered a heartbeat that was sent at a time.
func (l *Limiter) LeaderResponded(asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderRespondedTo = max(l.leaderRespondedTo, asked)
}

// stateOf is a service's state, nil where no rule holds. The caller holds l.mu.
func (l *Limiter) stateOf(service rpc.ServiceName) (state *serviceState) {
	if l.policy == nil {
		return nil
	}
	state = l.services[service]
	if state == nil {
		rule, limited := l.policy.RuleFor(service)
		if !limited {
			return nil
		}
		state = &serviceState{rule: rule}
		l.services[service] = state
	}
	return state
}

// leasedRate is what this node holds of a service's least rate, a second.
func (l *Limiter) leasedRate(service rpc.ServiceName) (rate float64) {
	return l.leased(rpc.RetryShare, string(service)) + l.leased(rpc.RetryMinimum, string(service))
}

// FirstAttempt credits the budget for the first attempt of a request.
func (l *Limiter) FirstAttempt(now time.Duration, service rpc.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateOf(service)
	if state == nil {
		return
	}
	earned := state.rule.Ratio
	switch sinceLeader := now - l.leaderRespondedTo; {
	case sinceLeader > quota.RetryMinimumDuration:
		earned = 0
	case sinceLeader > contactTime:
		earned *= isolatedRatio
	}
	state.budget.Earn(now, time.Duration(state.rule.Window), earned)
}

// RecordOutcome tells the gate whether the response to an attempt came in time.
func (l *Limiter) RecordOutcome(now time.Duration, service rpc.ServiceName, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.stateOf(service); state != nil && state.gate.Record(now, inTime) {
		l.OnGateChange(service, !state.gate.closed)
	}
}

// AllowRetry takes one retry off the limit, or says why not. The retry is expected
// to complete at one time and is of use until the deadline.
func (l *Limiter) AllowRetry(now, completion, deadline time.Duration, service rpc.ServiceName) (decision Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateOf(service)
	if state == nil {
		return Allowed
	}
	decision = state.allow(now, completion, deadline, service, l.leasedRate(service))
	if decision == Allowed {
		state.used++
	} else {
		state.rejected[decision]++
	}
	return decision
}

func (s *serviceState) allow(
	now, completion, deadline time.Duration, service rpc.ServiceName, leasedRate float64,
) (decision Decision) {
	if completion > deadline {
		return DeadlineTooShort
	}
	if !s.gate.Allow(now) {
		return ServiceSlow
	}
	if s.budget.Spend(now, time.Duration(s.rule.Window)) {
		return Allowed
	}
	if admitted, _ := s.bucket.Admit(now, s.rule.Bound(service), leasedRate); admitted {
		return Allowed
	}
	return LimitReached
}

// Refill brings the buckets up to now; it is called before leases change.
func (l *Limiter) Refill(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, state := range l.services {
		state.bucket.Refill(now, state.rule.Bound(service), l.leasedRate(service))
	}
}

// Demands lists the rates that this node asks the leader for.
func (l *Limiter) Demands() (demands []rpc.RateDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, state := range l.services {
		demands = append(demands, rpc.RateDemand{
			Name: string(service), Rate: state.bucket.Demand(), Minimum: l.leased(rpc.RetryMinimum, string(service)),
		})
	}
	return demands
}

// Status lists the services under a rule, by name.
func (l *Limiter) Status(now time.Duration) (statuses []ServiceStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, state := range l.services {
		statuses = append(statuses, ServiceStatus{
			Service: string(service), Ratio: state.rule.Ratio, Used: state.used, Rejected: state.rejected[LimitReached],
			RejectedSlow: state.rejected[ServiceSlow], RejectedLate: state.rejected[DeadlineTooShort],
			PassFraction: state.gate.PassFraction(now),
		})
	}
	slices.SortFunc(statuses, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return statuses
}
