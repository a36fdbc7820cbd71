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
	proposeTimeout = 800 * time.Millisecond
	// rememberNode is how long a fellow that is not heard any more counts when
	// it is asked whether more than half follow.
	rememberNode = 2 * time.Minute
)

type follower struct {
	revision  uint64
	lastHeard time.Duration
}

// policies is what the leader holds of both.
type policies struct {
	drainPolicy    *drain.Policy
	dayPlan        *schedule.Plan
	retryLimit     *retry.Policy
	retryRevision  uint64
	retired        map[rpc.ServerID]rpc.Retirement
	move           rpc.Move
	drainTracker   *drain.Desk
	stepper        *schedule.Stepper
	followerByNode map[rpc.FellowID]follower
	knownNodes     int
	loadByNode     map[rpc.FellowID][]rpc.Burden
	proposing      bool
	retirements    []drain.Account
	targets        []schedule.Account
	wallClock      func() time.Time
	loggedStatus   map[string]string
}

func newPolicies() (o policies) {
	return policies{
		retired: map[rpc.ServerID]rpc.Retirement{}, drainTracker: drain.NewDesk(), stepper: &schedule.Stepper{},
		followerByNode: map[rpc.FellowID]follower{}, loadByNode: map[rpc.FellowID][]rpc.Burden{}, wallClock: time.Now, loggedStatus: map[string]string{},
	}
}

// load reads what is agreed; the caller holds the forum's lock.
func (p *policies) load(state *raft.State) {
	p.drainPolicy, p.dayPlan, p.retryLimit = nil, nil, nil
	if document := state.Documents[policy.RetryLimit]; document.InForce() {
		p.retryLimit, _ = retry.Read([]byte(document.Body))
		p.retryRevision = document.Rev
	}
	if document := state.Documents[policy.DrainPolicy]; document.InForce() {
		p.drainPolicy, _ = drain.Read([]byte(document.Body))
	}
	if document := state.Documents[policy.DayPlan]; document.InForce() {
		p.dayPlan, _ = schedule.Read([]byte(document.Body))
	}
	p.retired = make(map[rpc.ServerID]rpc.Retirement, len(state.Retired))
	for id, retired := range state.Retired {
		p.retired[id] = retired
	}
	p.move = state.Move
}

// observeHeartbeat notes how far a fellow follows, by its own beat.
func (p *policies) observeHeartbeat(now time.Duration, request rpc.BeatAsk) {
	rev := request.Rev
	if request.ItemAt != rpc.AllItems && rev > 0 {
		rev--
	}
	p.followerByNode[request.ID] = follower{rev, now}
	p.knownNodes = max(p.knownNodes, request.Known)
	if request.Stopping {
		delete(p.followerByNode, request.ID)
	}
	if len(request.Burdens) > 0 || p.loadByNode[request.ID] != nil {
		p.loadByNode[request.ID] = request.Burdens
	}
}

// followers lists the fellows that count; the caller holds the lock.
func (c *Coordinator) followers(now time.Duration) (followers []drain.Follower) {
	for id, held := range c.policies.followerByNode {
		if now-held.lastHeard > rememberNode {
			delete(c.policies.followerByNode, id)
			delete(c.policies.loadByNode, id)
			continue
		}
		followers = append(followers, drain.Follower{ID: id, Rev: held.revision, Here: c.nodes.Here(id)})
	}
	// What older leaders knew of and this one has not heard yet.
	for len(followers) < c.policies.knownNodes && now < rememberNode {
		followers = append(followers, drain.Follower{ID: rpc.FellowID(fmt.Sprint("not heard yet ", len(followers)))})
	}
	return followers
}

// stockOf counts a service's backends.
func (c *Coordinator) stockOf(service rpc.ServiceName) (stock drain.Stock) {
	c.eachBackend(service, func(_ rpc.Server, useful bool) {
		stock.Listed++
		if useful {
			stock.Useful++
		}
	})
	return stock
}

func (c *Coordinator) eachBackend(service rpc.ServiceName, visit func(server rpc.Server, useful bool)) {
	c.endpoints.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
		if server.Service != service {
			return
		}
		state, _ := c.health.States.Get(id)
		retired := c.policies.retired[id]
		visit(server, !server.Draining && state.Health != rpc.Down && !(retired.Stopped > 0 && !retired.Gone))
	})
}

// regionState is what a plan's target has in each region.
func (c *Coordinator) regionState(target schedule.Target) (state schedule.State) {
	state.Stock = map[rpc.RegionName]schedule.Stock{}
	services := []rpc.ServiceName{target.Service}
	if target.Host != "" {
		services = nil
		for _, named := range c.view.ServicesOf(target.Host) {
			services = append(services, rpc.ServiceName(named))
		}
	}
	for _, service := range services {
		c.eachBackend(service, func(server rpc.Server, useful bool) {
			region := rpc.RegionName(c.settings.Regions[string(server.Site)])
			stock := state.Stock[region]
			stock.Listed++
			if useful && !c.evacuatedZones[server.Site] {
				stock.Useful++
				stock.Slots += max(1, server.Slots)
			}
			state.Stock[region] = stock
		})
		for _, burdens := range c.policies.loadByNode {
			for _, burden := range burdens {
				if burden.Service == service {
					state.AtWork += burden.AtWork
				}
			}
		}
	}
	for site := range c.evacuatedZones {
		region := rpc.RegionName(c.settings.Regions[string(site)])
		stock := state.Stock[region]
		stock.Evacuated = stock.Useful == 0
		state.Stock[region] = stock
	}
	return state
}

