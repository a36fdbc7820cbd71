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
	bindPatience = 800 * time.Millisecond
	bindsMost    = 256
	// unbindsAtOnce sessions go in one turn.
	unbindsAtOnce = 512
	idleMost      = 24 * time.Hour
	// scanSpan is how often bindings that are on no desk are looked for.
	scanSpan = 30 * time.Second
)

// sessions is what the leader holds of them.
type sessions struct {
	policy *affinity.Policy
	desk   *affinity.Desk
	built  bool
	// unbinds are not known to be carried out yet; busy while a call is under way.
	unbinds []raft.Command
	busy    bool
	scanned time.Duration
	moved   uint64
	refused uint64
	// stopped is when a retired backend was first found to have been stopped.
	stopped map[rpc.ServerID]time.Duration
}

func newSessions() (s sessions) {
	return sessions{desk: affinity.NewDesk(), stopped: map[rpc.ServerID]time.Duration{}}
}

// take reads what is agreed; the caller holds the forum's lock.
func (s *sessions) take(state *raft.State) {
	s.policy = nil
	if document := state.Documents[policy.SessionAffinity]; document.InForce() {
		s.policy, _ = affinity.Read([]byte(document.Body))
	}
}

// scanSessions puts on the desk what is bound and not there: what older leaders
// have bound, or a call whose answer got lost. The caller holds the lock.
func (f *Coordinator) scanSessions() {
	now, s := f.now(), &f.sessions
	s.built, s.scanned = true, now
	f.node.Read(func(state *raft.State) {
		state.EachBinding(func(session rpc.SessionID, binding raft.Binding) {
			if !s.desk.Known(binding.Service, session) {
				s.desk.Put(now, binding.Service, session, binding.Idle, binding.Seq)
			}
		})
	})
}

// settleSessions builds the desk once the leader is settled: only then has it all
// that older ones bound. The caller holds the lock.
func (f *Coordinator) settleSessions() {
	if _, settled, _, _, _ := f.node.Standing(); settled && !f.sessions.built {
		f.scanSessions()
	}
}

// bindFault tells what is wrong with an ask.
func (f *Coordinator) bindFault(bind rpc.Bind) (fault string) {
	server, listed := f.list.Servers.Get(bind.Server)
	_, ruled := f.sessions.policy.For(bind.Service)
	switch {
	case !affinity.GoodID(bind.Session):
		return "the session is no session's id"
	case bind.Idle <= 0 || bind.Idle > idleMost:
		return "the idle time is out of bounds"
	case len(bind.From) > policy.NameMost:
		return "the name of the backend is too long"
	case f.view.Services[string(bind.Service)] == nil || !ruled:
		return "no rule for the service"
	case !listed || server.Service != bind.Service || server.Draining:
		return "the backend is none that may be bound"
	}
	return ""
}

// ended tells that a session may not stay on a backend; the caller holds the lock.
func (f *Coordinator) ended(now time.Duration, id rpc.ServerID, service rpc.ServiceName) (ended bool, why string) {
	server, listed := f.list.Servers.Get(id)
	if !listed {
		return f.list.Walked, "gone"
	}
	if server.Draining {
		return true, "leaving"
	}
	if f.sites[server.Site] {
		return true, "evacuated"
	}
	retired := f.orders.retired[id]
	if retired.Stopped == 0 || retired.Gone {
		delete(f.sessions.stopped, id)
		return false, ""
	}
	since, known := f.sessions.stopped[id]
	if !known {
		f.sessions.stopped[id], since = now, now
	}
	return now-since >= time.Duration(f.orders.policy.For(service).Finish), "retired"
}

