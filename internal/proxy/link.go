// Link is this daemon's tie to the leader: beats out, news back, claims of
// keys in batches, owners' reports. Without a leader it asks every core it
// knows in turn and lets the rest of the daemon know that it is on its own.
package proxy

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/idempotency"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

const (
	beatHold    = 500 * time.Millisecond
	beatPatient = 600 * time.Millisecond
	newsPatient = 2 * time.Second
	claimCall   = 260 * time.Millisecond
	scoutPause  = 40 * time.Millisecond
	scoutSpan   = 2 * time.Second
	leaderless  = 1300 * time.Millisecond
	claimRing   = 1024
	claimCalls  = 16
	claimsMost  = 128
	claimPause  = 25 * time.Millisecond
	freesMost   = 128
	freesHeld   = 8192
	freesPause  = 250 * time.Millisecond
	alonePause  = 500 * time.Millisecond
	// lonelyFirst is the time within which a daemon without a list reads it first;
	// listPage is about how many backends a page of the platform's holds.
	lonelyFirst = 4 * time.Second
	listPage    = 50
)

// Link ties the daemon to its leader.
type Link struct {
	props  settings.Settings
	log    *eventlog.Logger
	clock  Clock
	world  *World
	keys   *idempotency.Book
	life   rpc.Life
	self   func() rpc.Fellow
	seeds  atomic.Pointer[[]string]
	heard  atomic.Int64
	leader atomic.Pointer[string]
	claims *Batcher[rpc.KeyClaim, rpc.ClaimFound]
	binds  *Batcher[rpc.Bind, rpc.BindFound]
	stir   chan struct{}
	scouts atomic.Bool

	// Taken is called when news was taken.
	Taken func()
	// Ended is closed when the daemon ends; all duties end with it.
	Ended chan struct{}
	// Burdens tells what is at work.
	Burdens func() []rpc.Burden
	// Limits tells the demand of tenants, where there are any.
	Limits *Limits

	mu       sync.Mutex
	callers  map[string]*rpc.Caller
	frees    map[rpc.KeyClaim]bool
	patience Patience
	term     rpc.Term
}

// NewLink is a link that has not found a leader yet.
func NewLink(p settings.Settings, log *eventlog.Logger, clock Clock, world *World, book *idempotency.Book, life rpc.Life, self func() rpc.Fellow) (link *Link) {
	link = &Link{
		props: p, log: log, clock: clock, world: world, keys: book, life: life, self: self,
		stir:  make(chan struct{}, 1),
		Ended: make(chan struct{}), callers: map[string]*rpc.Caller{}, frees: map[rpc.KeyClaim]bool{},
	}
	link.claims = NewBatcher(claimRing, claimCalls, claimsMost, link.putClaims)
	link.binds = NewBatcher(claimRing, claimCalls, claimsMost, link.putBinds)
	link.heard.Store(int64(-time.Hour))
	nobody := ""
	link.leader.Store(&nobody)
	link.SetSeeds(p.Seeds)
	return link
}

// SetSeeds takes changed seeds up.
func (l *Link) SetSeeds(seeds []string) { l.seeds.Store(&seeds) }

// Led tells whether a leader was heard lately.
func (l *Link) Led() bool { return l.clock.Now()-time.Duration(l.heard.Load()) < leaderless }

func (l *Link) caller(inner string) (caller *rpc.Caller) { return l.callerOf(inner, 0) }

// core gives the caller of a core. A call may wait as long for its stream as the
// patience of now allows: where the way there takes half a second, none would
// ever come up otherwise.
func (l *Link) core(inner string) (caller *rpc.Caller) { return l.callerOf(inner, patienceMost) }

func (l *Link) callerOf(inner string, dial time.Duration) (caller *rpc.Caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	caller = l.callers[inner]
	if caller == nil {
		caller = rpc.NewCaller(inner)
		if dial > 0 {
			caller.DialWait = dial
		}
		l.callers[inner] = caller
	}
	return caller
}

// Stir sends a beat at once, for news of one's own.
func (l *Link) Stir() {
	if inner := *l.leader.Load(); inner != "" {
		_, _ = l.beat(inner, 0, beatPatient)
	}
}

func (l *Link) ended() bool {
	select {
	case <-l.Ended:
		return true
	default:
		return false
	}
}

