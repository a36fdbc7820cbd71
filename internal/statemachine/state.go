// Package statemachine is what the controllers agree on: configuration items, evacuations and
// claimed operation keys. It changes only by applying committed commands in
// order, so every core comes to the same state; nothing in it depends on a
// clock. The age of a claim is kept beside it, counted on the steady clock
// from the moment this core applied it, and only the leader turns age into an
// Expire command.
package statemachine

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

// CommandKind tells commands apart.
type CommandKind uint8

// The commands.
const (
	CommandConfig CommandKind = iota + 1
	CommandStartEvacuation
	CommandEndEvacuation
	CommandClaim
	CommandReleaseClaim
	CommandExpireClaims
	CommandBarrier
	// CommandDocument sets the document that Site names, or withdraws it where Body
	// is empty; Upto is then the version.
	CommandDocument
	// CommandRetire announces that the backend Site of the service Body be
	// retired, by Holder; CommandStop commits its stop, CommandRestore takes the
	// order back.
	CommandRetire
	CommandStopRetired
	CommandCancelRetire
	// CommandScheduleStep commits a step of the day's plan.
	CommandScheduleStep
	// CommandBind binds the session Key of the service Site to the backend
	// Request, for the idle time Upto, or moves it there from the backend Holder;
	// CommandUnbind ends the binding of the session Key that has the number Upto.
	CommandBind
	CommandUnbind
)

// Command is one wish put before the cores.
type Command struct {
	Kind    CommandKind
	Body    []byte
	Subject string
	Claim
	Number uint64
}

// Claim says which daemon holds an operation key and for which request.
type Claim struct {
	Key         string
	Request     string
	Holder      string
	Incarnation uint64
}

// Result is what applying a command gave.
type Result struct {
	Problem string
	// Conflict tells that another order was taken under the same number.
	Conflict bool
	Granted  bool
	Held     Claim
	Binding  Binding
	Moved    bool
}

// Evacuation is the standing order for one site, with the place of its last change.
type Evacuation struct {
	Zone     string
	Active   bool
	Revision uint64
}

// Summary tells the order in a word.
func (e Evacuation) Summary() (stamp string) {
	if e.Active {
		return "active"
	}
	return "withdrawn"
}

type heldClaim struct {
	Claim
	Seq uint64
	at  time.Duration
}

// State is the agreed state.
type State struct {
	Config       *config.Store
	Evacuations  map[string]Evacuation
	Documents    map[policy.Kind]policy.Document
	Retirements  map[rpc.EndpointID]rpc.Retirement
	ScheduleStep rpc.ScheduleStep
	Accepted     *dedup.Table
	bindings     map[rpc.SessionID]Binding
	claims       map[string]*heldClaim
	order        []*heldClaim
	seq          uint64
	Revision     uint64
}

// NewState is empty.
func NewState() (state *State) {
	return &State{Config: config.New(), Evacuations: map[string]Evacuation{}, Documents: map[policy.Kind]policy.Document{}, Retirements: map[rpc.EndpointID]rpc.Retirement{}, Accepted: dedup.New(ordersMost), bindings: map[rpc.SessionID]Binding{}, claims: map[string]*heldClaim{}}
}

// ClaimCount counts the keys held.
func (s *State) ClaimCount() int { return len(s.claims) }

// ClaimOf looks a key up.
func (s *State) ClaimOf(key string) (claim Claim, held bool) {
	found, held := s.claims[key]
	if !held {
		return claim, false
	}
	return found.Claim, true
}

