package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/await"
	"tinpin/internal/config"
	"tinpin/internal/directory"
	"tinpin/internal/eventlog"
	"tinpin/internal/frontend"
	"tinpin/internal/httpapi"
	"tinpin/internal/shutdown"
)

// noticeTime is how long after the directories, or the platform's readiness checks, have learned that a
// node stops its last clients come: as long as an answer of the directory counts, and a second for the
// notice to reach the other directories, or for the second of two checks.
const noticeTime = directory.TTL + time.Second

// workShare is the part of the grace period that is left for the request that is accepted last: what it
// may need at most is its client's choice.
const workShare = 0.4

// ShutdownTimeline is when the phases of a node's shutdown end with a grace period.
func ShutdownTimeline(grace time.Duration) shutdown.Timeline {
	work := time.Duration(workShare * float64(grace))
	return shutdown.NewTimeline(grace, shutdown.Needs{Announce: noticeTime, Work: work})
}

// Stop shuts the node down gracefully, see package shutdown. Its times count from when it was signalled to stop.
func (d *Daemon) Stop(signalled time.Time) {
	d.shutdown.Run(signalled, nodeShutdown{d}, d.logShutdownPhase)
}

// nodeShutdown carries the phases of a node's shutdown out.
type nodeShutdown struct{ daemon *Daemon }

// Announce tells the leader, and through it the directories; the platform learns from the readiness
// checks. From now on every response closes its connection. Nobody comes to a node that was never ready.
func (n nodeShutdown) Announce(ctx context.Context) {
	d := n.daemon
	d.frontend.StartDraining()
	go d.leader.HeartbeatNow()
	if d.ready.Load() {
		<-ctx.Done()
	}
}

// Drain waits for the requests in flight, and then for what they leave behind: responses that a peer is
// to store, and keys to give back.
func (n nodeShutdown) Drain(ctx context.Context) (drained bool) {
	d := n.daemon
	drained = d.frontend.Drain(ctx)
	d.finishKeys(ctx)
	return drained
}

// finishKeys waits until responses are stored on peers and the keys of requests that have not run are
// given back. It waits no longer than a call for that takes: without a leader nobody would take them.
func (d *Daemon) finishKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseCallTimeout)
	defer cancel()
	if await.Group(ctx, &d.storing) {
		d.leader.AwaitReleases(ctx)
	}
}

// Interrupt ends the requests that are still in flight. Those that have not run are rejected; of the
// others nothing is promised.
func (n nodeShutdown) Interrupt(ctx context.Context) {
	d := n.daemon
	d.frontend.Interrupt(ctx, d.state.interruptAttempts)
	d.finishKeys(ctx)
}

// Close ends the answers to peers, directory queries and checks, and the tie to the leader.
func (n nodeShutdown) Close(ctx context.Context) {
	d := n.daemon
	d.frontend.CloseConns()
	var closing sync.WaitGroup
	for _, server := range d.httpServers {
		closing.Go(func() { httpapi.Shutdown(ctx, server) })
	}
	closing.Go(func() { d.rpcListener.Shutdown(ctx) })
	closing.Wait()
	close(d.leader.Done)
}

// logShutdownPhase logs the end of a phase.
func (d *Daemon) logShutdownPhase(phase shutdown.Phase) {
	counts := d.frontend.DrainCounts()
	d.log.Emit(eventlog.ShutdownPhase, "phase", phase.String(),
		"elapsed_ms", d.shutdown.Elapsed().Milliseconds(),
		"in_flight", d.frontend.InFlight(), "connections", d.frontend.OpenConns(), "taken", counts.Taken.Load(),
		"last_taken_ms", counts.LastTaken().Milliseconds(), "abandoned", counts.Abandoned.Load())
}

// accepts tells whether a request that may take so long may still be taken.
func (d *Daemon) accepts(route *config.Route, left time.Duration) bool {
	return d.shutdown.Accepts(shutdown.Work{TimeLeft: left, Delivery: route.Type == config.Download})
}

// endedKind is why a plan's request ends with its lifetime: the client has left, or this node must end.
func endedKind(ctx context.Context, plan *Plan) apierror.Kind {
	if errors.Is(context.Cause(ctx), frontend.ErrShuttingDown) {
		return plan.errorKind(apierror.ShuttingDown)
	}
	return apierror.ClientLeft
}

// interruptAttempts ends the attempts that are waiting for a response. Those whose request may run only
// once are not reached by the end of its lifetime.
func (s *ClusterState) interruptAttempts() {
	for _, backend := range s.listedBackends() {
		backend.interruptActive()
	}
}

// interruptActive wakes whoever waits for a response on the connections that carry requests.
func (b *Backend) interruptActive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.activeConns {
		conn.interrupt()
	}
}
