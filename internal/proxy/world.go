// World is what this daemon knows: the configuration, the backends by service,
// the evacuated sites, the fellows and its leases. News and the daemon's own
// reading change it in one place; requests read an unchanging scene of it.
package proxy

import (
	"maps"
	"math/rand"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/history"
	"tinpin/internal/quota"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// loggedItems is how many items of one telling are logged each.
const loggedItems = 64

// Scene is one state of the world, read-only but for the servers' own marks.
type Scene struct {
	View     *config.View
	Services map[rpc.ServiceName][]*Server
	// Near are the backends of a service that this daemon uses first, Beyond
	// all others; Share is how many daemons use each of the near ones.
	Near, Beyond map[rpc.ServiceName][]*Server
	Share        map[rpc.ServiceName]int
	Evacuate     map[rpc.SiteName]bool
	Fellows      map[rpc.FellowID]rpc.Fellow
	// Sharers counts the daemons that share the backends now.
	Sharers int
	Started bool
	Listed  bool
	Rev     uint64
}

// backends counts all.
func (s *Scene) backends() (count int) {
	for _, servers := range s.Services {
		count += len(servers)
	}
	return count
}

// World keeps it.
type World struct {
	props settings.Settings
	log   *eventlog.Logger
	clock Clock
	// Chronicle remembers what became of changes here.
	Chronicle *history.Chronicle
	// Orders are the drain policy, the retired backends and the day's plan.
	Orders *Orders

	mu       sync.Mutex
	canon    *config.Canon
	seen     rpc.Seen
	whole    bool
	named    map[rpc.ServerID]bool
	servers  map[rpc.ServerID]*Server
	evac     map[rpc.SiteName]rpc.Evacuation
	fellows  map[rpc.FellowID]rpc.Fellow
	cores    map[string]bool
	watch    *healthcheck.Watch
	told     rpc.ShardMap
	judge    *healthcheck.Judge
	listed   bool
	viewed   *config.View
	shares   *quota.Shares
	scene    atomic.Pointer[Scene]
	sharesMu sync.Mutex
	habits   map[rpc.ServiceName]*Habit
}

// NewWorld knows nothing yet.
func NewWorld(p settings.Settings, log *eventlog.Logger, clock Clock) (world *World) {
	world = &World{
		props: p, log: log, clock: clock, Chronicle: history.New(log), Orders: NewOrders(clock.Now()), canon: config.New(), servers: map[rpc.ServerID]*Server{},
		evac: map[rpc.SiteName]rpc.Evacuation{}, fellows: map[rpc.FellowID]rpc.Fellow{}, cores: map[string]bool{},
		watch: healthcheck.NewWatch(rpc.FellowID(p.Name), p.SendInterval, clock.Now()),
		judge: healthcheck.NewJudge(), shares: quota.NewShares(), habits: map[rpc.ServiceName]*Habit{},
	}
	world.Orders.Retries = retry.NewLimiter(world.Share)
	world.viewed = world.canon.View()
	world.refresh()
	return world
}

// Scene gives the newest state.
func (w *World) Scene() (scene *Scene) { return w.scene.Load() }

// Share is what may be used of a leased bound now.
func (w *World) Share(kind rpc.LeaseKind, key string) (amount float64) {
	w.sharesMu.Lock()
	defer w.sharesMu.Unlock()
	return w.shares.Amount(w.clock.Now(), quota.Key{Kind: kind, Name: key})
}

// Seen is what a beat names.
func (w *World) Seen() (seen rpc.Seen) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}

// lend takes the leases of news that is not overtaken.
func (w *World) lend(asked time.Duration, leases []rpc.Lease) {
	w.sharesMu.Lock()
	defer w.sharesMu.Unlock()
	for _, lease := range leases {
		w.shares.Take(asked, lease)
	}
}

