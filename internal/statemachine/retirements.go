package statemachine

import (
	"tinpin/internal/dedup"
	"tinpin/internal/drain"
	"tinpin/internal/rpc"
)

// maxCanceledRetirements is how many retirements that were canceled are kept, so
// that nodes learn of the change.
const maxCanceledRetirements = 512

// RetirementStatus tells whether a retirement of a backend is in force, and whether
// one was ever accepted from an operator.
func (s *State) RetirementStatus(id rpc.EndpointID) (active, accepted bool) {
	retirement, known := s.Retirements[id]
	_, accepted = s.Accepted.Lookup(retirementKey(id))
	return known && !retirement.Gone, accepted
}

func (s *State) applyRetirement(index uint64, command Command) (result Result) {
	id := rpc.EndpointID(command.Subject)
	if command.Kind == CommandRetire && command.Holder == drain.ByOperator {
		s.Accepted.Remember(retirementKey(id), dedup.Digest{})
	}
	retirement, known := s.Retirements[id]
	active := known && !retirement.Gone
	switch {
	case command.Kind == CommandRetire && !active:
		retirement = rpc.Retirement{
			Server: id, Service: rpc.ServiceName(command.Body), By: command.Holder, Announced: index,
		}
	case command.Kind == CommandStopRetired && active && retirement.Stopped == 0:
		retirement.Stopped = index
	case command.Kind == CommandCancelRetire && active:
		retirement.Gone = true
	default:
		return granted()
	}
	retirement.Rev = index
	s.Retirements[id], s.Revision = retirement, index
	s.dropOldestCanceled()
	return granted()
}

func (s *State) dropOldestCanceled() {
	var oldest rpc.EndpointID
	canceled := 0
	for id, retirement := range s.Retirements {
		if retirement.Gone {
			if canceled++; oldest == "" || retirement.Rev < s.Retirements[oldest].Rev {
				oldest = id
			}
		}
	}
	if canceled > maxCanceledRetirements {
		delete(s.Retirements, oldest)
	}
}
