package controller

import (
	"context"
	"errors"
	"net/url"

	"tinpin/internal/apierror"
	"tinpin/internal/coordinator"
	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/httpapi"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

// retireBackend answers Backends.Retire and, with restore, Backends.Restore. It
// gives the phase that the retirement has reached.
func (c *Controller) retireBackend(
	ctx context.Context, id rpc.EndpointID, restore bool, requestName string,
) (phase string, err error) {
	if restore {
		return c.restore(ctx, id, requestName)
	}
	current, err := c.leading(withRequestName("/-/Backends.Retire/"+url.PathEscape(string(id)), requestName))
	if err != nil {
		return "", err
	}
	if !current.EndpointsComplete() {
		return "", errListIncomplete
	}
	r := &retirement{
		controller: c, current: current, id: id,
		command: statemachine.Command{
			Kind: statemachine.CommandRetire, Subject: string(id),
			Claim: statemachine.Claim{Holder: drain.ByOperator, Key: requestName},
		},
	}
	return r.carryOut(ctx)
}

func (c *Controller) restore(ctx context.Context, id rpc.EndpointID, requestName string) (phase string, err error) {
	if _, err = c.leading(withRequestName("/-/Backends.Restore/"+url.PathEscape(string(id)), requestName)); err != nil {
		return "", err
	}
	result, err := c.propose(ctx, statemachine.Command{
		Kind: statemachine.CommandCancelRetire, Subject: string(id), Claim: statemachine.Claim{Key: requestName},
	})
	return "restored", c.acknowledge(history.Retirement, string(id), "restored", result, err)
}

// retirement is one call to retire a backend.
type retirement struct {
	controller *Controller
	current    *coordinator.Coordinator
	id         rpc.EndpointID
	command    statemachine.Command
	earlier    earlierRetirement
}

func (r *retirement) carryOut(ctx context.Context) (phase string, err error) {
	c := r.controller
	service, invalid := r.check()
	if invalid != nil {
		if err = c.applyBarrier(ctx); err != nil {
			return "", err
		}
		if service, invalid = r.check(); invalid != nil {
			return r.rejected(invalid)
		}
	}
	r.command.Body = []byte(service)
	result, err := c.propose(ctx, r.command)
	if err = c.acknowledge(history.Retirement, string(r.id), "retired", result, err); err != nil {
		return "", err
	}
	return r.phase(), nil
}

// check gives the backend's service, or why it may not be retired. One that is
// retired already, or by this very request, may.
func (r *retirement) check() (service rpc.ServiceName, invalid error) {
	r.readEarlier()
	service, invalid = r.current.ValidateRetirement(r.id)
	if r.earlier.active || r.earlier.named {
		return service, nil
	}
	return service, invalid
}

// readEarlier reads what is agreed on this backend and request.
func (r *retirement) readEarlier() {
	r.controller.node.ReadState(func(state *statemachine.State) {
		r.earlier.active, r.earlier.accepted = state.RetirementStatus(r.id)
		r.earlier.named, _ = state.AcceptedByName(r.command)
	})
}

func (r *retirement) rejected(invalid error) (phase string, err error) {
	c := r.controller
	if err = c.confirmed(r.current, nil); err != nil {
		return "", err
	}
	if phase, err = r.earlier.answer(invalid); err != nil {
		c.log.Emit(eventlog.OperatorRequestRejected, eventlog.KeyKind, history.Retirement,
			eventlog.KeyName, string(r.id), eventlog.KeyReason, err.Error())
	}
	return phase, err
}

// phase is how far an acknowledged retirement is.
func (r *retirement) phase() (phase string) {
	for _, status := range r.current.RetirementStatus() {
		if status.Backend == string(r.id) && r.controller.nodeCalls.ConfirmLeadership(r.current) {
			return string(status.Phase)
		}
	}
	if r.readEarlier(); !r.earlier.active {
		return string(drain.Withdrawn)
	}
	return string(drain.Announced)
}

// earlierRetirement is what is agreed on retirements of a backend that would be
// rejected if they were new: one is active, one was accepted at some time, this
// very request was accepted by its name.
type earlierRetirement struct{ active, accepted, named bool }

// answer confirms an accepted request whose backend has left the list. One that
// was taken back since cannot be told from a new one: it has no effect, and is
// neither acknowledged nor rejected.
func (e earlierRetirement) answer(invalid error) (phase string, err error) {
	switch {
	case e.accepted && errors.Is(invalid, coordinator.ErrUnknownBackend):
		return string(drain.Removed), nil
	case e.accepted:
		return "", &httpapi.Error{
			Kind: apierror.OutcomeUnknown,
			Text: "this retirement was accepted and taken back before; as a new one it is rejected: " + invalid.Error(),
		}
	}
	return "", invalidRequest(invalid)
}
