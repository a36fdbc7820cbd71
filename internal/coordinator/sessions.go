// Sessions is the part of the leader's desk that binds sessions to backends. A
// session that is on the desk is answered from what is agreed; any other goes
// through the log. A backend that has ended, leaves, or lies in an evacuated
// site is the one reason for which a session is bound anew, and it is told.
package coordinator

import (
	"fmt"
	"sort"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

const (
	bindTimeout = 800 * time.Millisecond
	maxBinds    = 256
	// maxUnbinds sessions go in one turn.
	maxUnbinds = 512
	maxIdle    = 24 * time.Hour
	// scanInterval is how often bindings that are on no desk are looked for.
	scanInterval = 30 * time.Second
)

// sessionTable is what the leader holds of them.
type sessionTable struct {
	policy *affinity.Policy
	expiry *affinity.Desk
	built  bool
	// pendingUnbinds are not known to be carried out yet; busy while a call is under way.
	pendingUnbinds []raft.Command
	proposing      bool
	lastScan       time.Duration
	moved          uint64
	rejected       uint64
	// stoppedSince is when a retired backend was first found to have been stopped.
	stoppedSince map[rpc.ServerID]time.Duration
}

func newSessionTable() (s sessionTable) {
	return sessionTable{expiry: affinity.NewDesk(), stoppedSince: map[rpc.ServerID]time.Duration{}}
}

// load reads what is agreed; the caller holds the forum's lock.
func (s *sessionTable) load(state *raft.State) {
	s.policy = nil
	if document := state.Documents[policy.SessionAffinity]; document.InForce() {
		s.policy, _ = affinity.Read([]byte(document.Body))
	}
}

// scanBindings puts on the desk what is bound and not there: what older leaders
// have bound, or a call whose answer got lost. The caller holds the lock.
func (c *Coordinator) scanBindings() {
	now, s := c.now(), &c.sessions
	s.built, s.lastScan = true, now
	c.node.Read(func(state *raft.State) {
		state.EachBinding(func(session rpc.SessionID, binding raft.Binding) {
			if !s.expiry.Known(binding.Service, session) {
				s.expiry.Put(now, binding.Service, session, binding.Idle, binding.Seq)
			}
		})
	})
}

// buildSessionTable builds the desk once the leader is settled: only then has it all
// that older ones bound. The caller holds the lock.
func (c *Coordinator) buildSessionTable() {
	if _, settled, _, _, _ := c.node.Standing(); settled && !c.sessions.built {
		c.scanBindings()
	}
}

// bindError tells what is wrong with an ask.
func (c *Coordinator) bindError(bind rpc.Bind) (reason string) {
	server, listed := c.endpoints.Servers.Get(bind.Server)
	_, ruled := c.sessions.policy.For(bind.Service)
	switch {
	case !affinity.GoodID(bind.Session):
		return "the session is no session's id"
	case bind.Idle <= 0 || bind.Idle > maxIdle:
		return "the idle time is out of bounds"
	case len(bind.From) > policy.NameMost:
		return "the name of the backend is too long"
	case c.view.Services[string(bind.Service)] == nil || !ruled:
		return "no rule for the service"
	case !listed || server.Service != bind.Service || server.Draining:
		return "the backend is none that may be bound"
	}
	return ""
}

// backendEnded tells that a session may not stay on a backend; the caller holds the lock.
func (c *Coordinator) backendEnded(now time.Duration, id rpc.ServerID, service rpc.ServiceName) (ended bool, why string) {
	server, listed := c.endpoints.Servers.Get(id)
	if !listed {
		return c.endpoints.Walked, "gone"
	}
	if server.Draining {
		return true, "leaving"
	}
	if c.evacuatedZones[server.Site] {
		return true, "evacuated"
	}
	retired := c.policies.retired[id]
	if retired.Stopped == 0 || retired.Gone {
		delete(c.sessions.stoppedSince, id)
		return false, ""
	}
	since, known := c.sessions.stoppedSince[id]
	if !known {
		c.sessions.stoppedSince[id], since = now, now
	}
	return now-since >= time.Duration(c.policies.drainPolicy.For(service).Finish), "retired"
}

// Bind answers a batch of asks.
func (c *Coordinator) Bind(request rpc.BindAsk) (found []rpc.BindFound) {
	found = make([]rpc.BindFound, len(request.Binds))
	if _, settled, _, _, _ := c.node.Standing(); !settled {
		return found
	}
	c.mu.Lock()
	if c.buildSessionTable(); !c.sessions.built {
		c.mu.Unlock()
		return found
	}
	now := c.now()
	var commands []raft.Command
	var places []int
	why := map[int]string{}
	for i, bind := range request.Binds[:min(len(request.Binds), maxBinds)] {
		if reason := c.bindError(bind); reason != "" {
			c.sessions.rejected++
			_ = c.reject("bind", "", reason)
			found[i].Outcome = rpc.BindRefused
			continue
		}
		var standing raft.Binding
		var bound bool
		c.node.Read(func(state *raft.State) { standing, bound = state.Binding(bind.Session) })
		server, bind, answered := c.sessions.expiry.Answer(now, bind, standing.Server, bound, func(id rpc.ServerID) (ended bool) {
			ended, why[i] = c.backendEnded(now, id, bind.Service)
			return ended
		})
		if answered {
			found[i] = rpc.BindFound{Outcome: rpc.Bound, Server: server}
			continue
		}
		places = append(places, i)
		commands = append(commands, raft.BindCommand(bind))
	}
	c.mu.Unlock()
	if len(commands) == 0 {
		return found
	}
	answers := c.node.Wishes(commands, bindTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, i := range places {
		bind, answer := request.Binds[i], answers[k]
		switch {
		case answer.Refused || !answer.Clear:
		case answer.Result.Problem != "":
			found[i].Outcome = rpc.BindFull
		default:
			binding := answer.Result.Binding
			c.sessions.expiry.Put(c.now(), bind.Service, bind.Session, bind.Idle, binding.Seq)
			found[i] = rpc.BindFound{Outcome: rpc.Bound, Server: binding.Server}
			if answer.Result.Moved {
				c.sessions.moved++
				c.log.Say(eventlog.SessionMoved, "session", string(bind.Session), "service", string(bind.Service), "from", string(bind.From), "to", string(binding.Server), "why", why[i])
				c.history.Note(history.Session, string(bind.Session), "moved", string(binding.Server), binding.Seq, false)
			}
		}
	}
	return found
}

// sessionLimit is how many a service may have.
func (c *Coordinator) sessionLimit(service rpc.ServiceName) (most int) {
	if rule, ruled := c.sessions.policy.For(service); ruled && c.view.Services[string(service)] != nil {
		return rule.Most
	}
	return 0
}

// expireSessions unbinds what is past its time; the caller holds the lock.
func (c *Coordinator) expireSessions(now time.Duration) {
	s := &c.sessions
	if s.proposing {
		return
	}
	if c.buildSessionTable(); !s.built {
		return
	}
	if len(s.pendingUnbinds) == 0 && now-s.lastScan > scanInterval {
		// None is on its way to be unbound here.
		c.scanBindings()
	}
	for _, over := range s.expiry.Over(now, c.sessionLimit, maxUnbinds-len(s.pendingUnbinds)) {
		s.pendingUnbinds = append(s.pendingUnbinds, raft.Command{Kind: raft.CommandUnbind, Claim: raft.Claim{Key: string(over.Session)}, Upto: over.Seq})
	}
	if len(s.pendingUnbinds) == 0 {
		return
	}
	s.proposing = true
	commands := s.pendingUnbinds
	go func() {
		answers := c.node.Wishes(commands, bindTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sessions.proposing, c.sessions.pendingUnbinds = false, nil
		for i, answer := range answers {
			if !answer.Clear {
				c.sessions.pendingUnbinds = append(c.sessions.pendingUnbinds, commands[i])
			}
		}
	}()
}

// ServiceSessions is how the sessions of one service stand.
type ServiceSessions struct {
	Service  string `json:"service"`
	Source   string `json:"from"`
	Idle     string `json:"idle"`
	Sessions int    `json:"sessions"`
	Limit    int    `json:"most"`
}

// SessionStatus is how all stand.
type SessionStatus struct {
	Services []ServiceSessions `json:"services"`
	Moved    uint64            `json:"moved"`
	Evicted  uint64            `json:"crowded"`
	Rejected uint64            `json:"refused"`
}

// SessionStatus gives it, nil where there is no policy.
func (c *Coordinator) SessionStatus() (status *SessionStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions.policy == nil {
		return nil
	}
	// One who asks a leader that has just begun is told of all as well.
	c.buildSessionTable()
	status = &SessionStatus{Moved: c.sessions.moved, Evicted: c.sessions.expiry.Crowded, Rejected: c.sessions.rejected}
	for name := range c.view.Services {
		rule, ruled := c.sessions.policy.For(rpc.ServiceName(name))
		if !ruled {
			continue
		}
		from := string(rule.Source)
		if rule.Name != "" {
			from += " " + rule.Name
		}
		status.Services = append(status.Services, ServiceSessions{Service: name, Source: from, Idle: fmt.Sprint(time.Duration(rule.Idle)), Sessions: c.sessions.expiry.Count(rpc.ServiceName(name)), Limit: rule.Most})
	}
	sort.Slice(status.Services, func(i, j int) bool { return status.Services[i].Service < status.Services[j].Service })
	return status
}
