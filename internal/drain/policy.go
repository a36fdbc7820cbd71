// Package drain retires backends by one policy that every daemon reads alike.
// An order passes through agreed epochs: announced, so that all know of it;
// stopped, from which on no daemon sends a new caller there; and it counts as
// together once every daemon in touch has confirmed that epoch. This file is
// the written policy.
package drain

import (
	"fmt"
	"time"

	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// AllServices is the rule that holds where a service has none of its own.
const AllServices = policy.AllServices

// What keyed requests at work do when their backend leaves.
const (
	KeyedFinish   = "finish"
	KeyedDeadline = "deadline"
)

// What a daemon does that has lost touch with the others.
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
	// Finish is how long requests at work may go on after the stop.
	Finish Span `json:"finish"`
	// KeyedRequests is "finish", or "deadline" to let keyed requests run until their own.
	KeyedRequests string `json:"keyed"`
	// LeastShare is the part of the service that must stay in use.
	LeastShare float64 `json:"least_share"`
}

// For is the service that the rule is for.
func (r Rule) For() (service string) { return r.Service }

// Policy is the whole document.
type Policy struct {
	Version policy.Version `json:"version"`
	Rules   []Rule         `json:"rules"`
	// IsolatedAfter is after how long a daemon that hears neither a leader nor more
	// than half of its fellows counts itself as cut off, and CutOff what it does.
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
	faults := &policy.ValidationErrors{}
	faults.CheckHeader(parsed.Version, len(parsed.Rules), maxRules)
	named := map[string]bool{}
	for i, rule := range parsed.Rules {
		where := func(field string) string { return fmt.Sprintf("rules.%d.%s", i, field) }
		if rule.Service == "" || named[rule.Service] {
			faults.Add(where("service"), "is missing or named twice")
		}
		named[rule.Service] = true
		if rule.Notice < 0 || rule.Notice > maxSpan {
			faults.Add(where("notice"), "must be a time up to 1h")
		}
		if rule.Finish <= 0 || rule.Finish > maxSpan {
			faults.Add(where("finish"), "must be a time above 0 and up to 1h")
		}
		if rule.KeyedRequests != KeyedFinish && rule.KeyedRequests != KeyedDeadline {
			faults.Add(where("keyed"), `must be "finish" or "deadline"`)
		}
		if !(rule.LeastShare >= 0 && rule.LeastShare < 1) {
			faults.Add(where("least_share"), "must be 0 or more and below 1")
		}
	}
	if parsed.IsolatedAfter < minIsolatedAfter || parsed.IsolatedAfter > maxSpan {
		faults.Add("lost_touch", "must be a time from 1s to 1h")
	}
	if parsed.WhenIsolated != IsolatedStop && parsed.WhenIsolated != IsolatedServe {
		faults.Add("cut_off", `must be "stop" or "serve"`)
	}
	return parsed, faults.Err()
}

// CheckServices tells which services a policy names that are not known.
func (p *Policy) CheckServices(known func(service string) bool) (err error) {
	return policy.CheckServices(p.Rules, known)
}

// defaultRule holds where no policy or no rule does.
var defaultRule = Rule{Service: AllServices, Finish: Span(30 * time.Second), KeyedRequests: KeyedDeadline, LeastShare: 0}

// RuleFor gives the rule of a service.
func (p *Policy) RuleFor(service rpc.ServiceName) (rule Rule) {
	rule = defaultRule
	if p == nil {
		return rule
	}
	if written, ruled := policy.RuleFor(p.Rules, string(service)); ruled {
		return written
	}
	return rule
}
