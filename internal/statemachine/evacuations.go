package statemachine

// Evacuation is the request in force for one zone, with the log index of its last
// change.
type Evacuation struct {
	Zone     string
	Active   bool
	Revision uint64
}

// Summary is the state of the evacuation in a word.
func (e Evacuation) Summary() (summary string) {
	if e.Active {
		return "active"
	}
	return "withdrawn"
}

func (s *State) applyEvacuation(index uint64, command Command) (result Result) {
	active := command.Kind == CommandStartEvacuation
	if s.Evacuations[command.Subject].Active != active {
		s.Evacuations[command.Subject] = Evacuation{Zone: command.Subject, Active: active, Revision: index}
		s.Revision = index
	}
	return granted()
}
