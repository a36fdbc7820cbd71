// Package forum is the leader's desk: fellows bring their beats here and take
// the news home. It composes the roll, the platform's list, the shard map, the
// state cache and the book of leases, which are all state machines; the forum
// gives them time and holds beats open until there is something to tell. It
// lives as long as one leadership; a new leader opens a new one.
package coordinator

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/history"
	"tinpin/internal/quota"
	"tinpin/internal/raft"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

const (
	leaseDuration   = 1600 * time.Millisecond
	removeNodeAfter = 6 * time.Second
	gatherBase      = 15 * time.Millisecond
	// leaderRateShare is the part of the platform's rate that the leader uses; the
	// rest is for daemons without a leader.
	leaderRateShare = 0.5
	gatherPerNode   = 500 * time.Microsecond
	gatherMax       = 250 * time.Millisecond
	maxHold         = 2 * time.Second
	// What a small link gets at once of the list and of the items.
	pageRows      = 64
	itemPartBytes = 160 << 10
	// packThreshold is how many items are worth packing, partsMost how many parts
	// are kept.
	packThreshold  = 8
	maxCachedParts = 256
	// maxOutcomeRows is how many rows of outcomes one beat may bring.
	maxOutcomeRows = 256
)

// Coordinator is open while this core leads.
type Coordinator struct {
	settings settings.Props
	log      *eventlog.Log
	node     *raft.Node
	term     rpc.Term
	started  time.Time

	mu              sync.Mutex
	clock           *registry.Clock
	nodes           *registry.Roll
	endpoints       *registry.List
	health          *healthcheck.Cache
	leases          *quota.Book
	tenantQuota     *quota.Lender
	retryQuota      *quota.Lender
	shardMap        rpc.ShardMap
	shardMapEpoch   rpc.Epoch
	shardMapMembers *registry.Ledger[rpc.FellowID, bool]
	absent          []rpc.FellowID
	absentEpoch     rpc.Epoch
	view            *config.View
	revision        uint64
	evacuatedZones  map[rpc.SiteName]bool
	changed         chan struct{}
	closed          chan struct{}

	// Reckoned once a change, so that a beat costs nothing that grows with the
	// fleet: how many fellows are heard, who is nearest to a site, what is cold.
	available       int
	nodesChanged    bool
	nearestByZone   map[rpc.SiteName][]rpc.FellowID
	warmingUp       []rpc.ServerID
	ownerByService  map[rpc.ServiceName]rpc.FellowID
	pendingOutcomes map[rpc.FellowID][]rpc.Tally

	// parts are the parts of the items as of the place partsOf.
	itemPartsRevision uint64
	itemParts         map[itemPosition]itemPart
	// crowds are rows of fellows packed, by what those told know, as of crowdsOf.
	packedNodesEpoch rpc.Epoch
	packedNodes      map[rpc.Epoch][]byte
	// pages are parts of the list, by what lies before them, as of pagesOf.
	endpointPagesEpoch rpc.Epoch
	endpointPages      map[rpc.ServerID]*rpc.ListPart

	rejections  atomic.Int64
	zoneBalance *healthcheck.Balance
	policies    policies
	sessions    sessionTable
	history     *history.Chronicle
}

// Start starts a leadership's forum.
func Start(p settings.Props, log *eventlog.Log, node *raft.Node, term raft.Term) (forum *Coordinator) {
	clock := &registry.Clock{}
	clock.Next()
	forum = &Coordinator{
		settings: p, log: log, node: node, term: rpc.Term(term), started: time.Now(),
		clock: clock, nodes: registry.NewRoll(clock, registry.RollBounds{Absent: healthcheck.StandIn, Struck: removeNodeAfter}),
		endpoints: registry.NewList(clock), health: healthcheck.NewCache(clock, 3*p.ProbeInterval+time.Second),
		leases: quota.NewBook(0, leaseDuration), nearestByZone: map[rpc.SiteName][]rpc.FellowID{}, ownerByService: map[rpc.ServiceName]rpc.FellowID{}, pendingOutcomes: map[rpc.FellowID][]rpc.Tally{}, view: config.New().View(), evacuatedZones: map[rpc.SiteName]bool{},
		changed: make(chan struct{}), closed: make(chan struct{}), history: node.Chronicle, policies: newPolicies(), sessions: newSessionTable(), zoneBalance: healthcheck.NewBalance(),
	}
	forum.shardMapMembers = registry.NewLedger[rpc.FellowID, bool](clock)
	first := term == 1
	forum.tenantQuota = quota.NewLender(0, leaseDuration, first)
	forum.retryQuota = quota.NewLenderOf(quota.RetryKinds, 0, leaseDuration, first)
	if first {
		forum.leases = quota.Unwaited(leaseDuration)
	}
	go forum.reconcileLoop()
	if p.PlatformAddress != "" {
		go forum.listLoop()
	}
	return forum
}

