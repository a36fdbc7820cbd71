// Package drain retires backends by one policy that every daemon reads alike. It
// owns the operator's document (Policy), the leader's planning (Planner) and the
// node's side (Permit); the retirements themselves are replicated state. A
// retirement passes through revisions that are committed: announced, so that all
// know of it; stopped, from which on no node sends a new client there;
// and it is complete once every connected node has confirmed that
// revision. No type here may be used by two goroutines at once.
package drain

import (
	"fmt"
	"time"

	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// AllServices is the rule that holds where a service has none of its own.
const AllServices = policy.AllServices

// What becomes of keyed requests in flight when their backend drains.
const (
	KeyedFinish   = "finish"
	KeyedDeadline = "deadline"
)

// What an isolated node does.
const (
	IsolatedStop  = "stop"
	IsolatedServe = "serve"
)

// Span is a time written as text.
type Span = policy.Duration

// Rule is the policy for one service, or for all.
type Rule struct {
	Service string `json:"service"`
	// Notice is how long before the stop all daemons know of it.
	Notice Span `json:"notice"`
	// Finish is how long requests in flight may go on after the stop.
	Finish Span `json:"finish"`
	// KeyedRequests is "finish", or "deadline" to let keyed requests run until their
	// own deadline.
	KeyedRequests string `json:"keyed"`
	// MinShare is the fraction of the service's backends that must stay in use.
	MinShare float64 `json:"least_share"`
}

// For is the service that the rule is for.
func (r Rule) For() (service string) { return r.Service }

// Policy is the whole document.
type Policy struct {
	Version policy.Version `json:"version"`
	Rules   []Rule         `json:"rules"`
	// IsolatedAfter is after how long a node that hears neither a leader nor more
	// than half of its peers counts as isolated, and WhenIsolated what it does.
	IsolatedAfter Span   `json:"lost_touch"`
	WhenIsolated  string `json:"cut_off"`
}

const (
	maxSpan          = Span(time.Hour)
	minIsolatedAfter = Span(time.Second)
	maxRules         = 1000
)

// Parse reads a policy and checks what can be seen from it alone.
func Parse(body []byte) (parsed *Policy, err error) {
	parsed = &Policy{}
	if err = policy.Decode(body, parsed); err != nil {
		return nil, err
	}
	invalid := &policy.ValidationErrors{}
	invalid.CheckHeader(parsed.Version, len(parsed.Rules), maxRules)
	named := map[string]bool{}
	for i, rule := range parsed.Rules {
		rule.validate(invalid, fmt.Sprintf("rules.%d.", i), named[rule.Service])
		named[rule.Service] = true
	}
	if parsed.IsolatedAfter < minIsolatedAfter || parsed.IsolatedAfter > maxSpan {
		invalid.Add("lost_touch", "must be a time from 1s to 1h")
	}
	if parsed.WhenIsolated != IsolatedStop && parsed.WhenIsolated != IsolatedServe {
		invalid.Add("cut_off", `must be "stop" or "serve"`)
	}
	return parsed, invalid.Err()
}

// validate adds what is wrong with a rule; repeated tells that an earlier rule is
// for the same service. The conditions are written so that NaN fails them.
func (r Rule) validate(invalid *policy.ValidationErrors, prefix string, repeated bool) {
	if r.Service == "" || repeated {
		invalid.Add(prefix+"service", "is missing or named twice")
	}
	if r.Notice < 0 || r.Notice > maxSpan {
		invalid.Add(prefix+"notice", "must be a time up to 1h")
	}
	if r.Finish <= 0 || r.Finish > maxSpan {
		invalid.Add(prefix+"finish", "must be a time above 0 and up to 1h")
	}
	if r.KeyedRequests != KeyedFinish && r.KeyedRequests != KeyedDeadline {
		invalid.Add(prefix+"keyed", `must be "finish" or "deadline"`)
	}
	if !(r.MinShare >= 0 && r.MinShare < 1) {
		invalid.Add(prefix+"least_share", "must be 0 or more and below 1")
	}
}

// CheckServices is an error that lists the services that are named but not known.
func (p *Policy) CheckServices(known func(service string) bool) (err error) {
	return policy.CheckServices(p.Rules, known)
}

// defaultRule holds where no policy or no rule does.
var defaultRule = Rule{Service: AllServices, Finish: Span(30 * time.Second), KeyedRequests: KeyedDeadline, MinShare: 0}

// RuleFor is the rule of a service.
func (p *Policy) RuleFor(service rpc.ServiceName) (rule Rule) {
	rule = defaultRule
	if p == nil {
		return rule
	}
	if own, found := policy.RuleFor(p.Rules, string(service)); found {
		return own
	}
	return rule
}
