package statemachine

import (
	"time"

	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// State is the replicated state. Revision is the log index of the last change that
// nodes and operators see; claims and bindings don't count.
type State struct {
	Config       *config.Store
	Evacuations  map[string]Evacuation
	Documents    map[policy.Kind]policy.Document
	Retirements  map[rpc.EndpointID]rpc.Retirement
	ScheduleStep rpc.ScheduleStep
	Accepted     *dedup.Table
	Revision     uint64
	bindings     map[rpc.SessionID]Binding
	claims       claimTable
	// sequence is the number that the last claim or binding got.
	sequence uint64
}

// NewState gives an empty state.
func NewState() (state *State) {
	return &State{
		Config:      config.New(),
		Evacuations: map[string]Evacuation{},
		Documents:   map[policy.Kind]policy.Document{},
		Retirements: map[rpc.EndpointID]rpc.Retirement{},
		Accepted:    dedup.New(maxAccepted),
		bindings:    map[rpc.SessionID]Binding{},
		claims:      claimTable{byKey: map[string]*appliedClaim{}},
	}
}

// Apply applies one command that is committed at a log index; now is the steady
// clock of this controller. A kind that is not known changes nothing, like a barrier.
func (s *State) Apply(index uint64, command Command, now time.Duration) (result Result) {
	accepted, err := s.AcceptedByName(command)
	if err != nil {
		return rejected(err)
	}
	if accepted {
		return granted()
	}
	if command.hasRequestName() {
		s.Accepted.Remember(requestKey(command), requestDigest(command))
	}
	switch command.Kind {
	case CommandConfig:
		return s.applyConfig(index, command)
	case CommandStartEvacuation, CommandEndEvacuation:
		return s.applyEvacuation(index, command)
	case CommandClaim:
		return s.applyClaim(command, now)
	case CommandReleaseClaim:
		return s.applyReleaseClaim(command)
	case CommandExpireClaims:
		return s.applyExpireClaims(command)
	case CommandBind:
		return s.applyBind(command)
	case CommandUnbind:
		return s.applyUnbind(command)
	case CommandDocument:
		return s.applyDocument(index, command)
	case CommandRetire, CommandStopRetired, CommandCancelRetire:
		return s.applyRetirement(index, command)
	case CommandScheduleStep:
		return s.applyScheduleStep(index, command)
	}
	return granted()
}

func (s *State) applyConfig(index uint64, command Command) (result Result) {
	if err := s.Config.Apply(command.Body, index); err != nil {
		return rejected(err)
	}
	s.Revision = index
	return granted()
}