// candidates lists the cores that may lead.
func (l *Link) candidates() (inners []string) {
	seen := map[string]bool{"": true}
	add := func(inner string) {
		if !seen[inner] {
			seen[inner] = true
			inners = append(inners, inner)
		}
	}
	for _, seed := range *l.seeds.Load() {
		add(l.props.SeedInternalAddress(seed))
	}
	for _, inner := range l.world.Known() {
		add(inner)
	}
	return inners
}

// beat asks one core for news and takes them if it leads.
func (l *Link) beat(target string, hold, limit time.Duration) (news *rpc.News, err error) {
	asked := l.clock.Now()
	ask := rpc.BeatAsk{Fellow: l.self(), Seen: l.world.Seen(), Hold: hold}
	tenants := l.world.Scene().View.Tenants()
	if l.Limits != nil {
		ask.Demands = l.Limits.Demands(tenants)
	}
	ask.Retries = l.world.Orders.Retries.Demands()
	ask.Tallies = l.world.Tallies()
	ask.Known = l.world.Orders.Known(asked)
	if l.Burdens != nil {
		ask.Burdens = l.Burdens()
	}
	news = new(rpc.News)
	if err = l.core(target).Call(rpc.MethodHeartbeat, &ask, news, limit); err != nil {
		return nil, err
	}
	if !news.Leader {
		l.world.Learn(news.Cores)
		return news, nil
	}
	if news.Term < l.world.Seen().Term {
		news.Leader = false
		return news, nil
	}
	if l.Limits != nil {
		l.Limits.Fill(l.clock.Now(), tenants)
	}
	l.world.Orders.Retries.Fill(l.clock.Now())
	if !l.world.Take(asked, news) || !l.found(target, news.Term) {
		news.Leader = false
		return news, nil
	}
	l.Taken()
	return news, nil
}

// found notes who leads; an older leader than the one that is known does not.
func (l *Link) found(target string, term rpc.Term) (newest bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term {
		return false
	}
	if old := *l.leader.Load(); !l.Led() || old != target {
		l.log.Emit(eventlog.LeaderFound, "leader", target, eventlog.KeyTerm, uint64(term))
	}
	l.term = term
	l.heard.Store(int64(l.clock.Now()))
	l.leader.Store(&target)
	l.patience.Heard()
	return true
}

// Beat is the duty that keeps the tie.
func (l *Link) Beat() {
	for !l.ended() {
		target := *l.leader.Load()
		if target == "" || !l.Led() {
			l.seek("", 0)
			continue
		}
		news, err := l.beat(target, beatHold, beatHold+beatPatient)
		if err != nil || !news.Leader {
			// The scout may have found another leader meanwhile.
			if leader := *l.leader.Load(); leader == target {
				l.seek(target, 0)
			}
		}
	}
}

// seek asks all cores but one at once who leads, until one leads in a later
// term than given or they have all answered or are overdue. The question is a
// small one: the news that a new leader owes may take a small link longer than
// a core that is gone may be waited for.
func (l *Link) seek(but string, after rpc.Term) (found bool) {
	l.mu.Lock()
	wait := l.patience.Wait()
	l.mu.Unlock()
	asked, answered, leader := 0, 0, ""
	answers := make(chan leadAnswer, len(l.candidates())+1)
	for _, inner := range l.candidates() {
		if inner == but || asked == cap(answers) {
			continue
		}
		asked++
		go func() {
			var reply rpc.LeadReply
			err := l.core(inner).Call(rpc.MethodLeader, rpc.LeadAsk{}, &reply, wait)
			answers <- leadAnswer{inner, reply, err}
		}()
	}
	for ; asked > 0 && leader == ""; asked-- {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		answered++
		l.world.Learn(answer.reply.Cores)
		if answer.reply.Leader && answer.reply.Term > after && answer.reply.Term >= l.world.Seen().Term {
			leader = answer.inner
		}
	}
	if leader != "" {
		news, err := l.beat(leader, 0, newsPatient)
		if err == nil && news.Leader {
			return true
		}
	}
	if answered == 0 {
		l.mu.Lock()
		l.patience.InVain()
		l.mu.Unlock()
	}
	time.Sleep(scoutPause + time.Duration(rand.Int63n(int64(scoutPause))))
	return false
}

// leadAnswer is one core's answer to the question who leads.
type leadAnswer struct {
	inner string
	reply rpc.LeadReply
	err   error
}

