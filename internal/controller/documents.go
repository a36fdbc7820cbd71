package controller

import (
	"context"
	"encoding/json"
	"fmt"

	"tinpin/internal/coordinator"
	"tinpin/internal/drain"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/schedule"
	"tinpin/internal/statemachine"
)

// setDocument answers Orders.Set. The document is checked by the leader, which
// knows the endpoint list and the regions, and again where it is applied, on the
// state it meets there. With checkOnly it is not proposed.
func (c *Controller) setDocument(ctx context.Context, kind policy.Kind, body []byte, checkOnly bool) (err error) {
	path := "/-/Orders.Set/" + string(kind)
	if checkOnly {
		path += "?check=true"
	}
	current, err := c.leading(path)
	if err != nil {
		return err
	}
	if err = policy.CheckSyntax(body); err != nil {
		return c.reject(history.Document, invalidRequest(err))
	}
	invalid := c.checkDocument(current, kind, body)
	if checkOnly {
		if invalid != nil {
			return c.confirmed(current, invalidRequest(invalid))
		}
		return c.confirmed(current, nil)
	}
	if invalid != nil {
		if err = c.applyBarrier(ctx); err != nil {
			return err
		}
		if invalid = c.checkDocument(current, kind, body); invalid != nil {
			if err = c.confirmed(current, nil); err != nil {
				return err
			}
			return c.reject(history.Document, invalidRequest(invalid))
		}
	}
	command := statemachine.Command{Kind: statemachine.CommandDocument, Subject: string(kind), Body: body}
	result, err := c.propose(ctx, command)
	return c.acknowledge(history.Document, string(kind), "set", result, err)
}

// checkDocument looks a document over. One that was accepted before is good,
// whatever changed since.
func (c *Controller) checkDocument(current *coordinator.Coordinator, kind policy.Kind, body []byte) (err error) {
	accepted := false
	c.node.ReadState(func(state *statemachine.State) {
		_, accepted, err = state.CheckDocument(policy.Document{Kind: kind, Body: string(body)})
	})
	if err == nil && !accepted && kind == policy.DayPlan {
		err = current.ValidateSchedule(body)
	}
	return err
}

// withdrawDocument answers Orders.Withdraw.
func (c *Controller) withdrawDocument(ctx context.Context, kind policy.Kind, version policy.Version) (err error) {
	if !kind.Valid() {
		return unknownKind(kind)
	}
	if _, err = c.leading(fmt.Sprintf("/-/Orders.Withdraw/%s/%d", kind, version)); err != nil {
		return err
	}
	command := statemachine.Command{Kind: statemachine.CommandDocument, Subject: string(kind), Number: uint64(version)}
	result, err := c.propose(ctx, command)
	return c.acknowledge(history.Document, string(kind), "withdrawn", result, err)
}

func unknownKind(kind policy.Kind) (err error) {
	return invalidRequest(policy.ErrInvalid.New("unknown kind of document %q", kind))
}

// DocumentStatus is the answer to Orders.Show: the document, and how what it
// governs stands. Its fields are part of the operator's API.
type DocumentStatus struct {
	Kind        policy.Kind                `json:"kind"`
	Version     policy.Version             `json:"version"`
	InForce     bool                       `json:"in_force"`
	Document    json.RawMessage            `json:"document,omitempty"`
	Retirements []drain.RetirementStatus   `json:"retiring,omitempty"`
	Targets     []schedule.TargetStatus    `json:"moving,omitempty"`
	Step        uint64                     `json:"step,omitempty"`
	Sessions    *coordinator.SessionStatus `json:"sessions,omitempty"`
	Retries     []coordinator.RetryStatus  `json:"retrying,omitempty"`
}

// showDocument answers Orders.Show.
func (c *Controller) showDocument(_ context.Context, kind policy.Kind) (text []byte, err error) {
	if !kind.Valid() {
		return nil, unknownKind(kind)
	}
	current, err := c.leading("/-/Orders.Show/" + string(kind))
	if err != nil {
		return nil, err
	}
	status := DocumentStatus{Kind: kind}
	c.node.ReadState(func(state *statemachine.State) {
		document := state.Documents[kind]
		status.Version, status.InForce = document.Version, document.Active()
		status.Document = json.RawMessage(document.Body)
		if kind == policy.DayPlan {
			status.Step = state.ScheduleStep.Count
		}
	})
	switch kind {
	case policy.DayPlan:
		status.Targets = current.ScheduleStatus()
	case policy.RetryLimit:
		status.Retries = current.RetryStatus()
	case policy.SessionAffinity:
		status.Sessions = current.SessionStatus()
	case policy.DrainPolicy:
		status.Retirements = current.RetirementStatus()
	}
	if err = c.confirmed(current, nil); err != nil {
		return nil, err
	}
	return json.Marshal(status)
}
