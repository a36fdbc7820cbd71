package coordinator

import (
	"fmt"
	"time"

	"tinpin/internal/drain"
	"tinpin/internal/rpc"
)

// rememberNode is how long a node that is no longer heard counts when it is
// asked whether more than half follow the agreed state.
const rememberNode = 2 * time.Minute

// follower is how far one node follows the agreed state, by its last heartbeat.
type follower struct {
	logIndex      uint64
	lastHeartbeat time.Duration
}

// followerTable is what heartbeats prove of how far the nodes follow, and the
// load that they report.
type followerTable struct {
	byNode     map[rpc.NodeID]follower
	loadByNode map[rpc.NodeID][]rpc.Load
	// knownNodes is the largest number of nodes that any node knew of, which a
	// new leader has not all heard yet.
	knownNodes int
}

func newFollowerTable() (t followerTable) {
	return followerTable{byNode: map[rpc.NodeID]follower{}, loadByNode: map[rpc.NodeID][]rpc.Load{}}
}

// observe notes how far a node follows, by its own heartbeat.
func (t *followerTable) observe(now time.Duration, request rpc.HeartbeatRequest) {
	logIndex := request.LogIndex
	if request.LastItem != rpc.AfterAllItems && logIndex > 0 {
		// It has the items of that revision only in part.
		logIndex--
	}
	t.byNode[request.ID] = follower{logIndex, now}
	t.knownNodes = max(t.knownNodes, request.KnownNodes)
	if request.Stopping {
		delete(t.byNode, request.ID)
	}
	if len(request.Loads) > 0 || t.loadByNode[request.ID] != nil {
		t.loadByNode[request.ID] = request.Loads
	}
}

// list gives the nodes that count, and forgets those not heard for long.
func (t *followerTable) list(now time.Duration, connected func(id rpc.NodeID) bool) (followers []drain.Follower) {
	for id, known := range t.byNode {
		if now-known.lastHeartbeat > rememberNode {
			delete(t.byNode, id)
			delete(t.loadByNode, id)
			continue
		}
		followers = append(followers, drain.Follower{ID: id, Revision: known.logIndex, Connected: connected(id)})
	}
	// Those that older leaders knew of and this one has not heard yet.
	for len(followers) < t.knownNodes && now < rememberNode {
		followers = append(followers, drain.Follower{ID: rpc.NodeID(fmt.Sprint("not heard yet ", len(followers)))})
	}
	return followers
}

// listFollowers gives the nodes that count; the caller holds mu.
func (c *Coordinator) listFollowers(now time.Duration) (followers []drain.Follower) {
	return c.followers.list(now, c.nodes.registry.Present)
}
