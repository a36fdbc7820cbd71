package controller

import (
	"encoding/json"

	"tinpin/internal/coordinator"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
	"tinpin/internal/statusjson"
)

// Status is what a controller tells operators' tools of itself.
type Status struct {
	Role     string `json:"role"`
	Name     string `json:"name"`
	ID       string `json:"id"`
	IsLeader bool   `json:"leads"`
	// Settled tells that a leader has committed an entry in its term.
	Settled bool `json:"settled"`
	// InContact tells that it leads by a proof that holds now.
	InContact bool          `json:"in_contact"`
	Term      uint64        `json:"term"`
	Leader    string        `json:"leader"`
	Members   []raft.Member `json:"members"`
	Revision  uint64        `json:"revision"`
	Claims    int           `json:"claims"`
	// AcceptedRequests and OvertakenVersions count what the records of operators'
	// requests and of overtaken versions hold; ForgottenRequests what was dropped
	// from either for want of room.
	AcceptedRequests   int    `json:"orders_remembered"`
	SupersededVersions int    `json:"overtaken_remembered"`
	EvictedRequests    uint64 `json:"orders_forgotten"`
	// BytesIn and BytesOut are those of internal calls since the start.
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
	// Coordinator is there where it leads.
	Coordinator *coordinator.Status `json:"coordinator,omitempty"`
}

// earlierNames are the fields' names of the release before.
var earlierNames = map[string]string{"contact": "in_contact", "rev": "revision", "forum": "coordinator"}

// UnmarshalJSON reads the status of this release and of the one before.
func (s *Status) UnmarshalJSON(text []byte) (err error) {
	type fields Status
	if err = statusjson.Decode(text, earlierNames, (*fields)(s)); err != nil {
		return err
	}
	if s.Role == "accord" {
		s.Role = role
	}
	return nil
}

const role = "controller"

// StatusHandler answers calls about this controller. The names of its methods
// Tell and Trace are those on the wire.
type StatusHandler struct{ controller *Controller }

// Tell gives the status.
//
//words:frozen the name of the method on the wire
func (h *StatusHandler) Tell(_ rpc.StatusRequest, reply *rpc.StatusResponse) (err error) {
	reply.JSON, err = json.Marshal(h.controller.status())
	return err
}

func (c *Controller) status() (status Status) {
	status = Status{Role: role, Name: c.settings.Name, ID: string(c.node.Self().ID)}
	var leader raft.Member
	var term raft.Term
	status.IsLeader, status.Settled, term, leader, status.Members = c.node.Status()
	status.InContact = c.node.HoldsLease(term, 0)
	status.Term, status.Leader = uint64(term), leader.Control
	c.node.ReadState(func(state *statemachine.State) {
		status.Revision, status.Claims = state.Revision, state.ClaimCount()
		status.AcceptedRequests, status.SupersededVersions = state.Accepted.Len(), state.Config.Superseded.Len()
		status.EvictedRequests = state.Accepted.Evicted() + state.Config.Superseded.Evicted()
	})
	status.BytesIn, status.BytesOut = rpc.Traffic()
	if current := c.nodeCalls.Coordinator(); current != nil {
		status.Coordinator = current.Status()
	}
	return status
}
