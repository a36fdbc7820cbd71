package coordinator

import (
	"slices"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

// removeNodeAfter is how long after its last heartbeat a node leaves the shard
// map. Another stands in for what it owned much earlier (healthcheck.StandIn).
const removeNodeAfter = 6 * time.Second

// nodeTable is the registry of nodes and what follows from it. The latter is
// computed once a change, so that a heartbeat costs nothing that grows with the
// fleet.
type nodeTable struct {
	revisions *registry.RevisionCounter
	registry  *registry.NodeRegistry
	// pending tells that a heartbeat changed the registry since the last refresh.
	pending bool

	shardMap         rpc.ShardMap
	shardMapRevision rpc.Revision
	// members holds those of the shard map, for updates by difference.
	members *registry.ChangeLog[rpc.NodeID, bool]
	// absent lists nodes in the shard map that are not heard, or are stopping.
	absent []rpc.NodeID
	// available counts nodes that are heard and not stopping.
	available int
	// nearestByZone caches nearest.
	nearestByZone map[rpc.ZoneName][]rpc.NodeID
}

func newNodeTable(revisions *registry.RevisionCounter, bounds registry.NodeTimeouts) (t nodeTable) {
	return nodeTable{
		revisions: revisions, registry: registry.NewNodeRegistry(revisions, bounds),
		members:       registry.NewChangeLog[rpc.NodeID, bool](revisions),
		nearestByZone: map[rpc.ZoneName][]rpc.NodeID{},
	}
}

// reconcileNodes removes nodes that are no longer heard and tells whether
// anything changed; the caller holds mu.
func (c *Coordinator) reconcileNodes(now time.Duration) (changed bool) {
	lost, changed := c.nodes.registry.Tick(now)
	changed, c.nodes.pending = changed || c.nodes.pending, false
	for _, id := range lost {
		c.log.Emit(eventlog.NodeExpired, eventlog.KeyNode, string(id))
	}
	if changed {
		c.refreshNodes()
	}
	return changed
}

// refreshNodes recomputes what follows from the registry; the caller holds mu.
func (c *Coordinator) refreshNodes() {
	if c.nodes.refresh(c.term) {
		c.health.SetShardMap(c.nodes.shardMap)
		c.log.Emit(eventlog.ShardMapChanged, eventlog.KeyVersion, uint64(c.nodes.shardMapRevision),
			eventlog.KeyMembers, len(c.nodes.shardMap.Members))
	}
	c.outcomes.forgetOwners()
}

// refresh recomputes all that follows from the registry and tells whether the
// shard map changed.
func (t *nodeTable) refresh(term rpc.Term) (mapChanged bool) {
	t.nearestByZone, t.available = map[rpc.ZoneName][]rpc.NodeID{}, 0
	t.registry.Nodes.Each(func(id rpc.NodeID, node rpc.Node) {
		if t.registry.Present(id) && !node.Stopping {
			t.available++
		}
	})
	if members := t.registry.Members(); !slices.Equal(members, t.shardMap.Members) {
		t.replaceShardMap(term, members)
		mapChanged = true
	}
	if absent := t.registry.Absent(); !slices.Equal(absent, t.absent) {
		t.absent = absent
		// A new revision, so that all open heartbeats are answered.
		t.revisions.Next()
	}
	return mapChanged
}

func (t *nodeTable) replaceShardMap(term rpc.Term, members []rpc.NodeID) {
	remaining := make(map[rpc.NodeID]bool, len(members))
	for _, member := range members {
		remaining[member] = true
		t.members.Set(member, true)
	}
	for _, member := range t.shardMap.Members {
		if !remaining[member] {
			t.members.Remove(member)
		}
	}
	// The revisions of all changes that made this map lie after the last map's
	// revision and before this one's.
	t.shardMapRevision = t.revisions.Next()
	t.shardMap = rpc.ShardMap{Term: term, Revision: t.shardMapRevision, Members: members}
}

// addShardMap adds to an update what changed of the shard map, or all of it for
// a node that knows none.
func (t *nodeTable) addShardMap(known rpc.KnownState, update *rpc.Update) {
	if update.Full || known.ShardMapRevision == 0 {
		shardMap := t.shardMap
		update.ShardMap = &shardMap
		return
	}
	if t.shardMapRevision <= known.ShardMapRevision {
		return
	}
	delta := &rpc.ShardMapDelta{BaseRevision: known.ShardMapRevision, Revision: t.shardMapRevision}
	t.members.Since(known.ShardMapRevision, func(id rpc.NodeID, _ bool, gone bool) {
		if gone {
			delta.Removed = append(delta.Removed, id)
		} else {
			delta.Added = append(delta.Added, id)
		}
	})
	update.ShardMapDelta = delta
}

// nearest lists the ready nodes heard in a zone, or else in its region, or else
// all. regions gives the region of each zone.
func (t *nodeTable) nearest(zone rpc.ZoneName, regions map[string]string) (ids []rpc.NodeID) {
	if ids, known := t.nearestByZone[zone]; known {
		return ids
	}
	region := regions[string(zone)]
	var inZone, inRegion, all []rpc.NodeID
	t.registry.Nodes.Each(func(id rpc.NodeID, node rpc.Node) {
		if !t.registry.Present(id) || node.Stopping || !node.Ready {
			return
		}
		all = append(all, id)
		if node.Zone == zone {
			inZone = append(inZone, id)
		}
		if string(node.Region) == region {
			inRegion = append(inRegion, id)
		}
	})
	for _, ids = range [][]rpc.NodeID{inZone, inRegion, all} {
		if len(ids) > 0 {
			break
		}
	}
	t.nearestByZone[zone] = ids
	return ids
}

// sharesWarmUp tells whether a node is among the few that the rate of a backend
// that is warming up is split between, and how many they are: those of the
// nearest nodes that rank highest for it, as they do for its ordinary use, so
// that the load of many such backends is spread.
func (t *nodeTable) sharesWarmUp(
	node rpc.NodeID, endpoint rpc.Endpoint, rate float64, regions map[string]string,
) (isMember bool, members int) {
	nearest := t.nearest(endpoint.Zone, regions)
	members = min(len(nearest), max(1, int(rate/ratePerSubsetMember)))
	rank := healthcheck.Rank(string(node), string(endpoint.ID))
	isNear, before := false, 0
	for _, id := range nearest {
		if id == node {
			isNear = true
		} else if healthcheck.Rank(string(id), string(endpoint.ID)) < rank {
			before++
		}
	}
	return isNear && before < members, max(1, members)
}

// NodeAddress gives a node's internal address and the incarnation it was last
// heard with, zero where it is not known.
func (c *Coordinator) NodeAddress(id rpc.NodeID) (address string, incarnation rpc.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	node, _ := c.nodes.registry.Nodes.Get(id)
	return node.InternalAddress, node.Incarnation
}
