package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/drain"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

const services = `{"upserts":{"services":{"column_names":["name","version"],"row_values":[["pay",1],["desk",1]]}}}`

func drainPolicyCommand(version int, service, notice string) (command Command) {
	return Command{
		Kind:    CommandDocument,
		Subject: string(policy.DrainPolicy),
		Body: fmt.Appendf(nil, `{"version":%d,"rules":[`+
			`{"service":%q,"notice":%q,"finish":"5s","keyed":"deadline","least_share":0.5}`+
			`],"lost_touch":"2s","cut_off":"stop"}`, version, service, notice),
	}
}

func withdrawal(version int) (command Command) {
	return Command{Kind: CommandDocument, Subject: string(policy.DrainPolicy), Number: uint64(version)}
}

func restored(t *testing.T, state *State) (again *State) {
	t.Helper()
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if again, err = Restore(data, 0); err != nil {
		t.Fatal(err)
	}
	return again
}

func TestADocumentSentAgainIsAccepted(t *testing.T) {
	state := NewState()
	const yes, no, conflict = "yes", "no", "conflict"
	steps := []struct {
		name    string
		command Command
		want    string
		version policy.Version
	}{
		{"services", Command{Kind: CommandConfig, Body: []byte(services)}, yes, 0},
		{"unknown service", drainPolicyCommand(4, "nobody", "1s"), no, 0},
		{"five", drainPolicyCommand(5, "desk", "1s"), yes, 5},
		{"another operator's six", drainPolicyCommand(6, "pay", "1s"), yes, 6},
		{"five again", drainPolicyCommand(5, "desk", "1s"), yes, 6},
		{"five, written otherwise", Command{
			Kind: CommandDocument, Subject: string(policy.DrainPolicy),
			Body: bytes.ReplaceAll(drainPolicyCommand(5, "desk", "1s").Body, []byte("0.5"), []byte("5.0e-1")),
		}, yes, 6},
		{"five, other content", drainPolicyCommand(5, "desk", "2s"), conflict, 6},
		{"six, other content", drainPolicyCommand(6, "pay", "2s"), conflict, 6},
		{"older, never accepted", drainPolicyCommand(3, "pay", "1s"), no, 6},
		{"six, withdrawn", withdrawal(6), conflict, 6},
		{"withdrawn", withdrawal(7), yes, 7},
		{"withdrawn again", withdrawal(7), yes, 7},
		{"seven, set", drainPolicyCommand(7, "pay", "1s"), conflict, 7},
		{"eight", drainPolicyCommand(8, "pay", "1s"), yes, 8},
		{"seven withdrawn again", withdrawal(7), yes, 8},
		{"a service is removed", Command{Kind: CommandConfig, Body: []byte(`{"removals":{"services":[{"name":"desk","version":2}]}}`)}, yes, 8},
		{"five once more", drainPolicyCommand(5, "desk", "1s"), yes, 8},
		{"the service of the document in force is removed", Command{Kind: CommandConfig, Body: []byte(`{"removals":{"services":[{"name":"pay","version":2}]}}`)}, yes, 8},
		{"eight again", drainPolicyCommand(8, "pay", "1s"), yes, 8},
		{"services set again", Command{Kind: CommandConfig, Body: bytes.ReplaceAll([]byte(services), []byte(",1]"), []byte(",3]"))}, yes, 8},
		{"negative", drainPolicyCommand(-1, "pay", "1s"), no, 8},
		{"zero", drainPolicyCommand(0, "pay", "1s"), no, 8},
	}
	for i, step := range steps {
		before := state.Revision
		result := state.Apply(uint64(i+1), step.command, 0)
		got := yes
		if result.Err != nil {
			got = no
		}
		if result.Conflict() {
			got = conflict
		}
		if got != step.want || state.Documents[policy.DrainPolicy].Version != step.version {
			t.Errorf("%s: %s %q, version %d in force", step.name, got, result.Err, state.Documents[policy.DrainPolicy].Version)
		}
		if got != yes && state.Revision != before {
			t.Errorf("%s: rejected and changed something", step.name)
		}
		state = restored(t, state)
	}
}

func TestAnAcceptedRetirementIsRemembered(t *testing.T) {
	state := NewState()
	id := rpc.EndpointID("i-1")
	at := func(kind CommandKind, by string) Command {
		return Command{Kind: kind, Subject: string(id), Body: []byte("pay"), Claim: Claim{Holder: by}}
	}
	for i, step := range []struct {
		command          Command
		active, accepted bool
	}{
		{at(CommandCancelRetire, ""), false, false},
		{at(CommandRetire, drain.ByPlatform), true, false},
		{at(CommandRetire, drain.ByOperator), true, true},
		{at(CommandCancelRetire, ""), false, true},
		{at(CommandCancelRetire, ""), false, true},
	} {
		if result := state.Apply(uint64(i+1), step.command, 0); result.Err != nil {
			t.Errorf("step %d: %s", i, result.Err)
		}
		state = restored(t, state)
		if active, accepted := state.RetirementStatus(id); active != step.active || accepted != step.accepted {
			t.Errorf("step %d: active %v, accepted %v", i, active, accepted)
		}
	}
}