// Apply carries one command out at the log's place rev; now is this core's
// steady clock.
func (s *State) Apply(rev uint64, command Command, now time.Duration) (result Result) {
	taken, err := s.AcceptedByName(command)
	if err != nil {
		return refusal(err)
	}
	if taken {
		return Result{Granted: true}
	}
	if command.namedOrder() {
		s.Accepted.Remember(orderNumber(command), orderContent(command))
	}
	switch command.Kind {
	case CommandConfig:
		if err := s.Config.Apply(command.Body, rev); err != nil {
			return refusal(err)
		}
		s.Revision = rev
	case CommandStartEvacuation, CommandEndEvacuation:
		active := command.Kind == CommandStartEvacuation
		if standing := s.Evacuations[command.Subject]; standing.Active != active {
			s.Evacuations[command.Subject] = Evacuation{Zone: command.Subject, Active: active, Revision: rev}
			s.Revision = rev
		}
	case CommandClaim:
		if held, taken := s.claims[command.Key]; taken {
			return Result{Held: held.Claim, Granted: held.Claim == command.Claim}
		}
		s.seq++
		claim := &heldClaim{Claim: command.Claim, Seq: s.seq, at: now}
		s.claims[command.Key] = claim
		s.order = append(s.order, claim)
	case CommandReleaseClaim:
		if held, taken := s.claims[command.Key]; taken && held.Claim == command.Claim {
			delete(s.claims, command.Key)
		}
	case CommandExpireClaims:
		cut := 0
		for cut < len(s.order) && s.order[cut].Seq <= command.Number {
			if s.claims[s.order[cut].Key] == s.order[cut] {
				delete(s.claims, s.order[cut].Key)
			}
			cut++
		}
		s.order = append([]*heldClaim(nil), s.order[cut:]...)
	case CommandBind:
		return s.bind(command)
	case CommandUnbind:
		s.unbind(command)
	case CommandDocument:
		if err := s.setDocument(rev, command); err != nil {
			return refusal(err)
		}
	case CommandRetire, CommandStopRetired, CommandCancelRetire:
		s.retire(rev, command)
	case CommandScheduleStep:
		var next rpc.ScheduleStep
		if json.Unmarshal(command.Body, &next) != nil || !schedule.Follows(s.ScheduleStep, next, uint64(s.Documents[policy.DayPlan].Version)) || !s.Documents[policy.DayPlan].Active() {
			return Result{Problem: "the step does not follow what is agreed"}
		}
		next.Rev = rev
		s.ScheduleStep, s.Revision = next, rev
	}
	return Result{Granted: true}
}

// ExpiredClaims gives the place up to which claims are older than window.
func (s *State) ExpiredClaims(now, window time.Duration) (upto uint64) {
	for _, claim := range s.order {
		if now-claim.at <= window {
			break
		}
		upto = claim.Seq
	}
	return upto
}

type frozen struct {
	Canon       []config.Item
	Evacuations map[string]Evacuation
	Documents   map[policy.Kind]policy.Document
	Retired     map[rpc.EndpointID]rpc.Retirement
	Move        rpc.ScheduleStep
	Bindings    map[rpc.SessionID]Binding
	Claims      []Claim
	Seqs        []uint64
	Seq, Rev    uint64
	// What follows is absent in snapshots of older versions.
	Columns   map[config.Set][]string
	Overtaken dedup.Snapshot
	Orders    dedup.Snapshot
}

// Snapshot writes the state out for a snapshot.
func (s *State) Snapshot() (data []byte, err error) {
	still := frozen{Canon: s.Config.Items(), Evacuations: s.Evacuations, Documents: s.Documents, Retired: s.Retirements, Move: s.ScheduleStep, Bindings: s.bindings, Seq: s.seq, Rev: s.Revision,
		Columns: s.Config.Columns(), Overtaken: s.Config.Superseded.Snapshot(), Orders: s.Accepted.Snapshot()}
	for _, claim := range s.order {
		if s.claims[claim.Key] == claim {
			still.Claims = append(still.Claims, claim.Claim)
			still.Seqs = append(still.Seqs, claim.Seq)
		}
	}
	var buffer bytes.Buffer
	if err = gob.NewEncoder(&buffer).Encode(still); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Restore reads a snapshot; the claims' ages count from now.
func Restore(data []byte, now time.Duration) (state *State, err error) {
	state = NewState()
	if len(data) == 0 {
		return state, nil
	}
	var still frozen
	if err = gob.NewDecoder(bytes.NewReader(data)).Decode(&still); err != nil {
		return nil, err
	}
	state.Config.SetColumns(still.Columns)
	if err = state.Config.Restore(still.Canon); err != nil {
		return nil, err
	}
	if state.Config.Superseded, err = dedup.Restore(config.MaxSuperseded, still.Overtaken); err != nil {
		return nil, err
	}
	if state.Accepted, err = dedup.Restore(ordersMost, still.Orders); err != nil {
		return nil, err
	}
	if still.Evacuations != nil {
		state.Evacuations = still.Evacuations
	}
	if still.Documents != nil {
		state.Documents = still.Documents
	}
	if still.Retired != nil {
		state.Retirements = still.Retired
	}
	if still.Bindings != nil {
		state.bindings = still.Bindings
	}
	state.ScheduleStep = still.Move
	state.seq, state.Revision = still.Seq, still.Rev
	for i, claim := range still.Claims {
		held := &heldClaim{Claim: claim, Seq: still.Seqs[i], at: now}
		state.claims[claim.Key] = held
		state.order = append(state.order, held)
	}
	return state, nil
}
