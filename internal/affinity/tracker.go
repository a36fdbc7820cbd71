package affinity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tinpin/internal/rpc"
)

// callMargin is added to a session's time for calls in flight.
const callMargin = 2 * time.Second

// lastUse is when a session was used last, how long it lasts idle, and the number
// of its binding.
type lastUse struct {
	at       time.Duration
	idle     time.Duration
	sequence uint64
}

// ExpiredSession is a session that is not tracked any more, with the number of its
// binding.
type ExpiredSession struct {
	Session  rpc.SessionID
	Sequence uint64
}

// Tracker knows when each session was used last, for one leader in one term. The
// bindings outlast it; a new leader counts all as used when it begins, which can
// only lengthen a session. A session that is not tracked any more is unbound
// through the log, and whoever asks for it from then on goes through the log too,
// behind the unbinding.
type Tracker struct {
	sessions map[rpc.ServiceName]*simplelru.LRU[rpc.SessionID, lastUse]
	// Evicted counts sessions that expired because there were too many.
	Evicted uint64
}

// NewTracker makes a tracker that knows no session.
func NewTracker() (tracker *Tracker) {
	return &Tracker{sessions: map[rpc.ServiceName]*simplelru.LRU[rpc.SessionID, lastUse]{}}
}

func (t *Tracker) sessionsOf(service rpc.ServiceName) (sessions *simplelru.LRU[rpc.SessionID, lastUse]) {
	sessions = t.sessions[service]
	if sessions == nil {
		// The replicated state rejects what is too many, so that nothing is evicted here.
		sessions, _ = simplelru.NewLRU[rpc.SessionID, lastUse](2*MaxSessionsTotal, nil)
		t.sessions[service] = sessions
	}
	return sessions
}

// Add tracks a session that was bound.
func (t *Tracker) Add(
	now time.Duration, service rpc.ServiceName, session rpc.SessionID, idle time.Duration, sequence uint64,
) {
	t.sessionsOf(service).Add(session, lastUse{now, idle, sequence})
}

// Known tells whether a session is tracked.
func (t *Tracker) Known(service rpc.ServiceName, session rpc.SessionID) (known bool) {
	return t.sessionsOf(service).Contains(session)
}

// Touch notes that a session is in use; one that is not tracked must be bound
// through the log.
func (t *Tracker) Touch(
	now time.Duration, service rpc.ServiceName, session rpc.SessionID, idle time.Duration,
) (known bool) {
	sessions := t.sessionsOf(service)
	last, known := sessions.Get(session)
	if known {
		// A node may rely on the binding for as long as it asked for.
		sessions.Add(session, lastUse{now, max(idle, last.idle), last.sequence})
	}
	return known
}

// Lookup is where a session is if the log need not be asked; else it is the
// binding to propose. Current is the backend of the session in the replicated
// state, if bound; ended tells that a session may not stay on a backend.
func (t *Tracker) Lookup(
	now time.Duration, bind rpc.SessionBinding, current rpc.EndpointID, bound bool, ended func(server rpc.EndpointID) bool,
) (server rpc.EndpointID, propose rpc.SessionBinding, answered bool) {
	if bind.EndedEndpoint != "" && !ended(bind.EndedEndpoint) {
		bind.EndedEndpoint = ""
	}
	// Touch comes first: it notes the use also where the session must move.
	tracked := bound && t.Touch(now, bind.Service, bind.Session, bind.IdleTimeout)
	if tracked && (bind.EndedEndpoint == "" || bind.EndedEndpoint != current) {
		return current, bind, true
	}
	return "", bind, false
}

// Count is how many sessions of a service are tracked.
func (t *Tracker) Count(service rpc.ServiceName) (count int) {
	if sessions := t.sessions[service]; sessions != nil {
		return sessions.Len()
	}
	return 0
}

// Expire stops tracking the sessions that are past their time, or that are the
// least recently used where a service has more than its limit, up to maxExpired.
func (t *Tracker) Expire(
	now time.Duration, limit func(service rpc.ServiceName) int, maxExpired int,
) (expired []ExpiredSession) {
	for service, sessions := range t.sessions {
		for len(expired) < maxExpired {
			session, last, found := sessions.GetOldest()
			if !found {
				break
			}
			overLimit := sessions.Len() > limit(service)
			if !overLimit && now-last.at <= last.idle+FreshFor(last.idle)+callMargin {
				break
			}
			if overLimit {
				t.Evicted++
			}
			sessions.Remove(session)
			expired = append(expired, ExpiredSession{session, last.sequence})
		}
	}
	return expired
}
