// Orders is the part of the leader's desk that carries the drain policy and
// the day's plan on: it gives their state machines what they look at, commits
// the epochs that they ask for, one call at a time, and keeps the accounts for
// operators. What is agreed reaches the fellows with the news, and their next
// beats are the proof that they follow it.
package coordinator

import (
	"encoding/json"
	"fmt"
	"time"

	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/policy"
	"tinpin/internal/raft"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

const (
	orderPatience = 800 * time.Millisecond
	// rememberFellow is how long a fellow that is not heard any more counts when
	// it is asked whether more than half follow.
	rememberFellow = 2 * time.Minute
)

type followed struct {
	rev   uint64
	heard time.Duration
}

// orders is what the leader holds of both.
type orders struct {
	policy   *drain.Policy
	plan     *schedule.Plan
	retries  *retry.Policy
	retryRev uint64
	retired  map[rpc.ServerID]rpc.Retirement
	move     rpc.Move
	desk     *drain.Desk
	stepper  *schedule.Stepper
	follows  map[rpc.FellowID]followed
	fleet    int
	burdens  map[rpc.FellowID][]rpc.Burden
	busy     bool
	retiring []drain.Account
	moving   []schedule.Account
	wall     func() time.Time
	said     map[string]string
}

func newOrders() (o orders) {
	return orders{
		retired: map[rpc.ServerID]rpc.Retirement{}, desk: drain.NewDesk(), stepper: &schedule.Stepper{},
		follows: map[rpc.FellowID]followed{}, burdens: map[rpc.FellowID][]rpc.Burden{}, wall: time.Now, said: map[string]string{},
	}
}

// take reads what is agreed; the caller holds the forum's lock.
func (o *orders) take(state *raft.State) {
	o.policy, o.plan, o.retries = nil, nil, nil
	if document := state.Documents[policy.RetryLimit]; document.InForce() {
		o.retries, _ = retry.Read([]byte(document.Body))
		o.retryRev = document.Rev
	}
	if document := state.Documents[policy.DrainPolicy]; document.InForce() {
		o.policy, _ = drain.Read([]byte(document.Body))
	}
	if document := state.Documents[policy.DayPlan]; document.InForce() {
		o.plan, _ = schedule.Read([]byte(document.Body))
	}
	o.retired = make(map[rpc.ServerID]rpc.Retirement, len(state.Retired))
	for id, retired := range state.Retired {
		o.retired[id] = retired
	}
	o.move = state.Move
}

// heard notes how far a fellow follows, by its own beat.
func (o *orders) heard(now time.Duration, ask rpc.BeatAsk) {
	rev := ask.Rev
	if ask.ItemAt != rpc.AllItems && rev > 0 {
		rev--
	}
	o.follows[ask.ID] = followed{rev, now}
	o.fleet = max(o.fleet, ask.Known)
	if ask.Stopping {
		delete(o.follows, ask.ID)
	}
	if len(ask.Burdens) > 0 || o.burdens[ask.ID] != nil {
		o.burdens[ask.ID] = ask.Burdens
	}
}

// followers lists the fellows that count; the caller holds the lock.
func (f *Coordinator) followers(now time.Duration) (followers []drain.Follower) {
	for id, held := range f.orders.follows {
		if now-held.heard > rememberFellow {
			delete(f.orders.follows, id)
			delete(f.orders.burdens, id)
			continue
		}
		followers = append(followers, drain.Follower{ID: id, Rev: held.rev, Here: f.roll.Here(id)})
	}
	// What older leaders knew of and this one has not heard yet.
	for len(followers) < f.orders.fleet && now < rememberFellow {
		followers = append(followers, drain.Follower{ID: rpc.FellowID(fmt.Sprint("not heard yet ", len(followers)))})
	}
	return followers
}

// stock counts a service's backends.
func (f *Coordinator) stock(service rpc.ServiceName) (stock drain.Stock) {
	f.eachBackend(service, func(_ rpc.Server, useful bool) {
		stock.Listed++
		if useful {
			stock.Useful++
		}
	})
	return stock
}

func (f *Coordinator) eachBackend(service rpc.ServiceName, visit func(server rpc.Server, useful bool)) {
	f.list.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
		if server.Service != service {
			return
		}
		state, _ := f.cache.States.Get(id)
		retired := f.orders.retired[id]
		visit(server, !server.Draining && state.Health != rpc.Down && !(retired.Stopped > 0 && !retired.Gone))
	})
}

// regions is what a plan's target has in each region.
func (f *Coordinator) regions(target schedule.Target) (state schedule.State) {
	state.Stock = map[rpc.RegionName]schedule.Stock{}
	services := []rpc.ServiceName{target.Service}
	if target.Host != "" {
		services = nil
		for _, named := range f.view.ServicesOf(target.Host) {
			services = append(services, rpc.ServiceName(named))
		}
	}
	for _, service := range services {
		f.eachBackend(service, func(server rpc.Server, useful bool) {
			region := rpc.RegionName(f.props.ZoneRegions[string(server.Site)])
			stock := state.Stock[region]
			stock.Listed++
			if useful && !f.sites[server.Site] {
				stock.Useful++
				stock.Slots += max(1, server.Slots)
			}
			state.Stock[region] = stock
		})
		for _, burdens := range f.orders.burdens {
			for _, burden := range burdens {
				if burden.Service == service {
					state.AtWork += burden.AtWork
				}
			}
		}
	}
	for site := range f.sites {
		region := rpc.RegionName(f.props.ZoneRegions[string(site)])
		stock := state.Stock[region]
		stock.Evacuated = stock.Useful == 0
		state.Stock[region] = stock
	}
	return state
}

