package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The rules, by the names that the users' pages give them; the last three are this
// program's own.
const (
	ruleLost    = "LOST"
	ruleTwice   = "TWICE"
	ruleRefused = "REFUSED"
	ruleMixed   = "MIXED"
	ruleUnasked = "UNASKED"
	ruleRoute   = "ROUTE"
	ruleDrain   = "DRAIN"
	ruleEvac    = "EVAC"
	ruleGone    = "GONE"
	ruleDenied  = "DENIED"
	ruleConfig  = "CONFIG"
	ruleRecover = "RECOVER"
	// ruleExit: a process ended by itself, or with a failure.
	ruleExit = "EXIT"
	// ruleGrace: it had to be killed after its grace period.
	ruleGrace = "GRACE"
	// ruleUsage: it holds much more at the end than at the beginning.
	ruleUsage = "USAGE"
)

// Violation is a broken rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
	// Request and Process are empty where there is none.
	Request string `json:"request,omitempty"`
	Process Target `json:"process"`
	// Undecided tells that the machine did not give the process its turn: the rule
	// bounds a time, and nothing is proven.
	Undecided bool `json:"undecided"`
}

// checker holds what the rules look at once a play is over.
type checker struct {
	*System
	byItem     map[string][]*Change
	byKey      map[string][]*Arrival
	violations []Violation
}

// Check finds all violations of a play that is over.
func (s *System) Check() (violations []Violation) {
	c := &checker{System: s}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.log.requests)) {
		request, arrivals := s.log.requests[id], s.log.arrivals[id]
		c.checkLost(request, arrivals)
		c.checkRuns(request, arrivals)
		c.checkAnswer(request, arrivals)
		c.checkTimes(request, arrivals)
		c.checkBody(request)
	}
	c.checkKeys()
	c.checkRepeats()
	c.checkUnasked()
	c.checkGone()
	c.checkDenied()
	c.checkLives()
	c.checkRecovery()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// add adds a violation that does not hang on times.
func (c *checker) add(rule string, at time.Duration, request, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Request: request, Text: text})
}

// timed is a violation of a bound in time, in a span.
type timed struct {
	rule     string
	request  string
	process  *Process
	from, to time.Duration
}

// addTimed adds a violation of a bound in time. It is undecided where the machine did not
// give the process its turn within the span.
func (c *checker) addTimed(t timed, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{
		Rule: t.rule, At: t.to, Request: t.request, Process: t.process.Target,
		Text: fmt.Sprintf(format, arguments...), Undecided: c.watch.starved(t.process.Target, t.from, t.to),
	})
}

// proxy is the process that took a request.
func (c *checker) proxy(request *Request) *Process { return c.Proxies[request.Proxy-1] }

// inTouch tells that a proxy and the controllers were left alone for contact before a
// time, and up to it, and that more than half of the controllers ran.
func (c *checker) inTouch(proxy *Process, at time.Duration) bool {
	down := 0
	for _, controller := range c.Controllers {
		if controller.lifeAt(at) == nil {
			down++
		}
	}
	if down > (len(c.Controllers)-1)/2 {
		return false
	}
	for _, process := range append([]*Process{proxy}, c.Controllers...) {
		if process.disturbedWithin(at-contact, at) || process.frozenWithin(at-contact, at) {
			return false
		}
	}
	return true
}

// arrivalsOfKey are the arrivals of all requests with a key.
func (c *checker) arrivalsOfKey(key string) (arrivals []*Arrival) {
	if c.byKey == nil {
		c.byKey = map[string][]*Arrival{}
		for id, request := range c.log.requests {
			if request.Key != "" {
				c.byKey[request.Key] = append(c.byKey[request.Key], c.log.arrivals[id]...)
			}
		}
	}
	return c.byKey[key]
}

// changesOf are the changes of an item, in the order of sending.
func (c *checker) changesOf(item string) (changes []*Change) {
	if c.byItem == nil {
		c.byItem = map[string][]*Change{}
		for _, change := range c.operator.changes {
			c.byItem[change.Item] = append(c.byItem[change.Item], change)
		}
	}
	return c.byItem[item]
}