// scout looks for a new leader beside the beat, which may be held open by one
// that is gone without a word. It ends when the old one is heard again.
func (l *Link) scout() {
	if !l.scouts.CompareAndSwap(false, true) {
		return
	}
	defer l.scouts.Store(false)
	old := *l.leader.Load()
	begun := l.clock.Now()
	term := l.world.Seen().Term
	for l.clock.Now()-begun < scoutSpan && time.Duration(l.heard.Load()) <= begun {
		if l.seek(old, term) {
			l.core(old).Close()
			return
		}
	}
}

// Alone is the duty that reads the platform's list while there is no leader,
// at a pace the whole fleet together may keep.
func (l *Link) Alone() {
	if l.props.PlatformAddress == "" {
		return
	}
	platform := registry.NewPlatform(l.props.PlatformAddress)
	var due time.Duration
	for alone := false; !l.ended(); {
		time.Sleep(alonePause)
		if l.Led() {
			alone = false
			continue
		}
		scene := l.world.Scene()
		now := l.clock.Now()
		if !alone {
			// All lose a leader in the same moment, so the first reading of each lies
			// anywhere within the pace that all together may keep. Who has no list at
			// all cannot serve and comes sooner.
			spread := l.lonePace(len(scene.Fellows), scene.backends())
			if !scene.Listed {
				spread = min(spread, lonelyFirst)
			}
			alone, due = true, now+time.Duration(rand.Float64()*float64(spread))
		}
		if now < due {
			continue
		}
		walk, pages, err := platform.Walk(100*time.Millisecond, func([]rpc.Server) {})
		if err == nil && !l.Led() {
			l.world.TakeList(walk)
		}
		due = l.clock.Now() + max(l.lonePace(len(scene.Fellows), pages*listPage), time.Second)
	}
}

// lonePace is how often each of so many daemons may read a list of so many
// backends by itself.
func (l *Link) lonePace(fellows, backends int) (pace time.Duration) {
	pages := max(1, (backends+listPage-1)/listPage)
	return time.Duration(float64(2*max(4, fellows)*pages) / max(l.props.PlatformRate, 0.1) * float64(time.Second))
}

// Claim asks the cores for a key, again where a try had no clear outcome: to
// claim twice for one request is the same as once. It waits for a leader no
// longer than patience.
func (l *Link) Claim(claim rpc.KeyClaim, patience, limit time.Duration) (found rpc.ClaimFound) {
	begun := l.clock.Now()
	unclear := false
	for pause := claimPause; ; pause *= 2 {
		found = l.claim(claim, min(claimCall, limit-(l.clock.Now()-begun)))
		switch found.Outcome {
		case rpc.Granted, rpc.Held:
			return found
		case rpc.Unclear:
			unclear = true
		}
		go l.scout()
		spent := l.clock.Now() - begun
		if spent+pause > limit || !unclear && spent+pause > patience {
			break
		}
		time.Sleep(pause)
	}
	if unclear {
		found.Outcome = rpc.Unclear
	}
	return found
}

func (l *Link) claim(claim rpc.KeyClaim, limit time.Duration) (found rpc.ClaimFound) {
	if limit <= 0 || !l.Led() {
		return rpc.ClaimFound{Outcome: rpc.Refused}
	}
	found, taken, answered := l.claims.Ask(claim, limit)
	switch {
	case !taken:
		found.Outcome = rpc.Refused
	case !answered:
		found.Outcome = rpc.Unclear
	}
	return found
}

// Bind asks where a session is bound, again where there was no clear outcome: to
// ask twice is the same as once. It waits no longer than patience for a leader.
func (l *Link) Bind(bind rpc.Bind, patience, limit time.Duration) (found rpc.BindFound) {
	begun := l.clock.Now()
	for pause := claimPause; ; pause *= 2 {
		if wait := min(claimCall, limit-(l.clock.Now()-begun)); wait > 0 && l.Led() {
			found, _, _ = l.binds.Ask(bind, wait)
		}
		if found.Outcome != rpc.BindUnclear {
			return found
		}
		go l.scout()
		if l.clock.Now()-begun+pause > min(patience, limit) {
			return found
		}
		time.Sleep(pause)
	}
}

// Free gives a key back; it is told to the cores until they have it.
func (l *Link) Free(claim rpc.KeyClaim) {
	l.mu.Lock()
	if len(l.frees) < freesHeld {
		l.frees[claim] = true
	}
	l.mu.Unlock()
	select {
	case l.stir <- struct{}{}:
	default:
	}
}

