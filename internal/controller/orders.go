// Orders is the operator's side of the drain policy, of retiring and of the
// day's plan. A call is looked over by the leader, which knows the list and
// the regions, and again where it is applied, on the state it meets there.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"

	"tinpin/internal/apierror"
	"tinpin/internal/coordinator"
	"tinpin/internal/dedup"
	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/httpapi"
	"tinpin/internal/policy"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

func refused(err error) (trouble *httpapi.Error) {
	if dedup.Conflict.Has(err) {
		return &httpapi.Error{Kind: apierror.VersionConflict, Text: err.Error()}
	}
	return &httpapi.Error{Kind: apierror.RequestRejected, Text: err.Error()}
}

// barrier waits until all that this core put before the cores is applied. Only
// behind it is a refusal from this core's own look at the state a proven one.
func (c *Controller) barrier() (err error) {
	_, err = c.wish(raft.Command{Kind: raft.CommandBarrier})
	return err
}

// open gives the forum of this core if it leads.
func (c *Controller) open(path string) (open *coordinator.Coordinator, err error) {
	if err = c.elsewhere(path); err != nil {
		return nil, err
	}
	if open = c.desk.Coordinator(); open == nil {
		return nil, &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "no leader is settled now"}
	}
	return open, nil
}

func (c *Controller) order(_ context.Context, kind policy.Kind, body []byte, check bool) (err error) {
	path := "/-/Orders.Set/" + string(kind)
	if check {
		path += "?check=true"
	}
	open, err := c.open(path)
	if err != nil {
		return err
	}
	if err = policy.CheckText(body); err != nil {
		return c.refuse(history.Document, refused(err))
	}
	look := func() (lookErr error) {
		taken := false
		c.node.ReadState(func(state *raft.State) {
			_, taken, lookErr = state.CheckDocument(policy.Document{Kind: kind, Body: string(body)})
		})
		if lookErr == nil && !taken && kind == policy.DayPlan {
			lookErr = open.ValidateSchedule(body)
		}
		return lookErr
	}
	if err = look(); err != nil && !check {
		if err = c.barrier(); err != nil {
			return err
		}
		err = look()
	}
	if err != nil {
		if check {
			return c.proven(open, refused(err))
		}
		if unproven := c.proven(open, nil); unproven != nil {
			return unproven
		}
		return c.refuse(history.Document, refused(err))
	}
	if check {
		return c.proven(open, nil)
	}
	result, err := c.wish(raft.Command{Kind: raft.CommandOrder, Site: string(kind), Body: body})
	return c.ordered(history.Document, string(kind), "set", result, err)
}

func (c *Controller) withdraw(_ context.Context, kind policy.Kind, version policy.Version) (err error) {
	if !kind.Known() {
		return refused(policy.Class.New("unknown kind of document %q", kind))
	}
	if _, err = c.open(fmt.Sprintf("/-/Orders.Withdraw/%s/%d", kind, version)); err != nil {
		return err
	}
	result, err := c.wish(raft.Command{Kind: raft.CommandOrder, Site: string(kind), Upto: uint64(version)})
	return c.ordered(history.Document, string(kind), "withdrawn", result, err)
}

func (c *Controller) ordered(kind, name, what string, result raft.Result, err error) error {
	if err != nil {
		return err
	}
	if result.Problem != "" {
		return c.refuse(kind, refusedAs(apierror.RequestRejected, result))
	}
	c.log.Emit(eventlog.OperatorRequestAccepted, eventlog.KeyKind, kind, eventlog.KeyName, name, eventlog.KeyChange, what)
	c.node.History.Record(kind, name, "acknowledged", "", 0, true)
	return nil
}

// DocumentStatus is what reading an order back gives.
type DocumentStatus struct {
	Kind        policy.Kind                `json:"kind"`
	Version     policy.Version             `json:"version"`
	InForce     bool                       `json:"in_force"`
	Document    json.RawMessage            `json:"document,omitempty"`
	Retirements []drain.RetirementStatus   `json:"retiring,omitempty"`
	Targets     []schedule.Account         `json:"moving,omitempty"`
	Step        uint64                     `json:"step,omitempty"`
	Sessions    *coordinator.SessionStatus `json:"sessions,omitempty"`
	Retries     []coordinator.RetryStatus  `json:"retrying,omitempty"`
}

