// Limiter is a node's side of the written limit: for each service under a rule
// it keeps what first attempts have earned, the bucket that fills at the node's
// leased parts of the least rate, and the gate. In touch with the leader a node
// earns the whole ratio; out of touch a small floor of it and the floor that
// was lent, and after a minute nothing, so that a lowered limit holds for nodes
// that have not heard of it.
package retry

import (
	"sort"
	"sync"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

const (
	// contactTime is how long after it asked for news a node counts as in touch.
	contactTime = 2 * time.Second
	// isolatedRatio is the part of the ratio that is earned out of touch.
	isolatedRatio = 0.2
)

// Decision says why a retry was not let.
type Decision uint8

// The reasons; Granted is none.
const (
	Allowed Decision = iota
	LimitReached
	ServiceSlow
	DeadlineTooShort
)

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
	// Rejected for want of a share, Slow because the service is, Late because no
	// answer could have been in time.
	Rejected     uint64  `json:"refused"`
	RejectedSlow uint64  `json:"refused_slow"`
	RejectedLate uint64  `json:"refused_late"`
	PassFraction float64 `json:"open"`
}

// Limiter of one node.
type Limiter struct {
	leased func(kind rpc.LeaseKind, service string) float64
	// OnGateChange is told when retries of a service are held back or let again.
	OnGateChange func(service rpc.ServiceName, open bool)
	mu           sync.Mutex
	policy       *Policy
	leaderHeard  time.Duration
	services     map[rpc.ServiceName]*serviceState
}

// NewLimiter draws on leased parts.
func NewLimiter(part func(kind rpc.LeaseKind, service string) float64) (limiter *Limiter) {
	return &Limiter{leased: part, OnGateChange: func(rpc.ServiceName, bool) {}, services: map[rpc.ServiceName]*serviceState{}}
}

// SetPolicy takes the policy in force, nil for none. What was earned under another
// rule is lost, so that a lowered limit holds at once here.
func (l *Limiter) SetPolicy(policy *Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy = policy
	for service, held := range l.services {
		rule, written := policy.RuleFor(service)
		switch {
		case !written:
			delete(l.services, service)
		case rule != held.rule:
			held.rule, held.budget, held.bucket = rule, Budget{}, quota.TokenBucket{}
		}
	}
}

// LeaderHeard notes that the leader was asked at a time and answered.
func (l *Limiter) LeaderHeard(asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderHeard = max(l.leaderHeard, asked)
}

// stateOf gives a service's standing, nil where no rule holds; the caller holds the lock.
func (l *Limiter) stateOf(service rpc.ServiceName) (held *serviceState) {
	if l.policy == nil {
		return nil
	}
	held = l.services[service]
	if held == nil {
		rule, written := l.policy.RuleFor(service)
		if !written {
			return nil
		}
		held = &serviceState{rule: rule}
		l.services[service] = held
	}
	return held
}

// leasedRate is what this node holds of a service's least rate.
func (l *Limiter) leasedRate(service rpc.ServiceName) (part float64) {
	return l.leased(rpc.RetryShare, string(service)) + l.leased(rpc.RetryMinimum, string(service))
}

// FirstAttempt notes a first attempt.
func (l *Limiter) FirstAttempt(now time.Duration, service rpc.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.stateOf(service)
	if held == nil {
		return
	}
	earned := held.rule.Ratio
	switch silence := now - l.leaderHeard; {
	case silence > quota.RetryMinimumDuration:
		earned = 0
	case silence > contactTime:
		earned *= isolatedRatio
	}
	held.budget.Earn(now, time.Duration(held.rule.Window), earned)
}

// RecordOutcome takes what became of an attempt.
func (l *Limiter) RecordOutcome(now time.Duration, service rpc.ServiceName, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.stateOf(service); held != nil && held.gate.Record(now, inTime) {
		l.OnGateChange(service, !held.gate.closed)
	}
}

// AllowRetry takes one retry that would be answered at a time and must be by
// another, or says why not.
func (l *Limiter) AllowRetry(now, answered, till time.Duration, service rpc.ServiceName) (refusal Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.stateOf(service)
	if held == nil {
		return Allowed
	}
	refusal = held.allow(now, answered, till, service, l.leasedRate(service))
	if refusal == Allowed {
		held.used++
	} else {
		held.rejected[refusal]++
	}
	return refusal
}

func (s *serviceState) allow(now, answered, till time.Duration, service rpc.ServiceName, part float64) (refusal Decision) {
	if answered > till {
		return DeadlineTooShort
	}
	if !s.gate.Allow(now) {
		return ServiceSlow
	}
	if s.budget.Spend(now, time.Duration(s.rule.Window)) {
		return Allowed
	}
	if admitted, _ := s.bucket.Admit(now, s.rule.Bound(service), part); admitted {
		return Allowed
	}
	return LimitReached
}

// Refill brings the buckets up to now; it is called before parts change.
func (l *Limiter) Refill(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, held := range l.services {
		held.bucket.Refill(now, held.rule.Bound(service), l.leasedRate(service))
	}
}

// Demands tells what each service's retries ask of this node.
func (l *Limiter) Demands() (demands []rpc.RateDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, held := range l.services {
		demands = append(demands, rpc.RateDemand{Name: string(service), Rate: held.bucket.Demand(), Minimum: l.leased(rpc.RetryMinimum, string(service))})
	}
	return demands
}

// Status tells how each service stands here.
func (l *Limiter) Status(now time.Duration) (accounts []ServiceStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, held := range l.services {
		accounts = append(accounts, ServiceStatus{
			Service: string(service), Ratio: held.rule.Ratio, Used: held.used, Rejected: held.rejected[LimitReached],
			RejectedSlow: held.rejected[ServiceSlow], RejectedLate: held.rejected[DeadlineTooShort], PassFraction: held.gate.PassFraction(now),
		})
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].Service < accounts[j].Service })
	return accounts
}
