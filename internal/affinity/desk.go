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

// spare is what is added to a session's time for calls on their way.
const spare = 2 * time.Second

type touched struct {
	at   time.Duration
	idle time.Duration
	seq  uint64
}

// Ended is a session that is off the desk, with the number of its binding.
type Ended struct {
	Session rpc.SessionID
	Seq     uint64
}

// Desk of one leadership.
type Desk struct {
	rolls map[rpc.ServiceName]*simplelru.LRU[rpc.SessionID, touched]
	// Crowded counts sessions that went because there were too many.
	Crowded uint64
}

// NewDesk knows no session.
func NewDesk() (desk *Desk) {
	return &Desk{rolls: map[rpc.ServiceName]*simplelru.LRU[rpc.SessionID, touched]{}}
}

func (d *Desk) roll(service rpc.ServiceName) (roll *simplelru.LRU[rpc.SessionID, touched]) {
	roll = d.rolls[service]
	if roll == nil {
		// Its size is bounded by the state, which refuses what is too many.
		roll, _ = simplelru.NewLRU[rpc.SessionID, touched](2*SessionsMost, nil)
		d.rolls[service] = roll
	}
	return roll
}

// Put notes a session that is bound.
func (d *Desk) Put(now time.Duration, service rpc.ServiceName, session rpc.SessionID, idle time.Duration, seq uint64) {
	d.roll(service).Add(session, touched{now, idle, seq})
}

// Known tells that a session is on the desk.
func (d *Desk) Known(service rpc.ServiceName, session rpc.SessionID) (known bool) {
	return d.roll(service).Contains(session)
}

// Touch notes that a session is in use; a session that is not on the desk must
// go through the log.
func (d *Desk) Touch(now time.Duration, service rpc.ServiceName, session rpc.SessionID, idle time.Duration) (known bool) {
	roll := d.roll(service)
	last, known := roll.Get(session)
	if known {
		// Who relies on an answer may do so for as long as it asked for.
		roll.Add(session, touched{now, max(idle, last.idle), last.seq})
	}
	return known
}

// Answer gives where an asked session is, where the log need not be asked; else
// it gives the ask as it is to go into the log. Ended tells that a session may
// not stay on a backend.
func (d *Desk) Answer(now time.Duration, bind rpc.SessionBinding, standing rpc.EndpointID, bound bool, ended func(server rpc.EndpointID) bool) (server rpc.EndpointID, propose rpc.SessionBinding, answered bool) {
	if bind.EndedEndpoint != "" && !ended(bind.EndedEndpoint) {
		bind.EndedEndpoint = ""
	}
	if bound && d.Touch(now, bind.Service, bind.Session, bind.IdleTimeout) && (bind.EndedEndpoint == "" || bind.EndedEndpoint != standing) {
		return standing, bind, true
	}
	return "", bind, false
}

// Count is how many sessions of a service there are.
func (d *Desk) Count(service rpc.ServiceName) (count int) {
	if roll := d.rolls[service]; roll != nil {
		return roll.Len()
	}
	return 0
}

// Over takes sessions off the desk that are past their time, or that are the
// least recently used of too many, up to a number at once.
func (d *Desk) Over(now time.Duration, most func(service rpc.ServiceName) int, atOnce int) (over []Ended) {
	for service, roll := range d.rolls {
		for len(over) < atOnce {
			session, last, any := roll.GetOldest()
			if !any {
				break
			}
			crowded := roll.Len() > most(service)
			if !crowded && now-last.at <= last.idle+Fresh(last.idle)+spare {
				break
			}
			if crowded {
				d.Crowded++
			}
			roll.Remove(session)
			over = append(over, Ended{session, last.seq})
		}
	}
	return over
}
