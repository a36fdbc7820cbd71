package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/frontend"
	"tinpin/internal/metrics"
	"tinpin/internal/rpc"
)

// attemptCounts counts attempts since the start. The zero value is ready; a nil one counts
// nothing.
type attemptCounts struct {
	// byOutcome counts attempts that have ended.
	byOutcome [len(outcomeTable)]atomic.Int64
	// sentAfterLeft counts attempts that were sent, and endedAfterLeft those that ended, after
	// the client had left.
	sentAfterLeft, endedAfterLeft atomic.Int64
	// loggedClients is the number of clients that had left when it was logged last.
	loggedClients int64
}

// sending notes that a request is about to be written to a backend.
func (c *attemptCounts) sending(ctx context.Context) {
	if c != nil && clientLeft(ctx) {
		c.sentAfterLeft.Add(1)
	}
}

// observe notes the outcome of an attempt.
func (c *attemptCounts) observe(ctx context.Context, outcome Outcome) {
	if c == nil {
		return
	}
	c.byOutcome[outcome].Add(1)
	if clientLeft(ctx) {
		c.endedAfterLeft.Add(1)
	}
}

// clientLeft tells that a lifetime has ended because the client left.
func clientLeft(ctx context.Context) bool {
	return ctx.Err() != nil && errors.Is(context.Cause(ctx), frontend.ErrClientLeft)
}

// metrics are the figures of this node.
func (d *Daemon) metrics() *metrics.Registry {
	registry, departures := metrics.NewRegistry(), d.frontend.Departures()
	registry.Counter("clients_left_total",
		"Connections that clients closed with requests unanswered.", nil, &departures.Clients)
	registry.Counter("requests_abandoned_total",
		"Requests that were unanswered when their clients left.", nil, &departures.Requests)
	registry.Counter("connections_unwatched_total",
		"Waits for a response in which a client's leaving could not be noticed.", nil, &departures.Unwatched)
	registry.Counter("attempts_sent_after_client_left_total",
		"Attempts sent after the client had left.", nil, &d.attempts.sentAfterLeft)
	registry.Counter("attempts_ended_after_client_left_total",
		"Attempts that ended after the client had left.", nil, &d.attempts.endedAfterLeft)
	for outcome := range d.attempts.byOutcome {
		registry.Counter("attempts_total", "Attempts by outcome.",
			metrics.Labels{"outcome": Outcome(outcome).String()}, &d.attempts.byOutcome[outcome])
	}
	registry.Gauge("requests_in_flight", "Requests read and not answered yet.", nil,
		func() float64 { return float64(d.frontend.InFlight()) })
	registry.Gauge("leader_last_heard_seconds", "Time since the leader was heard last.", nil,
		func() float64 { return (d.clock.Now() - time.Duration(d.leader.lastHeard.Load())).Seconds() })
	rpc.RegisterMetrics(registry)
	return registry
}

// logDepartures logs that clients have left, at most once for each call.
func (d *Daemon) logDepartures() {
	departures := d.frontend.Departures()
	clients := departures.Clients.Load()
	if clients == d.attempts.loggedClients {
		return
	}
	d.attempts.loggedClients = clients
	d.log.Emit(eventlog.ClientsLeft,
		"clients", clients, "requests", departures.Requests.Load(), "unwatched", departures.Unwatched.Load(),
		"sent_after", d.attempts.sentAfterLeft.Load(), "ended_after", d.attempts.endedAfterLeft.Load())
}