// Take takes the news that was asked for at a time, and tells whether it is the
// newest leader's: of an older one nothing is taken, however late its answer comes.
func (w *World) Take(asked time.Duration, news *rpc.News) (led bool) {
	if news.Packed != nil {
		items, err := rpc.Unpack(news.Packed)
		if err != nil {
			w.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			return false
		}
		news.Items = items
	}
	if news.Part != nil {
		if err := news.Part.Unpack(); err != nil {
			w.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			return false
		}
	}
	if news.Crowd != nil {
		fellows, err := rpc.UnpackRows[rpc.FellowChange](news.Crowd)
		if err != nil {
			w.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
			return false
		}
		news.Fellows = append(news.Fellows, fellows...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	// What an older leader, or the same one earlier, told is overtaken.
	if news.Term < w.seen.Term {
		return false
	}
	if news.Term == w.seen.Term && news.Epoch < w.seen.Epoch {
		return true
	}
	w.lend(asked, news.Leases)
	if part := news.Part; part != nil && !w.follows(news.Term, part) {
		// Only the part is refused: the rest says where to go on from.
		w.log.Emit(eventlog.NodeRequestRejected, eventlog.KeyCall, "news", eventlog.KeyReason, "a part of the list that does not follow", eventlog.KeyFrom, string(part.From), "position", string(part.At))
		news.Part = nil
	}
	first := w.seen.Rev == 0
	if news.Term != w.seen.Term {
		w.seen.Listed, w.seen.ListAt, w.seen.MapAt, w.named = false, "", 0, map[rpc.ServerID]bool{}
	}
	changed := news.Full || news.Part != nil || len(news.Servers) > 0 || len(news.Fellows) > 0 || len(news.Items) > 0 || len(news.Evacuations) > 0
	for _, core := range news.Cores {
		w.cores[core.Inner] = true
	}
	if news.Full {
		w.fellows = map[rpc.FellowID]rpc.Fellow{}
	}
	w.seen.Term, w.seen.Epoch = news.Term, news.Epoch
	w.Orders.take(now, asked, news, w.Chronicle, first)
	back := map[rpc.SiteName]bool{}
	for _, evacuation := range news.Evacuations {
		if old := w.evac[evacuation.Site]; old.Rev < evacuation.Rev {
			w.evac[evacuation.Site] = evacuation
			w.Chronicle.Note(history.Evacuation, string(evacuation.Site), "applied", evacuation.Stamp(), evacuation.Rev, first)
			back[evacuation.Site] = old.Active && !evacuation.Active
		}
	}
	for _, item := range news.Items {
		if err := w.canon.Put(item); err != nil {
			w.log.Emit(eventlog.SettingsRejected, "item", item.Name, eventlog.KeyError, err.Error())
		}
	}
	for _, item := range news.Items {
		w.Chronicle.Note(history.Item, item.Path(), "applied", item.Stamp(), item.Rev, first || len(news.Items) > loggedItems)
	}
	if news.Rev > w.seen.Rev || news.Rev == w.seen.Rev && news.ItemAt > w.seen.ItemAt {
		w.seen.Rev, w.seen.ItemAt = news.Rev, news.ItemAt
	}
	if len(news.Items) > 0 {
		w.viewed = w.canon.View()
		names := make([]rpc.ServiceName, 0, len(w.viewed.Services))
		for name := range w.viewed.Services {
			names = append(names, rpc.ServiceName(name))
		}
		w.watch.Services(names)
		w.watch.Settle(now)
	}
	if news.Part != nil && !w.seen.Listed {
		w.part(now, news.Part)
	}
	w.list(now, news.Servers, false)
	for site, returned := range back {
		if !returned {
			continue
		}
		for _, server := range w.servers {
			if server.Site == site {
				if service := w.viewed.Services[string(server.Service)]; service != nil {
					server.chill(now, service.Cold)
				}
			}
		}
	}
	for _, state := range news.States {
		if server := w.servers[state.Server]; server != nil && !state.Gone {
			w.Chronicle.Note(history.Health, string(state.Server), "heard", state.Stamp(), uint64(news.Epoch), true)
			server.note(now, nil, &state)
		}
	}
	for _, change := range news.Fellows {
		if change.Gone {
			delete(w.fellows, change.ID)
		} else {
			w.fellows[change.ID] = change.Fellow
		}
	}
	if delta := news.MapDelta; delta != nil && w.seen.MapAt > 0 && delta.Base <= w.seen.MapAt && delta.Count > w.seen.MapAt {
		next := w.told.Apply(*delta)
		news.Map = &next
	}
	if news.Map != nil {
		w.told, w.seen.MapAt = *news.Map, news.Map.Count
		w.watch.Map(now, *news.Map)
	}
	for _, tally := range news.Tallies {
		w.judge.Add(now, tally)
	}
	w.watch.Absent(news.Absent)
	w.watch.Led(now, true)
	if changed {
		w.refresh()
	}
	return true
}

// Tallies gives what is to be told of the backends' outcomes: nothing at all
// while none fails. Only those are looked at of which there may be something to
// tell, so that a beat costs no more where there are more backends.
func (w *World) Tallies() (tallies []rpc.Tally) {
	now := w.clock.Now()
	w.mu.Lock()
	habits := maps.Clone(w.habits)
	w.mu.Unlock()
	for service, habit := range habits {
		before := len(tallies)
		for _, server := range habit.watched() {
			if tally, told := server.tell(now); told {
				tallies = append(tallies, tally)
			}
		}
		if len(tallies) == before {
			continue
		}
		good, bad := habit.tell()
		tallies = append(tallies, rpc.Tally{Service: service, Good: good, Bad: bad})
	}
	return tallies
}

// Learn notes cores that were heard of.
func (w *World) Learn(cores []rpc.Core) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, core := range cores {
		w.cores[core.Inner] = true
	}
}

// habit gives what is known of a service as a whole; the caller holds the lock.
func (w *World) habit(service rpc.ServiceName) (habit *Habit) {
	habit = w.habits[service]
	if habit == nil {
		habit = &Habit{}
		w.habits[service] = habit
	}
	return habit
}

// follows tells that a part of the list follows what was told of it: a gap would
// be taken for backends that are gone.
func (w *World) follows(term rpc.Term, part *rpc.ListPart) (follows bool) {
	told := w.seen.ListAt
	if term != w.seen.Term {
		told = ""
	}
	for _, server := range part.Servers {
		if server.ID <= part.From {
			return false
		}
	}
	return w.seen.Listed && term == w.seen.Term || part.From <= told
}

// part takes a part of the whole list; the last one drops what none named.
func (w *World) part(now time.Duration, part *rpc.ListPart) {
	changes := make([]rpc.ServerChange, len(part.Servers))
	for i, server := range part.Servers {
		changes[i].Server = server
	}
	w.list(now, changes, true)
	for i := range part.States {
		if server := w.servers[part.States[i].Server]; server != nil {
			server.note(now, nil, &part.States[i])
		}
	}
	w.seen.ListAt = max(w.seen.ListAt, part.At)
	if !part.Done {
		return
	}
	for id, server := range w.servers {
		if !w.named[id] {
			server.sweep(now, true)
			delete(w.servers, id)
		}
	}
	w.seen.Listed, w.listed, w.named = true, true, nil
}

// list takes changes of the list; those of a whole telling are not logged.
func (w *World) list(now time.Duration, changes []rpc.ServerChange, quiet bool) {
	for i := range changes {
		change := &changes[i]
		server := w.servers[change.ID]
		if change.Gone {
			if server != nil {
				w.Chronicle.Note(history.Backend, string(change.ID), "applied", "gone", 0, false)
				server.sweep(now, true)
				delete(w.servers, change.ID)
			}
			continue
		}
		if w.named != nil {
			w.named[change.ID] = true
		}
		if server == nil {
			server = newServer(change.Server, rpc.RegionName(w.props.ZoneRegions[string(change.Site)]), w.props.Zone, w.habit(change.Service))
			if change.Cold > 0 {
				server.chill(now, change.Cold)
			}
			w.servers[change.ID] = server
		}
		if stamp := change.Stamp(); server.told != stamp {
			server.told = stamp
			w.Chronicle.Note(history.Backend, string(change.ID), "applied", stamp, 0, quiet)
		}
		server.note(now, &change.Server, nil)
	}
}

// TakeList takes a walk that this daemon made itself for want of a leader.
func (w *World) TakeList(walk []rpc.Server) {
	changes := make([]rpc.ServerChange, len(walk))
	for i := range walk {
		changes[i] = rpc.ServerChange{Server: walk[i]}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.list(now, changes, false)
	w.listed = true
	w.refresh()
}

// refresh builds the scene anew.
func (w *World) refresh() {
	scene := &Scene{View: w.viewed, Services: map[rpc.ServiceName][]*Server{}, Near: map[rpc.ServiceName][]*Server{}, Beyond: map[rpc.ServiceName][]*Server{}, Evacuate: map[rpc.SiteName]bool{}, Fellows: map[rpc.FellowID]rpc.Fellow{}, Listed: w.listed, Rev: w.seen.Rev}
	for _, server := range w.servers {
		scene.Services[server.Service] = append(scene.Services[server.Service], server)
	}
	for _, servers := range scene.Services {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	for site, evacuation := range w.evac {
		if evacuation.Active {
			scene.Evacuate[site] = true
		}
	}
	for id, fellow := range w.fellows {
		scene.Fellows[id] = fellow
		if fellow.Ready && !fellow.Stopping {
			scene.Sharers++
		}
	}
	subset := NewSubset(rpc.FellowID(w.props.Name), rpc.SiteName(w.props.Zone), w.fellows, w.props.SubsetSize)
	scene.Share = map[rpc.ServiceName]int{}
	for service, servers := range scene.Services {
		here := 0
		for _, server := range servers {
			if string(server.Site) == w.props.Zone {
				here++
			}
		}
		scene.Share[service] = subset.Sharers(here)
		for _, server := range servers {
			if string(server.Site) == w.props.Zone && subset.Holds(server.ID, scene.Share[service]) {
				scene.Near[service] = append(scene.Near[service], server)
			} else {
				scene.Beyond[service] = append(scene.Beyond[service], server)
			}
		}
	}
	// Until all items are here, a way that is missing proves nothing.
	w.whole = w.whole || w.seen.ItemAt == rpc.AllItems && !w.canon.Empty()
	scene.Started = w.whole
	w.scene.Store(scene)
}

// Sweep closes streams that lay idle too long.
func (w *World) Sweep() {
	w.mu.Lock()
	servers := make([]*Server, 0, len(w.servers))
	for _, server := range w.servers {
		servers = append(servers, server)
	}
	w.mu.Unlock()
	now := w.clock.Now()
	for _, server := range servers {
		server.sweep(now, false)
	}
}

// end breaks off what is still at work at a backend; with but, keyed requests
// may go on.
func (w *World) end(id rpc.ServerID, but bool) {
	w.mu.Lock()
	server := w.servers[id]
	w.mu.Unlock()
	if server != nil {
		server.breakOff(but)
	}
}

// Known lists the inner addresses of cores this daemon has heard of.
func (w *World) Known() (inners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for inner := range w.cores {
		inners = append(inners, inner)
	}
	sort.Strings(inners)
	rand.Shuffle(len(inners), func(i, j int) { inners[i], inners[j] = inners[j], inners[i] })
	return inners
}

// Tick moves the watch on and lists the services to probe.
func (w *World) Tick(led bool) (duties []rpc.ServiceName, term rpc.Term, count rpc.Epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.watch.Led(now, led)
	applied, headless := w.watch.Tick(now)
	if applied {
		w.log.Emit(eventlog.ShardMapChanged, eventlog.KeyVersion, uint64(w.watch.Applied().Count), eventlog.KeyMembers, len(w.watch.Applied().Members))
	}
	if headless {
		w.log.Emit(eventlog.Headless)
	}
	shards := w.watch.Applied()
	return w.watch.Duties(), shards.Term, shards.Count
}

// Judge moves the judge's time on and gives the backends whose standing changed.
func (w *World) Judge(duties []rpc.ServiceName) (changed map[rpc.ServerID]string) {
	scene := w.Scene()
	sizes := make(map[rpc.ServiceName]int, len(duties))
	for _, service := range duties {
		sizes[service] = len(scene.Services[service])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge.Tick(w.clock.Now(), sizes)
}

// Alone tells that this daemon probes only what it owns, not with all others.
func (w *World) Alone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.watch.Headless() && !w.watch.Unsettled()
}

// Duties lists the services this daemon probes now.
func (w *World) Duties() (duties []rpc.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.Duties()
}

// Absent lists the fellows the leader does not hear.
func (w *World) Absent() (absent map[rpc.FellowID]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.AbsentNow()
}

// Stands tells how a subject stands on this daemon.
func (w *World) Stands(kind, name string) (stamp string, rev uint64, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch kind {
	case history.Item:
		item, known := w.canon.Find(name)
		return item.Stamp(), item.Rev, known
	case history.Document, history.Retirement, history.Move:
		return w.Orders.stands(kind, name)
	case history.Evacuation:
		evacuation, known := w.evac[rpc.SiteName(name)]
		return evacuation.Stamp(), evacuation.Rev, known
	}
	server := w.servers[rpc.ServerID(name)]
	if server == nil {
		return "", 0, false
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if kind == history.Backend {
		return server.Server.Stamp(), 0, true
	}
	return rpc.State{Health: server.health, Cold: max(0, server.coldTill-w.clock.Now())}.Stamp(), 0, true
}
