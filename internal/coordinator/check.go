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
	rateMost    = 1e9
	countMost   = 1 << 20
	demandsMost = 1 << 16
	tallyMost   = 1 << 24
	coldMost    = time.Hour
	holdMost    = time.Minute
)

func fits(names ...string) (good bool) {
	for _, name := range names {
		if len(name) > policy.NameMost {
			return false
		}
	}
	return true
}

func demandFault(what string, demands []rpc.Demand) (fault string) {
	if len(demands) > demandsMost {
		return "too many " + what
	}
	for _, demand := range demands {
		switch {
		case !fits(demand.Tenant):
			return what + " of a name that is too long"
		case !(demand.Rate >= 0 && demand.Rate <= rateMost):
			return fmt.Sprintf("%s at a rate of %g", what, demand.Rate)
		case !(demand.Floor >= 0 && demand.Floor <= 1):
			return fmt.Sprintf("%s with a floor of %g", what, demand.Floor)
		}
	}
	return ""
}

// beatFault tells what is wrong with a beat.
func beatFault(ask rpc.BeatAsk) (fault string) {
	switch {
	case ask.ID == "" || !fits(string(ask.ID), string(ask.Site), string(ask.Region), ask.Front, ask.Inner):
		return "a name is missing or too long"
	case ask.Hold < 0 || ask.Hold > holdMost:
		return "held for " + ask.Hold.String()
	case ask.Known < 0 || ask.Known > countMost:
		return fmt.Sprintf("knows %d fellows", ask.Known)
	}
	if fault = demandFault("demand", ask.Demands); fault != "" {
		return fault
	}
	if fault = demandFault("retries", ask.Retries); fault != "" {
		return fault
	}
	for _, burden := range ask.Burdens {
		if !fits(string(burden.Service)) || burden.AtWork < 0 || burden.AtWork > countMost {
			return fmt.Sprintf("%d at work", burden.AtWork)
		}
	}
	for _, tally := range ask.Tallies {
		if !fits(string(tally.Server), string(tally.Service)) || tally.Good > tallyMost || tally.Bad > tallyMost {
			return fmt.Sprintf("outcomes %d and %d", tally.Good, tally.Bad)
		}
	}
	return ""
}

// reportFault tells what is wrong with an owner's report; the caller holds the lock.
func (f *Coordinator) reportFault(ask rpc.ReportAsk) (fault string) {
	switch {
	case ask.Fellow == "" || !fits(string(ask.Fellow), string(ask.Service)):
		return "a name is missing or too long"
	case ask.Term > f.term || ask.Term == f.term && ask.Count > f.mapAt:
		return fmt.Sprintf("findings of a map %d of term %d that was never told", ask.Count, ask.Term)
	}
	for _, state := range ask.States {
		server, listed := f.list.Servers.Get(state.Server)
		switch {
		case !fits(string(state.Server), state.Aside):
			return "a name that is too long"
		case listed && server.Service != ask.Service:
			return fmt.Sprintf("findings of a backend of %q", server.Service)
		case state.Health > rpc.Down:
			return fmt.Sprintf("health %d", state.Health)
		case state.Cold < 0 || state.Cold > coldMost:
			return "cold for " + state.Cold.String()
		}
	}
	return ""
}

// loggedRefusals is how many refused calls of one leadership are logged each;
// beyond, one in so many is.
const loggedRefusals = 64

// refuse notes a refused call.
func (f *Coordinator) refuse(call string, by rpc.FellowID, fault string) (err error) {
	count := f.refusals.Add(1)
	if count <= loggedRefusals || count%loggedRefusals == 0 {
		f.log.Emit(eventlog.NodeRequestRejected, "call", call, "by", string(by)[:min(len(by), policy.NameMost)], "why", fault, "count", count)
	}
	return Class.New("refused: %s", fault)
}