// carryOn looks at both and commits what they ask for; the caller holds the lock.
func (f *Coordinator) carryOn(now time.Duration) {
	o := &f.orders
	var commands []raft.Command
	if len(o.retired) > 0 {
		list := make([]rpc.Retirement, 0, len(o.retired))
		for id, retired := range o.retired {
			if _, listed := f.list.Servers.Get(id); !retired.Gone && !listed && f.list.Walked {
				commands = append(commands, raft.Command{Kind: raft.CommandRestore, Site: string(id)})
			}
			list = append(list, retired)
		}
		var stops []rpc.ServerID
		stops, o.retiring = o.desk.Step(now, o.policy, list, f.followers(now), f.stock)
		for _, id := range stops {
			commands = append(commands, raft.Command{Kind: raft.CommandStop, Site: string(id)})
		}
		for _, account := range o.retiring {
			f.say(eventlog.RetirementProgress, account.Server, string(account.Phase), "why", account.Why)
		}
	} else {
		o.retiring = nil
	}
	if o.policy != nil {
		f.list.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
			if _, ordered := o.retired[id]; server.Draining && !ordered {
				commands = append(commands, raft.Command{Kind: raft.CommandRetire, Site: string(id), Body: []byte(server.Service), Claim: raft.Claim{Holder: drain.ByPlatform}})
			}
		})
	}
	var move *rpc.Move
	o.moving = nil
	if o.plan != nil && f.list.Walked {
		move, o.moving = o.stepper.Step(now, o.wall(), o.plan, o.move, f.regions)
		if move != nil {
			body, err := json.Marshal(move)
			if err == nil {
				commands = append(commands, raft.Command{Kind: raft.CommandMove, Body: body})
			}
		}
		for _, account := range o.moving {
			f.say(eventlog.ScheduleProgress, account.Target, account.Waiting, "wanted", account.Wanted)
		}
	}
	if len(commands) == 0 || o.busy {
		return
	}
	o.busy = true
	go func() {
		answers := f.node.Wishes(commands, orderPatience)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.orders.busy = false
		last := len(commands) - 1
		if move != nil && answers[last].Clear && answers[last].Result.Problem == "" {
			f.orders.stepper.Committed(f.now())
		}
	}()
}

// say logs how an order stands, once for each change.
func (f *Coordinator) say(event eventlog.Event, subject, stands string, pairs ...any) {
	key := fmt.Sprint(int(event), subject)
	if f.orders.said[key] == stands {
		return
	}
	if len(f.orders.said) > 4096 {
		f.orders.said = map[string]string{}
	}
	f.orders.said[key] = stands
	f.log.Emit(event, append([]any{"subject", subject, "stands", stands}, pairs...)...)
}

// EndpointsComplete tells that the platform's list is known whole.
func (f *Coordinator) EndpointsComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Walked
}

// ValidateRetirement tells why a backend that is not retired may not be, and whether it
// is on the list.
func (f *Coordinator) ValidateRetirement(id rpc.ServerID) (service rpc.ServiceName, listed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server, listed := f.list.Servers.Get(id)
	if !listed {
		return "", false, policy.Class.New("backend %q is not on the platform's list", id)
	}
	if stock := f.stock(server.Service); stock.Useful <= 1 {
		return "", true, policy.Class.New("backend %q is the last of service %q that is of use", id, server.Service)
	}
	return server.Service, true, nil
}

// ValidateSchedule tells what regions a plan names that no site is in.
func (f *Coordinator) ValidateSchedule(body []byte) (err error) {
	plan, err := schedule.Read(body)
	if err != nil {
		return err
	}
	known := map[rpc.RegionName]bool{}
	for _, region := range f.props.ZoneRegions {
		known[rpc.RegionName(region)] = true
	}
	return plan.Check(func(string) bool { return true }, func(region rpc.RegionName) bool { return known[region] })
}

// RetirementStatus gives the standing of each order to retire.
func (f *Coordinator) RetirementStatus() (accounts []drain.Account) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]drain.Account{}, f.orders.retiring...)
}

// ScheduleStatus gives the standing of each target of the plan.
func (f *Coordinator) ScheduleStatus() (accounts []schedule.Account) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]schedule.Account{}, f.orders.moving...)
}

// level reckons what sites should send to each other.
func (f *Coordinator) level(now time.Duration) {
	atWork, slots := map[healthcheck.Place]float64{}, map[healthcheck.Place]float64{}
	for id, burdens := range f.orders.burdens {
		fellow, known := f.roll.Fellows.Get(id)
		if !known || !f.roll.Here(id) {
			continue
		}
		for _, burden := range burdens {
			if burden.AtWork > 0 {
				atWork[healthcheck.Place{Service: burden.Service, Site: fellow.Site}] += float64(burden.AtWork)
			}
		}
	}
	f.list.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
		place := healthcheck.Place{Service: server.Service, Site: server.Site}
		state, _ := f.cache.States.Get(id)
		retired := f.orders.retired[id]
		if server.Draining || f.sites[server.Site] || state.Health == rpc.Down || state.Aside != "" || f.cache.ColdUntil(id) > now || retired.Stopped > 0 && !retired.Gone {
			slots[place] += 0
			return
		}
		slots[place] += float64(max(1, server.Slots))
	})
	f.balance.Turn(now, atWork, slots, func(site rpc.SiteName) string { return f.props.ZoneRegions[string(site)] })
}