// Close ends it.
func (c *Coordinator) Close() { close(c.closed) }

func (c *Coordinator) now() time.Duration { return time.Since(c.started) }

// wakeHeartbeats wakes the beats that are held open.
func (c *Coordinator) wakeHeartbeats() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// StateChanged is called when the agreed state changed.
func (c *Coordinator) StateChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var view *config.View
	active := map[rpc.SiteName]bool{}
	c.node.Read(func(state *raft.State) {
		if state.Rev != c.revision {
			c.revision = state.Rev
			view = state.Canon.View()
			c.policies.load(state)
			c.sessions.load(state)
		}
		for site, evacuation := range state.Evacuations {
			if evacuation.Active {
				active[rpc.SiteName(site)] = true
			}
		}
	})
	if view != nil {
		c.view = view
	}
	// The backends of a site that is taken back may have turned cold unseen.
	for site := range c.evacuatedZones {
		if !active[site] {
			c.endpoints.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
				if server.Site == site {
					if service := c.view.Services[string(server.Service)]; service != nil {
						c.health.Suspect(c.now(), id, server.Service, service.Cold)
					}
				}
			})
		}
	}
	c.evacuatedZones = active
	c.wakeHeartbeats()
}

// reconcileLoop is the duty that moves the state machines' time on.
func (c *Coordinator) reconcileLoop() {
	c.StateChanged()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		now := c.now()
		lost, changed := c.nodes.Tick(now)
		changed, c.nodesChanged = changed || c.nodesChanged, false
		for _, id := range lost {
			c.log.Say(eventlog.FellowLost, "fellow", string(id))
		}
		if changed {
			c.refreshNodes()
		}
		if c.health.Tick(now) {
			changed = true
		}
		c.reconcilePolicies(now)
		c.expireSessions(now)
		if c.zoneBalance.Due(now) {
			c.balanceZones(now)
		}
		c.warmingUp = c.health.Cold(now-time.Second, c.warmingUp[:0])
		if changed {
			c.wakeHeartbeats()
		}
		c.mu.Unlock()
	}
}

// refreshNodes derives the shard map and the absent from the roll.
func (c *Coordinator) refreshNodes() {
	c.nearestByZone, c.available = map[rpc.SiteName][]rpc.FellowID{}, 0
	c.nodes.Fellows.Each(func(id rpc.FellowID, node rpc.Fellow) {
		if c.nodes.Here(id) && !node.Stopping {
			c.available++
		}
	})
	members := c.nodes.Members()
	same := len(members) == len(c.shardMap.Members)
	for i := 0; same && i < len(members); i++ {
		same = members[i] == c.shardMap.Members[i]
	}
	if !same {
		stay := make(map[rpc.FellowID]bool, len(members))
		for _, member := range members {
			stay[member] = true
			c.shardMapMembers.Set(member, true)
		}
		for _, member := range c.shardMap.Members {
			if !stay[member] {
				c.shardMapMembers.Drop(member)
			}
		}
		// All that made this map lies before its count, and behind the last one's.
		c.shardMapEpoch = c.clock.Next()
		c.shardMap = rpc.ShardMap{Term: c.term, Count: c.shardMapEpoch, Members: members}
		c.health.Shards(c.shardMap)
		c.log.Say(eventlog.MapChanged, "count", uint64(c.shardMapEpoch), "members", len(members))
	}
	absent := c.nodes.Absent()
	same = len(absent) == len(c.absent)
	for i := 0; same && i < len(absent); i++ {
		same = absent[i] == c.absent[i]
	}
	if !same {
		c.absent, c.absentEpoch = absent, c.clock.Next()
	}
	c.ownerByService = map[rpc.ServiceName]rpc.FellowID{}
}

