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

// maxHedged is how many attempts of one request run beside each other.
const maxHedged = 2

// runningAttempt is an attempt that has begun.
type runningAttempt struct {
	backend *Backend
	abandon context.CancelFunc
}

// endedAttempt is an attempt that has ended, and its backend.
type endedAttempt struct {
	attempt Attempt
	backend *Backend
}

// hedgedRequest is a request with the attempts at it that run beside each other.
type hedgedRequest struct {
	daemon  *Daemon
	plan    *Plan
	begun   [maxHedged]runningAttempt
	count   int
	running int
	ended   chan endedAttempt
}

// attemptWithHedge sends to one backend. Where the request is idempotent and the backend has
// responded to no request at all for hedgeDelay, a second backend is sent the same request and the
// first complete response is taken; the other attempt is abandoned. arrivals counts the attempts that
// were sent.
func (d *Daemon) attemptWithHedge(
	ctx context.Context, plan *Plan, backend *Backend, chosenAt time.Duration, arrivals *int,
) (attempt Attempt, answering *Backend) {
	wait := hedgeDelay(plan, backend)
	if !plan.Route.Type.Retryable() || plan.AttemptsLeft < maxHedged || wait <= 0 || plan.BoundBackend != "" {
		attempt = runAttempt(ctx, d.clock, backend, plan.Request, d.attemptOptions(plan, chosenAt))
		if attempt.Sent {
			*arrivals++
		}
		return attempt, backend
	}
	hedged := &hedgedRequest{daemon: d, plan: plan, ended: make(chan endedAttempt, maxHedged)}
	sentAt := d.clock.Now()
	hedged.begin(ctx, backend, chosenAt)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case end := <-hedged.ended:
			hedged.running--
			if end.attempt.Sent {
				*arrivals++
			}
			if end.attempt.Outcome == Complete || hedged.running == 0 {
				hedged.abandonAllBut(end.backend)
				return end.attempt, end.backend
			}
			// One of two has failed; the other may yet answer.
			plan.Next(d.clock.Now(), end.backend.ID, end.attempt)
		case <-timer.C:
			now := d.clock.Now()
			if second := d.hedgeBackend(ctx, plan, backend, sentAt, now); second != nil {
				hedged.begin(ctx, second, now)
			}
		}
	}
}

// hedgeDelay is how long a backend may send no response before the request is hedged.
func hedgeDelay(plan *Plan, backend *Backend) time.Duration {
	targetShare := time.Duration(float64(plan.Route.LatencyTarget) * hedgeTargetShare)
	return max(targetShare, time.Duration(hedgeLatencyFactor*backend.stats.MeanLatency())*time.Millisecond)
}

// begin sends to a backend on a goroutine of its own. The attempt lives no longer than its request,
// and until it is abandoned.
func (h *hedgedRequest) begin(ctx context.Context, backend *Backend, chosenAt time.Duration) {
	ctx, abandon := context.WithCancel(ctx)
	h.begun[h.count] = runningAttempt{backend, abandon}
	h.count++
	h.running++
	go func() {
		d, plan := h.daemon, h.plan
		attempt := runAttempt(ctx, d.clock, backend, plan.Request, d.attemptOptions(plan, chosenAt))
		attempt.whenFinished(abandon)
		h.ended <- endedAttempt{attempt, backend}
	}()
}

// abandonAllBut ends the attempts that have lost to a backend's, and their responses if they have any by
// then.
func (h *hedgedRequest) abandonAllBut(winner *Backend) {
	if h.running == 0 {
		return
	}
	for _, attempt := range h.begun[:h.count] {
		if attempt.backend != winner {
			attempt.abandon()
		}
	}
	go func() {
		for range h.running {
			if end := <-h.ended; end.attempt.Response.Finish != nil {
				end.attempt.Response.Finish(false)
			}
		}
	}()
}

// whenFinished has a function called once nothing more is read for the attempt: now, or when its
// response was passed on to its end.
func (a *Attempt) whenFinished(call func()) {
	finish := a.Response.Finish
	if finish == nil {
		call()
		return
	}
	a.Response.Finish = func(complete bool) {
		finish(complete)
		call()
	}
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
