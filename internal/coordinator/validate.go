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
		if len(name) > policy.NameMost {
			return false
		}
	}
	return true
}

func validateDemands(what string, demands []rpc.Demand) (err error) {
	if len(demands) > maxDemands {
		return fmt.Errorf("too many rows of %s", what)
	}
	for _, demand := range demands {
		switch {
		case !namesFit(demand.Tenant):
			return fmt.Errorf("%s: %w", what, errLongName)
		case !(demand.Rate >= 0 && demand.Rate <= maxRate):
			return fmt.Errorf("%s at a rate of %g", what, demand.Rate)
		case !(demand.Floor >= 0 && demand.Floor <= 1):
			return fmt.Errorf("%s with a guaranteed minimum of %g", what, demand.Floor)
		}
	}
	return nil
}

func validateHeartbeat(request rpc.BeatAsk) (err error) {
	switch {
	case request.ID == "" || !namesFit(string(request.ID), string(request.Site), string(request.Region), request.Front, request.Inner):
		return errBadName
	case request.Hold < 0 || request.Hold > maxRequestedHold:
		return fmt.Errorf("hold time of %s", request.Hold)
	case request.Known < 0 || request.Known > maxCount:
		return fmt.Errorf("knows %d nodes", request.Known)
	}
	if err = validateDemands("demand", request.Demands); err != nil {
		return err
	}
	if err = validateDemands("retries", request.Retries); err != nil {
		return err
	}
	for _, load := range request.Burdens {
		if !namesFit(string(load.Service)) || load.AtWork < 0 || load.AtWork > maxCount {
			return fmt.Errorf("%d requests in flight", load.AtWork)
		}
	}
	for _, row := range request.Tallies {
		if !namesFit(string(row.Server), string(row.Service)) || row.Good > maxOutcomes || row.Bad > maxOutcomes {
			return fmt.Errorf("outcomes of %d good and %d bad requests", row.Good, row.Bad)
		}
	}
	return nil
}

// validateReport checks an owner's findings; the caller holds mu.
func (c *Coordinator) validateReport(request rpc.ReportAsk) (err error) {
	switch {
	case request.Fellow == "" || !namesFit(string(request.Fellow), string(request.Service)):
		return errBadName
	case request.Term > c.term || request.Term == c.term && request.Count > c.nodes.shardMapEpoch:
		return fmt.Errorf("findings by a shard map %d of term %d that was never sent", request.Count, request.Term)
	}
	for _, state := range request.States {
		server, listed := c.endpoints.Servers.Get(state.Server)
		switch {
		case !namesFit(string(state.Server), state.Aside):
			return errLongName
		case listed && server.Service != request.Service:
			return fmt.Errorf("findings on a backend of service %q", server.Service)
		case state.Health > rpc.Down:
			return fmt.Errorf("unknown health state %d", state.Health)
		case state.Cold < 0 || state.Cold > maxWarmUp:
			return fmt.Errorf("warm-up of %s", state.Cold)
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
func (r *rejectionLog) reject(log *eventlog.Logger, call string, by rpc.FellowID, reason error) (err error) {
	count := r.count.Add(1)
	if count <= loggedRejections || count%loggedRejections == 0 {
		log.Emit(eventlog.NodeRequestRejected, eventlog.KeyCall, call, eventlog.KeyNode, string(by)[:min(len(by), policy.NameMost)], eventlog.KeyReason, reason.Error(), eventlog.KeyCount, count)
	}
	return &InvalidCallError{Call: call, Reason: reason}
}
