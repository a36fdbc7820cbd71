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
	leaseSpan   = 1600 * time.Millisecond
	struckAfter = 6 * time.Second
	gather      = 15 * time.Millisecond
	// listPart is the part of the platform's rate that the leader uses; the
	// rest is for daemons without a leader.
	listPart    = 0.5
	gatherEach  = 500 * time.Microsecond
	gatherMost  = 250 * time.Millisecond
	longestHold = 2 * time.Second
	// What a small link gets at once of the list and of the items.
	partRows  = 64
	itemsRoom = 160 << 10
	// packedLeast is how many items are worth packing, partsMost how many parts
	// are kept.
	packedLeast = 8
	partsMost   = 256
	// tallyRows is how many rows of outcomes one beat may bring.
	tallyRows = 256
)

// Coordinator is open while this core leads.
type Coordinator struct {
	props settings.Settings
	log   *eventlog.Logger
	node  *raft.Node
	term  rpc.Term
	birth time.Time

	mu      sync.Mutex
	clock   *registry.Clock
	roll    *registry.Roll
	list    *registry.List
	cache   *healthcheck.Cache
	book    *quota.Book
	lender  *quota.Lender
	retries *quota.Lender
	shards  rpc.ShardMap
	mapAt   rpc.Epoch
	members *registry.Ledger[rpc.FellowID, bool]
	absent  []rpc.FellowID
	absAt   rpc.Epoch
	view    *config.View
	rev     uint64
	sites   map[rpc.SiteName]bool
	changed chan struct{}
	stop    chan struct{}

	// Reckoned once a change, so that a beat costs nothing that grows with the
	// fleet: how many fellows are heard, who is nearest to a site, what is cold.
	present int
	moved   bool
	near    map[rpc.SiteName][]rpc.FellowID
	cold    []rpc.ServerID
	owners  map[rpc.ServiceName]rpc.FellowID
	tallies map[rpc.FellowID][]rpc.Tally

	// parts are the parts of the items as of the place partsOf.
	partsOf uint64
	parts   map[itemPlace]itemPart
	// crowds are rows of fellows packed, by what those told know, as of crowdsOf.
	crowdsOf rpc.Epoch
	crowds   map[rpc.Epoch][]byte
	// pages are parts of the list, by what lies before them, as of pagesOf.
	pagesOf rpc.Epoch
	pages   map[rpc.ServerID]*rpc.ListPart

	refusals  atomic.Int64
	balance   *healthcheck.Balance
	orders    orders
	sessions  sessions
	chronicle *history.Chronicle
}

// Start starts a leadership's forum.
func Start(p settings.Settings, log *eventlog.Logger, node *raft.Node, term raft.Term) (forum *Coordinator) {
	clock := &registry.Clock{}
	clock.Next()
	forum = &Coordinator{
		props: p, log: log, node: node, term: rpc.Term(term), birth: time.Now(),
		clock: clock, roll: registry.NewRoll(clock, registry.RollBounds{Absent: healthcheck.StandIn, Struck: struckAfter}),
		list: registry.NewList(clock), cache: healthcheck.NewCache(clock, 3*p.HealthCheckInterval+time.Second),
		book: quota.NewBook(0, leaseSpan), near: map[rpc.SiteName][]rpc.FellowID{}, owners: map[rpc.ServiceName]rpc.FellowID{}, tallies: map[rpc.FellowID][]rpc.Tally{}, view: config.New().View(), sites: map[rpc.SiteName]bool{},
		changed: make(chan struct{}), stop: make(chan struct{}), chronicle: node.Chronicle, orders: newOrders(), sessions: newSessions(), balance: healthcheck.NewBalance(),
	}
	forum.members = registry.NewLedger[rpc.FellowID, bool](clock)
	first := term == 1
	forum.lender = quota.NewLender(0, leaseSpan, first)
	forum.retries = quota.NewLenderOf(quota.RetryKinds, 0, leaseSpan, first)
	if first {
		forum.book = quota.Unwaited(leaseSpan)
	}
	go forum.tend()
	if p.PlatformAddress != "" {
		go forum.walk()
	}
	return forum
}

