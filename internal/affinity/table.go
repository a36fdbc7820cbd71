// Table is a node's memory of bindings. A binding that was asked for lately may
// be used without asking again; the leader counts on that and keeps a session
// for so much longer. The table has a cap; what is dropped is asked for again.
package affinity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tinpin/internal/rpc"
)

// freshPart is the part of the idle time for which a node may rely on an answer.
const freshPart = 4

// Fresh is how long a node may rely on an answer.
func Fresh(idle time.Duration) (span time.Duration) { return idle / freshPart }

type remembered struct {
	server rpc.EndpointID
	till   time.Duration
}

// Table of one node.
type Table struct {
	held    *simplelru.LRU[rpc.SessionID, remembered]
	Dropped uint64
	drops   bool
}

// NewTable remembers so many sessions.
func NewTable(most int) (table *Table) {
	table = &Table{}
	table.held, _ = simplelru.NewLRU(max(1, most), func(rpc.SessionID, remembered) {
		if table.drops {
			table.Dropped++
		}
	})
	return table
}

// Find gives where a session is bound, and whether that may be relied on.
func (t *Table) Find(now time.Duration, session rpc.SessionID) (server rpc.EndpointID, fresh bool) {
	found, known := t.held.Get(session)
	return found.server, known && now < found.till
}

// Take notes what was answered to what was asked at a time.
func (t *Table) Take(asked time.Duration, session rpc.SessionID, server rpc.EndpointID, idle time.Duration) {
	t.drops = true
	t.held.Add(session, remembered{server, asked + Fresh(idle)})
	t.drops = false
}

// Len is how many are remembered.
func (t *Table) Len() (length int) { return t.held.Len() }