func TestANamedRequestTakesEffectOnce(t *testing.T) {
	state := NewState()
	request := func(kind CommandKind, subject, name string) Command {
		return Command{Kind: kind, Subject: subject, Body: []byte("pay"), Claim: Claim{Holder: drain.ByOperator, Key: name}}
	}
	for i, step := range []struct {
		command            Command
		conflict           bool
		evacuated, retired bool
	}{
		{command: request(CommandStartEvacuation, "z", "a"), evacuated: true},
		{command: request(CommandEndEvacuation, "z", "b")},
		{command: request(CommandStartEvacuation, "z", "a")},
		{command: request(CommandStartEvacuation, "z", "b"), conflict: true},
		{command: request(CommandStartEvacuation, "y", "a"), conflict: true},
		{command: request(CommandStartEvacuation, "z", ""), evacuated: true},
		{command: request(CommandEndEvacuation, "z", "b"), evacuated: true},
		{command: request(CommandRetire, "i-1", "c"), evacuated: true, retired: true},
		{command: request(CommandCancelRetire, "i-1", "d"), evacuated: true},
		{command: request(CommandRetire, "i-1", "c"), evacuated: true},
		{command: request(CommandRetire, "i-1", "e"), evacuated: true, retired: true},
		{command: request(CommandCancelRetire, "i-1", "d"), evacuated: true, retired: true},
	} {
		result := state.Apply(uint64(i+1), step.command, 0)
		state = restored(t, state)
		retired, _ := state.RetirementStatus("i-1")
		evacuated := state.Evacuations["z"].Active
		if result.Conflict() != step.conflict || (result.Err != nil) != step.conflict ||
			evacuated != step.evacuated || retired != step.retired {
			t.Errorf("step %d: %+v, evacuated %v, retired %v", i, result, evacuated, retired)
		}
	}
}

