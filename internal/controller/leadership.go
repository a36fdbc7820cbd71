package controller

import (
	"context"

	"tinpin/internal/apierror"
	"tinpin/internal/coordinator"
	"tinpin/internal/httpapi"
	"tinpin/internal/statemachine"
)

// requireLeader redirects a call on path to the leader unless this controller
// leads, or tells that there is none.
func (c *Controller) requireLeader(path string) (err error) {
	leads, settled, _, leader, _ := c.node.Status()
	if leads && settled {
		return nil
	}
	if leads || leader.Control == "" {
		return errNoLeader
	}
	return &httpapi.Error{Kind: apierror.NotLeader, Location: "http://" + leader.Control + path}
}

// leading gives the coordinator of this controller if it leads.
func (c *Controller) leading(path string) (current *coordinator.Coordinator, err error) {
	if err = c.requireLeader(path); err != nil {
		return nil, err
	}
	if current = c.nodeCalls.Coordinator(); current == nil {
		return nil, errNoLeader
	}
	return current, nil
}

// confirmed gives an outcome that was found in the state of this controller only
// where it is proven that it still leads, and leaves the caller without a clear
// answer else. A nil outcome is confirmed likewise.
func (c *Controller) confirmed(current *coordinator.Coordinator, outcome error) (err error) {
	if !c.nodeCalls.ConfirmLeadership(current) {
		return errNoContact
	}
	return outcome
}

// propose puts a command before the controllers and waits for its outcome, no longer than its caller does.
func (c *Controller) propose(
	ctx context.Context, command statemachine.Command,
) (result statemachine.Result, err error) {
	answer := c.node.Propose(ctx, command, c.proposalTimeout)
	if !answer.Known {
		return result, &httpapi.Error{Kind: apierror.OutcomeUnknown}
	}
	return answer.Result, nil
}

// applyBarrier waits until all that this controller proposed is applied. Only
// after it is a rejection from a look at this controller's own state a proven one.
func (c *Controller) applyBarrier(ctx context.Context) (err error) {
	_, err = c.propose(ctx, statemachine.Command{Kind: statemachine.CommandBarrier})
	return err
}
