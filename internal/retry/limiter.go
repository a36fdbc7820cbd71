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
	// touchSpan is how long after it asked for news a node counts as in touch.
	touchSpan = 2 * time.Second
	// floorRatio is the part of the ratio that is earned out of touch.
	floorRatio = 0.2
)

// Refusal says why a retry was not let.
type Refusal uint8

// The reasons; Granted is none.
const (
	Granted Refusal = iota
	OverLimit
	Slow
	TooLate
)

type standing struct {
	rule    Rule
	purse   Purse
	bucket  quota.Bucket
	gate    Gate
	used    uint64
	refused [TooLate + 1]uint64
}

// Account is how one service stands at one node.
type Account struct {
	Service string  `json:"service"`
	Ratio   float64 `json:"ratio"`
	Used    uint64  `json:"used"`
	// Refused for want of a share, Slow because the service is, Late because no
	// answer could have been in time.
	Refused uint64  `json:"refused"`
	Slow    uint64  `json:"refused_slow"`
	Late    uint64  `json:"refused_late"`
	Open    float64 `json:"open"`
}

// Limiter of one node.
type Limiter struct {
	part func(kind rpc.LeaseKind, service string) float64
	// OnGate is told when retries of a service are held back or let again.
	OnGate func(service rpc.ServiceName, open bool)
	mu     sync.Mutex
	policy *Policy
	asked  time.Duration
	held   map[rpc.ServiceName]*standing
}

// NewLimiter draws on leased parts.
func NewLimiter(part func(kind rpc.LeaseKind, service string) float64) (limiter *Limiter) {
	return &Limiter{part: part, OnGate: func(rpc.ServiceName, bool) {}, held: map[rpc.ServiceName]*standing{}}
}

// Set takes the policy in force, nil for none. What was earned under another
// rule is lost, so that a lowered limit holds at once here.
func (l *Limiter) Set(policy *Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy = policy
	for service, held := range l.held {
		rule, written := policy.For(service)
		switch {
		case !written:
			delete(l.held, service)
		case rule != held.rule:
			held.rule, held.purse, held.bucket = rule, Purse{}, quota.Bucket{}
		}
	}
}

// Touch notes that the leader was asked at a time and answered.
func (l *Limiter) Touch(asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = max(l.asked, asked)
}

// of gives a service's standing, nil where no rule holds; the caller holds the lock.
func (l *Limiter) of(service rpc.ServiceName) (held *standing) {
	if l.policy == nil {
		return nil
	}
	held = l.held[service]
	if held == nil {
		rule, written := l.policy.For(service)
		if !written {
			return nil
		}
		held = &standing{rule: rule}
		l.held[service] = held
	}
	return held
}

// parts is what this node holds of a service's least rate.
func (l *Limiter) parts(service rpc.ServiceName) (part float64) {
	return l.part(rpc.RetryShare, string(service)) + l.part(rpc.RetryMinimum, string(service))
}

// First notes a first attempt.
func (l *Limiter) First(now time.Duration, service rpc.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.of(service)
	if held == nil {
		return
	}
	earned := held.rule.Ratio
	switch silence := now - l.asked; {
	case silence > quota.RetryFloorSpan:
		earned = 0
	case silence > touchSpan:
		earned *= floorRatio
	}
	held.purse.Earn(now, time.Duration(held.rule.Window), earned)
}

// Learn takes what became of an attempt.
func (l *Limiter) Learn(now time.Duration, service rpc.ServiceName, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.of(service); held != nil && held.gate.Learn(now, inTime) {
		l.OnGate(service, !held.gate.shut)
	}
}

// Spend takes one retry that would be answered at a time and must be by
// another, or says why not.
func (l *Limiter) Spend(now, answered, till time.Duration, service rpc.ServiceName) (refusal Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.of(service)
	if held == nil {
		return Granted
	}
	refusal = held.spend(now, answered, till, service, l.parts(service))
	if refusal == Granted {
		held.used++
	} else {
		held.refused[refusal]++
	}
	return refusal
}

func (s *standing) spend(now, answered, till time.Duration, service rpc.ServiceName, part float64) (refusal Refusal) {
	if answered > till {
		return TooLate
	}
	if !s.gate.Pass(now) {
		return Slow
	}
	if s.purse.Spend(now, time.Duration(s.rule.Window)) {
		return Granted
	}
	if admitted, _ := s.bucket.Admit(now, s.rule.Bound(service), part); admitted {
		return Granted
	}
	return OverLimit
}

// Fill brings the buckets up to now; it is called before parts change.
func (l *Limiter) Fill(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, held := range l.held {
		held.bucket.Fill(now, held.rule.Bound(service), l.parts(service))
	}
}

// Demands tells what each service's retries ask of this node.
func (l *Limiter) Demands() (demands []rpc.RateDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, held := range l.held {
		demands = append(demands, rpc.RateDemand{Name: string(service), Rate: held.bucket.Demand(), Minimum: l.part(rpc.RetryMinimum, string(service))})
	}
	return demands
}

// Accounts tells how each service stands here.
func (l *Limiter) Accounts(now time.Duration) (accounts []Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, held := range l.held {
		accounts = append(accounts, Account{
			Service: string(service), Ratio: held.rule.Ratio, Used: held.used, Refused: held.refused[OverLimit],
			Slow: held.refused[Slow], Late: held.refused[TooLate], Open: held.gate.Part(now),
		})
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].Service < accounts[j].Service })
	return accounts
}
