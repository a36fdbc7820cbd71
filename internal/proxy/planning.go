package proxy

import (
	"math/rand"
	"strconv"
	"strings"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/message"
)

// defaultRouteTimeout is the timeout of a request whose route sets none.
const defaultRouteTimeout = time.Minute

// newPlan makes the plan of a request, or says why there is none. The tenant's limit is checked
// before anything is recorded, so that a request beyond it has no other effect.
func (d *Daemon) newPlan(
	request *message.Request, deadline string,
) (plan *Plan, kind apierror.Kind, retryAfter time.Duration) {
	snapshot := d.state.Snapshot()
	now := d.clock.Now()
	route, kind := d.findRoute(snapshot, request)
	if kind != apierror.None {
		return nil, kind, 0
	}
	tenant := snapshot.View.Tenant(request.Host)
	if tenant != nil {
		if admitted, wait := d.tenantLimits.Admit(now, tenant); !admitted {
			return nil, apierror.RateLimited, wait
		}
	}
	left := timeLeft(route, deadline)
	if left <= 0 {
		return nil, apierror.DeadlineTooShort, 0
	}
	if !d.accepts(route, left) {
		return nil, apierror.ShuttingDown, 0
	}
	plan = &Plan{
		Route: route, Service: pickTarget(route, rand.Float64()), Request: request,
		StartedAt: now, Deadline: now + left, AttemptsLeft: route.MaxAttempts,
	}
	request.StreamBody = route.Type == config.Download
	d.state.Policies.Sessions.assignSession(plan, tenant)
	if route.Type == config.Keyed {
		plan.Key = request.OperationKey()
		if plan.Key == "" {
			return nil, apierror.MissingKey, 0
		}
		if tenant != nil {
			plan.Key = tenant.Name + "/" + plan.Key
		}
	}
	d.retryBudget.RecordRequest(now, plan.Service)
	return plan, apierror.None, 0
}

// findRoute returns the route of a request, or the error of one that cannot be handled now.
func (d *Daemon) findRoute(snapshot *Snapshot, request *message.Request) (route *config.Route, kind apierror.Kind) {
	if d.state.Policies.Isolated() {
		return nil, apierror.Isolated
	}
	if !snapshot.Configured {
		return nil, apierror.NotConfigured
	}
	path := request.Target
	if at := strings.IndexByte(path, '?'); at >= 0 {
		path = path[:at]
	}
	route = snapshot.View.Find(request.Host, path)
	switch {
	case route == nil:
		return nil, apierror.NoRoute
	case request.ID == "":
		return nil, apierror.BadRequest
	case request.Pipelined && !route.Type.Retryable():
		// The frontend handles only idempotent requests ahead of earlier responses: the route has
		// changed since it looked.
		return nil, apierror.Overloaded
	}
	return route, apierror.None
}

// timeLeft is how long a request may take: the smaller of its route's timeout and its client's
// deadline in milliseconds. A deadline that is not a number is ignored.
func timeLeft(route *config.Route, deadline string) (left time.Duration) {
	left = route.Timeout
	if left <= 0 {
		left = defaultRouteTimeout
	}
	if deadline != "" {
		if milliseconds, err := strconv.ParseInt(deadline, 10, 64); err == nil {
			left = min(left, time.Duration(milliseconds)*time.Millisecond)
		}
	}
	return left
}
