package coordinator

import (
	"errors"
	"fmt"
	"time"

	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

// drainState is what the leader holds of the drain policy and of retirements.
type drainState struct {
	// policy is nil where none is in force.
	policy   *drain.Policy
	retired  map[rpc.EndpointID]rpc.Retirement
	planner  *drain.Planner
	statuses []drain.RetirementStatus
}

func newDrainState() (d drainState) {
	return drainState{retired: map[rpc.EndpointID]rpc.Retirement{}, planner: drain.NewPlanner()}
}

func (d *drainState) load(state *statemachine.State) {
	d.policy = nil
	if document := state.Documents[policy.DrainPolicy]; document.Active() {
		d.policy, _ = drain.Parse([]byte(document.Body))
	}
	d.retired = make(map[rpc.EndpointID]rpc.Retirement, len(state.Retirements))
	for id, retired := range state.Retirements {
		d.retired[id] = retired
	}
}

// stopped tells that a backend was retired and its stop is agreed.
func (d *drainState) stopped(id rpc.EndpointID) bool {
	retired := d.retired[id]
	return retired.Stopped > 0 && !retired.Gone
}

// stepDrain gives the commands that retirements ask for now; the caller holds mu.
func (c *Coordinator) stepDrain(now time.Duration) (commands []statemachine.Command) {
	d := &c.policies.drain
	commands = c.stepRetirements(now)
	if d.policy == nil {
		return commands
	}
	// Under a policy, backends that the platform drains are retired as well.
	c.endpoints.Endpoints.Each(func(id rpc.EndpointID, endpoint rpc.Endpoint) {
		if _, retired := d.retired[id]; endpoint.Draining && !retired {
			commands = append(commands, statemachine.Command{
				Kind: statemachine.CommandRetire, Subject: string(id), Body: []byte(endpoint.Service),
				Claim: statemachine.Claim{Holder: drain.ByPlatform},
			})
		}
	})
	return commands
}

func (c *Coordinator) stepRetirements(now time.Duration) (commands []statemachine.Command) {
	d := &c.policies.drain
	if len(d.retired) == 0 {
		d.statuses = nil
		return nil
	}
	list := make([]rpc.Retirement, 0, len(d.retired))
	for id, retired := range d.retired {
		if _, listed := c.endpoints.Endpoints.Get(id); !retired.Gone && !listed && c.endpoints.Complete {
			// It has left the platform's list: the retirement is over.
			command := statemachine.Command{Kind: statemachine.CommandCancelRetire, Subject: string(id)}
			commands = append(commands, command)
		}
		list = append(list, retired)
	}
	var stops []rpc.EndpointID
	stops, d.statuses = d.planner.Plan(now, d.policy, list, c.listFollowers(now), c.stockOf)
	for _, id := range stops {
		commands = append(commands, statemachine.Command{Kind: statemachine.CommandStopRetired, Subject: string(id)})
	}
	for _, status := range d.statuses {
		c.policies.logged.record(c.log, eventlog.RetirementProgress, status.Backend, string(status.Phase),
			eventlog.KeyReason, status.Reason)
	}
	return commands
}

// stockOf counts a service's backends.
func (c *Coordinator) stockOf(service rpc.ServiceName) (stock drain.EndpointCounts) {
	c.eachBackend(service, func(_ rpc.Endpoint, useful bool) {
		stock.Listed++
		if useful {
			stock.Usable++
		}
	})
	return stock
}

// ErrUnknownBackend is that of a backend which is not on the platform's list.
var ErrUnknownBackend = errors.New("not on the platform's list")

// ValidateRetirement gives the service of a backend, or tells why it may not be
// retired. It does not look at whether the backend is retired already.
func (c *Coordinator) ValidateRetirement(id rpc.EndpointID) (service rpc.ServiceName, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	endpoint, listed := c.endpoints.Endpoints.Get(id)
	if !listed {
		return "", policy.ErrInvalid.Wrap(fmt.Errorf("backend %q is %w", id, ErrUnknownBackend))
	}
	if stock := c.stockOf(endpoint.Service); stock.Usable <= 1 {
		return "", policy.ErrInvalid.New("backend %q is the last of service %q that is useful", id, endpoint.Service)
	}
	return endpoint.Service, nil
}

// RetirementStatus gives how each retirement stands.
func (c *Coordinator) RetirementStatus() (statuses []drain.RetirementStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]drain.RetirementStatus{}, c.policies.drain.statuses...)
}
