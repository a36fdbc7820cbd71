package proxy

import (
	"context"
	"time"

	"tinpin/internal/rpc"
)

const (
	// hedgeTargetShare is the part of the target latency after which a request may be hedged.
	hedgeTargetShare = 0.55
	// hedgeLatencyFactor is how many times the mean latency must have passed as well: hedged
	// requests would only add to the load of a service that is slow because it is overloaded.
	hedgeLatencyFactor = 2.2
)

// endedAttempt is an attempt that has ended, and its backend.
type endedAttempt struct {
	attempt Attempt
	backend *Backend
}

// attemptWithHedge sends to one backend. Where the request is idempotent and the backend has
// responded to no request at all for hedgeDelay, a second backend is sent the same request and the
// first complete response is taken; the other is discarded. arrivals counts the attempts that were
// sent.
func (d *Daemon) attemptWithHedge(
	ctx context.Context, plan *Plan, backend *Backend, chosenAt time.Duration, arrivals *int,
) (attempt Attempt, answering *Backend) {
	wait := hedgeDelay(plan, backend)
	if !plan.Route.Type.Retryable() || plan.AttemptsLeft < 2 || wait <= 0 || plan.BoundBackend != "" {
		attempt = runAttempt(ctx, d.clock, backend, plan.Request, d.attemptOptions(plan, chosenAt))
		if attempt.Sent {
			*arrivals++
		}
		return attempt, backend
	}
	ended := make(chan endedAttempt, 2)
	sentAt := d.clock.Now()
	d.startAttempt(ctx, plan, backend, chosenAt, ended)
	running := 1
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case end := <-ended:
			running--
			if end.attempt.Sent {
				*arrivals++
			}
			if end.attempt.Outcome == Complete || running == 0 {
				if running > 0 {
					go discard(ended)
				}
				return end.attempt, end.backend
			}
			// One of two has failed; the other may yet answer.
			plan.Next(d.clock.Now(), end.backend.ID, end.attempt)
		case <-timer.C:
			now := d.clock.Now()
			if second := d.hedgeBackend(ctx, plan, backend, sentAt, now); second != nil {
				d.startAttempt(ctx, plan, second, now, ended)
				running++
			}
		}
	}
}

// hedgeDelay is how long a backend may send no response before the request is hedged.
func hedgeDelay(plan *Plan, backend *Backend) time.Duration {
	targetShare := time.Duration(float64(plan.Route.LatencyTarget) * hedgeTargetShare)
	return max(targetShare, time.Duration(hedgeLatencyFactor*backend.stats.MeanLatency())*time.Millisecond)
}

// startAttempt sends to a backend on a goroutine of its own, which sends the result on a channel.
func (d *Daemon) startAttempt(
	ctx context.Context, plan *Plan, backend *Backend, chosenAt time.Duration, ended chan<- endedAttempt,
) {
	go func() {
		attempt := runAttempt(ctx, d.clock, backend, plan.Request, d.attemptOptions(plan, chosenAt))
		ended <- endedAttempt{attempt, backend}
	}()
}

// hedgeBackend is the backend for the hedged request, or nil where the first has responded to some
// request meanwhile, no other can be chosen or no retry is allowed, or nobody wants the response.
func (d *Daemon) hedgeBackend(
	ctx context.Context, plan *Plan, first *Backend, sentAt, now time.Duration,
) *Backend {
	if ctx.Err() != nil || !first.noResponseSince(sentAt) || now >= plan.Deadline {
		return nil
	}
	attempted := append([]rpc.EndpointID{first.ID}, plan.Attempted...)
	second, _ := d.state.chooseEndpoint(d.state.Snapshot(), d.criteria(plan, attempted))
	if second == nil || !d.allowRetry(now, plan, second) {
		return nil
	}
	return second
}

// discard receives the attempt that lost and releases its connection.
func discard(ended <-chan endedAttempt) {
	if end := <-ended; end.attempt.Response.Finish != nil {
		end.attempt.Response.Finish(false)
	}
}
