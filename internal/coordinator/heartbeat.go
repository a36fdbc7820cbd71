package coordinator

import (
	"context"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/rpc"
)

const (
	// maxHold is how long a heartbeat is held open at most.
	maxHold = 2 * time.Second
	// An update is sent gatherBase after it became due, and gatherPerNode more
	// for each node, gatherMax more at most: what changes together goes out
	// together, and in a large fleet, where each change goes to many, more of it
	// is waited for.
	gatherBase    = 15 * time.Millisecond
	gatherPerNode = 500 * time.Microsecond
	gatherMax     = 250 * time.Millisecond
)

// Heartbeat notes a node's heartbeat and fills the update once there is
// something to send, or when the heartbeat was held long enough. It leaves the
// update empty where the term ended meanwhile, or the node cannot be answered.
func (c *Coordinator) Heartbeat(
	ctx context.Context, request rpc.HeartbeatRequest, update *rpc.Update,
) (err error) {
	if err = validateHeartbeat(request); err != nil {
		return c.rejections.reject(c.log, "heartbeat", request.ID, err)
	}
	hold := time.NewTimer(min(request.MaxWait, maxHold))
	defer hold.Stop()
	c.mu.Lock()
	c.observe(request)
	for !c.updateDue(request) {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-hold.C:
			c.mu.Lock()
			c.fillUpdate(request, update)
			c.mu.Unlock()
			return nil
		case <-c.closed:
			return nil
		case <-ctx.Done():
			return nil
		}
		c.mu.Lock()
	}
	gather := c.gatherTime(request)
	c.mu.Unlock()
	time.Sleep(gather)
	c.mu.Lock()
	c.fillUpdate(request, update)
	c.mu.Unlock()
	return nil
}

// observe takes up what a heartbeat says of its node; the caller holds mu.
func (c *Coordinator) observe(request rpc.HeartbeatRequest) {
	joined, changed := c.nodes.registry.Heartbeat(c.now(), request.Node)
	if joined {
		c.log.Emit(eventlog.NodeJoined, eventlog.KeyNode, string(request.ID),
			eventlog.KeyIncarnation, uint64(request.Incarnation))
	}
	// Other nodes are notified with the next reconciliation: after a change of
	// leader all nodes come at once, and each would wake all the others.
	c.nodes.pending = c.nodes.pending || changed || joined
	c.relayOutcomes(request)
	c.followers.observe(c.now(), request)
}

// updateDue tells whether there is something to send; the caller holds mu.
func (c *Coordinator) updateDue(request rpc.HeartbeatRequest) bool {
	switch {
	case request.Term != c.term, request.MaxWait <= 0:
		return true
	case request.Revision < c.revisions.Current(), c.lacksItems(request.KnownState):
		return true
	}
	return !request.EndpointsComplete && c.endpoints.Complete
}

// gatherTime is how long to wait for more changes; the caller holds mu.
func (c *Coordinator) gatherTime(request rpc.HeartbeatRequest) (wait time.Duration) {
	if !request.EndpointsComplete || request.LastItem != rpc.AfterAllItems {
		// The node is in the middle of what is sent in parts.
		return gatherBase
	}
	nodes := time.Duration(c.nodes.registry.Count())
	return gatherBase + min(nodes*gatherPerNode, gatherMax)
}
