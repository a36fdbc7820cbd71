package coordinator

import (
	"context"
	"fmt"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

const (
	// proposeTimeout is how long the outcome of a proposal is waited for before
	// the state is looked at again.
	proposeTimeout = 800 * time.Millisecond
	// maxLoggedSubjects bounds the memory of what was logged last.
	maxLoggedSubjects = 4096
)

// policies is what the leader holds of the operator's documents, but for the
// session policy. What they ask for is proposed one batch at a time; what is
// agreed reaches the nodes with updates, and their next heartbeats are the proof
// that they follow it.
type policies struct {
	drain    drainState
	schedule scheduleState
	retry    retryState
	// proposing tells that a batch is on its way.
	proposing bool
	logged    statusLog
}

// retryState is the limit on retries, nil where there is none, and the revision
// that it was written at.
type retryState struct {
	limit    *retry.Policy
	logIndex uint64
}

func newPolicies() (p policies) {
	return policies{drain: newDrainState(), schedule: newScheduleState(), logged: statusLog{last: map[string]string{}}}
}

// load reads what is agreed; the caller holds the Coordinator's mu.
func (p *policies) load(state *statemachine.State) {
	p.retry.load(state)
	p.drain.load(state)
	p.schedule.load(state)
}

func (r *retryState) load(state *statemachine.State) {
	r.limit = nil
	if document := state.Documents[policy.RetryLimit]; document.Active() {
		r.limit, _ = retry.Parse([]byte(document.Body))
		r.logIndex = document.Rev
	}
}

// reconcilePolicies proposes what the documents ask for now; the caller holds mu.
func (c *Coordinator) reconcilePolicies(now time.Duration) {
	commands := c.stepDrain(now)
	step, stepped := c.stepSchedule(now)
	if stepped {
		commands = append(commands, step)
	}
	if len(commands) == 0 || c.policies.proposing {
		return
	}
	c.policies.proposing = true
	go func() {
		answers := c.node.ProposeAll(context.Background(), commands, proposeTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.policies.proposing = false
		// The step is the last of the batch.
		last := answers[len(answers)-1]
		if stepped && last.Known && last.Result.Err == nil {
			c.policies.schedule.stepper.Committed(c.now())
		}
	}()
}

// statusLog logs how a subject stands, once a change.
type statusLog struct{ last map[string]string }

func (l *statusLog) record(log *eventlog.Logger, event eventlog.Event, subject, status string, pairs ...any) {
	key := fmt.Sprint(int(event), subject)
	if l.last[key] == status {
		return
	}
	if len(l.last) > maxLoggedSubjects {
		l.last = map[string]string{}
	}
	l.last[key] = status
	log.Emit(event, append([]any{"subject", subject, eventlog.KeyState, status}, pairs...)...)
}

// eachBackend visits the listed backends of a service. Useful ones are neither
// draining nor down nor stopped by a retirement.
func (c *Coordinator) eachBackend(service rpc.ServiceName, visit func(endpoint rpc.Endpoint, useful bool)) {
	c.endpoints.Endpoints.Each(func(id rpc.EndpointID, endpoint rpc.Endpoint) {
		if endpoint.Service != service {
			return
		}
		state, _ := c.health.States.Get(id)
		visit(endpoint, !endpoint.Draining && state.Health != rpc.Unhealthy && !c.policies.drain.stopped(id))
	})
}
