// Table is a node's memory of bindings. A binding that was asked for lately may
// be used without asking again; the leader counts on that and keeps a session
// for so much longer. The table has a cap; what is dropped is asked for again.
package affinity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tinpin/internal/rpc"
)

// freshFraction is the part of the idle time for which a node may rely on an answer.
const freshFraction = 4

// FreshFor is how long a node may rely on an answer.
func FreshFor(idle time.Duration) (span time.Duration) { return idle / freshFraction }

type cachedBinding struct {
	server     rpc.EndpointID
	freshUntil time.Duration
}

// BindingCache of one node.
type BindingCache struct {
	bindings *simplelru.LRU[rpc.SessionID, cachedBinding]
	Evicted  uint64
	counting bool
}

// NewBindingCache remembers so many sessions.
func NewBindingCache(most int) (table *BindingCache) {
	table = &BindingCache{}
	table.bindings, _ = simplelru.NewLRU(max(1, most), func(rpc.SessionID, cachedBinding) {
		if table.counting {
			table.Evicted++
		}
	})
	return table
}

// Find gives where a session is bound, and whether that may be relied on.
func (t *BindingCache) Find(now time.Duration, session rpc.SessionID) (server rpc.EndpointID, fresh bool) {
	found, known := t.bindings.Get(session)
	return found.server, known && now < found.freshUntil
}

// Store notes what was answered to what was asked at a time.
func (t *BindingCache) Store(asked time.Duration, session rpc.SessionID, server rpc.EndpointID, idle time.Duration) {
	t.counting = true
	t.bindings.Add(session, cachedBinding{server, asked + FreshFor(idle)})
	t.counting = false
}

// Len is how many are remembered.
func (t *BindingCache) Len() (length int) { return t.bindings.Len() }
