// Desk is the leader's side: it knows when each session was last asked for. The
// bindings themselves are agreed state and outlast it; a new leader counts all
// as asked for when it begins, which can only lengthen a session. A session
// that is taken off the desk is unbound through the log, and whoever asks for
// it from then on goes through the log too, behind the unbinding.
package affinity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tinpin/internal/rpc"
)

// callMargin is what is added to a session's time for calls on their way.
const callMargin = 2 * time.Second

type lastUse struct {
	at   time.Duration
	idle time.Duration
	seq  uint64
}

// ExpiredSession is a session that is off the desk, with the number of its binding.
type ExpiredSession struct {
	Session  rpc.SessionID
	Sequence uint64
}

// Tracker of one leadership.
type Tracker struct {
	sessions map[rpc.ServiceName]*simplelru.LRU[rpc.SessionID, lastUse]
	// Evicted counts sessions that went because there were too many.
	Evicted uint64
}

// NewTracker knows no session.
func NewTracker() (desk *Tracker) {
	return &Tracker{sessions: map[rpc.ServiceName]*simplelru.LRU[rpc.SessionID, lastUse]{}}
}

func (d *Tracker) sessionsOf(service rpc.ServiceName) (roll *simplelru.LRU[rpc.SessionID, lastUse]) {
	roll = d.sessions[service]
	if roll == nil {
		// Its size is bounded by the state, which refuses what is too many.
		roll, _ = simplelru.NewLRU[rpc.SessionID, lastUse](2*MaxSessionsTotal, nil)
		d.sessions[service] = roll
	}
	return roll
}

// Add notes a session that is bound.
func (d *Tracker) Add(now time.Duration, service rpc.ServiceName, session rpc.SessionID, idle time.Duration, seq uint64) {
	d.sessionsOf(service).Add(session, lastUse{now, idle, seq})
}

// Known tells that a session is on the desk.
func (d *Tracker) Known(service rpc.ServiceName, session rpc.SessionID) (known bool) {
	return d.sessionsOf(service).Contains(session)
}

// Touch notes that a session is in use; a session that is not on the desk must
// go through the log.
func (d *Tracker) Touch(now time.Duration, service rpc.ServiceName, session rpc.SessionID, idle time.Duration) (known bool) {
	roll := d.sessionsOf(service)
	last, known := roll.Get(session)
	if known {
		// Who relies on an answer may do so for as long as it asked for.
		roll.Add(session, lastUse{now, max(idle, last.idle), last.seq})
	}
	return known
}

// Lookup gives where an asked session is, where the log need not be asked; else
// it gives the ask as it is to go into the log. Ended tells that a session may
// not stay on a backend.
func (d *Tracker) Lookup(now time.Duration, bind rpc.SessionBinding, standing rpc.EndpointID, bound bool, ended func(server rpc.EndpointID) bool) (server rpc.EndpointID, propose rpc.SessionBinding, answered bool) {
	if bind.EndedEndpoint != "" && !ended(bind.EndedEndpoint) {
		bind.EndedEndpoint = ""
	}
	if bound && d.Touch(now, bind.Service, bind.Session, bind.IdleTimeout) && (bind.EndedEndpoint == "" || bind.EndedEndpoint != standing) {
		return standing, bind, true
	}
	return "", bind, false
}

// Count is how many sessions of a service there are.
func (d *Tracker) Count(service rpc.ServiceName) (count int) {
	if roll := d.sessions[service]; roll != nil {
		return roll.Len()
	}
	return 0
}

// Expire takes sessions off the desk that are past their time, or that are the
// least recently used of too many, up to a number at once.
func (d *Tracker) Expire(now time.Duration, most func(service rpc.ServiceName) int, atOnce int) (over []ExpiredSession) {
	for service, roll := range d.sessions {
		for len(over) < atOnce {
			session, last, any := roll.GetOldest()
			if !any {
				break
			}
			crowded := roll.Len() > most(service)
			if !crowded && now-last.at <= last.idle+FreshFor(last.idle)+callMargin {
				break
			}
			if crowded {
				d.Evicted++
			}
			roll.Remove(session)
			over = append(over, ExpiredSession{session, last.seq})
		}
	}
	return over
}