// Bind answers a batch of asks.
func (f *Coordinator) Bind(ask rpc.BindAsk) (found []rpc.BindFound) {
	found = make([]rpc.BindFound, len(ask.Binds))
	if _, settled, _, _, _ := f.node.Standing(); !settled {
		return found
	}
	f.mu.Lock()
	if f.settleSessions(); !f.sessions.built {
		f.mu.Unlock()
		return found
	}
	now := f.now()
	var commands []raft.Command
	var places []int
	why := map[int]string{}
	for i, bind := range ask.Binds[:min(len(ask.Binds), bindsMost)] {
		if fault := f.bindFault(bind); fault != "" {
			f.sessions.refused++
			_ = f.refuse("bind", "", fault)
			found[i].Outcome = rpc.BindRefused
			continue
		}
		var standing raft.Binding
		var bound bool
		f.node.Read(func(state *raft.State) { standing, bound = state.Binding(bind.Session) })
		server, bind, answered := f.sessions.desk.Answer(now, bind, standing.Server, bound, func(id rpc.ServerID) (ended bool) {
			ended, why[i] = f.ended(now, id, bind.Service)
			return ended
		})
		if answered {
			found[i] = rpc.BindFound{Outcome: rpc.Bound, Server: server}
			continue
		}
		places = append(places, i)
		commands = append(commands, raft.BindCommand(bind))
	}
	f.mu.Unlock()
	if len(commands) == 0 {
		return found
	}
	answers := f.node.Wishes(commands, bindPatience)
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, i := range places {
		bind, answer := ask.Binds[i], answers[k]
		switch {
		case answer.Refused || !answer.Clear:
		case answer.Result.Problem != "":
			found[i].Outcome = rpc.BindFull
		default:
			binding := answer.Result.Binding
			f.sessions.desk.Put(f.now(), bind.Service, bind.Session, bind.Idle, binding.Seq)
			found[i] = rpc.BindFound{Outcome: rpc.Bound, Server: binding.Server}
			if answer.Result.Moved {
				f.sessions.moved++
				f.log.Emit(eventlog.SessionMoved, "session", string(bind.Session), "service", string(bind.Service), "from", string(bind.From), "to", string(binding.Server), "why", why[i])
				f.chronicle.Note(history.Session, string(bind.Session), "moved", string(binding.Server), binding.Seq, false)
			}
		}
	}
	return found
}

// mostSessions is how many a service may have.
func (f *Coordinator) mostSessions(service rpc.ServiceName) (most int) {
	if rule, ruled := f.sessions.policy.For(service); ruled && f.view.Services[string(service)] != nil {
		return rule.Most
	}
	return 0
}

// endSessions unbinds what is past its time; the caller holds the lock.
func (f *Coordinator) endSessions(now time.Duration) {
	s := &f.sessions
	if s.busy {
		return
	}
	if f.settleSessions(); !s.built {
		return
	}
	if len(s.unbinds) == 0 && now-s.scanned > scanSpan {
		// None is on its way to be unbound here.
		f.scanSessions()
	}
	for _, over := range s.desk.Over(now, f.mostSessions, unbindsAtOnce-len(s.unbinds)) {
		s.unbinds = append(s.unbinds, raft.Command{Kind: raft.CommandUnbind, Claim: raft.Claim{Key: string(over.Session)}, Upto: over.Seq})
	}
	if len(s.unbinds) == 0 {
		return
	}
	s.busy = true
	commands := s.unbinds
	go func() {
		answers := f.node.Wishes(commands, bindPatience)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sessions.busy, f.sessions.unbinds = false, nil
		for i, answer := range answers {
			if !answer.Clear {
				f.sessions.unbinds = append(f.sessions.unbinds, commands[i])
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
func (f *Coordinator) SessionStatus() (account *SessionStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessions.policy == nil {
		return nil
	}
	// One who asks a leader that has just begun is told of all as well.
	f.settleSessions()
	account = &SessionStatus{Moved: f.sessions.moved, Evicted: f.sessions.desk.Crowded, Rejected: f.sessions.refused}
	for name := range f.view.Services {
		rule, ruled := f.sessions.policy.For(rpc.ServiceName(name))
		if !ruled {
			continue
		}
		from := string(rule.Source)
		if rule.Name != "" {
			from += " " + rule.Name
		}
		account.Services = append(account.Services, ServiceSessions{Service: name, Source: from, Idle: fmt.Sprint(time.Duration(rule.Idle)), Sessions: f.sessions.desk.Count(rpc.ServiceName(name)), Limit: rule.Most})
	}
	sort.Slice(account.Services, func(i, j int) bool { return account.Services[i].Service < account.Services[j].Service })
	return account
}