func (c *Controller) show(_ context.Context, kind policy.Kind) (text []byte, err error) {
	if !kind.Known() {
		return nil, refused(policy.Class.New("unknown kind of document %q", kind))
	}
	open, err := c.open("/-/Orders.Show/" + string(kind))
	if err != nil {
		return nil, err
	}
	shown := DocumentStatus{Kind: kind}
	c.node.ReadState(func(state *raft.State) {
		document := state.Documents[kind]
		shown.Version, shown.InForce, shown.Document = document.Version, document.InForce(), json.RawMessage(document.Body)
		if kind == policy.DayPlan {
			shown.Step = state.Move.Count
		}
	})
	switch kind {
	case policy.DayPlan:
		shown.Targets = open.ScheduleStatus()
	case policy.RetryLimit:
		shown.Retries = open.RetryStatus()
	case policy.SessionAffinity:
		shown.Sessions = open.SessionStatus()
	case policy.DrainPolicy:
		shown.Retirements = open.RetirementStatus()
	}
	if err = c.proven(open, nil); err != nil {
		return nil, err
	}
	return json.Marshal(shown)
}

func (c *Controller) retire(_ context.Context, id rpc.EndpointID, back bool, named string) (phase string, err error) {
	if back {
		if _, err = c.open(withOrder("/-/Backends.Restore/"+url.PathEscape(string(id)), named)); err != nil {
			return "", err
		}
		result, wishErr := c.wish(raft.Command{Kind: raft.CommandRestore, Site: string(id), Claim: raft.Claim{Key: named}})
		return "restored", c.ordered(history.Retirement, string(id), "restored", result, wishErr)
	}
	open, err := c.open(withOrder("/-/Backends.Retire/"+url.PathEscape(string(id)), named))
	if err != nil {
		return "", err
	}
	if !open.EndpointsComplete() {
		// A new leader has not read the list yet: that is no reason to refuse.
		return "", &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "the platform's list is not read yet"}
	}
	command := raft.Command{Kind: raft.CommandRetire, Site: string(id), Claim: raft.Claim{Holder: drain.ByOperator, Key: named}}
	var sent sentAgain
	agreed := func() {
		c.node.ReadState(func(state *raft.State) {
			sent.stands, sent.taken = state.RetireTaken(id)
			sent.named, _ = state.TakenByName(command)
		})
	}
	look := func() (service rpc.ServiceName, refusal error) {
		agreed()
		if service, refusal = open.ValidateRetirement(id); sent.stands || sent.named {
			return service, nil
		}
		return service, refusal
	}
	service, refusal := look()
	if refusal != nil {
		if err = c.barrier(); err != nil {
			return "", err
		}
		if service, refusal = look(); refusal != nil {
			if err = c.proven(open, nil); err != nil {
				return "", err
			}
			if phase, err = sent.answer(refusal); err != nil {
				c.log.Emit(eventlog.OperatorRequestRejected, eventlog.KeyKind, history.Retirement, eventlog.KeyName, string(id), eventlog.KeyReason, err.Error())
			}
			return phase, err
		}
	}
	command.Body = []byte(service)
	result, err := c.wish(command)
	if err = c.ordered(history.Retirement, string(id), "retired", result, err); err != nil {
		return "", err
	}
	for _, account := range open.RetirementStatus() {
		if account.Backend == string(id) && c.desk.ConfirmLeadership(open) {
			return string(account.Phase), nil
		}
	}
	if agreed(); !sent.stands {
		return string(drain.Withdrawn), nil
	}
	return string(drain.Announced), nil
}

// sentAgain is what is agreed on of an order to retire that would be refused if
// it were new.
type sentAgain struct{ stands, taken, named bool }

// answer confirms an order that was taken and whose backend has left the list.
// One that was taken back since cannot be told from a new one: it has no effect
// and gets neither a yes nor a no.
func (s sentAgain) answer(refusal error) (phase string, err error) {
	switch {
	case s.taken && errors.Is(refusal, coordinator.ErrUnknownBackend):
		return string(drain.Removed), nil
	case s.taken:
		return "", &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "this order was taken and taken back before; as a new one it is refused: " + refusal.Error()}
	}
	return "", refused(refusal)
}
