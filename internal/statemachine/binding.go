package statemachine

import (
	"sort"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/rpc"
)

// Binding is where a session is bound, as the cores agree. The first to bind
// decides; a binding moves only for one who names the backend that it stands
// on. Its number is new with every command that finds it, so that an unbinding
// which was sent before counts for nothing.

// Binding of one session.
type Binding struct {
	Service     rpc.ServiceName
	Endpoint    rpc.EndpointID
	IdleTimeout time.Duration
	Sequence    uint64
}

// BindCommand is the command of an ask.
func BindCommand(bind rpc.SessionBinding) (command Command) {
	return Command{
		Kind: CommandBind, Subject: string(bind.Service), Number: uint64(bind.IdleTimeout),
		Claim: Claim{Key: string(bind.Session), Request: string(bind.Endpoint), Holder: string(bind.EndedEndpoint)},
	}
}

// Binding looks a session up.
func (s *State) Binding(session rpc.SessionID) (binding Binding, bound bool) {
	binding, bound = s.bindings[session]
	return binding, bound
}

// EachBinding visits all, the one that was asked for first in the log first.
func (s *State) EachBinding(visit func(session rpc.SessionID, binding Binding)) {
	sessions := make([]rpc.SessionID, 0, len(s.bindings))
	for session := range s.bindings {
		sessions = append(sessions, session)
	}
	sort.Slice(sessions, func(i, j int) bool { return s.bindings[sessions[i]].Sequence < s.bindings[sessions[j]].Sequence })
	for _, session := range sessions {
		visit(session, s.bindings[session])
	}
}

// bind carries a CommandBind out.
func (s *State) bind(command Command) (result Result) {
	session, from := rpc.SessionID(command.Key), rpc.EndpointID(command.Holder)
	standing, bound := s.bindings[session]
	switch {
	case bound && from != "" && from == standing.Endpoint:
		standing.Endpoint = rpc.EndpointID(command.Request)
		result.Moved = from != standing.Endpoint
	case bound:
	case len(s.bindings) >= affinity.MaxSessionsTotal:
		return Result{Problem: "there are too many sessions"}
	default:
		standing = Binding{Service: rpc.ServiceName(command.Subject), Endpoint: rpc.EndpointID(command.Request)}
	}
	s.seq++
	standing.Sequence, standing.IdleTimeout = s.seq, time.Duration(command.Number)
	s.bindings[session] = standing
	result.Granted, result.Binding = true, standing
	return result
}

// unbind carries a CommandUnbind out.
func (s *State) unbind(command Command) {
	session := rpc.SessionID(command.Key)
	if standing, bound := s.bindings[session]; bound && standing.Sequence == command.Number {
		delete(s.bindings, session)
	}
}
