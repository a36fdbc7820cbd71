// Package retry owns a node's side of the written limit on retries that all
// nodes keep together, service by service: the operator's document, the budget
// that first attempts earn, the leased least rate, and the gate that holds
// retries back while a service is slow. It does not send anything, and it does
// not divide the least rate among nodes; the leader does (quota). A retry is any
// arrival at a backend beyond the first of a request: another attempt, a hedged
// request, the repeat of what a backend rejected. Limiter may be used by any
// goroutine; the other types belong to their Limiter.
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
	// MinPerSecond is what all nodes together may retry besides, however
	// few first attempts there are.
	MinPerSecond float64 `json:"least_per_s"`
	// Window is the sliding time over which the limit is counted.
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
	maxRatio  = 10
	maxRate   = 100_000
	minWindow = policy.Duration(time.Second)
	maxWindow = policy.Duration(10 * time.Minute)
	maxRules  = 5000
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
	return parsed, invalid.Err()
}

// validate adds what is wrong with a rule; repeated tells that an earlier rule is
// for the same service. The conditions are written so that NaN fails them.
func (r Rule) validate(invalid *policy.ValidationErrors, prefix string, repeated bool) {
	if r.Service == "" || len(r.Service) > policy.MaxNameLength || repeated {
		invalid.Add(prefix+"service", "is missing, too long or named twice")
	}
	if !(r.Ratio >= 0 && r.Ratio <= maxRatio) {
		invalid.Add(prefix+"ratio", fmt.Sprintf("must be a number from 0 to %d", maxRatio))
	}
	if !(r.MinPerSecond >= 0 && r.MinPerSecond <= maxRate) {
		invalid.Add(prefix+"least_per_s", fmt.Sprintf("must be a number from 0 to %d", maxRate))
	}
	if r.Window < minWindow || r.Window > maxWindow {
		invalid.Add(prefix+"window", "must be a time from 1s to 10m")
	}
}

// CheckServices is an error that lists the services that are named but not known.
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

// Bound is the least rate as the leader leases it: half of it may come at once and
// half of it as a rate, so that no window holds more than the whole.
func (r Rule) Bound(service rpc.ServiceName) (bound quota.RateLimit) {
	rate := r.MinPerSecond / 2
	return quota.RateLimit{Name: string(service), Rate: rate, Burst: rate * time.Duration(r.Window).Seconds()}
}
