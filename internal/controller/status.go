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

// Status answers calls about this daemon.
type Status struct{ council *Council }

// CoreAccount is what an accord daemon tells of itself.
type CoreAccount struct {
	Role    string `json:"role"`
	Name    string `json:"name"`
	ID      string `json:"id"`
	Leads   bool   `json:"leads"`
	Settled bool   `json:"settled"`
	// Contact tells that it leads by a proof that holds now.
	Contact bool          `json:"contact"`
	Term    uint64        `json:"term"`
	Leader  string        `json:"leader"`
	Members []raft.Member `json:"members"`
	Rev     uint64        `json:"rev"`
	Claims  int           `json:"claims"`
	// Orders and Overtaken count what the record of orders and of overtaken
	// versions holds; Forgotten what fell out of either for want of room.
	Orders    int    `json:"orders_remembered"`
	Overtaken int    `json:"overtaken_remembered"`
	Forgotten uint64 `json:"orders_forgotten"`
	// BytesIn and BytesOut are those of inner calls since it started.
	BytesIn  int64               `json:"bytes_in"`
	BytesOut int64               `json:"bytes_out"`
	Forum    *coordinator.Status `json:"forum,omitempty"`
}

// Tell gives the account.
func (s *Status) Tell(_ rpc.StatusAsk, reply *rpc.StatusReply) (err error) {
	c := s.council
	account := CoreAccount{Role: "accord", Name: c.props.Name, ID: string(c.node.Self().ID)}
	var leader raft.Member
	var term raft.Term
	account.Leads, account.Settled, term, leader, account.Members = c.node.Standing()
	account.Contact = c.node.InContact(term, 0)
	account.Term, account.Leader = uint64(term), leader.Control
	c.node.Read(func(state *raft.State) {
		account.Rev, account.Claims = state.Rev, state.Claims()
		account.Orders, account.Overtaken = state.Orders.Len(), state.Canon.Overtaken.Len()
		account.Forgotten = state.Orders.Dropped() + state.Canon.Overtaken.Dropped()
	})
	account.BytesIn, account.BytesOut = rpc.Traffic()
	if open := c.desk.Coordinator(); open != nil {
		account.Forum = open.Status()
	}
	reply.JSON, err = json.Marshal(account)
	return err
}

// Trace tells what this daemon knows of a subject.
func (s *Status) Trace(ask rpc.TraceAsk, reply *rpc.TraceReply) (err error) {
	c := s.council
	reply.Name = c.props.Name
	for _, told := range c.node.Chronicle.Tell(history.Subject{Kind: ask.Kind, Name: ask.Name}) {
		reply.Marks = append(reply.Marks, rpc.TraceMark{What: told.What, Stamp: told.Stamp, Rev: told.Rev, Age: told.Age})
	}
	switch ask.Kind {
	case history.Item:
		c.node.Read(func(state *raft.State) {
			var item config.Item
			item, reply.Has = state.Canon.Find(ask.Name)
			reply.Stamp, reply.Rev = item.Stamp(), item.Rev
		})
	case history.Document, history.Retirement, history.Move:
		s.council.node.Read(func(state *raft.State) {
			switch ask.Kind {
			case history.Document:
				document, has := state.Documents[policy.Kind(ask.Name)]
				reply.Stamp, reply.Rev, reply.Has = document.Stamp(), document.Rev, has
			case history.Retirement:
				retired, has := state.Retired[rpc.ServerID(ask.Name)]
				reply.Stamp, reply.Rev, reply.Has = retired.Stamp(), retired.Rev, has
			default:
				reply.Stamp, reply.Rev, reply.Has = state.Move.Stamp(), state.Move.Rev, state.Move.Rev > 0
			}
		})
	case history.Evacuation:
		c.node.Read(func(state *raft.State) {
			var evacuation raft.Evacuation
			evacuation, reply.Has = state.Evacuations[ask.Name]
			reply.Stamp, reply.Rev = evacuation.Stamp(), evacuation.Rev
		})
	default:
		// Only the leader knows backends and their health.
		if open := c.desk.Coordinator(); open != nil {
			stamp, has := open.CurrentStamp(ask.Kind, rpc.ServerID(ask.Name))
			if c.desk.ConfirmLeadership(open) {
				reply.Stamp, reply.Has = stamp, has
			}
		}
	}
	return nil
}
