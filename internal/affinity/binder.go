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
	// Bound: the session is on the backend that is given.
	Bound Outcome = iota
	// Unbound: there are too many sessions; the request goes without one.
	Unbound
	// NoAnswer: nobody could say where the session is.
	NoAnswer
	// NoBackend: there is none to begin on.
	NoBackend
	// BackendUnusable: the leader has the session on a backend that this node may not use.
	BackendUnusable
)

// maxBindAttempts is how often a binding may turn out to have ended.
const maxBindAttempts = 3

// Binder of one node.
type Binder struct {
	mu    sync.Mutex
	cache *BindingCache
	moved uint64
}

// NewBinder remembers so many sessions.
func NewBinder(most int) (binder *Binder) { return &Binder{cache: NewBindingCache(most)} }

// Stats tells how many are remembered, were dropped, and were seen to move.
func (b *Binder) Stats() (remembered int, dropped, moved uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cache.Len(), b.cache.Evicted, b.moved
}

// RequestView is what a node sees and may ask for one request.
type RequestView struct {
	Now func() time.Duration
	// MustLeave tells that a session may not stay on a backend, Begin where it would
	// begin, Ask what the leader says.
	MustLeave func(server rpc.EndpointID) bool
	ChooseNew func() rpc.EndpointID
	AskLeader func(from, choice rpc.EndpointID) rpc.BindResult
}

// Bind gives the backend of a session.
func (b *Binder) Bind(session rpc.SessionID, idle time.Duration, view RequestView) (server rpc.EndpointID, outcome Outcome) {
	now := view.Now()
	b.mu.Lock()
	known, fresh := b.cache.Find(now, session)
	b.mu.Unlock()
	var from rpc.EndpointID
	if fresh {
		if !view.MustLeave(known) {
			return known, Bound
		}
		from = known
	}
	for tries := 0; tries < maxBindAttempts; tries++ {
		choice := view.ChooseNew()
		if choice == "" {
			return "", NoBackend
		}
		asked := view.Now()
		found := view.AskLeader(from, choice)
		switch found.Outcome {
		case rpc.Bound:
		case rpc.BindTableFull:
			return "", Unbound
		default:
			return "", NoAnswer
		}
		b.mu.Lock()
		if known != "" && known != found.Endpoint {
			b.moved++
		}
		known = found.Endpoint
		b.cache.Store(asked, session, known, idle)
		b.mu.Unlock()
		if !view.MustLeave(known) {
			return known, Bound
		}
		if known == from {
			// The leader does not know yet that it has ended, or knows better.
			break
		}
		from = known
	}
	return "", BackendUnusable
}