// reconcilePolicies looks at both and commits what they ask for; the caller holds the lock.
func (c *Coordinator) reconcilePolicies(now time.Duration) {
	o := &c.policies
	var commands []raft.Command
	if len(o.retired) > 0 {
		list := make([]rpc.Retirement, 0, len(o.retired))
		for id, retired := range o.retired {
			if _, listed := c.endpoints.Servers.Get(id); !retired.Gone && !listed && c.endpoints.Walked {
				commands = append(commands, raft.Command{Kind: raft.CommandRestore, Site: string(id)})
			}
			list = append(list, retired)
		}
		var stops []rpc.ServerID
		stops, o.retirements = o.drainTracker.Step(now, o.drainPolicy, list, c.followers(now), c.stockOf)
		for _, id := range stops {
			commands = append(commands, raft.Command{Kind: raft.CommandStop, Site: string(id)})
		}
		for _, status := range o.retirements {
			c.logStatusChange(eventlog.RetireStands, status.Server, string(status.Phase), "why", status.Why)
		}
	} else {
		o.retirements = nil
	}
	if o.drainPolicy != nil {
		c.endpoints.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
			if _, ordered := o.retired[id]; server.Draining && !ordered {
				commands = append(commands, raft.Command{Kind: raft.CommandRetire, Site: string(id), Body: []byte(server.Service), Claim: raft.Claim{Holder: drain.ByPlatform}})
			}
		})
	}
	var move *rpc.Move
	o.targets = nil
	if o.dayPlan != nil && c.endpoints.Walked {
		move, o.targets = o.stepper.Step(now, o.wallClock(), o.dayPlan, o.move, c.regionState)
		if move != nil {
			body, err := json.Marshal(move)
			if err == nil {
				commands = append(commands, raft.Command{Kind: raft.CommandMove, Body: body})
			}
		}
		for _, status := range o.targets {
			c.logStatusChange(eventlog.MoveStands, status.Target, status.Waiting, "wanted", status.Wanted)
		}
	}
	if len(commands) == 0 || o.proposing {
		return
	}
	o.proposing = true
	go func() {
		answers := c.node.Wishes(commands, proposeTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.policies.proposing = false
		last := len(commands) - 1
		if move != nil && answers[last].Clear && answers[last].Result.Problem == "" {
			c.policies.stepper.Committed(c.now())
		}
	}()
}

// logStatusChange logs how an order stands, once for each change.
func (c *Coordinator) logStatusChange(event eventlog.Event, subject, stands string, pairs ...any) {
	key := fmt.Sprint(int(event), subject)
	if c.policies.loggedStatus[key] == stands {
		return
	}
	if len(c.policies.loggedStatus) > 4096 {
		c.policies.loggedStatus = map[string]string{}
	}
	c.policies.loggedStatus[key] = stands
	c.log.Say(event, append([]any{"subject", subject, "stands", stands}, pairs...)...)
}

// EndpointsComplete tells that the platform's list is known whole.
func (c *Coordinator) EndpointsComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.Walked
}

// ValidateRetirement tells why a backend that is not retired may not be, and whether it
// is on the list.
func (c *Coordinator) ValidateRetirement(id rpc.ServerID) (service rpc.ServiceName, listed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server, listed := c.endpoints.Servers.Get(id)
	if !listed {
		return "", false, policy.Class.New("backend %q is not on the platform's list", id)
	}
	if stock := c.stockOf(server.Service); stock.Useful <= 1 {
		return "", true, policy.Class.New("backend %q is the last of service %q that is of use", id, server.Service)
	}
	return server.Service, true, nil
}

// ValidateSchedule tells what regions a plan names that no site is in.
func (c *Coordinator) ValidateSchedule(body []byte) (err error) {
	plan, err := schedule.Read(body)
	if err != nil {
		return err
	}
	known := map[rpc.RegionName]bool{}
	for _, region := range c.settings.Regions {
		known[rpc.RegionName(region)] = true
	}
	return plan.Check(func(string) bool { return true }, func(region rpc.RegionName) bool { return known[region] })
}

// RetirementStatus gives the standing of each order to retire.
func (c *Coordinator) RetirementStatus() (statuses []drain.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]drain.Account{}, c.policies.retirements...)
}

// ScheduleStatus gives the standing of each target of the plan.
func (c *Coordinator) ScheduleStatus() (statuses []schedule.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]schedule.Account{}, c.policies.targets...)
}

// balanceZones reckons what sites should send to each other.
func (c *Coordinator) balanceZones(now time.Duration) {
	atWork, slots := map[healthcheck.Place]float64{}, map[healthcheck.Place]float64{}
	for id, burdens := range c.policies.loadByNode {
		node, known := c.nodes.Fellows.Get(id)
		if !known || !c.nodes.Here(id) {
			continue
		}
		for _, burden := range burdens {
			if burden.AtWork > 0 {
				atWork[healthcheck.Place{Service: burden.Service, Site: node.Site}] += float64(burden.AtWork)
			}
		}
	}
	c.endpoints.Servers.Each(func(id rpc.ServerID, server rpc.Server) {
		place := healthcheck.Place{Service: server.Service, Site: server.Site}
		state, _ := c.health.States.Get(id)
		retired := c.policies.retired[id]
		if server.Draining || c.evacuatedZones[server.Site] || state.Health == rpc.Down || state.Aside != "" || c.health.ColdUntil(id) > now || retired.Stopped > 0 && !retired.Gone {
			slots[place] += 0
			return
		}
		slots[place] += float64(max(1, server.Slots))
	})
	c.zoneBalance.Turn(now, atWork, slots, func(site rpc.SiteName) string { return c.settings.Regions[string(site)] })
}
