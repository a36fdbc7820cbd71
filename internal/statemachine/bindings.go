package statemachine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/rpc"
)

// Binding is the backend of a session. The first command to bind a session decides; a
// later one moves the binding only if it names the backend that the session is bound
// to. Every bind command gives a new sequence number, so that an unbind command which
// was proposed before it has no effect.
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
	sessions := slices.SortedFunc(maps.Keys(s.bindings), func(a, b rpc.SessionID) int {
		return cmp.Compare(s.bindings[a].Sequence, s.bindings[b].Sequence)
	})
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
