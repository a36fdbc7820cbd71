package coordinator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/node"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

const (
	bindTimeout = 800 * time.Millisecond
	// maxBinds is how many sessions one call may bind, maxUnbinds how many
	// bindings are ended in one proposal.
	maxBinds   = 256
	maxUnbinds = 512
	maxIdle    = 24 * time.Hour
	// scanInterval is how often bindings missing from the table are looked for.
	scanInterval = 30 * time.Second
)

// sessionTable is what the leader holds of sessions. Bindings are agreed between
// the controllers; the table knows when each was used last. A session in the
// table is answered from what is agreed, any other goes through the log. A
// session is bound anew for one reason only, that its backend has ended, and
// that is logged.
type sessionTable struct {
	// policy is nil where none is in force.
	policy *affinity.Policy
	expiry *affinity.Tracker
	// built tells that the agreed bindings were read once in this term.
	built    bool
	lastScan time.Duration
	// pendingUnbinds are not known to be carried out yet; proposing tells that a
	// proposal of them is on its way.
	pendingUnbinds []statemachine.Command
	proposing      bool
	moved          uint64
	rejected       uint64
	// stoppedSince is when a retired backend was first found to be stopped.
	stoppedSince map[rpc.EndpointID]time.Duration
}

func newSessionTable() (s sessionTable) {
	return sessionTable{expiry: affinity.NewTracker(), stoppedSince: map[rpc.EndpointID]time.Duration{}}
}

// load reads what is agreed; the caller holds the Coordinator's mu.
func (s *sessionTable) load(state *statemachine.State) {
	s.policy = nil
	if document := state.Documents[policy.SessionAffinity]; document.Active() {
		s.policy, _ = affinity.Parse([]byte(document.Body))
	}
}

// scan takes up bindings that are agreed and not in the table: those of older
// leaders, and of calls whose outcome was lost.
func (s *sessionTable) scan(now time.Duration, state *statemachine.State) {
	state.EachBinding(func(session rpc.SessionID, binding statemachine.Binding) {
		if !s.expiry.Known(binding.Service, session) {
			s.expiry.Add(now, binding.Service, session, binding.IdleTimeout, binding.Sequence)
		}
	})
}

func (c *Coordinator) scanBindings() {
	now := c.now()
	c.sessions.built, c.sessions.lastScan = true, now
	c.node.ReadState(func(state *statemachine.State) { c.sessions.scan(now, state) })
}

// buildSessionTable builds the table once the leader is settled, as only then it
// has all that older leaders bound. It tells whether the table stands; the
// caller holds mu.
func (c *Coordinator) buildSessionTable() (built bool) {
	if _, settled, _, _, _ := c.node.Status(); settled && !c.sessions.built {
		c.scanBindings()
	}
	return c.sessions.built
}

// validateBind checks one request for a binding; the caller holds mu.
func (c *Coordinator) validateBind(bind rpc.SessionBinding) (err error) {
	endpoint, listed := c.endpoints.Endpoints.Get(bind.Endpoint)
	_, ruled := c.sessions.policy.RuleFor(bind.Service)
	switch {
	case !affinity.ValidID(bind.Session):
		return errors.New("invalid session id")
	case bind.IdleTimeout <= 0 || bind.IdleTimeout > maxIdle:
		return errors.New("the idle time is out of bounds")
	case len(bind.EndedEndpoint) > policy.MaxNameLength:
		return errLongName
	case c.routingTable.Services[string(bind.Service)] == nil || !ruled:
		return errors.New("no affinity rule for the service")
	case !listed || endpoint.Service != bind.Service || endpoint.Draining:
		return errors.New("the backend is not one that may be bound")
	}
	return nil
}

// backendEnded tells whether and why a session may not stay on a backend; the
// caller holds mu.
func (c *Coordinator) backendEnded(
	now time.Duration, id rpc.EndpointID, service rpc.ServiceName,
) (ended bool, why string) {
	endpoint, listed := c.endpoints.Endpoints.Get(id)
	if !listed {
		return c.endpoints.Complete, "gone"
	}
	if endpoint.Draining {
		return true, "leaving"
	}
	if c.evacuatedZones[endpoint.Zone] {
		return true, "evacuated"
	}
	if !c.policies.drain.stopped(id) {
		delete(c.sessions.stoppedSince, id)
		return false, ""
	}
	since, known := c.sessions.stoppedSince[id]
	if !known {
		c.sessions.stoppedSince[id], since = now, now
	}
	return now-since >= time.Duration(c.policies.drain.policy.RuleFor(service).Finish), "retired"
}

// bindProposals are the binds of one call that go through the log.
type bindProposals struct {
	commands []statemachine.Command
	// indexes are those in the call, reasons why a session is bound anew.
	indexes []int
	reasons map[int]string
}

