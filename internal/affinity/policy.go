// Package affinity keeps a session on the backend where it began, whichever
// node answers. It owns the operator's document, which says service by service
// what names a session in a request; the node's side (Binder, BindingCache); and
// the leader's record of use (Tracker). The bindings themselves are replicated
// state and not owned here. A new session begins on the backend that a hash of
// its name and the backends gives, the leader commits the binding, and every
// node follows it. Binder may be used by any goroutine, the other types by one at
// a time.
package affinity

import (
	"fmt"
	"strings"
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

// What becomes of idempotent requests while no leader can be asked where their
// session is; others are rejected.
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
	// Idle is how long a session lasts after its last request.
	Idle policy.Duration `json:"idle"`
	// WithoutLeader is "refuse" or "serve".
	WithoutLeader string `json:"alone"`
	// MaxSessions is how many sessions are kept; above it the least recently used expire.
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
	invalid := &policy.ValidationErrors{}
	invalid.CheckHeader(parsed.Version, len(parsed.Rules), maxRules)
	named, total := map[string]bool{}, 0
	for i, rule := range parsed.Rules {
		prefix := fmt.Sprintf("rules.%d.", i)
		rule.validate(invalid, prefix, named[rule.Service])
		named[rule.Service] = true
		if rule.MaxSessions < 1 || rule.MaxSessions > MaxSessionsTotal {
			invalid.Add(prefix+"most", fmt.Sprintf("must be a whole number from 1 to %d", MaxSessionsTotal))
		} else if total += rule.MaxSessions; total > MaxSessionsTotal {
			invalid.Add(prefix+"most", fmt.Sprintf("brings the sum above %d", MaxSessionsTotal))
		}
	}
	return parsed, invalid.Err()
}

// validate adds what is wrong with a rule but its MaxSessions, which count
// together; repeated tells that an earlier rule is for the same service.
func (r Rule) validate(invalid *policy.ValidationErrors, prefix string, repeated bool) {
	if r.Service == "" || len(r.Service) > policy.MaxNameLength || repeated {
		invalid.Add(prefix+"service", "is missing, too long or named twice")
	}
	switch r.Source {
	case FromHeader, FromCookie:
		if !validName(r.Name) {
			invalid.Add(prefix+"name", "must be the name of a header or cookie")
		}
	case FromKey, FromTenant:
		if r.Name != "" {
			invalid.Add(prefix+"name", "goes with header and cookie only")
		}
	default:
		invalid.Add(prefix+"from", `must be "header", "cookie", "key" or "tenant"`)
	}
	if r.Idle < minIdle || r.Idle > maxIdle {
		invalid.Add(prefix+"idle", "must be a time from 10s to 24h")
	}
	if r.WithoutLeader != WithoutLeaderRefuse && r.WithoutLeader != WithoutLeaderServe {
		invalid.Add(prefix+"alone", `must be "refuse" or "serve"`)
	}
}

// maxSourceName is the longest name of a header or cookie, in bytes.
const maxSourceName = 64

// validName tells whether a text may name a header or cookie.
func validName(text string) (valid bool) {
	if text == "" || len(text) > maxSourceName {
		return false
	}
	return !strings.ContainsFunc(text, func(character rune) bool {
		return character <= ' ' || character > '~' || strings.ContainsRune(`:=;,"`, character)
	})
}

// CheckServices is an error that lists the services that are named but not known.
func (p *Policy) CheckServices(known func(service string) bool) (err error) {
	return policy.CheckServices(p.Rules, known)
}

// RuleFor is the rule of a service; without one it has no sessions.
func (p *Policy) RuleFor(service rpc.ServiceName) (rule Rule, ruled bool) {
	if p == nil {
		return rule, false
	}
	return policy.RuleFor(p.Rules, string(service))
}
