package coordinator

import (
	"encoding/json"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
	"tinpin/internal/statemachine"
)

// scheduleState is what the leader holds of the day's plan.
type scheduleState struct {
	// plan is nil where none is in force, step the last agreed change of weights.
	plan     *schedule.Plan
	step     rpc.ScheduleStep
	stepper  *schedule.Stepper
	statuses []schedule.TargetStatus
	// wallClock tells the time of day.
	wallClock func() time.Time
}

func newScheduleState() (s scheduleState) {
	return scheduleState{stepper: &schedule.Stepper{}, wallClock: time.Now}
}

func (s *scheduleState) load(state *statemachine.State) {
	s.plan = nil
	if document := state.Documents[policy.DayPlan]; document.Active() {
		s.plan, _ = schedule.Parse([]byte(document.Body))
	}
	s.step = state.ScheduleStep
}

// stepSchedule gives the command for the next step of the plan, if one is due;
// the caller holds mu.
func (c *Coordinator) stepSchedule(now time.Duration) (command statemachine.Command, due bool) {
	s := &c.policies.schedule
	s.statuses = nil
	if s.plan == nil || !c.endpoints.Complete {
		return command, false
	}
	var next *rpc.ScheduleStep
	next, s.statuses = s.stepper.Step(now, s.wallClock(), s.plan, s.step, c.targetState)
	for _, status := range s.statuses {
		c.policies.logged.record(c.log, eventlog.ScheduleProgress, status.Target, status.Waiting,
			"wanted", status.Wanted)
	}
	if next == nil {
		return command, false
	}
	body, err := json.Marshal(next)
	if err != nil {
		return command, false
	}
	return statemachine.Command{Kind: statemachine.CommandScheduleStep, Body: body}, true
}

// targetState is what a target of the plan has in each region.
func (c *Coordinator) targetState(target schedule.Target) (state schedule.TargetState) {
	state.Capacity = map[rpc.RegionName]schedule.RegionCapacity{}
	services := []rpc.ServiceName{target.Service}
	if target.Host != "" {
		services = nil
		for _, named := range c.routingTable.ServicesOf(target.Host) {
			services = append(services, rpc.ServiceName(named))
		}
	}
	for _, service := range services {
		c.addStock(service, &state)
		for _, loads := range c.followers.loadByNode {
			for _, load := range loads {
				if load.Service == service {
					state.InFlight += load.InFlight
				}
			}
		}
	}
	for zone := range c.evacuatedZones {
		region := c.regionOf(zone)
		stock := state.Capacity[region]
		stock.Evacuated = stock.Usable == 0
		state.Capacity[region] = stock
	}
	return state
}

// addStock adds the backends of a service to those of their regions.
func (c *Coordinator) addStock(service rpc.ServiceName, state *schedule.TargetState) {
	c.eachBackend(service, func(endpoint rpc.Endpoint, useful bool) {
		region := c.regionOf(endpoint.Zone)
		stock := state.Capacity[region]
		stock.Listed++
		if useful && !c.evacuatedZones[endpoint.Zone] {
			stock.Usable++
			stock.Slots += max(1, endpoint.Slots)
		}
		state.Capacity[region] = stock
	})
}

func (c *Coordinator) regionOf(zone rpc.ZoneName) (region rpc.RegionName) {
	return rpc.RegionName(c.settings.ZoneRegions[string(zone)])
}

// ValidateSchedule tells whether a plan can be read and names only regions that
// some zone is in.
func (c *Coordinator) ValidateSchedule(body []byte) (err error) {
	plan, err := schedule.Parse(body)
	if err != nil {
		return err
	}
	known := map[rpc.RegionName]bool{}
	for _, region := range c.settings.ZoneRegions {
		known[rpc.RegionName(region)] = true
	}
	return plan.Check(func(string) bool { return true }, func(region rpc.RegionName) bool { return known[region] })
}

// ScheduleStatus gives how each target of the plan stands.
func (c *Coordinator) ScheduleStatus() (statuses []schedule.TargetStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]schedule.TargetStatus{}, c.policies.schedule.statuses...)
}
