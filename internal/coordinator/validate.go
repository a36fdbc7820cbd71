package coordinator

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// What one call of a node may bring. A call with a number that cannot be, a name
// that is too long, or findings of another shard map or service is rejected as a
// whole: it changes nothing, and is logged.
const (
	maxRate          = 1e9
	maxCount         = 1 << 20
	maxDemands       = 1 << 16
	maxOutcomes      = 1 << 24
	maxWarmUp        = time.Hour
	maxRequestedHold = time.Minute
)

// InvalidCallError is a call of a node that was rejected.
type InvalidCallError struct {
	// Call is the kind of call, Reason what is wrong with it.
	Call   string
	Reason error
}

func (e *InvalidCallError) Error() string { return "rejected " + e.Call + ": " + e.Reason.Error() }

// Unwrap gives the reason.
func (e *InvalidCallError) Unwrap() error { return e.Reason }

var (
	errBadName  = errors.New("a name is missing or too long")
	errLongName = errors.New("a name is too long")
)

func namesFit(names ...string) (good bool) {
	for _, name := range names {
		if len(name) > policy.MaxNameLength {
			return false
		}
	}
	return true
}

func validateDemands(what string, demands []rpc.RateDemand) (err error) {
	if len(demands) > maxDemands {
		return fmt.Errorf("too many rows of %s", what)
	}
	for _, demand := range demands {
		switch {
		case !namesFit(demand.Name):
			return fmt.Errorf("%s: %w", what, errLongName)
		case !(demand.Rate >= 0 && demand.Rate <= maxRate):
			return fmt.Errorf("%s at a rate of %g", what, demand.Rate)
		case !(demand.Minimum >= 0 && demand.Minimum <= 1):
			return fmt.Errorf("%s with a guaranteed minimum of %g", what, demand.Minimum)
		}
	}
	return nil
}

func validateHeartbeat(request rpc.HeartbeatRequest) (err error) {
	switch {
	case request.ID == "" || !namesFit(string(request.ID), string(request.Zone), string(request.Region),
		request.FrontendAddress, request.InternalAddress):
		return errBadName
	case request.MaxWait < 0 || request.MaxWait > maxRequestedHold:
		return fmt.Errorf("hold time of %s", request.MaxWait)
	case request.KnownNodes < 0 || request.KnownNodes > maxCount:
		return fmt.Errorf("knows %d nodes", request.KnownNodes)
	}
	if err = validateDemands("demand", request.TenantDemands); err != nil {
		return err
	}
	if err = validateDemands("retries", request.RetryDemands); err != nil {
		return err
	}
	return validateMeasurements(request)
}

// validateMeasurements checks the load and the outcomes that a node reports.
func validateMeasurements(request rpc.HeartbeatRequest) (err error) {
	for _, load := range request.Loads {
		if !namesFit(string(load.Service)) || load.InFlight < 0 || load.InFlight > maxCount {
			return fmt.Errorf("%d requests in flight", load.InFlight)
		}
	}
	for _, row := range request.Outcomes {
		if !namesFit(string(row.Endpoint), string(row.Service)) ||
			row.Succeeded > maxOutcomes || row.Failed > maxOutcomes {
			return fmt.Errorf("outcomes of %d good and %d bad requests", row.Succeeded, row.Failed)
		}
	}
	return nil
}

// validateReport checks an owner's findings; the caller holds mu.
func (c *Coordinator) validateReport(request rpc.HealthReport) (err error) {
	switch {
	case request.Node == "" || !namesFit(string(request.Node), string(request.Service)):
		return errBadName
	case request.Term > c.term || request.Term == c.term && request.ShardMapRevision > c.nodes.shardMapRevision:
		return fmt.Errorf("findings by a shard map %d of term %d that was never sent",
			request.ShardMapRevision, request.Term)
	}
	for _, state := range request.States {
		endpoint, listed := c.endpoints.Endpoints.Get(state.Endpoint)
		switch {
		case !namesFit(string(state.Endpoint), state.EjectedFor):
			return errLongName
		case listed && endpoint.Service != request.Service:
			return fmt.Errorf("findings on a backend of service %q", endpoint.Service)
		case state.Health > rpc.Unhealthy:
			return fmt.Errorf("unknown health state %d", state.Health)
		case state.WarmupRemaining < 0 || state.WarmupRemaining > maxWarmUp:
			return fmt.Errorf("warm-up of %s", state.WarmupRemaining)
		}
	}
	return nil
}

// loggedRejections is how many rejected calls of one term are logged each;
// beyond, one in so many is.
const loggedRejections = 64

// rejectionLog counts rejected calls. It may be used from any goroutine.
type rejectionLog struct{ count atomic.Int64 }

// reject logs a rejected call and gives the error for its caller.
func (r *rejectionLog) reject(log *eventlog.Logger, call string, by rpc.NodeID, reason error) (err error) {
	count := r.count.Add(1)
	if count <= loggedRejections || count%loggedRejections == 0 {
		log.Emit(eventlog.NodeRequestRejected, eventlog.KeyCall, call,
			eventlog.KeyNode, string(by)[:min(len(by), policy.MaxNameLength)],
			eventlog.KeyReason, reason.Error(), eventlog.KeyCount, count)
	}
	return &InvalidCallError{Call: call, Reason: reason}
}
