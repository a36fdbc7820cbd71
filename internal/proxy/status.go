// Status is a passage daemon's account of itself for operators' tools.
package proxy

import (
	"encoding/json"

	"tinpin/internal/history"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
)

// Status answers calls about this daemon.
type Status struct{ daemon *Daemon }

// Account is what a passage daemon tells of itself.
type Account struct {
	Role    string   `json:"role"`
	Name    string   `json:"name"`
	Ready   bool     `json:"ready"`
	Led     bool     `json:"led"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Epoch   uint64   `json:"epoch"`
	Rev     uint64   `json:"rev"`
	Fellows int      `json:"fellows"`
	AtWork  int64    `json:"at_work"`
	Probes  []string `json:"probes"`
	// Retries is how each service under the written limit stands here.
	Retries []retry.Account `json:"retries,omitempty"`
	// Sessions is how sessions stand, where there is a policy.
	Sessions *SessionsAccount `json:"sessions,omitempty"`
}

// Tell gives the account.
func (s *Status) Tell(_ rpc.StatusAsk, reply *rpc.StatusReply) (err error) {
	d := s.daemon
	seen := d.world.Seen()
	account := Account{
		Role: "passage", Name: d.props.Name, Ready: d.isReady(), Led: d.link.Led(), Leader: *d.link.leader.Load(),
		Term: uint64(seen.Term), Epoch: uint64(seen.Epoch), Rev: seen.Rev, Fellows: len(d.world.Scene().Fellows), AtWork: d.door.AtWork(),
	}
	account.Sessions = d.world.Orders.Sessions.Account()
	account.Retries = d.world.Orders.Retries.Accounts(d.clock.Now())
	for _, service := range d.world.Duties() {
		account.Probes = append(account.Probes, string(service))
	}
	reply.JSON, err = json.Marshal(account)
	return err
}

// Trace tells what this daemon knows of a subject.
func (s *Status) Trace(ask rpc.TraceAsk, reply *rpc.TraceReply) (err error) {
	w := s.daemon.world
	reply.Name = s.daemon.props.Name
	for _, told := range w.Chronicle.Tell(history.Subject{Kind: ask.Kind, Name: ask.Name}) {
		reply.Marks = append(reply.Marks, rpc.TraceMark{What: told.What, Stamp: told.Stamp, Rev: told.Rev, Age: told.Age})
	}
	reply.Stamp, reply.Rev, reply.Has = w.Stands(ask.Kind, ask.Name)
	return nil
}
