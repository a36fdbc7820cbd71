package statemachine

import (
	"sort"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/rpc"
)

// Binding is the backend of a session. The first to bind decides; a binding moves
// only for one who names the backend that it is bound to. Its sequence number is new
// with every command that finds it, so that an unbinding which was sent before has
// no effect.
type Binding struct {
	Service     rpc.ServiceName
	Endpoint    rpc.EndpointID
	IdleTimeout time.Duration
	Sequence    uint64
}

// BindCommand is the command of a node's request to bind a session.
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

// EachBinding visits all bindings, in the order of their last commands in the log.
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

func (s *State) applyBind(command Command) (result Result) {
	session, from := rpc.SessionID(command.Key), rpc.EndpointID(command.Holder)
	binding, bound := s.bindings[session]
	switch {
	case bound && from != "" && from == binding.Endpoint:
		binding.Endpoint = rpc.EndpointID(command.Request)
		result.Moved = from != binding.Endpoint
	case bound:
	case len(s.bindings) >= affinity.MaxSessionsTotal:
		return rejected(ErrTooManySessions)
	default:
		binding = Binding{Service: rpc.ServiceName(command.Subject), Endpoint: rpc.EndpointID(command.Request)}
	}
	s.sequence++
	binding.Sequence, binding.IdleTimeout = s.sequence, time.Duration(command.Number)
	s.bindings[session] = binding
	result.Granted, result.Binding = true, binding
	return result
}

func (s *State) applyUnbind(command Command) (result Result) {
	session := rpc.SessionID(command.Key)
	if binding, bound := s.bindings[session]; bound && binding.Sequence == command.Number {
		delete(s.bindings, session)
	}
	return granted()
}