// listLoop is the duty that reads the platform's list.
func (c *Coordinator) listLoop() {
	platform := registry.NewPlatform(c.settings.PlatformAddress)
	pause := time.Duration(float64(time.Second) / max(c.settings.PlatformRate*leaderRateShare, 0.1))
	for {
		begun := time.Now()
		servers, pages, err := platform.Walk(min(pause, 100*time.Millisecond), func(page []rpc.Server) { c.mergeEndpoints(page, false) })
		interval := listInterval(c.settings.ListInterval, pause, pages)
		if err != nil {
			c.log.Say(eventlog.ListFailed, "problem", err.Error())
			interval = max(interval/2, time.Duration(pages)*pause)
		} else {
			c.mergeEndpoints(servers, true)
		}
		select {
		case <-c.closed:
			return
		case <-time.After(max(interval-time.Since(begun), 20*time.Millisecond)):
		}
	}
}

// listInterval is how long after the beginning of a walk the next one begins. A
// long list is read no more often than twice the time that a walk of it takes, as
// each page is a call that is paid for.
func listInterval(usual, pause time.Duration, pages int) (interval time.Duration) {
	return max(usual, 2*time.Duration(pages)*pause)
}

// mergeEndpoints takes a page of the list, or the whole of a walk.
func (c *Coordinator) mergeEndpoints(servers []rpc.Server, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.clock.Now()
	first := !c.endpoints.Walked
	var changed bool
	var fresh []rpc.Server
	if whole {
		changed = c.endpoints.Whole(servers)
	} else {
		changed, fresh = c.endpoints.Page(servers)
	}
	c.endpoints.Servers.Since(before, func(id rpc.ServerID, server rpc.Server, gone bool) {
		stamp := server.Stamp()
		if gone {
			stamp = "gone"
		}
		c.history.Note(history.Backend, string(id), "listed", stamp, 0, first)
	})
	now := c.now()
	for _, server := range fresh {
		if server.Cold > 0 {
			c.health.Suspect(now, server.ID, server.Service, server.Cold)
		}
	}
	if !changed {
		return
	}
	var gone []rpc.ServerID
	c.health.States.Each(func(id rpc.ServerID, _ rpc.State) {
		if _, listed := c.endpoints.Servers.Get(id); !listed {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		c.health.Drop(id)
		c.leases.Forget(quota.Key{Kind: rpc.ColdRate, Name: string(id)})
	}
	c.wakeHeartbeats()
}

// Heartbeat notes a fellow's beat and answers it once there is news, or when it
// has been held long enough.
func (c *Coordinator) Heartbeat(request rpc.BeatAsk, update *rpc.News) (err error) {
	if reason := heartbeatError(request); reason != "" {
		return c.reject("beat", request.ID, reason)
	}
	hold := time.NewTimer(min(request.Hold, maxHold))
	defer hold.Stop()
	c.mu.Lock()
	joined, changed := c.nodes.Beat(c.now(), request.Fellow)
	if joined {
		c.log.Say(eventlog.FellowJoined, "fellow", string(request.ID), "life", uint64(request.Life))
	}
	// Who came or changed is told with the next turn of tend: after a change of
	// leader all come at once, and each would wake all the others.
	c.nodesChanged = c.nodesChanged || changed || joined
	c.relayOutcomes(request)
	c.policies.observeHeartbeat(c.now(), request)
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
		}
		c.mu.Lock()
	}
	present := time.Duration(c.nodes.Count())
	if !request.Listed || request.ItemAt != rpc.AllItems {
		// In the middle of what comes in parts, nothing is gathered.
		present = 0
	}
	c.mu.Unlock()
	// What comes together goes out together; in a large fleet, where each
	// change goes to many, more of it is waited for.
	time.Sleep(gatherBase + min(present*gatherPerNode, gatherMax))
	c.mu.Lock()
	c.fillUpdate(request, update)
	c.mu.Unlock()
	return nil
}

// relayOutcomes keeps what a fellow told of its outcomes for those that own the
// services, who get it with their next beats.
func (c *Coordinator) relayOutcomes(request rpc.BeatAsk) {
	for _, tally := range request.Tallies[:min(len(request.Tallies), maxOutcomeRows)] {
		if c.view.Services[string(tally.Service)] == nil {
			continue
		}
		if tally.Server != "" {
			if server, listed := c.endpoints.Servers.Get(tally.Server); !listed || server.Service != tally.Service {
				continue
			}
		}
		tally.Site = request.Site
		owner := c.owner(tally.Service)
		if kept := c.pendingOutcomes[owner]; len(kept) < 16*maxOutcomeRows {
			c.pendingOutcomes[owner] = append(kept, tally)
		}
	}
}