// Close ends it.
func (f *Coordinator) Close() { close(f.stop) }

func (f *Coordinator) now() time.Duration { return time.Since(f.birth) }

// stir wakes the beats that are held open.
func (f *Coordinator) stir() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// StateChanged is called when the agreed state changed.
func (f *Coordinator) StateChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var view *config.View
	active := map[rpc.SiteName]bool{}
	f.node.Read(func(state *raft.State) {
		if state.Rev != f.rev {
			f.rev = state.Rev
			view = state.Canon.View()
			f.orders.take(state)
			f.sessions.take(state)
		}
		for site, evacuation := range state.Evacuations {
			if evacuation.Active {
				active[rpc.SiteName(site)] = true
			}
		}
	})
	if view != nil {
		f.view = view
	}
	// The backends of a site that is taken back may have turned cold unseen.
	for site := range f.sites {
		if !active[site] {
			f.list.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
				if server.Site == site {
					if service := f.view.Services[string(server.Service)]; service != nil {
						f.cache.Suspect(f.now(), id, server.Service, service.Cold)
					}
				}
			})
		}
	}
	f.sites = active
	f.stir()
}

// tend is the duty that moves the state machines' time on.
func (f *Coordinator) tend() {
	f.StateChanged()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		now := f.now()
		lost, changed := f.roll.Tick(now)
		changed, f.moved = changed || f.moved, false
		for _, id := range lost {
			f.log.Emit(eventlog.NodeExpired, "fellow", string(id))
		}
		if changed {
			f.refreshMembers()
		}
		if f.cache.Tick(now) {
			changed = true
		}
		f.carryOn(now)
		f.endSessions(now)
		if f.balance.Due(now) {
			f.level(now)
		}
		f.cold = f.cache.Cold(now-time.Second, f.cold[:0])
		if changed {
			f.stir()
		}
		f.mu.Unlock()
	}
}

// refreshMembers derives the shard map and the absent from the roll.
func (f *Coordinator) refreshMembers() {
	f.near, f.present = map[rpc.SiteName][]rpc.FellowID{}, 0
	f.roll.Fellows.Each(func(id rpc.FellowID, fellow rpc.Fellow) {
		if f.roll.Here(id) && !fellow.Stopping {
			f.present++
		}
	})
	members := f.roll.Members()
	same := len(members) == len(f.shards.Members)
	for i := 0; same && i < len(members); i++ {
		same = members[i] == f.shards.Members[i]
	}
	if !same {
		stay := make(map[rpc.FellowID]bool, len(members))
		for _, member := range members {
			stay[member] = true
			f.members.Set(member, true)
		}
		for _, member := range f.shards.Members {
			if !stay[member] {
				f.members.Drop(member)
			}
		}
		// All that made this map lies before its count, and behind the last one's.
		f.mapAt = f.clock.Next()
		f.shards = rpc.ShardMap{Term: f.term, Count: f.mapAt, Members: members}
		f.cache.Shards(f.shards)
		f.log.Emit(eventlog.ShardMapChanged, "count", uint64(f.mapAt), "members", len(members))
	}
	absent := f.roll.Absent()
	same = len(absent) == len(f.absent)
	for i := 0; same && i < len(absent); i++ {
		same = absent[i] == f.absent[i]
	}
	if !same {
		f.absent, f.absAt = absent, f.clock.Next()
	}
	f.owners = map[rpc.ServiceName]rpc.FellowID{}
}

