// Package affinity keeps a session on the backend where it began, whichever
// node answers. The operator's policy says, service by service, what names a
// session in a request. A new session begins on the backend that a hash of its
// name and the backends gives, and is bound there by agreement of the cores;
// every node follows the binding. This file is the written policy.
package affinity

import (
	"fmt"
	"time"

	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// Source is the part of a request that names its session.
type Source string

// The sources.
const (
	FromHeader Source = "header"
	FromCookie Source = "cookie"
	FromKey    Source = "key"
	FromTenant Source = "tenant"
)

// What requests that may be repeated do while no leader can be asked where
// their session is; others are refused.
const (
	WithoutLeaderRefuse = "refuse"
	WithoutLeaderServe  = "serve"
)

// Rule is the policy for one service, or for all others.
type Rule struct {
	Service string `json:"service"`
	Source  Source `json:"from"`
	// Name of the header or cookie.
	Name string `json:"name,omitempty"`
	// Idle is how long a session lasts that nothing is heard of.
	Idle          policy.Duration `json:"idle"`
	WithoutLeader string          `json:"alone"`
	// MaxSessions is how many sessions are kept; over it the least recently used go.
	MaxSessions int `json:"most"`
}

// For is the service that the rule is for.
func (r Rule) For() (service string) { return r.Service }

// Policy is the whole document.
type Policy struct {
	Version policy.Version `json:"version"`
	Rules   []Rule         `json:"rules"`
}

// MaxSessionsTotal is how many sessions all rules together may keep.
const MaxSessionsTotal = 200_000

const (
	minIdle  = policy.Duration(10 * time.Second)
	maxIdle  = policy.Duration(24 * time.Hour)
	maxRules = 5000
)

// Parse reads a policy and checks what can be seen from it alone.
func Parse(body []byte) (parsed *Policy, err error) {
	parsed = &Policy{}
	if err = policy.Decode(body, parsed); err != nil {
		return nil, err
	}
	faults := &policy.ValidationErrors{}
	faults.CheckHeader(parsed.Version, len(parsed.Rules), maxRules)
	named, sum := map[string]bool{}, 0
	for i, rule := range parsed.Rules {
		where := func(field string) string { return fmt.Sprintf("rules.%d.%s", i, field) }
		if rule.Service == "" || len(rule.Service) > policy.MaxNameLength || named[rule.Service] {
			faults.Add(where("service"), "is missing, too long or named twice")
		}
		named[rule.Service] = true
		switch rule.Source {
		case FromHeader, FromCookie:
			if !validName(rule.Name) {
				faults.Add(where("name"), "must be the name of a header or cookie")
			}
		case FromKey, FromTenant:
			if rule.Name != "" {
				faults.Add(where("name"), "goes with header and cookie only")
			}
		default:
			faults.Add(where("from"), `must be "header", "cookie", "key" or "tenant"`)
		}
		if rule.Idle < minIdle || rule.Idle > maxIdle {
			faults.Add(where("idle"), "must be a time from 10s to 24h")
		}
		if rule.WithoutLeader != WithoutLeaderRefuse && rule.WithoutLeader != WithoutLeaderServe {
			faults.Add(where("alone"), `must be "refuse" or "serve"`)
		}
		if rule.MaxSessions < 1 || rule.MaxSessions > MaxSessionsTotal {
			faults.Add(where("most"), fmt.Sprintf("must be a whole number from 1 to %d", MaxSessionsTotal))
		} else if sum += rule.MaxSessions; sum > MaxSessionsTotal {
			faults.Add(where("most"), fmt.Sprintf("brings the sum above %d", MaxSessionsTotal))
		}
	}
	return parsed, faults.Err()
}

// validName tells whether a text may name a header or cookie.
func validName(text string) (good bool) {
	if text == "" || len(text) > 64 {
		return false
	}
	for _, letter := range text {
		if letter <= ' ' || letter > '~' || letter == ':' || letter == '=' || letter == ';' || letter == ',' || letter == '"' {
			return false
		}
	}
	return true
}

// CheckServices tells which services a policy names that are not known.
func (p *Policy) CheckServices(known func(service string) bool) (err error) {
	return policy.CheckServices(p.Rules, known)
}

// RuleFor gives the rule of a service; without one it knows no sessions.
func (p *Policy) RuleFor(service rpc.ServiceName) (rule Rule, ruled bool) {
	if p == nil {
		return rule, false
	}
	return policy.RuleFor(p.Rules, string(service))
}
