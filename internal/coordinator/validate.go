// Check looks over what fellows bring before any of it is taken. A call with a
// number that cannot be, a name that is too long, or findings of another map or
// service is refused whole: it changes nothing, and is logged.
package coordinator

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"tinpin/internal/eventlog"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// Class marks refused calls.
var Class = errs.Class("forum")

const (
	maxRate          = 1e9
	maxCount         = 1 << 20
	maxDemands       = 1 << 16
	maxOutcomes      = 1 << 24
	maxWarmUp        = time.Hour
	maxRequestedHold = time.Minute
)

func namesFit(names ...string) (good bool) {
	for _, name := range names {
		if len(name) > policy.NameMost {
			return false
		}
	}
	return true
}

func demandError(what string, demands []rpc.Demand) (reason string) {
	if len(demands) > maxDemands {
		return "too many " + what
	}
	for _, demand := range demands {
		switch {
		case !namesFit(demand.Tenant):
			return what + " of a name that is too long"
		case !(demand.Rate >= 0 && demand.Rate <= maxRate):
			return fmt.Sprintf("%s at a rate of %g", what, demand.Rate)
		case !(demand.Floor >= 0 && demand.Floor <= 1):
			return fmt.Sprintf("%s with a floor of %g", what, demand.Floor)
		}
	}
	return ""
}

// heartbeatError tells what is wrong with a beat.
func heartbeatError(request rpc.BeatAsk) (reason string) {
	switch {
	case request.ID == "" || !namesFit(string(request.ID), string(request.Site), string(request.Region), request.Front, request.Inner):
		return "a name is missing or too long"
	case request.Hold < 0 || request.Hold > maxRequestedHold:
		return "held for " + request.Hold.String()
	case request.Known < 0 || request.Known > maxCount:
		return fmt.Sprintf("knows %d fellows", request.Known)
	}
	if reason = demandError("demand", request.Demands); reason != "" {
		return reason
	}
	if reason = demandError("retries", request.Retries); reason != "" {
		return reason
	}
	for _, burden := range request.Burdens {
		if !namesFit(string(burden.Service)) || burden.AtWork < 0 || burden.AtWork > maxCount {
			return fmt.Sprintf("%d at work", burden.AtWork)
		}
	}
	for _, tally := range request.Tallies {
		if !namesFit(string(tally.Server), string(tally.Service)) || tally.Good > maxOutcomes || tally.Bad > maxOutcomes {
			return fmt.Sprintf("outcomes %d and %d", tally.Good, tally.Bad)
		}
	}
	return ""
}

// reportError tells what is wrong with an owner's report; the caller holds the lock.
func (c *Coordinator) reportError(request rpc.ReportAsk) (reason string) {
	switch {
	case request.Fellow == "" || !namesFit(string(request.Fellow), string(request.Service)):
		return "a name is missing or too long"
	case request.Term > c.term || request.Term == c.term && request.Count > c.shardMapEpoch:
		return fmt.Sprintf("findings of a map %d of term %d that was never told", request.Count, request.Term)
	}
	for _, state := range request.States {
		server, listed := c.endpoints.Servers.Get(state.Server)
		switch {
		case !namesFit(string(state.Server), state.Aside):
			return "a name that is too long"
		case listed && server.Service != request.Service:
			return fmt.Sprintf("findings of a backend of %q", server.Service)
		case state.Health > rpc.Down:
			return fmt.Sprintf("health %d", state.Health)
		case state.Cold < 0 || state.Cold > maxWarmUp:
			return "cold for " + state.Cold.String()
		}
	}
	return ""
}

// loggedRejections is how many refused calls of one leadership are logged each;
// beyond, one in so many is.
const loggedRejections = 64

// reject notes a refused call.
func (c *Coordinator) reject(call string, by rpc.FellowID, reason string) (err error) {
	count := c.rejections.Add(1)
	if count <= loggedRejections || count%loggedRejections == 0 {
		c.log.Say(eventlog.AskRefused, "call", call, "by", string(by)[:min(len(by), policy.NameMost)], "why", reason, "count", count)
	}
	return Class.New("refused: %s", reason)
}
