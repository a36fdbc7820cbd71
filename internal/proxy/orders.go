// Orders is a daemon's side of retiring and of the day's plan: what is agreed
// comes with the news and is kept here for the request path, which asks it only
// about backends under an order and hosts or services under a plan. Where no
// leader is heard, the fellows are asked, since some of them may know more.
package proxy

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/config"
	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

const (
	fleetMemory  = 2 * time.Minute
	lonelyCall   = 300 * time.Millisecond
	lonelyAtOnce = 16
	lonelyTurn   = 250 * time.Millisecond
)

type metFellow struct {
	rpc.Fellow
	at time.Duration
}

// Moves is the plan's step in force, by host and by service.
type Moves struct {
	Hosts    map[string]schedule.Weights
	Services map[rpc.ServiceName]schedule.Weights
}

// Orders of one daemon.
type Orders struct {
	mu     sync.Mutex
	policy *drain.Policy
	permit *drain.Permit
	agreed map[rpc.ServerID]rpc.Retirement
	kinds  map[policy.Kind]policy.Document
	move   rpc.Move
	moves  atomic.Pointer[Moves]
	spills atomic.Pointer[map[rpc.ServiceName]rpc.Spill]
	fleet  map[rpc.FellowID]metFellow
	// Retries keeps the written limit on retries.
	Retries *retry.Limiter
	// Sessions keeps callers where they began.
	Sessions *Sessions
	cutOff   atomic.Bool
	any      atomic.Bool
}

// NewOrders follows nothing yet.
func NewOrders(now time.Duration) (orders *Orders) {
	orders = &Orders{permit: drain.NewPermit(now), agreed: map[rpc.ServerID]rpc.Retirement{}, kinds: map[policy.Kind]policy.Document{}, fleet: map[rpc.FellowID]metFellow{}, Sessions: NewSessions()}
	orders.moves.Store(&Moves{})
	orders.spills.Store(&map[rpc.ServiceName]rpc.Spill{})
	return orders
}

// take takes news that were asked for at a time.
func (o *Orders) take(now, asked time.Duration, news *rpc.News, memory *history.Chronicle, quiet bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.permit.Led(asked)
	o.Retries.Touch(asked)
	spills := make(map[rpc.ServiceName]rpc.Spill, len(news.Spills))
	for _, spill := range news.Spills {
		spills[spill.Service] = spill
	}
	o.spills.Store(&spills)
	for _, change := range news.Fellows {
		if !change.Gone {
			o.fleet[change.ID] = metFellow{change.Fellow, now}
		}
	}
	for _, document := range news.Documents {
		if old := o.kinds[document.Kind]; document.Rev <= old.Rev {
			continue
		}
		o.kinds[document.Kind] = document
		memory.Note(history.Document, string(document.Kind), "applied", document.Stamp(), document.Rev, quiet)
		if document.Kind == policy.DrainPolicy {
			o.policy = nil
			if document.InForce() {
				o.policy, _ = drain.Read([]byte(document.Body))
			}
			o.permit.Policy(o.policy)
		}
		if document.Kind == policy.SessionAffinity {
			var drainPolicy *affinity.Policy
			if document.InForce() {
				drainPolicy, _ = affinity.Read([]byte(document.Body))
			}
			o.Sessions.Set(drainPolicy)
		}
		if document.Kind == policy.RetryLimit {
			var limit *retry.Policy
			if document.InForce() {
				limit, _ = retry.Read([]byte(document.Body))
			}
			o.Retries.Set(limit)
		}
	}
	o.follow(now, news.Retired, memory, quiet)
	if move := news.Move; move != nil && move.Rev > o.move.Rev {
		o.move = *move
		memory.Note(history.Move, string(policy.DayPlan), "applied", move.Stamp(), move.Rev, quiet)
		o.moves.Store(movesOf(*move))
	}
}

// follow takes agreed orders to retire; the caller holds the lock.
func (o *Orders) follow(now time.Duration, retired []rpc.Retirement, memory *history.Chronicle, quiet bool) {
	for _, order := range retired {
		if order.Rev <= o.agreed[order.Server].Rev {
			continue
		}
		o.agreed[order.Server] = order
		o.permit.Take(now, order)
		o.any.Store(true)
		memory.Note(history.Retirement, string(order.Server), "applied", order.Stamp(), order.Rev, quiet)
	}
}

func movesOf(move rpc.Move) (moves *Moves) {
	moves = &Moves{Hosts: map[string]schedule.Weights{}, Services: map[rpc.ServiceName]schedule.Weights{}}
	for _, target := range move.Targets {
		weights := schedule.Weights{}
		for _, part := range target.Weights {
			weights[part.Region] = part.Weight
		}
		if target.Host != "" {
			moves.Hosts[config.PlainHost(target.Host)] = weights
		} else {
			moves.Services[target.Service] = weights
		}
	}
	return moves
}

// Sends tells whether a new caller may be sent to a backend.
func (o *Orders) Sends(now time.Duration, server rpc.ServerID) (sends bool) {
	if !o.any.Load() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.permit.Sends(now, server)
}

