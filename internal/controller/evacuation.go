package controller

import (
	"context"
	"net/url"

	"tinpin/internal/apierror"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/statemachine"
)

// withRequestName adds to a path the name that the operator gave the request.
func withRequestName(path, name string) (full string) {
	if name == "" {
		return path
	}
	return path + "?order=" + url.QueryEscape(name)
}

// evacuate answers Evacuations.Start and Evacuations.Stop.
func (c *Controller) evacuate(ctx context.Context, zone string, start bool, requestName string) (err error) {
	kind, verb := statemachine.CommandEndEvacuation, "Stop"
	if start {
		kind, verb = statemachine.CommandStartEvacuation, "Start"
	}
	path := "/-/Evacuations." + verb + "/" + url.PathEscape(zone)
	if err = c.requireLeader(withRequestName(path, requestName)); err != nil {
		return err
	}
	command := statemachine.Command{Kind: kind, Subject: zone, Claim: statemachine.Claim{Key: requestName}}
	result, err := c.propose(ctx, command)
	if err != nil {
		return err
	}
	if result.Err != nil {
		return c.reject(history.Evacuation, rejectedResult(apierror.RequestRejected, result))
	}
	c.log.Emit(eventlog.EvacuationAccepted, eventlog.KeyZone, zone, "active", start)
	c.node.History.Record(history.Evacuation, zone, changeAcknowledged, "", 0, true)
	return nil
}
