package proxy

import (
	"encoding/json"

	"tinpin/internal/history"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
)

// StatusService answers calls about this daemon.
type StatusService struct{ daemon *Daemon }

// NodeStatus is what a node reports of itself to the operator's tools.
type NodeStatus struct {
	Role      string   `json:"role"`
	Name      string   `json:"name"`
	Ready     bool     `json:"ready"`
	HasLeader bool     `json:"led"`
	Leader    string   `json:"leader"`
	Term      uint64   `json:"term"`
	Epoch     uint64   `json:"epoch"`
	Revision  uint64   `json:"rev"`
	Nodes     int      `json:"fellows"`
	InFlight  int64    `json:"at_work"`
	Probes    []string `json:"probes"`
	// Retries is how each service under the written limit stands here.
	Retries []retry.ServiceStatus `json:"retries,omitempty"`
	// Sessions is how sessions stand, where there is a policy.
	Sessions *SessionsStatus `json:"sessions,omitempty"`
}

// Tell gives the account.
func (s *StatusService) Tell(_ rpc.StatusRequest, reply *rpc.StatusResponse) (err error) {
	d := s.daemon
	seen := d.state.Known()
	account := NodeStatus{
		Role: "passage", Name: d.settings.Name, Ready: d.isReady(),
		HasLeader: d.leader.HasLeader(), Leader: *d.leader.leader.Load(),
		Term: uint64(seen.Term), Epoch: uint64(seen.Revision), Revision: seen.LogIndex,
		Nodes: len(d.state.Snapshot().Nodes), InFlight: d.frontend.InFlight(),
	}
	account.Sessions = d.state.Policies.Sessions.Status()
	account.Retries = d.state.Policies.Retries.Status(d.clock.Now())
	for _, service := range d.state.ProbedServices() {
		account.Probes = append(account.Probes, string(service))
	}
	reply.JSON, err = json.Marshal(account)
	return err
}

// Trace tells what this daemon knows of a subject.
func (s *StatusService) Trace(ask rpc.TraceRequest, reply *rpc.TraceResponse) (err error) {
	w := s.daemon.state
	reply.Name = s.daemon.settings.Name
	for _, change := range w.History.Changes(history.Subject{Kind: ask.Kind, Name: ask.Name}) {
		reply.Entries = append(
			reply.Entries,
			rpc.TraceEntry{Event: change.Action, Summary: change.State, LogIndex: change.Revision, Age: change.Age},
		)
	}
	reply.Summary, reply.LogIndex, reply.Present = w.StateOf(ask.Kind, ask.Name)
	return nil
}