// walk is the duty that reads the platform's list.
func (f *Coordinator) walk() {
	platform := registry.NewPlatform(f.props.PlatformAddress)
	pause := time.Duration(float64(time.Second) / max(f.props.PlatformRate*listPart, 0.1))
	for {
		begun := time.Now()
		servers, pages, err := platform.Walk(min(pause, 100*time.Millisecond), func(page []rpc.Server) { f.merge(page, false) })
		interval := listInterval(f.props.EndpointListInterval, pause, pages)
		if err != nil {
			f.log.Emit(eventlog.EndpointListFailed, "problem", err.Error())
			interval = max(interval/2, time.Duration(pages)*pause)
		} else {
			f.merge(servers, true)
		}
		select {
		case <-f.stop:
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

// merge takes a page of the list, or the whole of a walk.
func (f *Coordinator) merge(servers []rpc.Server, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.clock.Now()
	first := !f.list.Walked
	var changed bool
	var fresh []rpc.Server
	if whole {
		changed = f.list.Whole(servers)
	} else {
		changed, fresh = f.list.Page(servers)
	}
	f.list.Servers.Since(before, func(id rpc.ServerID, server rpc.Server, gone bool) {
		stamp := server.Stamp()
		if gone {
			stamp = "gone"
		}
		f.chronicle.Note(history.Backend, string(id), "listed", stamp, 0, first)
	})
	now := f.now()
	for _, server := range fresh {
		if server.Cold > 0 {
			f.cache.Suspect(now, server.ID, server.Service, server.Cold)
		}
	}
	if !changed {
		return
	}
	var gone []rpc.ServerID
	f.cache.States.Each(func(id rpc.ServerID, _ rpc.State) {
		if _, listed := f.list.Servers.Get(id); !listed {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		f.cache.Drop(id)
		f.book.Forget(quota.Key{Kind: rpc.ColdRate, Name: string(id)})
	}
	f.stir()
}

// Heartbeat notes a fellow's beat and answers it once there is news, or when it
// has been held long enough.
func (f *Coordinator) Heartbeat(ask rpc.BeatAsk, news *rpc.News) (err error) {
	if fault := beatFault(ask); fault != "" {
		return f.refuse("beat", ask.ID, fault)
	}
	hold := time.NewTimer(min(ask.Hold, longestHold))
	defer hold.Stop()
	f.mu.Lock()
	joined, changed := f.roll.Beat(f.now(), ask.Fellow)
	if joined {
		f.log.Emit(eventlog.NodeJoined, "fellow", string(ask.ID), "life", uint64(ask.Life))
	}
	// Who came or changed is told with the next turn of tend: after a change of
	// leader all come at once, and each would wake all the others.
	f.moved = f.moved || changed || joined
	f.relay(ask)
	f.orders.heard(f.now(), ask)
	for !f.due(ask) {
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-hold.C:
			f.mu.Lock()
			f.tell(ask, news)
			f.mu.Unlock()
			return nil
		case <-f.stop:
			return nil
		}
		f.mu.Lock()
	}
	present := time.Duration(f.roll.Count())
	if !ask.Listed || ask.ItemAt != rpc.AllItems {
		// In the middle of what comes in parts, nothing is gathered.
		present = 0
	}
	f.mu.Unlock()
	// What comes together goes out together; in a large fleet, where each
	// change goes to many, more of it is waited for.
	time.Sleep(gather + min(present*gatherEach, gatherMost))
	f.mu.Lock()
	f.tell(ask, news)
	f.mu.Unlock()
	return nil
}

// relay keeps what a fellow told of its outcomes for those that own the
// services, who get it with their next beats.
func (f *Coordinator) relay(ask rpc.BeatAsk) {
	for _, tally := range ask.Tallies[:min(len(ask.Tallies), tallyRows)] {
		if f.view.Services[string(tally.Service)] == nil {
			continue
		}
		if tally.Server != "" {
			if server, listed := f.list.Servers.Get(tally.Server); !listed || server.Service != tally.Service {
				continue
			}
		}
		tally.Site = ask.Site
		owner := f.owner(tally.Service)
		if kept := f.tallies[owner]; len(kept) < 16*tallyRows {
			f.tallies[owner] = append(kept, tally)
		}
	}
}

// owner names who watches a service; it is reckoned once a change of the roll.
func (f *Coordinator) owner(service rpc.ServiceName) (owner rpc.FellowID) {
	owner, known := f.owners[service]
	if !known {
		owner = f.cache.Owner(service, f.absent)
		f.owners[service] = owner
	}
	return owner
}

// due tells whether there is something to tell.
func (f *Coordinator) due(ask rpc.BeatAsk) bool {
	if ask.Term != f.term {
		return true
	}
	return ask.Epoch < f.clock.Now() || f.owesItems(ask.Seen) || ask.Hold <= 0 || !ask.Listed && f.list.Walked
}

// owesItems tells whether there are items that a fellow lacks.
func (f *Coordinator) owesItems(seen rpc.Seen) bool {
	return seen.Rev < f.rev || seen.ItemAt != rpc.AllItems
}

// tellItems tells a part of what a fellow lacks.
func (f *Coordinator) tellItems(state *raft.State, seen rpc.Seen, news *rpc.News) {
	if f.parts == nil || f.partsOf != state.Rev {
		f.partsOf, f.parts = state.Rev, map[itemPlace]itemPart{}
	}
	from := itemPlace{seen.Rev, seen.ItemAt}
	part, known := f.parts[from]
	if !known {
		part = partOf(state, from)
		if len(f.parts) < partsMost {
			f.parts[from] = part
		}
	}
	news.Items, news.Packed, news.Rev, news.ItemAt = part.items, part.packed, part.next.rev, part.next.path
	for _, document := range state.Documents {
		if document.Rev >= seen.Rev {
			news.Documents = append(news.Documents, document)
		}
	}
	for _, retired := range state.Retired {
		if retired.Rev >= seen.Rev {
			news.Retired = append(news.Retired, retired)
		}
	}
	if move := state.Move; move.Rev >= seen.Rev && move.Rev > 0 {
		news.Move = &move
	}
	for _, evacuation := range state.Evacuations {
		if evacuation.Rev >= seen.Rev {
			news.Evacuations = append(news.Evacuations, rpc.Evacuation{Site: rpc.SiteName(evacuation.Site), Active: evacuation.Active, Rev: evacuation.Rev})
		}
	}
}

// itemPlace is a place among the items, itemPart what lies behind it; all
// fellows that are as far are told the same part, made once.
type itemPlace struct {
	rev  uint64
	path string
}

type itemPart struct {
	items  []config.Item
	packed []byte
	next   itemPlace
}

func partOf(state *raft.State, from itemPlace) (part itemPart) {
	items, done := state.Canon.After(from.rev, from.path, itemsRoom)
	part = itemPart{items: items, next: from}
	if done {
		part.next = itemPlace{max(from.rev, state.Rev), rpc.AllItems}
	} else if last := len(items) - 1; last >= 0 {
		part.next = itemPlace{items[last].Rev, items[last].Path()}
	}
	if len(items) > packedLeast {
		if packed, err := rpc.Pack(items); err == nil {
			part.items, part.packed = nil, packed
		}
	}
	return part
}

// nextPart gives the part of the list that a fellow lacks first. What another
// leader told of its list is no part of this one's.
func (f *Coordinator) nextPart(ask rpc.BeatAsk) (part *rpc.ListPart) {
	if ask.Term != f.term {
		return f.page(f.now(), "")
	}
	return f.page(f.now(), ask.ListAt)
}

// page gives the part of the list behind an id, made once for all that are as
// far while nothing changes.
func (f *Coordinator) page(now time.Duration, after rpc.ServerID) (page *rpc.ListPart) {
	if f.pages == nil || f.pagesOf != f.clock.Now() {
		f.pagesOf, f.pages = f.clock.Now(), map[rpc.ServerID]*rpc.ListPart{}
	}
	page = f.pages[after]
	if page != nil {
		return page
	}
	page = f.part(now, after)
	cold := false
	for _, state := range page.States {
		cold = cold || state.Cold > 0
	}
	// What is left of a cold spell is another thing a moment later.
	if len(page.Servers) > packedLeast && page.Pack() == nil && !cold && len(f.pages) < partsMost {
		f.pages[after] = page
	}
	return page
}

// part gives the part of the list behind an id.
func (f *Coordinator) part(now time.Duration, after rpc.ServerID) (part *rpc.ListPart) {
	var ids []rpc.ServerID
	f.list.Servers.Each(func(id rpc.ServerID, _ rpc.Server) {
		if id > after {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	part = &rpc.ListPart{From: after, At: after, Done: len(ids) <= partRows}
	for _, id := range ids[:min(len(ids), partRows)] {
		server, _ := f.list.Servers.Get(id)
		part.Servers = append(part.Servers, server)
		if state, known := f.cache.States.Get(id); known {
			part.States = append(part.States, f.cache.Remaining(now, state))
		}
		part.At = id
	}
	return part
}

func (f *Coordinator) tell(ask rpc.BeatAsk, news *rpc.News) {
	now := f.now()
	since := ask.Epoch
	news.Leader, news.Term, news.Epoch = true, f.term, f.clock.Now()
	if ask.Term != f.term {
		since, news.Full = 0, true
		_, _, _, _, members := f.node.Standing()
		for _, member := range members {
			news.Cores = append(news.Cores, rpc.Core{Inner: member.Inner, Control: member.Control})
		}
	}
	news.Rev, news.ItemAt = ask.Rev, ask.ItemAt
	if f.owesItems(ask.Seen) {
		f.node.Read(func(state *raft.State) { f.tellItems(state, ask.Seen, news) })
	}
	// The list is told only once it is whole; a fellow that lacks it gets it in
	// parts, and beside them what changed since it first came.
	if !ask.Listed && f.list.Walked {
		news.Part = f.nextPart(ask)
	}
	if listSince := ask.Epoch; ask.Term == f.term && (ask.Listed || f.list.Walked) {
		f.list.Servers.Since(listSince, func(_ rpc.ServerID, server rpc.Server, gone bool) {
			news.Servers = append(news.Servers, rpc.ServerChange{Server: server, Gone: gone})
		})
		f.cache.States.Since(listSince, func(_ rpc.ServerID, state rpc.State, gone bool) {
			state = f.cache.Remaining(now, state)
			state.Gone = gone
			news.States = append(news.States, state)
		})
	}
	f.tellFellows(since, news)
	f.tellMap(ask.Seen, news)
	news.Absent = f.absent
	news.Spills = f.balance.Spills(ask.Site)
	news.Tallies = f.tallies[ask.ID]
	delete(f.tallies, ask.ID)
	news.Leases = f.lend(now, ask)
}

// tellFellows tells what changed of the roll; many rows are packed, once for
// all that know as much.
func (f *Coordinator) tellFellows(since rpc.Epoch, news *rpc.News) {
	if f.crowdsOf != f.clock.Now() {
		f.crowdsOf, f.crowds = f.clock.Now(), map[rpc.Epoch][]byte{}
	}
	if packed, known := f.crowds[since]; known {
		news.Crowd = packed
		return
	}
	f.roll.Fellows.Since(since, func(_ rpc.FellowID, fellow rpc.Fellow, gone bool) {
		news.Fellows = append(news.Fellows, rpc.FellowChange{Fellow: fellow, Gone: gone})
	})
	if len(news.Fellows) <= packedLeast {
		return
	}
	if packed, err := rpc.Pack(news.Fellows); err == nil {
		news.Fellows, news.Crowd = nil, packed
		f.crowds[since] = packed
	}
}

// tellMap tells what changed of the map, or all of it to who knows none.
func (f *Coordinator) tellMap(seen rpc.Seen, news *rpc.News) {
	if news.Full || seen.MapAt == 0 {
		shards := f.shards
		news.Map = &shards
		return
	}
	if f.mapAt <= seen.MapAt {
		return
	}
	delta := &rpc.MapDelta{Base: seen.MapAt, Count: f.mapAt}
	f.members.Since(seen.MapAt, func(id rpc.FellowID, _ bool, gone bool) {
		if gone {
			delta.Removed = append(delta.Removed, id)
		} else {
			delta.Added = append(delta.Added, id)
		}
	})
	news.MapDelta = delta
}

// lend gives a fellow its shares of every bound.
func (f *Coordinator) lend(now time.Duration, ask rpc.BeatAsk) (leases []rpc.Lease) {
	if ask.Stopping {
		return nil
	}
	present := f.present
	if present == 0 {
		return nil
	}
	give := func(key quota.Key, bound float64, window time.Duration, want float64) {
		if lease, given := f.book.Lend(now, key, bound, window, ask.ID, want); given {
			leases = append(leases, lease)
		}
	}
	slack := f.props.Bounds.RetryBudgetSlack * 0.7
	give(quota.Key{Kind: rpc.RetrySlack}, slack, f.props.Bounds.RetryWindow, slack/float64(present))
	for _, demand := range ask.Demands {
		if tenant := f.view.TenantNamed(demand.Tenant); tenant != nil {
			leases = append(leases, f.lender.Lend(now, quota.BoundOf(tenant), ask.ID, present, demand)...)
		}
	}
	for _, demand := range ask.Retries {
		service := rpc.ServiceName(demand.Tenant)
		if rule, written := f.orders.retries.For(service); written && rule.LeastPerSecond > 0 && f.view.Services[demand.Tenant] != nil {
			leases = append(leases, f.retries.Lend(now, rule.Bound(service), ask.ID, present, demand)...)
		}
	}
	for _, id := range f.cold {
		server, listed := f.list.Servers.Get(id)
		if !listed || server.Draining || f.cache.ColdUntil(id)+time.Second < now {
			continue
		}
		service := f.view.Services[string(server.Service)]
		if service == nil || service.ColdRate <= 0 {
			continue
		}
		if user, users := f.uses(ask.Fellow, server, service.ColdRate); user {
			give(quota.Key{Kind: rpc.ColdRate, Name: string(id)}, service.ColdRate, 1200*time.Millisecond, service.ColdRate/float64(users))
		}
	}
	return leases
}

// uses tells whether a fellow is among the few that a cold backend's rate is
// split between: those of the nearest fellows heard that rank highest for it,
// as they do for its ordinary use, so that many cold backends are spread.
func (f *Coordinator) uses(to rpc.Fellow, server rpc.Server, rate float64) (user bool, users int) {
	nearest := f.nearest(server.Site)
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

// nearest lists the fellows heard in a site, or else in its region, or else
// all. It is reckoned once a change of the roll, not once a beat.
func (f *Coordinator) nearest(site rpc.SiteName) (ids []rpc.FellowID) {
	if ids, known := f.near[site]; known {
		return ids
	}
	region := f.props.ZoneRegions[string(site)]
	var there, around, all []rpc.FellowID
	f.roll.Fellows.Each(func(id rpc.FellowID, fellow rpc.Fellow) {
		if !f.roll.Here(id) || fellow.Stopping || !fellow.Ready {
			return
		}
		all = append(all, id)
		if fellow.Site == site {
			there = append(there, id)
		}
		if string(fellow.Region) == region {
			around = append(around, id)
		}
	})
	for _, ids = range [][]rpc.FellowID{there, around, all} {
		if len(ids) > 0 {
			break
		}
	}
	f.near[site] = ids
	return ids
}

// Report takes an owner's findings.
func (f *Coordinator) Report(ask rpc.ReportAsk) (taken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.list.Walked {
		return false
	}
	if fault := f.reportFault(ask); fault != "" {
		_ = f.refuse("report", ask.Fellow, fault)
		return false
	}
	absent := map[rpc.FellowID]bool{}
	for _, id := range f.absent {
		absent[id] = true
	}
	listed := ask.States[:0:0]
	for _, state := range ask.States {
		if _, known := f.list.Servers.Get(state.Server); known {
			listed = append(listed, state)
		}
	}
	ask.States = listed
	before := f.clock.Now()
	taken, changed := f.cache.Report(f.now(), ask, absent)
	f.cache.States.Since(before, func(id rpc.ServerID, state rpc.State, _ bool) {
		f.chronicle.Note(history.Health, string(id), "reported by "+string(ask.Fellow), state.Stamp(), uint64(f.clock.Now()), true)
	})
	if changed {
		f.stir()
	}
	return taken
}

// NodeAddress gives a fellow's inner address and the life it was last heard with.
func (f *Coordinator) NodeAddress(id rpc.FellowID) (inner string, life rpc.Life) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fellow, _ := f.roll.Fellows.Get(id)
	return fellow.Inner, fellow.Life
}
