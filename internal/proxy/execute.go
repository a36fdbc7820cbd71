package proxy

import (
	"context"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/await"
	"tinpin/internal/config"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// capacityPollInterval is how often a request that found all backends full looks again; it does so
// no longer than a rejection still lets the client retry in time.
const capacityPollInterval = 12 * time.Millisecond

// capacityWaitDivisor gives the part of a route's target latency that a request may wait for
// capacity.
const capacityWaitDivisor = 5

// Handle plans a request and executes the plan. The context is the lifetime of the request; its
// owner ends it when the client has left.
func (d *Daemon) Handle(ctx context.Context, request *message.Request, deadline string) message.Response {
	plan, kind, retryAfter := d.newPlan(request, deadline)
	if kind != apierror.None {
		return message.ErrorResponseAfter(kind, request.ID, retryAfter)
	}
	if plan.Key != "" {
		return d.executeKeyed(ctx, plan)
	}
	response, kind := d.execute(ctx, plan)
	if kind != apierror.None {
		return message.ErrorResponse(kind, request.ID)
	}
	return response
}

// execute makes the attempts of a plan, once the concurrency limit of its service lets it.
func (d *Daemon) execute(ctx context.Context, plan *Plan) (response message.Response, kind apierror.Kind) {
	if plan.Session != "" {
		if kind = d.bind(ctx, plan); kind != apierror.None {
			return response, plan.errorKind(kind)
		}
	}
	limiter := d.concurrency.forService(string(plan.Service))
	for !limiter.Acquire(plan.Route.Priority) {
		if !d.mayWaitForCapacity(plan) {
			return response, plan.errorKind(apierror.Overloaded)
		}
		if !await.Delay(ctx, capacityPollInterval) {
			return response, endedKind(ctx, plan)
		}
	}
	defer limiter.Release()
	return d.attemptOrServerError(ctx, plan, limiter)
}

// mayWaitForCapacity tells whether a request may look for capacity once more, so that a rejection
// still lets the client retry in time.
func (d *Daemon) mayWaitForCapacity(plan *Plan) bool {
	waitEnd := min(plan.StartedAt+plan.Route.LatencyTarget/capacityWaitDivisor, plan.Deadline)
	return d.clock.Now()+capacityPollInterval < waitEnd
}

// attemptOrServerError makes the attempts of a plan. Where none gave a better response, the last
// server error of a backend is the response.
func (d *Daemon) attemptOrServerError(
	ctx context.Context, plan *Plan, limiter *ConcurrencyLimiter,
) (response message.Response, kind apierror.Kind) {
	response, kind = d.runAttempts(ctx, plan, limiter)
	if kind != apierror.None && plan.LastServerError != nil {
		return *plan.LastServerError, apierror.None
	}
	return response, kind
}

// runAttempts sends a plan's request until there is a response or an error.
func (d *Daemon) runAttempts(
	ctx context.Context, plan *Plan, limiter *ConcurrencyLimiter,
) (response message.Response, kind apierror.Kind) {
	arrivals := 0
	for {
		if ctx.Err() != nil {
			return response, endedKind(ctx, plan)
		}
		now := d.clock.Now()
		if now >= plan.Deadline {
			return response, plan.errorKind(apierror.DeadlineTooShort)
		}
		backend, kind := d.nextBackend(plan)
		if kind != apierror.None {
			return response, plan.errorKind(kind)
		}
		if backend == nil {
			_ = await.Delay(ctx, capacityPollInterval)
			continue
		}
		if arrivals > 0 && !d.allowRetry(now, plan, backend) {
			return response, plan.errorKind(apierror.Overloaded)
		}
		attempt, answering := d.attemptWithHedge(ctx, plan, backend, now, &arrivals)
		d.observe(plan, limiter, now, &attempt)
		step, kind := plan.Next(d.clock.Now(), answering.ID, attempt)
		if attempt.Outcome == ServerError {
			if attempt.Response.BodyRest != nil {
				return attempt.Response, apierror.None
			}
			serverError := attempt.Response
			plan.LastServerError = &serverError
		}
		switch step {
		case StepRespond:
			return attempt.Response, apierror.None
		case StepFail:
			if ctx.Err() != nil {
				kind = endedKind(ctx, plan)
			}
			return response, kind
		case StepRetry:
			if plan.BoundBackend != "" {
				// The retry goes to the same backend, which gets a moment to recover capacity.
				_ = await.Delay(ctx, capacityPollInterval)
			}
		}
	}
}

// nextBackend chooses the backend for a plan's next attempt. Where all are full and the request may wait,
// there is none and no error.
func (d *Daemon) nextBackend(plan *Plan) (backend *Backend, kind apierror.Kind) {
	backend, anyUsable := d.state.chooseEndpoint(d.state.Snapshot(), d.criteria(plan, plan.Attempted))
	switch {
	case backend != nil:
		return backend, apierror.None
	case !anyUsable:
		return nil, apierror.NoBackend
	case !d.mayWaitForCapacity(plan):
		return nil, apierror.Overloaded
	}
	return nil, apierror.None
}

// observe records what became of an attempt that began at a time with the retry limit and the
// service's concurrency limit.
func (d *Daemon) observe(plan *Plan, limiter *ConcurrencyLimiter, startedAt time.Duration, attempt *Attempt) {
	if attempt.Sent {
		ended := d.clock.Now()
		inTime := plan.Route.LatencyTarget <= 0 || ended-startedAt <= plan.Route.LatencyTarget
		d.retryBudget.RecordOutcome(ended, plan.Service, attempt.Outcome == Complete && inTime)
	}
	if attempt.Outcome == Complete {
		limiter.ObserveLatency(d.clock.Now()-startedAt, plan.Route.LatencyTarget)
	}
}

// allowRetry takes one retry from the budget, for a backend that is expected to answer with the
// service's present mean latency.
func (d *Daemon) allowRetry(now time.Duration, plan *Plan, backend *Backend) bool {
	expected := time.Duration(backend.stats.MeanLatency() * float64(time.Millisecond))
	return d.retryBudget.SpendRetry(now, now+expected, plan.Deadline, plan.Service)
}

// attemptOptions says how a plan's request may be sent. A request that is not idempotent cannot be
// retried after its backend turns out to have closed the connection, so its connection must not have
// been idle long.
func (d *Daemon) attemptOptions(plan *Plan, chosenAt time.Duration) (options AttemptOptions) {
	options = AttemptOptions{
		ChosenAt: chosenAt, Deadline: plan.Deadline, MaxIdle: defaultMaxIdle, Keyed: plan.Key != "",
		Interruptible: plan.Route.Type.Retryable(),
		Bandwidth:     d.bandwidth, Permits: d, Counts: &d.attempts, DisabledChecks: d.disabledChecks,
	}
	if plan.BoundBackend != "" {
		options.Permits = sessionPermits{d, plan.Service}
	}
	if !plan.Route.Type.Retryable() {
		options.MaxIdle = d.settings.MaxIdleNonIdempotent
	}
	if plan.BoundBackend != "" && plan.wasAttempted(plan.BoundBackend) && !d.disabledChecks.has(ReuseRejectingConn) {
		// An earlier attempt at this backend had the same request id: a duplicate of its response must
		// not be taken for the response to this attempt.
		options.MaxIdle = freshConnOnly
	}
	return options
}

// sessionPermits says which backends may be sent requests of the sessions that are bound to them.
type sessionPermits struct {
	daemon  *Daemon
	service rpc.ServiceName
}

func (p sessionPermits) mayReceive(backend *Backend) bool {
	d := p.daemon
	return !backend.isDraining() && d.warmUpLeased(backend) &&
		d.state.Policies.KeepsSessions(d.clock.Now(), backend.ID, p.service)
}

// criteria says which backends a plan's next attempt may choose from.
func (d *Daemon) criteria(plan *Plan, attempted []rpc.EndpointID) (criteria Criteria) {
	criteria = Criteria{
		Service: plan.Service, TargetLatency: plan.Route.LatencyTarget,
		Homes: plan.Route.AllowedRegions, Attempted: attempted,
		Idempotent: plan.Route.Type.Retryable(), Large: plan.Route.Type == config.Download,
		PlanWeights: d.state.Policies.PlanWeights(plan.Request.Host, plan.Service),
	}
	if plan.BoundBackend != "" {
		criteria.Bound, criteria.Attempted, criteria.PlanWeights = plan.BoundBackend, nil, nil
		return criteria
	}
	if !criteria.Large {
		criteria.OverflowZone = d.state.Policies.OverflowZone(plan.Service)
	}
	return criteria
}

// mayReceive tells whether a backend may still be sent new sessions and requests.
func (d *Daemon) mayReceive(backend *Backend) bool {
	return !backend.isDraining() && d.warmUpLeased(backend) && d.state.Policies.AcceptsNew(d.clock.Now(), backend.ID)
}

// warmUpLeased tells that a backend is not warming up, or that a lease allows requests to it.
func (d *Daemon) warmUpLeased(backend *Backend) bool {
	return !backend.isWarmingUp(d.clock.Now()) || d.state.Leased(rpc.WarmupRate, string(backend.ID)) > 0
}