// owner names who watches a service; it is reckoned once a change of the roll.
func (c *Coordinator) owner(service rpc.ServiceName) (owner rpc.FellowID) {
	owner, known := c.ownerByService[service]
	if !known {
		owner = c.health.Owner(service, c.absent)
		c.ownerByService[service] = owner
	}
	return owner
}

// updateDue tells whether there is something to tell.
func (c *Coordinator) updateDue(request rpc.BeatAsk) bool {
	if request.Term != c.term {
		return true
	}
	return request.Epoch < c.clock.Now() || c.lacksItems(request.Seen) || request.Hold <= 0 || !request.Listed && c.endpoints.Walked
}

// lacksItems tells whether there are items that a fellow lacks.
func (c *Coordinator) lacksItems(seen rpc.Seen) bool {
	return seen.Rev < c.revision || seen.ItemAt != rpc.AllItems
}

// addItems tells a part of what a fellow lacks.
func (c *Coordinator) addItems(state *raft.State, seen rpc.Seen, update *rpc.News) {
	if c.itemParts == nil || c.itemPartsRevision != state.Rev {
		c.itemPartsRevision, c.itemParts = state.Rev, map[itemPosition]itemPart{}
	}
	from := itemPosition{seen.Rev, seen.ItemAt}
	part, known := c.itemParts[from]
	if !known {
		part = buildItemPart(state, from)
		if len(c.itemParts) < maxCachedParts {
			c.itemParts[from] = part
		}
	}
	update.Items, update.Packed, update.Rev, update.ItemAt = part.items, part.packed, part.next.rev, part.next.path
	for _, document := range state.Documents {
		if document.Rev >= seen.Rev {
			update.Documents = append(update.Documents, document)
		}
	}
	for _, retired := range state.Retired {
		if retired.Rev >= seen.Rev {
			update.Retired = append(update.Retired, retired)
		}
	}
	if move := state.Move; move.Rev >= seen.Rev && move.Rev > 0 {
		update.Move = &move
	}
	for _, evacuation := range state.Evacuations {
		if evacuation.Rev >= seen.Rev {
			update.Evacuations = append(update.Evacuations, rpc.Evacuation{Site: rpc.SiteName(evacuation.Site), Active: evacuation.Active, Rev: evacuation.Rev})
		}
	}
}

// itemPosition is a place among the items, itemPart what lies behind it; all
// fellows that are as far are told the same part, made once.
type itemPosition struct {
	rev  uint64
	path string
}

type itemPart struct {
	items  []config.Item
	packed []byte
	next   itemPosition
}

func buildItemPart(state *raft.State, position itemPosition) (part itemPart) {
	items, done := state.Canon.After(position.rev, position.path, itemPartBytes)
	part = itemPart{items: items, next: position}
	if done {
		part.next = itemPosition{max(position.rev, state.Rev), rpc.AllItems}
	} else if last := len(items) - 1; last >= 0 {
		part.next = itemPosition{items[last].Rev, items[last].Path()}
	}
	if len(items) > packThreshold {
		if packed, err := rpc.Pack(items); err == nil {
			part.items, part.packed = nil, packed
		}
	}
	return part
}

// nextEndpointPage gives the part of the list that a fellow lacks first. What another
// leader told of its list is no part of this one's.
func (c *Coordinator) nextEndpointPage(request rpc.BeatAsk) (part *rpc.ListPart) {
	if request.Term != c.term {
		return c.endpointPage(c.now(), "")
	}
	return c.endpointPage(c.now(), request.ListAt)
}

// endpointPage gives the part of the list behind an id, made once for all that are as
// far while nothing changes.
func (c *Coordinator) endpointPage(now time.Duration, after rpc.ServerID) (page *rpc.ListPart) {
	if c.endpointPages == nil || c.endpointPagesEpoch != c.clock.Now() {
		c.endpointPagesEpoch, c.endpointPages = c.clock.Now(), map[rpc.ServerID]*rpc.ListPart{}
	}
	page = c.endpointPages[after]
	if page != nil {
		return page
	}
	page = c.buildEndpointPage(now, after)
	cold := false
	for _, state := range page.States {
		cold = cold || state.Cold > 0
	}
	// What is left of a cold spell is another thing a moment later.
	if len(page.Servers) > packThreshold && page.Pack() == nil && !cold && len(c.endpointPages) < maxCachedParts {
		c.endpointPages[after] = page
	}
	return page
}