// Claims is the duty that sends claims, Binds the one that asks for bindings.
func (l *Link) Claims() { l.claims.Run(l.Ended) }

// Binds sends what asks where sessions are bound.
func (l *Link) Binds() { l.binds.Run(l.Ended) }

func (l *Link) putClaims(claims []rpc.KeyClaim, left time.Duration) (found []rpc.ClaimFound) {
	ask := rpc.ClaimAsk{Holder: rpc.FellowID(l.props.Name), Life: l.life, Claims: claims, Left: left}
	var reply rpc.ClaimReply
	err := l.core(*l.leader.Load()).Call(rpc.MethodClaim, ask, &reply, 2*claimCall)
	if err == nil && reply.Leader {
		return reply.Found
	}
	found = make([]rpc.ClaimFound, len(claims))
	if err == nil || rpc.Unsent.Has(err) {
		for i := range found {
			found[i].Outcome = rpc.Refused
		}
	}
	return found
}

func (l *Link) putBinds(binds []rpc.Bind, _ time.Duration) (found []rpc.BindFound) {
	var reply rpc.BindReply
	if err := l.core(*l.leader.Load()).Call(rpc.MethodBind, rpc.BindAsk{Binds: binds}, &reply, 2*claimCall); err != nil {
		return nil
	}
	if reply.Term > 0 && reply.Term < l.world.Seen().Term {
		// An older leader's answer came late; a newer one may have bound it anew. A
		// core of an earlier build names no term.
		return nil
	}
	return reply.Found
}

// Frees is the duty that gives keys back, in one call at a time: told again
// with every claim they would bury a leader that is only slow.
func (l *Link) Frees() {
	for {
		select {
		case <-l.stir:
		case <-l.Ended:
			return
		}
		for !l.ended() {
			l.mu.Lock()
			var frees []rpc.KeyClaim
			for claim := range l.frees {
				if frees = append(frees, claim); len(frees) == freesMost {
					break
				}
			}
			l.mu.Unlock()
			if len(frees) == 0 {
				break
			}
			ask := rpc.ClaimAsk{Holder: rpc.FellowID(l.props.Name), Life: l.life, Frees: frees}
			var reply rpc.ClaimReply
			err := l.core(*l.leader.Load()).Call(rpc.MethodClaim, ask, &reply, time.Second)
			if err != nil || !reply.Leader || !reply.Freed {
				time.Sleep(freesPause)
				continue
			}
			l.mu.Lock()
			for _, claim := range frees {
				delete(l.frees, claim)
			}
			l.mu.Unlock()
		}
	}
}

// Recall asks the holder of a key how the operation stands.
func (l *Link) Recall(found rpc.ClaimFound, key string) (reply rpc.RecallReply) {
	if found.Inner == "" {
		return reply
	}
	ask := rpc.RecallAsk{Key: key, Request: found.Request, Life: found.Life}
	if err := l.caller(found.Inner).Call(rpc.MethodStoredResponse, ask, &reply, 600*time.Millisecond); err != nil {
		return rpc.RecallReply{Standing: rpc.Lost}
	}
	return l.Fetch(reply, key, found.Request)
}

// Fetch gets an answer that was moved from the fellow that keeps it.
func (l *Link) Fetch(reply rpc.RecallReply, key, request string) (fetched rpc.RecallReply) {
	if reply.Standing != rpc.Moved {
		return reply
	}
	if err := l.caller(reply.Inner).Call(rpc.MethodMovedResponse, rpc.RecallAsk{Key: key, Request: request}, &fetched, 600*time.Millisecond); err != nil {
		return rpc.RecallReply{Standing: rpc.Lost}
	}
	return fetched
}

// Keep hands an answer to a fellow that may keep it.
func (l *Link) Keep(inner string, ask rpc.KeepAsk) (kept bool) {
	var reply rpc.KeepReply
	err := l.caller(inner).Call(rpc.MethodStoreResponse, ask, &reply, time.Second)
	return err == nil && reply.Kept
}

// Report brings an owner's findings to the state cache.
func (l *Link) Report(ask rpc.ReportAsk) (taken bool) {
	if !l.Led() {
		return false
	}
	var reply rpc.ReportReply
	err := l.core(*l.leader.Load()).Call(rpc.MethodHealthReport, ask, &reply, 500*time.Millisecond)
	return err == nil && reply.Leader && reply.Taken
}
