// Package retry keeps the one written limit on retries that all nodes keep
// together, service by service. A retry is any arrival at a backend beyond the
// first of a request: another attempt, a hedge, the repeat of what a backend
// turned away. This file is the written limit.
package retry

import (
	"fmt"
	"time"

	"tinpin/internal/policy"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

// Rule is the limit for one service, or for all others.
type Rule struct {
	Service string `json:"service"`
	// Ratio of retries to first attempts.
	Ratio float64 `json:"ratio"`
	// LeastPerSecond is what all nodes together may retry beside that, however
	// few first attempts there are.
	LeastPerSecond float64 `json:"least_per_s"`
	// Window is the span over which the limit is counted; it slides.
	Window policy.Duration `json:"window"`
}

// For is the service that the rule is for.
func (r Rule) For() (service string) { return r.Service }

// Policy is the whole document.
type Policy struct {
	Version policy.Version `json:"version"`
	Rules   []Rule         `json:"rules"`
}

const (
	maxRatio          = 10
	maxLeastPerSecond = 100_000
	minWindow         = policy.Duration(time.Second)
	maxWindow         = policy.Duration(10 * time.Minute)
	maxRules          = 5000
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
		if rule.Service == "" || len(rule.Service) > policy.MaxNameLength || named[rule.Service] {
			faults.Add(where("service"), "is missing, too long or named twice")
		}
		named[rule.Service] = true
		if !(rule.Ratio >= 0 && rule.Ratio <= maxRatio) {
			faults.Add(where("ratio"), fmt.Sprintf("must be a number from 0 to %d", maxRatio))
		}
		if !(rule.LeastPerSecond >= 0 && rule.LeastPerSecond <= maxLeastPerSecond) {
			faults.Add(where("least_per_s"), fmt.Sprintf("must be a number from 0 to %d", maxLeastPerSecond))
		}
		if rule.Window < minWindow || rule.Window > maxWindow {
			faults.Add(where("window"), "must be a time from 1s to 10m")
		}
	}
	return parsed, faults.Err()
}

// CheckServices tells which services a policy names that are not known.
func (p *Policy) CheckServices(known func(service string) bool) (err error) {
	return policy.CheckServices(p.Rules, known)
}

// RuleFor gives the rule of a service; without one there is no written limit.
func (p *Policy) RuleFor(service rpc.ServiceName) (rule Rule, written bool) {
	if p == nil {
		return rule, false
	}
	return policy.RuleFor(p.Rules, string(service))
}

// Bound is what is lent of the rule: half of the least may come at once and
// half of it as a rate, so that no window holds more than the whole.
func (r Rule) Bound(service rpc.ServiceName) (bound quota.RateLimit) {
	return quota.RateLimit{Name: string(service), Rate: r.LeastPerSecond / 2, Burst: r.LeastPerSecond / 2 * time.Duration(r.Window).Seconds()}
}
