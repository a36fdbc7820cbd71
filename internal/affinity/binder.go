package affinity

import (
	"sync"
	"time"

	"tinpin/internal/rpc"
)

// Outcome of binding a session.
type Outcome uint8

// The outcomes.
const (
	// Bound means that the session is on the backend that is returned.
	Bound Outcome = iota
	// Unbound means that there are too many sessions; the request goes without one.
	Unbound
	// NoAnswer means that no leader could say where the session is.
	NoAnswer
	// NoBackend means that there is none to begin on.
	NoBackend
	// BackendUnusable means that the leader has the session on a backend that this
	// node may not use.
	BackendUnusable
)

// maxBindAttempts is how often the leader is asked where each binding it gives
// turns out to have ended.
const maxBindAttempts = 3

// Binder binds sessions at one node: by what it remembers, or by asking the
// leader. It asks again where the backend it knows of has ended, and follows the
// leader's answer. It never returns a backend that the leader has not named.
type Binder struct {
	mu    sync.Mutex // not held while the leader is asked
	cache *BindingCache
	moved uint64
}

// NewBinder makes a binder that remembers up to capacity sessions.
func NewBinder(capacity int) (binder *Binder) { return &Binder{cache: NewBindingCache(capacity)} }

// Stats counts the sessions that are remembered, were evicted, and were seen to move.
func (b *Binder) Stats() (remembered int, evicted, moved uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cache.Len(), b.cache.Evicted, b.moved
}

// RequestView is what a node sees and may ask for one request.
type RequestView struct {
	Now func() time.Duration
	// MustLeave tells that a session may not stay on a backend.
	MustLeave func(server rpc.EndpointID) bool
	// ChooseNew is where a new session would begin, empty for nowhere.
	ChooseNew func() rpc.EndpointID
	// AskLeader binds the session to choice unless it is bound already; from is the
	// backend that the session must leave, if any.
	AskLeader func(from, choice rpc.EndpointID) rpc.BindResult
}

// Bind finds the backend of a session that lasts for idle after each use.
func (b *Binder) Bind(
	session rpc.SessionID, idle time.Duration, view RequestView,
) (server rpc.EndpointID, outcome Outcome) {
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
	for attempt := 0; attempt < maxBindAttempts; attempt++ {
		choice := view.ChooseNew()
		if choice == "" {
			return "", NoBackend
		}
		asked := view.Now()
		result := view.AskLeader(from, choice)
		switch result.Outcome {
		case rpc.Bound:
		case rpc.BindTableFull:
			return "", Unbound
		default:
			return "", NoAnswer
		}
		b.mu.Lock()
		if known != "" && known != result.Endpoint {
			b.moved++
		}
		known = result.Endpoint
		b.cache.Store(asked, session, known, idle)
		b.mu.Unlock()
		if !view.MustLeave(known) {
			return known, Bound
		}
		if known == from {
			// The leader does not know yet that the backend has ended, or knows that it
			// has not.
			break
		}
		from = known
	}
	return "", BackendUnusable
}