// Bind answers a batch of requests for bindings. Those it cannot answer for now
// keep the zero outcome.
func (c *Coordinator) Bind(ctx context.Context, request rpc.BindRequest) (found []rpc.BindResult) {
	found = make([]rpc.BindResult, len(request.Bindings))
	if _, settled, _, _, _ := c.node.Status(); !settled {
		return found
	}
	proposals := c.answerBinds(request, found)
	if len(proposals.commands) == 0 {
		return found
	}
	answers := c.node.ProposeAll(ctx, proposals.commands, bindTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, i := range proposals.indexes {
		found[i] = c.bindOutcome(request.Bindings[i], answers[k], proposals.reasons[i])
	}
	return found
}

// answerBinds answers what it can from the agreed state, and gives the rest.
func (c *Coordinator) answerBinds(request rpc.BindRequest, found []rpc.BindResult) (proposals bindProposals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.buildSessionTable() {
		return proposals
	}
	now := c.now()
	proposals.reasons = map[int]string{}
	for i, bind := range request.Bindings[:min(len(request.Bindings), maxBinds)] {
		if err := c.validateBind(bind); err != nil {
			c.sessions.rejected++
			_ = c.rejections.reject(c.log, "bind", "", err)
			found[i].Outcome = rpc.BindRejected
			continue
		}
		var standing statemachine.Binding
		var bound bool
		c.node.ReadState(func(state *statemachine.State) { standing, bound = state.Binding(bind.Session) })
		hasEnded := func(id rpc.EndpointID) (ended bool) {
			ended, proposals.reasons[i] = c.backendEnded(now, id, bind.Service)
			return ended
		}
		endpoint, bind, answered := c.sessions.expiry.Lookup(now, bind, standing.Endpoint, bound, hasEnded)
		if answered {
			found[i] = rpc.BindResult{Outcome: rpc.Bound, Endpoint: endpoint}
			continue
		}
		proposals.indexes = append(proposals.indexes, i)
		proposals.commands = append(proposals.commands, statemachine.BindCommand(bind))
	}
	return proposals
}

// bindOutcome takes up what became of a proposed bind; the caller holds mu.
func (c *Coordinator) bindOutcome(bind rpc.SessionBinding, answer node.Outcome, reason string) (found rpc.BindResult) {
	switch {
	case answer.Rejected || !answer.Known:
		return rpc.BindResult{}
	case answer.Result.Err != nil:
		return rpc.BindResult{Outcome: rpc.BindTableFull}
	}
	binding := answer.Result.Binding
	c.sessions.expiry.Add(c.now(), bind.Service, bind.Session, bind.IdleTimeout, binding.Sequence)
	if answer.Result.Moved {
		c.sessions.moved++
		c.log.Emit(eventlog.SessionMoved,
			eventlog.KeySession, string(bind.Session), eventlog.KeyService, string(bind.Service),
			eventlog.KeyFrom, string(bind.EndedEndpoint), eventlog.KeyTo, string(binding.Endpoint),
			eventlog.KeyReason, reason)
		c.history.Record(
			history.Session, string(bind.Session), "moved", string(binding.Endpoint), binding.Sequence, false)
	}
	return rpc.BindResult{Outcome: rpc.Bound, Endpoint: binding.Endpoint}
}

// sessionLimit is how many sessions a service may have.
func (c *Coordinator) sessionLimit(service rpc.ServiceName) (limit int) {
	if rule, ruled := c.sessions.policy.RuleFor(service); ruled && c.routingTable.Services[string(service)] != nil {
		return rule.MaxSessions
	}
	return 0
}

// expireSessions ends the bindings that were idle too long or are too many; the
// caller holds mu.
func (c *Coordinator) expireSessions(now time.Duration) {
	s := &c.sessions
	if s.proposing || !c.buildSessionTable() {
		return
	}
	if len(s.pendingUnbinds) == 0 && now-s.lastScan > scanInterval {
		// None that is being unbound could come back by this.
		c.scanBindings()
	}
	for _, over := range s.expiry.Expire(now, c.sessionLimit, maxUnbinds-len(s.pendingUnbinds)) {
		s.pendingUnbinds = append(s.pendingUnbinds, statemachine.Command{
			Kind: statemachine.CommandUnbind, Claim: statemachine.Claim{Key: string(over.Session)},
			Number: over.Sequence,
		})
	}
	if len(s.pendingUnbinds) == 0 {
		return
	}
	s.proposing = true
	commands := s.pendingUnbinds
	go func() {
		answers := c.node.ProposeAll(context.Background(), commands, bindTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sessions.proposing, c.sessions.pendingUnbinds = false, nil
		for i, answer := range answers {
			if !answer.Known {
				c.sessions.pendingUnbinds = append(c.sessions.pendingUnbinds, commands[i])
			}
		}
	}()
}

// ServiceSessions is how the sessions of one service stand.
type ServiceSessions struct {
	Service string `json:"service"`
	// Source is where requests carry their session: a kind and a name.
	Source   string `json:"from"`
	Idle     string `json:"idle"`
	Sessions int    `json:"sessions"`
	Limit    int    `json:"most"`
}

// SessionStatus is how the sessions of all services stand. Moved, Evicted and
// Rejected count since the start of the term.
type SessionStatus struct {
	Services []ServiceSessions `json:"services"`
	Moved    uint64            `json:"moved"`
	Evicted  uint64            `json:"crowded"`
	Rejected uint64            `json:"refused"`
}

// SessionStatus gives how sessions stand, nil where no policy is in force.
func (c *Coordinator) SessionStatus() (status *SessionStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions.policy == nil {
		return nil
	}
	// So that a leader whose term has just begun counts all of them as well.
	c.buildSessionTable()
	status = &SessionStatus{Moved: c.sessions.moved, Evicted: c.sessions.expiry.Evicted, Rejected: c.sessions.rejected}
	for name := range c.routingTable.Services {
		rule, ruled := c.sessions.policy.RuleFor(rpc.ServiceName(name))
		if !ruled {
			continue
		}
		source := string(rule.Source)
		if rule.Name != "" {
			source += " " + rule.Name
		}
		status.Services = append(status.Services, ServiceSessions{
			Service: name, Source: source, Idle: time.Duration(rule.Idle).String(),
			Sessions: c.sessions.expiry.Count(rpc.ServiceName(name)), Limit: rule.MaxSessions,
		})
	}
	slices.SortFunc(status.Services, func(a, b ServiceSessions) int { return strings.Compare(a.Service, b.Service) })
	return status
}
