// Status is an accord daemon's account of itself for operators' tools.
package controller

import (
	"encoding/json"

	"tinpin/internal/config"
	"tinpin/internal/coordinator"
	"tinpin/internal/history"
	"tinpin/internal/policy"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

// StatusHandler answers calls about this daemon.
type StatusHandler struct{ council *Controller }

// Status is what an accord daemon tells of itself.
type Status struct {
	Role     string `json:"role"`
	Name     string `json:"name"`
	ID       string `json:"id"`
	IsLeader bool   `json:"leads"`
	Settled  bool   `json:"settled"`
	// InContact tells that it leads by a proof that holds now.
	InContact bool          `json:"contact"`
	Term      uint64        `json:"term"`
	Leader    string        `json:"leader"`
	Members   []raft.Member `json:"members"`
	Revision  uint64        `json:"rev"`
	Claims    int           `json:"claims"`
	// AcceptedRequests and Overtaken count what the record of orders and of overtaken
	// versions holds; Forgotten what fell out of either for want of room.
	AcceptedRequests  int    `json:"orders_remembered"`
	OvertakenVersions int    `json:"overtaken_remembered"`
	ForgottenRequests uint64 `json:"orders_forgotten"`
	// BytesIn and BytesOut are those of inner calls since it started.
	BytesIn     int64               `json:"bytes_in"`
	BytesOut    int64               `json:"bytes_out"`
	Coordinator *coordinator.Status `json:"forum,omitempty"`
}

// Tell gives the account.
func (s *StatusHandler) Tell(_ rpc.StatusRequest, reply *rpc.StatusResponse) (err error) {
	c := s.council
	account := Status{Role: "accord", Name: c.props.Name, ID: string(c.node.Self().ID)}
	var leader raft.Member
	var term raft.Term
	account.IsLeader, account.Settled, term, leader, account.Members = c.node.Status()
	account.InContact = c.node.HoldsLease(term, 0)
	account.Term, account.Leader = uint64(term), leader.Control
	c.node.ReadState(func(state *raft.State) {
		account.Revision, account.Claims = state.Rev, state.Claims()
		account.AcceptedRequests, account.OvertakenVersions = state.Orders.Len(), state.Canon.Overtaken.Len()
		account.ForgottenRequests = state.Orders.Dropped() + state.Canon.Overtaken.Dropped()
	})
	account.BytesIn, account.BytesOut = rpc.Traffic()
	if open := c.desk.Coordinator(); open != nil {
		account.Coordinator = open.Status()
	}
	reply.JSON, err = json.Marshal(account)
	return err
}

// Trace tells what this daemon knows of a subject.
func (s *StatusHandler) Trace(ask rpc.TraceRequest, reply *rpc.TraceResponse) (err error) {
	c := s.council
	reply.Name = c.props.Name
	for _, told := range c.node.History.Changes(history.Subject{Kind: ask.Kind, Name: ask.Name}) {
		reply.Entries = append(reply.Entries, rpc.TraceEntry{Event: told.Action, Summary: told.State, LogIndex: told.Revision, Age: told.Age})
	}
	switch ask.Kind {
	case history.Item:
		c.node.ReadState(func(state *raft.State) {
			var item config.Item
			item, reply.Present = state.Canon.Find(ask.Name)
			reply.Summary, reply.LogIndex = item.Stamp(), item.Rev
		})
	case history.Document, history.Retirement, history.ScheduleStep:
		s.council.node.ReadState(func(state *raft.State) {
			switch ask.Kind {
			case history.Document:
				document, has := state.Documents[policy.Kind(ask.Name)]
				reply.Summary, reply.LogIndex, reply.Present = document.Stamp(), document.Rev, has
			case history.Retirement:
				retired, has := state.Retired[rpc.EndpointID(ask.Name)]
				reply.Summary, reply.LogIndex, reply.Present = retired.Summary(), retired.Rev, has
			default:
				reply.Summary, reply.LogIndex, reply.Present = state.Move.Summary(), state.Move.Rev, state.Move.Rev > 0
			}
		})
	case history.Evacuation:
		c.node.ReadState(func(state *raft.State) {
			var evacuation raft.Evacuation
			evacuation, reply.Present = state.Evacuations[ask.Name]
			reply.Summary, reply.LogIndex = evacuation.Stamp(), evacuation.Rev
		})
	default:
		// Only the leader knows backends and their health.
		if open := c.desk.Coordinator(); open != nil {
			stamp, has := open.CurrentStamp(ask.Kind, rpc.EndpointID(ask.Name))
			if c.desk.ConfirmLeadership(open) {
				reply.Summary, reply.Present = stamp, has
			}
		}
	}
	return nil
}