// buildEndpointPage gives the part of the list behind an id.
func (c *Coordinator) buildEndpointPage(now time.Duration, after rpc.ServerID) (part *rpc.ListPart) {
	var ids []rpc.ServerID
	c.endpoints.Servers.Each(func(id rpc.ServerID, _ rpc.Server) {
		if id > after {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	part = &rpc.ListPart{From: after, At: after, Done: len(ids) <= pageRows}
	for _, id := range ids[:min(len(ids), pageRows)] {
		server, _ := c.endpoints.Servers.Get(id)
		part.Servers = append(part.Servers, server)
		if state, known := c.health.States.Get(id); known {
			part.States = append(part.States, c.health.Remaining(now, state))
		}
		part.At = id
	}
	return part
}

func (c *Coordinator) fillUpdate(request rpc.BeatAsk, update *rpc.News) {
	now := c.now()
	since := request.Epoch
	update.Leader, update.Term, update.Epoch = true, c.term, c.clock.Now()
	if request.Term != c.term {
		since, update.Full = 0, true
		_, _, _, _, members := c.node.Standing()
		for _, member := range members {
			update.Cores = append(update.Cores, rpc.Core{Inner: member.Inner, Control: member.Control})
		}
	}
	update.Rev, update.ItemAt = request.Rev, request.ItemAt
	if c.lacksItems(request.Seen) {
		c.node.Read(func(state *raft.State) { c.addItems(state, request.Seen, update) })
	}
	// The list is told only once it is whole; a fellow that lacks it gets it in
	// parts, and beside them what changed since it first came.
	if !request.Listed && c.endpoints.Walked {
		update.Part = c.nextEndpointPage(request)
	}
	if listSince := request.Epoch; request.Term == c.term && (request.Listed || c.endpoints.Walked) {
		c.endpoints.Servers.Since(listSince, func(_ rpc.ServerID, server rpc.Server, gone bool) {
			update.Servers = append(update.Servers, rpc.ServerChange{Server: server, Gone: gone})
		})
		c.health.States.Since(listSince, func(_ rpc.ServerID, state rpc.State, gone bool) {
			state = c.health.Remaining(now, state)
			state.Gone = gone
			update.States = append(update.States, state)
		})
	}
	c.addNodes(since, update)
	c.addShardMap(request.Seen, update)
	update.Absent = c.absent
	update.Spills = c.zoneBalance.Spills(request.Site)
	update.Tallies = c.pendingOutcomes[request.ID]
	delete(c.pendingOutcomes, request.ID)
	update.Leases = c.grantLeases(now, request)
}

// addNodes tells what changed of the roll; many rows are packed, once for
// all that know as much.
func (c *Coordinator) addNodes(since rpc.Epoch, update *rpc.News) {
	if c.packedNodesEpoch != c.clock.Now() {
		c.packedNodesEpoch, c.packedNodes = c.clock.Now(), map[rpc.Epoch][]byte{}
	}
	if packed, known := c.packedNodes[since]; known {
		update.Crowd = packed
		return
	}
	c.nodes.Fellows.Since(since, func(_ rpc.FellowID, node rpc.Fellow, gone bool) {
		update.Fellows = append(update.Fellows, rpc.FellowChange{Fellow: node, Gone: gone})
	})
	if len(update.Fellows) <= packThreshold {
		return
	}
	if packed, err := rpc.Pack(update.Fellows); err == nil {
		update.Fellows, update.Crowd = nil, packed
		c.packedNodes[since] = packed
	}
}

// addShardMap tells what changed of the map, or all of it to who knows none.
func (c *Coordinator) addShardMap(seen rpc.Seen, update *rpc.News) {
	if update.Full || seen.MapAt == 0 {
		shards := c.shardMap
		update.Map = &shards
		return
	}
	if c.shardMapEpoch <= seen.MapAt {
		return
	}
	delta := &rpc.MapDelta{Base: seen.MapAt, Count: c.shardMapEpoch}
	c.shardMapMembers.Since(seen.MapAt, func(id rpc.FellowID, _ bool, gone bool) {
		if gone {
			delta.Removed = append(delta.Removed, id)
		} else {
			delta.Added = append(delta.Added, id)
		}
	})
	update.MapDelta = delta
}

// grantLeases gives a fellow its shares of every bound.
func (c *Coordinator) grantLeases(now time.Duration, request rpc.BeatAsk) (leases []rpc.Lease) {
	if request.Stopping {
		return nil
	}
	present := c.available
	if present == 0 {
		return nil
	}
	give := func(key quota.Key, bound float64, window time.Duration, want float64) {
		if lease, given := c.leases.Lend(now, key, bound, window, request.ID, want); given {
			leases = append(leases, lease)
		}
	}
	slack := c.settings.Bounds.RetrySlack * 0.7
	give(quota.Key{Kind: rpc.RetrySlack}, slack, c.settings.Bounds.RetryWindow, slack/float64(present))
	for _, demand := range request.Demands {
		if tenant := c.view.TenantNamed(demand.Tenant); tenant != nil {
			leases = append(leases, c.tenantQuota.Lend(now, quota.BoundOf(tenant), request.ID, present, demand)...)
		}
	}
	for _, demand := range request.Retries {
		service := rpc.ServiceName(demand.Tenant)
		if rule, written := c.policies.retryLimit.For(service); written && rule.LeastPerSecond > 0 && c.view.Services[demand.Tenant] != nil {
			leases = append(leases, c.retryQuota.Lend(now, rule.Bound(service), request.ID, present, demand)...)
		}
	}
	for _, id := range c.warmingUp {
		server, listed := c.endpoints.Servers.Get(id)
		if !listed || server.Draining || c.health.ColdUntil(id)+time.Second < now {
			continue
		}
		service := c.view.Services[string(server.Service)]
		if service == nil || service.ColdRate <= 0 {
			continue
		}
		if user, users := c.sharesWarmUp(request.Fellow, server, service.ColdRate); user {
			give(quota.Key{Kind: rpc.ColdRate, Name: string(id)}, service.ColdRate, 1200*time.Millisecond, service.ColdRate/float64(users))
		}
	}
	return leases
}

// sharesWarmUp tells whether a fellow is among the few that a cold backend's rate is
// split between: those of the nearest fellows heard that rank highest for it,
// as they do for its ordinary use, so that many cold backends are spread.
func (c *Coordinator) sharesWarmUp(to rpc.Fellow, server rpc.Server, rate float64) (user bool, users int) {
	nearest := c.nearestNodes(server.Site)
	users = min(len(nearest), max(1, int(rate/3)))
	own := healthcheck.Rank(string(to.ID), string(server.ID))
	here, before := false, 0
	for _, id := range nearest {
		if id == to.ID {
			here = true
		} else if healthcheck.Rank(string(id), string(server.ID)) < own {
			before++
		}
	}
	return here && before < users, max(1, users)
}

// nearestNodes lists the fellows heard in a site, or else in its region, or else
// all. It is reckoned once a change of the roll, not once a beat.
func (c *Coordinator) nearestNodes(site rpc.SiteName) (ids []rpc.FellowID) {
	if ids, known := c.nearestByZone[site]; known {
		return ids
	}
	region := c.settings.Regions[string(site)]
	var there, around, all []rpc.FellowID
	c.nodes.Fellows.Each(func(id rpc.FellowID, node rpc.Fellow) {
		if !c.nodes.Here(id) || node.Stopping || !node.Ready {
			return
		}
		all = append(all, id)
		if node.Site == site {
			there = append(there, id)
		}
		if string(node.Region) == region {
			around = append(around, id)
		}
	})
	for _, ids = range [][]rpc.FellowID{there, around, all} {
		if len(ids) > 0 {
			break
		}
	}
	c.nearestByZone[site] = ids
	return ids
}

// Report takes an owner's findings.
func (c *Coordinator) Report(request rpc.ReportAsk) (taken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endpoints.Walked {
		return false
	}
	if reason := c.reportError(request); reason != "" {
		_ = c.reject("report", request.Fellow, reason)
		return false
	}
	absent := map[rpc.FellowID]bool{}
	for _, id := range c.absent {
		absent[id] = true
	}
	listed := request.States[:0:0]
	for _, state := range request.States {
		if _, known := c.endpoints.Servers.Get(state.Server); known {
			listed = append(listed, state)
		}
	}
	request.States = listed
	before := c.clock.Now()
	taken, changed := c.health.Report(c.now(), request, absent)
	c.health.States.Since(before, func(id rpc.ServerID, state rpc.State, _ bool) {
		c.history.Note(history.Health, string(id), "reported by "+string(request.Fellow), state.Stamp(), uint64(c.clock.Now()), true)
	})
	if changed {
		c.wakeHeartbeats()
	}
	return taken
}

// NodeAddress gives a fellow's inner address and the life it was last heard with.
func (c *Coordinator) NodeAddress(id rpc.FellowID) (inner string, life rpc.Life) {
	c.mu.Lock()
	defer c.mu.Unlock()
	node, _ := c.nodes.Fellows.Get(id)
	return node.Inner, node.Life
}
