package controller

import (
	"context"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/httpapi"
	"tinpin/internal/shutdown"
)

const (
	// leaveShare is the part of the grace period in which a controller may leave its group: a successor
	// that takes its place has to catch up first.
	leaveShare = 0.75
	// callTime is how long the longest call that was read last may take: an operator's proposal.
	callTime = proposalTimeout + 100*time.Millisecond
)

// ShutdownTimeline is when the phases of a controller's shutdown end with a grace period.
func ShutdownTimeline(grace time.Duration) shutdown.Timeline {
	leave := time.Duration(leaveShare * float64(grace))
	return shutdown.NewTimeline(grace, shutdown.Needs{Announce: leave, Work: callTime})
}

// Stop shuts the controller down gracefully, see package shutdown. Its times count from when it was signalled to stop.
func (c *Controller) Stop(signalled time.Time) {
	c.shutdown.Run(signalled, controllerShutdown{c}, c.logShutdownPhase)
}

// controllerShutdown carries the phases of a controller's shutdown out.
type controllerShutdown struct{ controller *Controller }

// Announce hands leadership over and leaves the group where a successor is ready. Meanwhile calls are
// answered as by any controller: by the leader, or with a redirect to it.
func (s controllerShutdown) Announce(ctx context.Context) { s.controller.node.Leave(ctx) }

// Drain takes no more calls of operators and nodes, and answers those that were read. The node still
// runs, so that proposals come to their outcome.
func (s controllerShutdown) Drain(ctx context.Context) (drained bool) {
	httpapi.Shutdown(ctx, s.controller.apiServer)
	s.controller.replaceCoordinator(nil)
	s.controller.internalListener.Shutdown(ctx)
	return ctx.Err() == nil
}

// Interrupt has nothing left to end: what Drain could not wait for, it has closed.
func (s controllerShutdown) Interrupt(context.Context) {}

// Close stops the node and its store.
func (s controllerShutdown) Close(ctx context.Context) {
	s.controller.node.Close()
	if s.controller.metricsServer != nil {
		httpapi.Shutdown(ctx, s.controller.metricsServer)
	}
}

// logShutdownPhase logs the end of a phase.
func (c *Controller) logShutdownPhase(phase shutdown.Phase) {
	c.log.Emit(eventlog.ShutdownPhase, "phase", phase.String(), "elapsed_ms", c.shutdown.Elapsed().Milliseconds())
}
