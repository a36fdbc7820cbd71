package affinity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tinpin/internal/rpc"
)

// freshFraction divides the idle time: for that part of it a node may use a binding
// without asking the leader again.
const freshFraction = 4

// FreshFor is how long a node may rely on a binding. The leader keeps a session for
// so much longer than its idle time.
func FreshFor(idle time.Duration) (span time.Duration) { return idle / freshFraction }

type cachedBinding struct {
	server     rpc.EndpointID
	freshUntil time.Duration
}

// BindingCache remembers the bindings that a node has asked for lately. What is
// evicted is asked for again.
type BindingCache struct {
	bindings *simplelru.LRU[rpc.SessionID, cachedBinding]
	// Evicted counts bindings that made room for others.
	Evicted  uint64
	counting bool // an eviction now is for want of room
}

// NewBindingCache makes a cache of up to capacity sessions, one at least.
func NewBindingCache(capacity int) (cache *BindingCache) {
	cache = &BindingCache{}
	cache.bindings, _ = simplelru.NewLRU(max(1, capacity), func(rpc.SessionID, cachedBinding) {
		if cache.counting {
			cache.Evicted++
		}
	})
	return cache
}

// Find is where a session was bound last, and whether that may be relied on.
func (c *BindingCache) Find(now time.Duration, session rpc.SessionID) (server rpc.EndpointID, fresh bool) {
	found, known := c.bindings.Get(session)
	return found.server, known && now < found.freshUntil
}

// Store remembers the binding that answers a request sent at the time asked.
func (c *BindingCache) Store(asked time.Duration, session rpc.SessionID, server rpc.EndpointID, idle time.Duration) {
	c.counting = true
	c.bindings.Add(session, cachedBinding{server, asked + FreshFor(idle)})
	c.counting = false
}

// Len is how many are remembered.
func (c *BindingCache) Len() (length int) { return c.bindings.Len() }
