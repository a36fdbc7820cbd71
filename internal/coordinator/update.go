package coordinator

import (
	"slices"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/node"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

const (
	// pageRows and itemPartBytes bound what one update has of the endpoint list
	// and of the configuration, so that a narrow link can take it in time.
	pageRows      = 64
	itemPartBytes = 160 << 10
	// packThreshold is how many rows are worth compressing.
	packThreshold = 8
	// maxCachedParts is how many parts are kept of one version.
	maxCachedParts = 256
)

// partCache keeps parts of one version of a table: nodes that are as far as
// each other are sent the same part, made once.
type partCache[Version, Position comparable, Part any] struct {
	version Version
	parts   map[Position]Part
}

// use forgets the parts of any other version.
func (p *partCache[Version, Position, Part]) use(version Version) {
	if p.parts == nil || p.version != version {
		p.version, p.parts = version, map[Position]Part{}
	}
}

func (p *partCache[Version, Position, Part]) full() bool { return len(p.parts) >= maxCachedParts }

// encodedParts are the parts of updates that many nodes are sent.
type encodedParts struct {
	// items are parts of the configuration, by where they begin.
	items partCache[uint64, itemPosition, itemPart]
	// nodes are compressed rows of the node registry, by the revision known.
	nodes partCache[rpc.Revision, rpc.Revision, []byte]
	// endpoints are pages of the endpoint list, by the id before them.
	endpoints partCache[rpc.Revision, rpc.EndpointID, *rpc.EndpointChunk]
}

// itemPosition is a position among the items in the order of their revisions
// and paths.
type itemPosition struct {
	logIndex uint64
	path     string
}

// itemPart is what follows a position; of items and packed one is set.
type itemPart struct {
	items  []config.Item
	packed []byte
	next   itemPosition
}

// fillUpdate writes all that a node lacks; the caller holds mu.
func (c *Coordinator) fillUpdate(request rpc.HeartbeatRequest, update *rpc.Update) {
	now := c.now()
	since := request.Revision
	update.IsLeader, update.Term, update.Revision = true, c.term, c.revisions.Current()
	if request.Term != c.term {
		// Revisions of another leader mean nothing here.
		since, update.Full = 0, true
		update.Controllers = controllersOf(c.node)
	}
	update.LogIndex, update.LastItem = request.LogIndex, request.LastItem
	if c.lacksItems(request.KnownState) {
		c.node.ReadState(func(state *statemachine.State) { c.addItems(state, request.KnownState, update) })
	}
	c.addEndpoints(now, request, update)
	c.addNodes(since, update)
	c.nodes.addShardMap(request.KnownState, update)
	update.Absent = c.nodes.absent
	update.ZoneOverflows = c.zoneBalance.Overflows(request.Zone)
	update.Outcomes = c.outcomes.take(request.ID)
	update.Leases = c.grantLeases(now, request)
}

// controllersOf lists the addresses of all controllers.
func controllersOf(raftNode *node.Node) (controllers []rpc.Controller) {
	_, _, _, _, members := raftNode.Status()
	for _, member := range members {
		controllers = append(controllers, rpc.Controller{InternalAddress: member.Inner, ControlAddress: member.Control})
	}
	return controllers
}

// lacksItems tells whether a node lacks some of the configuration.
func (c *Coordinator) lacksItems(known rpc.KnownState) bool {
	return known.LogIndex < c.logIndex || known.LastItem != rpc.AfterAllItems
}

// addItems adds the next part of what a node lacks of the configuration, and of
// the other replicated state what is newer than the node knows.
func (c *Coordinator) addItems(state *statemachine.State, known rpc.KnownState, update *rpc.Update) {
	part := c.itemPart(state, itemPosition{known.LogIndex, known.LastItem})
	update.Items, update.CompressedItems = part.items, part.packed
	update.LogIndex, update.LastItem = part.next.logIndex, part.next.path
	for _, document := range state.Documents {
		if document.Rev >= known.LogIndex {
			update.Documents = append(update.Documents, document)
		}
	}
	for _, retired := range state.Retirements {
		if retired.Rev >= known.LogIndex {
			update.Retirements = append(update.Retirements, retired)
		}
	}
	if move := state.ScheduleStep; move.Rev >= known.LogIndex && move.Rev > 0 {
		update.ScheduleStep = &move
	}
	for _, evacuation := range state.Evacuations {
		if evacuation.Revision >= known.LogIndex {
			update.Evacuations = append(update.Evacuations, rpc.Evacuation{
				Zone: rpc.ZoneName(evacuation.Zone), Active: evacuation.Active, LogIndex: evacuation.Revision,
			})
		}
	}
}

func (c *Coordinator) itemPart(state *statemachine.State, position itemPosition) (part itemPart) {
	cache := &c.encoded.items
	cache.use(state.Revision)
	part, known := cache.parts[position]
	if !known {
		part = buildItemPart(state, position)
		if !cache.full() {
			cache.parts[position] = part
		}
	}
	return part
}

func buildItemPart(state *statemachine.State, position itemPosition) (part itemPart) {
	items, done := state.Config.After(position.logIndex, position.path, itemPartBytes)
	part = itemPart{items: items, next: position}
	if done {
		part.next = itemPosition{max(position.logIndex, state.Revision), rpc.AfterAllItems}
	} else if last := len(items) - 1; last >= 0 {
		part.next = itemPosition{items[last].Rev, items[last].Path()}
	}
	if len(items) > packThreshold {
		if packed, err := rpc.Compress(items); err == nil {
			part.items, part.packed = nil, packed
		}
	}
	return part
}

// addEndpoints adds the endpoint list once it is complete, in pages for a node
// that lacks it, and what changed of it and of the health states since the node
// first got a page. The caller holds mu.
func (c *Coordinator) addEndpoints(now time.Duration, request rpc.HeartbeatRequest, update *rpc.Update) {
	if !request.EndpointsComplete && c.endpoints.Complete {
		update.EndpointChunk = c.nextEndpointPage(now, request)
	}
	if request.Term != c.term || !request.EndpointsComplete && !c.endpoints.Complete {
		return
	}
	c.endpoints.Endpoints.Since(request.Revision, func(_ rpc.EndpointID, endpoint rpc.Endpoint, gone bool) {
		update.Endpoints = append(update.Endpoints, rpc.EndpointChange{Endpoint: endpoint, Removed: gone})
	})
	c.health.States.Since(request.Revision, func(_ rpc.EndpointID, state rpc.EndpointState, gone bool) {
		state = c.health.WithRemainingWarmup(now, state)
		state.Removed = gone
		update.States = append(update.States, state)
	})
}

// nextEndpointPage gives the first page that a node lacks. Pages of another
// leader's list are no part of this one's.
func (c *Coordinator) nextEndpointPage(now time.Duration, request rpc.HeartbeatRequest) (page *rpc.EndpointChunk) {
	if request.Term != c.term {
		return c.endpointPage(now, "")
	}
	return c.endpointPage(now, request.LastEndpoint)
}

// endpointPage gives the page after an id.
func (c *Coordinator) endpointPage(now time.Duration, after rpc.EndpointID) (page *rpc.EndpointChunk) {
	cache := &c.encoded.endpoints
	cache.use(c.revisions.Current())
	if page = cache.parts[after]; page != nil {
		return page
	}
	page = c.buildEndpointPage(now, after)
	warmingUp := slices.ContainsFunc(page.States, func(state rpc.EndpointState) bool {
		return state.WarmupRemaining > 0
	})
	// The remaining time of a warm-up is different a moment later.
	if len(page.Endpoints) > packThreshold && page.Compress() == nil && !warmingUp && !cache.full() {
		cache.parts[after] = page
	}
	return page
}

func (c *Coordinator) buildEndpointPage(now time.Duration, after rpc.EndpointID) (page *rpc.EndpointChunk) {
	var ids []rpc.EndpointID
	c.endpoints.Endpoints.Each(func(id rpc.EndpointID, _ rpc.Endpoint) {
		if id > after {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	page = &rpc.EndpointChunk{After: after, Last: after, Complete: len(ids) <= pageRows}
	for _, id := range ids[:min(len(ids), pageRows)] {
		endpoint, _ := c.endpoints.Endpoints.Get(id)
		page.Endpoints = append(page.Endpoints, endpoint)
		if state, known := c.health.States.Get(id); known {
			page.States = append(page.States, c.health.WithRemainingWarmup(now, state))
		}
		page.Last = id
	}
	return page
}

// addNodes adds what changed of the node registry; many rows are compressed.
func (c *Coordinator) addNodes(since rpc.Revision, update *rpc.Update) {
	cache := &c.encoded.nodes
	cache.use(c.revisions.Current())
	if packed, known := cache.parts[since]; known {
		update.CompressedNodes = packed
		return
	}
	c.nodes.registry.Nodes.Since(since, func(_ rpc.NodeID, node rpc.Node, gone bool) {
		update.Nodes = append(update.Nodes, rpc.NodeChange{Node: node, Removed: gone})
	})
	if len(update.Nodes) <= packThreshold {
		return
	}
	if packed, err := rpc.Compress(update.Nodes); err == nil {
		update.Nodes, update.CompressedNodes = nil, packed
		cache.parts[since] = packed
	}
}
