package controller

import (
	"tinpin/internal/config"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

// Trace tells what this controller knows of a subject: the changes it noted, and
// how the subject stands here.
func (h *StatusHandler) Trace(request rpc.TraceRequest, reply *rpc.TraceResponse) (err error) {
	c := h.controller
	reply.Name = c.settings.Name
	for _, change := range c.node.History.Changes(history.Subject{Kind: request.Kind, Name: request.Name}) {
		reply.Entries = append(reply.Entries, rpc.TraceEntry{
			Event: change.Action, Summary: change.State, LogIndex: change.Revision, Age: change.Age,
		})
	}
	switch request.Kind {
	case history.Item, history.Document, history.Retirement, history.ScheduleStep, history.Evacuation:
		c.node.ReadState(func(state *statemachine.State) {
			reply.Summary, reply.LogIndex, reply.Present = traceState(state, request)
		})
	default:
		// Only the leader knows backends and their health.
		if current := c.nodeCalls.Coordinator(); current != nil {
			summary, has := current.CurrentSummary(request.Kind, rpc.EndpointID(request.Name))
			if c.nodeCalls.ConfirmLeadership(current) {
				reply.Summary, reply.Present = summary, has
			}
		}
	}
	return nil
}

// traceState gives the summary and log index of a subject in the replicated state.
func traceState(state *statemachine.State, request rpc.TraceRequest) (summary string, logIndex uint64, has bool) {
	switch request.Kind {
	case history.Item:
		var item config.Item
		item, has = state.Config.Find(request.Name)
		return item.Summary(), item.Rev, has
	case history.Document:
		document, has := state.Documents[policy.Kind(request.Name)]
		return document.Summary(), document.Rev, has
	case history.Retirement:
		retired, has := state.Retirements[rpc.EndpointID(request.Name)]
		return retired.Summary(), retired.Rev, has
	case history.Evacuation:
		evacuation, has := state.Evacuations[request.Name]
		return evacuation.Summary(), evacuation.Revision, has
	default:
		return state.ScheduleStep.Summary(), state.ScheduleStep.Rev, state.ScheduleStep.Rev > 0
	}
}
