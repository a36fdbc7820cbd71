// Package council is the accord role: one core with its disk, the desk for
// fellows, the forum while it leads, and the operator's interface.
package controller

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/coordinator"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/httpapi"
	"tinpin/internal/notify"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// Patience is how long an operator's call may take before it is unclear; the
// callers give up after a second.
const patience = 900 * time.Millisecond

// Controller is a running accord daemon.
type Controller struct {
	props settings.Settings
	log   *eventlog.Logger
	node  *raft.Node
	desk  *coordinator.Handler
	// patience is how long a call waits for its outcome.
	patience time.Duration

	inner  *rpc.Server
	office *http.Server
}

// Start opens the disk and the listeners and takes up the work.
func Start(p settings.Settings, log *eventlog.Logger) (council *Controller, err error) {
	node, err := raft.OpenNode(p, log)
	if err != nil {
		return nil, err
	}
	council = &Controller{props: p, log: log, node: node, patience: patience, desk: coordinator.NewHandler(node, node)}
	node.OnLeadership = func(leads bool, term raft.Term) {
		var opened *coordinator.Coordinator
		if leads {
			opened = coordinator.Start(p, log, node, term)
		}
		if old := council.desk.SetCoordinator(opened); old != nil {
			old.Close()
		}
	}
	node.OnChange = func() {
		if open := council.desk.Coordinator(); open != nil {
			open.StateChanged()
		}
	}
	if p.EventsURL != "" {
		// Each change is told once, by the core that leads when it is applied.
		teller, heraldErr := notify.New(p.EventsURL, p.Name, log)
		if heraldErr != nil {
			return nil, heraldErr
		}
		node.History.OnChange = func(mark history.Change) {
			if mark.Action != "acknowledged" && council.desk.Coordinator() != nil {
				teller.Notify(mark)
			}
		}
	}
	if council.inner, err = rpc.Serve(p.ControllerInternalAddress(), map[string]any{"Accord": node.Service(), "Forum": council.desk, "Status": &StatusHandler{council}}); err != nil {
		return nil, err
	}
	if council.office, err = httpapi.Serve(p.ControlAddress, httpapi.Handlers{
		UpdateConfig: council.update, DescribeConfig: council.describe, Evacuate: council.evacuate,
		SetDocument: council.order, WithdrawDocument: council.withdraw, ShowDocument: council.show, RetireBackend: council.retire,
	}); err != nil {
		return nil, err
	}
	node.Run()
	return council, nil
}

// Reload takes changed settings up.
func (c *Controller) Reload(p settings.Settings) { c.node.SetSeeds(p.Seeds) }

// Stop hands leadership over and ends.
func (c *Controller) Stop() {
	c.node.Close()
	_ = c.office.Close()
	c.inner.Close()
	if old := c.desk.SetCoordinator(nil); old != nil {
		old.Close()
	}
}

// elsewhere sends the caller to the leader, or tells that there is none.
func (c *Controller) elsewhere(path string) (err error) {
	leads, settled, _, leader, _ := c.node.Status()
	if leads && settled {
		return nil
	}
	if leads || leader.Control == "" {
		return &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "no leader is settled now"}
	}
	return &httpapi.Error{Kind: apierror.NotLeader, Location: "http://" + leader.Control + path}
}

// proven gives a verdict that was made from the state of this core only where it
// is proven that it still leads, and leaves the caller without a clear answer else.
func (c *Controller) proven(open *coordinator.Coordinator, verdict error) (err error) {
	if !c.desk.ConfirmLeadership(open) {
		return &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "no contact with a majority of the cores now"}
	}
	return verdict
}

func (c *Controller) wish(command raft.Command) (result raft.Result, err error) {
	answer := c.node.Propose(command, c.patience)
	if !answer.Known {
		return result, &httpapi.Error{Kind: apierror.OutcomeUnknown}
	}
	return answer.Result, nil
}

func (c *Controller) update(_ context.Context, body []byte) (err error) {
	if err = c.elsewhere("/-/Config.Update"); err != nil {
		return err
	}
	// What cannot be read is refused whatever stands.
	call, err := config.ReadCall(body)
	if err != nil {
		return c.refuse(history.Item, &httpapi.Error{Kind: apierror.InvalidConfig, Text: err.Error()})
	}
	result, err := c.wish(raft.Command{Kind: raft.CommandConfig, Body: body})
	if err != nil {
		return err
	}
	if result.Problem != "" {
		return c.refuse(history.Item, refusedAs(apierror.InvalidConfig, result))
	}
	c.log.Emit(eventlog.ConfigAccepted, eventlog.KeyBytes, len(body))
	for _, path := range call.Paths() {
		c.node.History.Record(history.Item, path, "acknowledged", "", 0, true)
	}
	return nil
}

// refusedAs is the trouble with an order that the cores have refused.
func refusedAs(kind apierror.Kind, result raft.Result) (trouble *httpapi.Error) {
	if result.Conflict {
		kind = apierror.VersionConflict
	}
	return &httpapi.Error{Kind: kind, Text: result.Problem}
}

// refuse logs what the caller is told.
func (c *Controller) refuse(subject string, trouble *httpapi.Error) (err error) {
	c.log.Emit(eventlog.OperatorRequestRejected, eventlog.KeyKind, subject, eventlog.KeyStatus, trouble.Kind.Response().Status, eventlog.KeyReason, trouble.Error())
	return trouble
}

func (c *Controller) describe(context.Context) (text []byte, err error) {
	open, err := c.open("/-/Config.Describe")
	if err != nil {
		return nil, err
	}
	// A leader that is settled has applied all that it or an older one has
	// acknowledged before the call; contact after the reading proves that no later
	// one has acknowledged anything.
	c.node.ReadState(func(state *raft.State) { text = state.Canon.Describe() })
	if err = c.proven(open, nil); err != nil {
		return nil, err
	}
	return text, nil
}

// withOrder adds to a path the name that an order may have.
func withOrder(path, id string) (whole string) {
	if id == "" {
		return path
	}
	return path + "?order=" + url.QueryEscape(id)
}

func (c *Controller) evacuate(_ context.Context, site string, start bool, id string) (err error) {
	kind, verb := raft.CommandReturn, "Stop"
	if start {
		kind, verb = raft.CommandEvacuate, "Start"
	}
	if err = c.elsewhere(withOrder("/-/Evacuations."+verb+"/"+url.PathEscape(site), id)); err != nil {
		return err
	}
	result, err := c.wish(raft.Command{Kind: kind, Site: site, Claim: raft.Claim{Key: id}})
	if err != nil {
		return err
	}
	if result.Problem != "" {
		return c.refuse(history.Evacuation, refusedAs(apierror.RequestRejected, result))
	}
	c.log.Emit(eventlog.EvacuationAccepted, eventlog.KeyZone, site, "active", start)
	c.node.History.Record(history.Evacuation, site, "acknowledged", "", 0, true)
	return nil
}
