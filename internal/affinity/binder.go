// Binder is a node's side of binding a session: by what it remembers, or by
// asking the leader. It asks anew where the backend it knows of has ended, and
// takes the leader's word for where the session is then. It never gives a
// backend that the leader has not named.
package affinity

import (
	"sync"
	"time"

	"tinpin/internal/rpc"
)

// Outcome of a binding.
type Outcome uint8

// The outcomes.
const (
	// Kept: the session is on the backend that is given.
	Kept Outcome = iota
	// Unkept: there are too many sessions; the request goes without one.
	Unkept
	// NoAnswer: nobody could say where the session is.
	NoAnswer
	// NoBackend: there is none to begin on.
	NoBackend
	// Stuck: the leader has the session on a backend that this node may not use.
	Stuck
)

// bindTries is how often a binding may turn out to have ended.
const bindTries = 3

// Binder of one node.
type Binder struct {
	mu    sync.Mutex
	table *Table
	moved uint64
}

// NewBinder remembers so many sessions.
func NewBinder(most int) (binder *Binder) { return &Binder{table: NewTable(most)} }

// Standing tells how many are remembered, were dropped, and were seen to move.
func (b *Binder) Standing() (remembered int, dropped, moved uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Len(), b.table.Dropped, b.moved
}

// View is what a node sees and may ask for one request.
type View struct {
	Now func() time.Duration
	// Over tells that a session may not stay on a backend, Begin where it would
	// begin, Ask what the leader says.
	Over  func(server rpc.EndpointID) bool
	Begin func() rpc.EndpointID
	Ask   func(from, choice rpc.EndpointID) rpc.BindResult
}

// Bind gives the backend of a session.
func (b *Binder) Bind(session rpc.SessionID, idle time.Duration, view View) (server rpc.EndpointID, outcome Outcome) {
	now := view.Now()
	b.mu.Lock()
	known, fresh := b.table.Find(now, session)
	b.mu.Unlock()
	var from rpc.EndpointID
	if fresh {
		if !view.Over(known) {
			return known, Kept
		}
		from = known
	}
	for tries := 0; tries < bindTries; tries++ {
		choice := view.Begin()
		if choice == "" {
			return "", NoBackend
		}
		asked := view.Now()
		found := view.Ask(from, choice)
		switch found.Outcome {
		case rpc.Bound:
		case rpc.BindTableFull:
			return "", Unkept
		default:
			return "", NoAnswer
		}
		b.mu.Lock()
		if known != "" && known != found.Endpoint {
			b.moved++
		}
		known = found.Endpoint
		b.table.Take(asked, session, known, idle)
		b.mu.Unlock()
		if !view.Over(known) {
			return known, Kept
		}
		if known == from {
			// The leader does not know yet that it has ended, or knows better.
			break
		}
		from = known
	}
	return "", Stuck
}
