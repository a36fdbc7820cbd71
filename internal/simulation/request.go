package simulation

// A request is what an operator wants done to one register: the command for the real state
// machine, and how the register is read there.

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tinpin/internal/policy"
	"tinpin/internal/statemachine"
)

const unwritten = ""

// Request for one register.
type Request struct {
	history *History
	call    call
	// reworded writes the same content in other words.
	reworded bool
}

// sort of a register is what stands before the slash of its name.
func sortOf(name string) (sort, rest string) {
	sort, rest, _ = strings.Cut(name, "/")
	return sort, rest
}

func (o Request) command() (command statemachine.Command) {
	sort, name := sortOf(o.history.name)
	switch sort {
	case "config":
		return statemachine.Command{Kind: statemachine.CommandConfig, Body: []byte(itemText(name, o.call, o.reworded))}
	case "document":
		if o.call.content == unwritten {
			return statemachine.Command{Kind: statemachine.CommandDocument, Subject: name, Number: o.call.version}
		}
		return statemachine.Command{Kind: statemachine.CommandDocument, Subject: name, Body: []byte(documentText(o.call))}
	case "evacuation":
		if o.call.content == "active" {
			return statemachine.Command{Kind: statemachine.CommandStartEvacuation, Subject: name}
		}
		return statemachine.Command{Kind: statemachine.CommandEndEvacuation, Subject: name}
	}
	return statemachine.Command{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: name, Request: o.call.content, Holder: "edge", Incarnation: 1}}
}

func itemText(name string, call call, another bool) (text string) {
	if another {
		return fmt.Sprintf(`{"upserts": {"services": {"column_names": ["version", "cold_start", "max_connections", "name", "health_check_path"], "row_values": [[%d, null, %s, %q, "/h"]]}}}`, call.version, call.content, name)
	}
	return fmt.Sprintf(`{"upserts":{"services":{"column_names":["name","health_check_path","max_connections","version"],"row_values":[[%q,"/h",%s,%d]]}}}`, name, call.content, call.version)
}

func documentText(call call) (text string) {
	return fmt.Sprintf(`{"version":%d,"rules":[{"service":"*","notice":"1s","finish":"%sms","keyed":"deadline","least_share":0.5}],"lost_touch":"5s","cut_off":"stop"}`, call.version, call.content)
}

// observe reads a register from the replicated state.
func (h *History) observe(state *statemachine.State) (seen observation) {
	seen.outcome = confirmed
	sort, name := sortOf(h.name)
	switch sort {
	case "config":
		item, known := state.Config.Find("services/" + name)
		if !known {
			return seen
		}
		seen.version = uint64(item.Version)
		for _, field := range item.Fields {
			if field.Name == "max_connections" {
				seen.content = field.JSON
			}
		}
	case "document":
		document := state.Documents[policy.Kind(name)]
		seen.version = uint64(document.Version)
		if _, behind, found := strings.Cut(document.Body, `"finish":"`); found {
			seen.content, _, _ = strings.Cut(behind, "ms")
		}
	case "evacuation":
		if standing := state.Evacuations[name]; standing.Active {
			seen.content = standing.Summary()
		}
	case "key":
		claim, _ := state.ClaimOf(name)
		seen.content = claim.Request
	}
	return seen
}

// answerOf is what the caller of a request observes.
func (o Request) answerOf(answer Answer) (observed observation) {
	sort, _ := sortOf(o.history.name)
	switch {
	case !answer.Clear:
		observed.outcome = unknown
	case sort == "key" && !answer.Result.Granted, sort != "key" && answer.Result.Err != nil:
		observed.outcome = refused
	default:
		observed.outcome = confirmed
	}
	return observed
}

// alterResult is what an injected bug makes of the result of a command.
func (p InjectedBug) alterResult(state *statemachine.State, command statemachine.Command, result statemachine.Result) (bent statemachine.Result) {
	switch {
	case p == TwoContents && command.Kind == statemachine.CommandConfig:
		result.Err = nil
	case p == TwoRuns && command.Kind == statemachine.CommandClaim:
		result.Granted = true
	case p == ResentRefused && command.Kind == statemachine.CommandDocument && len(command.Body) > 0:
		var version uint64
		_, behind, _ := strings.Cut(string(command.Body), `"version":`)
		number, _, _ := strings.Cut(behind, ",")
		version, _ = strconv.ParseUint(number, 10, 64)
		if uint64(state.Documents[policy.Kind(command.Subject)].Version) > version {
			result.Err = errors.New("the version is not above the one that holds")
		}
	}
	return result
}
