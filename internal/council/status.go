// Status is an accord daemon's account of itself for operators' tools.
package council

import (
	"encoding/json"

	"tinpin/internal/accord"
	"tinpin/internal/parley"
)

// Status answers calls about this daemon.
type Status struct{ council *Council }

type coreAccount struct {
	Role    string          `json:"role"`
	Name    string          `json:"name"`
	ID      string          `json:"id"`
	Leads   bool            `json:"leads"`
	Settled bool            `json:"settled"`
	Term    uint64          `json:"term"`
	Leader  string          `json:"leader"`
	Members []accord.Member `json:"members"`
	Rev     uint64          `json:"rev"`
	Claims  int             `json:"claims"`
}

// Tell gives the account.
func (s *Status) Tell(_ parley.StatusAsk, reply *parley.StatusReply) (err error) {
	c := s.council
	account := coreAccount{Role: "accord", Name: c.props.Name, ID: string(c.node.Self().ID)}
	var leader accord.Member
	var term accord.Term
	account.Leads, account.Settled, term, leader, account.Members = c.node.Standing()
	account.Term, account.Leader = uint64(term), leader.Control
	c.node.Read(func(state *accord.State) { account.Rev, account.Claims = state.Rev, state.Claims() })
	reply.JSON, err = json.Marshal(account)
	return err
}