// A snapshot of a version that did not remember accepted requests is read.
func TestASnapshotWithoutAcceptedRequestsIsRead(t *testing.T) {
	type older struct {
		Canon       []config.Item //words:frozen stored in snapshots
		Evacuations map[string]storedEvacuation
		Documents   map[policy.Kind]policy.Document
		Seq, Rev    uint64
	}
	full := NewState()
	full.Apply(1, Command{Kind: CommandConfig, Body: []byte(services)}, 0)
	full.Apply(2, drainPolicyCommand(5, "pay", "1s"), 0)
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(older{Canon: full.Config.Items(), Documents: full.Documents, Rev: 2}); err != nil {
		t.Fatal(err)
	}
	state, err := Restore(data.Bytes(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, command := range []Command{
		drainPolicyCommand(5, "pay", "1s"),
		drainPolicyCommand(6, "desk", "1s"),
		drainPolicyCommand(5, "pay", "1s"),
		{Kind: CommandConfig, Body: []byte(services)},
	} {
		if result := state.Apply(uint64(i+3), command, 0); result.Err != nil {
			t.Errorf("request %d: %s", i, result.Err)
		}
	}
	if !state.Apply(9, drainPolicyCommand(5, "pay", "2s"), 0).Conflict() {
		t.Error("other content under the version in force was accepted")
	}
}

// sentRequest is one request of the model, and what is known of it.
type sentRequest struct {
	command  Command
	keys     []dedup.Key
	contents []string
	accepted bool
	effects  int
}

// operators draws requests that often share their keys.
type operators struct{ rng *rand.Rand }

func (o operators) request() (next *sentRequest) {
	version, pick := 1+o.rng.Intn(12), o.rng.Intn(3)
	switch o.rng.Intn(6) {
	case 0:
		next = &sentRequest{command: drainPolicyCommand(version, []string{"pay", "desk"}[pick%2], fmt.Sprint(pick, "s"))}
	case 1:
		next = &sentRequest{command: withdrawal(version)}
	case 2:
		kind := []CommandKind{CommandStartEvacuation, CommandEndEvacuation}[pick%2]
		name := fmt.Sprint("name ", o.rng.Intn(40))
		return &sentRequest{
			command: Command{Kind: kind, Subject: "z", Claim: Claim{Key: name}},
			keys:    []dedup.Key{{Kind: "order", Name: name}}, contents: []string{fmt.Sprint(kind)},
		}
	default:
		item, other := o.rng.Intn(3), o.rng.Intn(3)
		next = &sentRequest{command: Command{Kind: CommandConfig, Body: o.update(item, other, version, pick)}}
		for _, named := range []int{item, other} {
			key := dedup.Key{Kind: "services", Name: fmt.Sprint("s", named), Version: uint64(version)}
			next.keys = append(next.keys, key)
			next.contents = append(next.contents, fmt.Sprint(pick))
		}
		return next
	}
	next.keys = []dedup.Key{{Kind: "document", Version: uint64(version)}}
	next.contents = []string{string(next.command.Body)}
	return next
}

func (o operators) update(item, other, version, pick int) (body []byte) {
	if pick == 2 {
		return fmt.Appendf(nil, `{"removals":{"services":[{"name":"s%d","version":%d},{"name":"s%d","version":%d}]}}`,
			item, version, other, version)
	}
	if o.rng.Intn(2) == 0 {
		return fmt.Appendf(nil, `{"upserts":{"services":{"column_names":["name","max_connections","version"],`+
			`"row_values":[["s%d",%d,%d],["s%d",%d,%d]]}}}`, item, pick, version, other, pick, version)
	}
	return fmt.Appendf(nil, `{"upserts":{"services":{"column_names":["version","protocol","max_connections","name"],`+
		`"row_values":[[%d,null,%d.0,"s%d"],[%d,null,%d.0,"s%d"]]}}}`, version, pick, item, version, pick, other)
}

// effects describes all that the requests have changed.
func effects(state *State) (text string) {
	document := state.Documents[policy.DrainPolicy]
	return fmt.Sprint(state.Config.Items(), document.Summary(), document.Body, state.Evacuations["z"].Active)
}

// Two operators send requests with random versions and contents; some are lost, some
// repeated much later, with snapshots in between. One key has one content, and what
// was accepted is accepted again and takes effect once.
func TestRequestsOfTwoOperatorsAreConsistent(t *testing.T) {
	for seed := int64(1); seed <= 40; seed++ {
		m := &operatorsModel{t: t, seed: seed, state: NewState(), contentOf: map[dedup.Key]string{}}
		m.commit(Command{Kind: CommandConfig, Body: []byte(services)})
		rng := rand.New(rand.NewSource(seed))
		for m.step = 0; m.step < 400; m.step++ {
			var next *sentRequest
			if rng.Intn(3) > 0 || len(m.requests) == 0 {
				next = operators{rng}.request()
				m.requests = append(m.requests, next)
			} else {
				next = m.requests[rng.Intn(len(m.requests))]
			}
			if rng.Intn(6) == 0 {
				continue // lost in transit
			}
			m.send(next)
			if rng.Intn(20) == 0 {
				m.state = restored(t, m.state)
			}
		}
		if m.accepted < 50 {
			t.Fatalf("seed %d: only %d requests accepted", seed, m.accepted)
		}
		m.checkReplay()
	}
}

// operatorsModel is a state with the log that led to it, and what operators know of it.
type operatorsModel struct {
	t         *testing.T
	seed      int64
	step      int
	state     *State
	log       [][]byte
	requests  []*sentRequest
	contentOf map[dedup.Key]string
	accepted  int
}

func (m *operatorsModel) commit(command Command) (result Result) {
	m.log = append(m.log, EncodeCommands([]Command{command}))
	return m.state.Apply(uint64(len(m.log)), command, 0)
}

// send commits a request and checks its result against the results before.
func (m *operatorsModel) send(request *sentRequest) {
	m.t.Helper()
	before := effects(m.state)
	result := m.commit(request.command)
	changed := effects(m.state) != before
	if changed {
		request.effects++
	}
	if request.accepted && result.Err != nil {
		m.t.Fatalf("seed %d step %d: accepted before, now %s", m.seed, m.step, result.Err)
	}
	if result.Err != nil && changed || request.effects > 1 {
		m.t.Fatalf("seed %d step %d: %d effects, %q", m.seed, m.step, request.effects, result.Err)
	}
	if result.Err != nil {
		return
	}
	request.accepted = true
	for i, key := range request.keys {
		if content, known := m.contentOf[key]; known && content != request.contents[i] {
			m.t.Fatalf("seed %d step %d: %v accepted with %s and with %s",
				m.seed, m.step, key, content, request.contents[i])
		}
		m.contentOf[key] = request.contents[i]
	}
	m.accepted++
}

// checkReplay checks that a controller that replays the log from its start comes to the
// same state.
func (m *operatorsModel) checkReplay() {
	m.t.Helper()
	again := NewState()
	for i, entry := range m.log {
		commands, err := DecodeCommands(entry)
		if err != nil {
			m.t.Fatal(err)
		}
		again.Apply(uint64(i+1), commands[0], 0)
	}
	if diff := cmp.Diff(string(again.Config.EncodeUpserts()), string(m.state.Config.EncodeUpserts())); diff != "" {
		m.t.Fatalf("seed %d: %s", m.seed, diff)
	}
	for _, pair := range [][2]*dedup.Table{
		{again.Accepted, m.state.Accepted}, {again.Config.Superseded, m.state.Config.Superseded},
	} {
		if diff := cmp.Diff(pair[0].Snapshot(), pair[1].Snapshot()); diff != "" {
			m.t.Fatalf("seed %d: %s", m.seed, diff)
		}
	}
}
