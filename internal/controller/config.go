package controller

import (
	"context"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/httpapi"
	"tinpin/internal/statemachine"
)

// updateConfig answers Config.Update.
func (c *Controller) updateConfig(ctx context.Context, body []byte) (err error) {
	if err = c.requireLeader("/-/Config.Update"); err != nil {
		return err
	}
	// What cannot be read is rejected whatever the state.
	call, err := config.ParseUpdate(body)
	if err != nil {
		return c.reject(history.Item, &httpapi.Error{Kind: apierror.InvalidConfig, Text: err.Error()})
	}
	result, err := c.propose(ctx, statemachine.Command{Kind: statemachine.CommandConfig, Body: body})
	if err != nil {
		return err
	}
	if result.Err != nil {
		return c.reject(history.Item, rejectedResult(apierror.InvalidConfig, result))
	}
	c.log.Emit(eventlog.ConfigAccepted, eventlog.KeyBytes, len(body))
	for _, path := range call.Paths() {
		c.node.History.Record(history.Item, path, changeAcknowledged, "", 0, true)
	}
	return nil
}

// describeConfig answers Config.Describe.
func (c *Controller) describeConfig(context.Context) (text []byte, err error) {
	current, err := c.leading("/-/Config.Describe")
	if err != nil {
		return nil, err
	}
	// A settled leader has applied all that it or an older leader acknowledged
	// before the call; contact after the reading proves that no later leader has
	// acknowledged anything.
	c.node.ReadState(func(state *statemachine.State) { text = state.Config.EncodeUpserts() })
	if err = c.confirmed(current, nil); err != nil {
		return nil, err
	}
	return text, nil
}