// Keeps tells whether a session that is there may stay on a backend: one that
// was retired keeps its sessions as long as the policy lets requests finish.
func (o *Orders) Keeps(now time.Duration, server rpc.ServerID, service rpc.ServiceName) (keeps bool) {
	if !o.any.Load() {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.permit.Sends(now, server) || o.permit.Finishing(now, server, time.Duration(o.policy.For(service).Finish))
}

// CutOff tells that nothing new may be taken.
func (o *Orders) CutOff() bool { return o.cutOff.Load() }

// Known counts the fellows met lately.
func (o *Orders) Known(now time.Duration) (known int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, met := range o.fleet {
		if now-met.at > fleetMemory {
			delete(o.fleet, id)
		}
	}
	return len(o.fleet)
}

// stay keeps fellows that still stand from being forgotten.
func (o *Orders) stay(now time.Duration, fellows map[rpc.FellowID]rpc.Fellow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, fellow := range fellows {
		o.fleet[id] = metFellow{fellow, now}
	}
}

// Weights gives the plan's weights for a request, nil where there are none.
func (o *Orders) Weights(host string, service rpc.ServiceName) (weights schedule.Weights) {
	moves := o.moves.Load()
	if len(moves.Hosts) > 0 {
		if weights = moves.Hosts[config.PlainHost(host)]; weights != nil {
			return weights
		}
	}
	return moves.Services[service]
}

// Away draws the site that a request should be sent to, empty for one's own.
func (o *Orders) Away(service rpc.ServiceName) (site rpc.SiteName) {
	spills := *o.spills.Load()
	if len(spills) == 0 {
		return ""
	}
	at := rand.Intn(1000)
	for _, to := range spills[service].To {
		if at -= to.Weight; at < 0 {
			return to.Site
		}
	}
	return ""
}

// planned tells that a plan is in force.
func (o *Orders) planned() bool {
	moves := o.moves.Load()
	return len(moves.Hosts)+len(moves.Services) > 0
}

// Retired lists the orders this daemon follows, for a fellow that asks.
func (o *Orders) Retired() (retired []rpc.Retirement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range o.agreed {
		retired = append(retired, order)
	}
	return retired
}

// stands tells how an order stands on this daemon.
func (o *Orders) stands(kind, name string) (stamp string, rev uint64, has bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch kind {
	case history.Document:
		document, known := o.kinds[policy.Kind(name)]
		return document.Stamp(), document.Rev, known
	case history.Retirement:
		retired, known := o.agreed[rpc.ServerID(name)]
		return retired.Stamp(), retired.Rev, known
	}
	return o.move.Stamp(), o.move.Rev, o.move.Rev > 0
}

// attend is the duty that keeps to the policy by time: it asks fellows where
// no leader is heard, notes when the daemon is cut off, and ends requests that
// have had their time at a backend that was stopped.
func (d *Daemon) attend() {
	ticker := time.NewTicker(lonelyTurn)
	defer ticker.Stop()
	for asked := time.Duration(0); ; {
		select {
		case <-ticker.C:
		case <-d.link.Ended:
			return
		}
		now := d.clock.Now()
		o := d.world.Orders
		o.mu.Lock()
		lonely, sessionPolicy := o.permit.Lonely(now), o.policy
		over := o.permit.Over(now, func(service rpc.ServiceName) time.Duration {
			return time.Duration(sessionPolicy.For(service).Finish)
		})
		o.mu.Unlock()
		for _, retired := range over {
			d.world.end(retired.Server, sessionPolicy.For(retired.Service).Keyed == drain.KeyedDeadline)
		}
		if sessionPolicy == nil {
			o.cutOff.Store(false)
			continue
		}
		if lonely && now-asked > time.Duration(sessionPolicy.LostTouch)/4 {
			asked = now
			d.askFellows(now)
		}
		o.mu.Lock()
		cut := o.permit.CutOff(d.clock.Now())
		o.mu.Unlock()
		if o.cutOff.Swap(cut) != cut {
			d.log.Emit(eventlog.IsolationChanged, "isolated", cut)
		}
	}
}

// askFellows asks all fellows what they follow; more than half of the fleet,
// this daemon counted, must answer for it to have heard them.
func (d *Daemon) askFellows(now time.Duration) {
	o := d.world.Orders
	o.mu.Lock()
	var inners []string
	for id, met := range o.fleet {
		if string(id) != d.props.Name {
			inners = append(inners, met.Inner)
		}
	}
	o.mu.Unlock()
	var asked sync.WaitGroup
	var answers atomic.Int64
	places := make(chan struct{}, lonelyAtOnce)
	for _, inner := range inners {
		asked.Add(1)
		places <- struct{}{}
		go func() {
			defer func() { <-places; asked.Done() }()
			var reply rpc.OrdersReply
			if err := d.link.caller(inner).Call(rpc.MethodRetirements, rpc.OrdersAsk{From: rpc.FellowID(d.props.Name)}, &reply, lonelyCall); err != nil {
				return
			}
			answers.Add(1)
			o.mu.Lock()
			o.follow(d.clock.Now(), reply.Retired, d.world.Chronicle, true)
			o.mu.Unlock()
		}()
	}
	asked.Wait()
	if 2*(int(answers.Load())+1) > len(inners)+1 {
		o.mu.Lock()
		o.permit.Heard(now)
		o.mu.Unlock()
	}
}

// Orders tells a fellow what this daemon follows.
func (k *Desk) Orders(_ rpc.OrdersAsk, reply *rpc.OrdersReply) (err error) {
	reply.Retired = k.daemon.world.Orders.Retired()
	return nil
}
