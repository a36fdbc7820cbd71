// What cores store, as it was written before the names of the types were changed:
// whole write directories in three forms, and each record of them by itself. The
// fixtures are read and compared value by value, and are never written over.
package raft

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"tinpin/internal/affinity"
	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/drain"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

var (
	storedMembers = []Member{
		{ID: "founder-10.0.2.1", Inner: "10.0.2.1:7100", Control: "10.0.2.1:7200", Site: "east-1", Voter: true},
		{ID: "founder-10.0.2.2", Inner: "10.0.2.2:7100", Control: "10.0.2.2:7200", Site: "east-2", Voter: true},
		{ID: "founder-10.0.2.3", Inner: "10.0.2.3:7100", Control: "10.0.2.3:7200", Site: "west-1", Voter: true},
	}
	storedLearner   = Member{ID: "10.0.2.4-0102030405060708", Inner: "10.0.2.4:7100", Control: "10.0.2.4:7200", Site: "west-2"}
	storedID        = ID("founder-10.0.2.1")
	storedHard      = HardState{Term: 8, Vote: "founder-10.0.2.2"}
	storedSnapshot  = Snapshot{Index: 40, Term: 6, Members: storedMembers, Data: []byte("state\x00\xff")}
	storedDocuments = map[policy.Kind]string{
		policy.DrainPolicy:     `{"version":2,"rules":[{"service":"*","notice":"2s","finish":"30s","keyed":"deadline","least_share":0.5},{"service":"pay","notice":"1s","finish":"1m0s","keyed":"finish","least_share":0.25}],"lost_touch":"10s","cut_off":"stop"}`,
		policy.DayPlan:         `{"version":3,"targets":[{"host":"shop.example","time_zone":"Europe/Berlin","spans":[{"from":"06:30","to":"18:00","weights":{"east":3,"west":1},"ramp":"30m0s"}]}],"step":0.1,"every":"30s","room":0.8}`,
		policy.RetryLimit:      `{"version":1,"rules":[{"service":"*","ratio":0.2,"least_per_s":10,"window":"10s"}]}`,
		policy.SessionAffinity: `{"version":7,"rules":[{"service":"pay","from":"cookie","name":"sid","idle":"10m0s","alone":"serve","most":1000}]}`,
	}
	// overtakenPolicy is the drain policy that another version has replaced.
	overtakenPolicy = `{"version":1,"rules":[{"service":"*","notice":"0s","finish":"5s","keyed":"finish","least_share":0}],"lost_touch":"5s","cut_off":"serve"}`
	// overtakenRoute is a configuration of which one route was replaced since.
	overtakenRoute = `{"upserts":{"routes":{"column_names":["name","version","hostname","path_prefix","route_type","timeout","service_name"],"row_values":[["r1",1,"shop.example","/","idempotent","2s","pay"]]}}}`
)

// storedCommands are the commands from which the state of the snapshot came, from
// the second place of the log on.
var storedCommands = []Command{
	{Kind: CommandConfig, Body: []byte(`{"upserts":{"services":{"column_names":["name","version","health_check_path","max_connections","extra"],"row_values":[["pay",1,"/ready",20,{"a":[1,null,"x"]}],["book",4,null,null,null]]},` +
		`"routes":{"column_names":["name","version","hostname","path_prefix","route_type","timeout","service_name"],"row_values":[["r1",1,"shop.example","/","idempotent","2s","pay"],["r2",1,"shop.example","/book/","keyed","1500ms","book"]]},` +
		`"tenants":{"column_names":["name","version","hostnames","rate","burst"],"row_values":[["acme",2,["shop.example"],12.5,50]]},"limits":{"version":3,"max_header_bytes":8192,"idle_timeout":"20s"}}}`)},
	{Kind: CommandConfig, Body: []byte(`{"upserts":{"routes":{"column_names":["name","version","hostname","path_prefix","route_type","timeout","traffic_split","priority"],"row_values":[["r1",3,"shop.example","/","download","3s",[{"service_name":"pay","weight":3},{"service_name":"book","weight":1}],2]]}},"removals":{"routes":[{"name":"r2","version":2}]}}`)},
	{Kind: CommandEvacuate, Site: "east-1", Claim: Claim{Key: "order-1"}},
	{Kind: CommandEvacuate, Site: "west-1"},
	{Kind: CommandReturn, Site: "west-1", Claim: Claim{Key: "order-2"}},
	{Kind: CommandOrder, Site: string(policy.DrainPolicy), Body: []byte(overtakenPolicy)},
	{Kind: CommandOrder, Site: string(policy.DrainPolicy), Body: []byte(storedDocuments[policy.DrainPolicy])},
	{Kind: CommandOrder, Site: string(policy.DayPlan), Body: []byte(storedDocuments[policy.DayPlan])},
	{Kind: CommandOrder, Site: string(policy.RetryLimit), Body: []byte(storedDocuments[policy.RetryLimit])},
	{Kind: CommandOrder, Site: string(policy.SessionAffinity), Body: []byte(storedDocuments[policy.SessionAffinity])},
	{Kind: CommandRetire, Site: "pay-1", Body: []byte("pay"), Claim: Claim{Holder: "operator", Key: "order-3"}},
	{Kind: CommandStop, Site: "pay-1"},
	{Kind: CommandRetire, Site: "pay-2", Body: []byte("pay"), Claim: Claim{Holder: "platform"}},
	{Kind: CommandRetire, Site: "book-1", Body: []byte("book"), Claim: Claim{Holder: "operator"}},
	{Kind: CommandRestore, Site: "book-1", Claim: Claim{Key: "order-4"}},
	{Kind: CommandMove, Body: []byte(`{"Version":3,"Count":1,"Instant":1800000000,"Targets":[{"Host":"shop.example","Service":"","Weights":[{"Region":"east","Weight":750},{"Region":"west","Weight":250}]}],"Rev":0}`)},
	{Kind: CommandBind, Site: "pay", Upto: uint64(10 * time.Minute), Claim: Claim{Key: "session-1", Request: "pay-1"}},
	{Kind: CommandBind, Site: "pay", Upto: uint64(10 * time.Minute), Claim: Claim{Key: "session-2", Request: "pay-1"}},
	{Kind: CommandBind, Site: "pay", Upto: uint64(5 * time.Minute), Claim: Claim{Key: "session-1", Request: "pay-2", Holder: "pay-1"}},
	{Kind: CommandBind, Site: "pay", Upto: uint64(time.Minute), Claim: Claim{Key: "session-3", Request: "pay-2"}},
	{Kind: CommandUnbind, Upto: 4, Claim: Claim{Key: "session-3"}},
	{Kind: CommandClaim, Claim: Claim{Key: "key-0", Request: "digest-0", Holder: "node-1", Life: 1 << 40}},
	{Kind: CommandClaim, Claim: Claim{Key: "key-1", Request: "digest-1", Holder: "node-1", Life: 1 << 40}},
	{Kind: CommandClaim, Claim: Claim{Key: "key-2", Request: "digest-2", Holder: "node-2", Life: 7}},
	{Kind: CommandClaim, Claim: Claim{Key: "key-3", Request: "digest-3", Holder: "node-2", Life: 7}},
	{Kind: CommandExpire, Upto: 5},
	{Kind: CommandFree, Claim: Claim{Key: "key-2", Request: "digest-2", Holder: "node-2", Life: 7}},
	{Kind: CommandBarrier},
}

// storedState is the state that these commands give, as a snapshot holds it.
var storedState = frozen{
	Canon: []config.Item{
		{Set: "limits", Version: 3, Rev: 2, Fields: []config.Field{{Name: "version", JSON: `3`}, {Name: "max_header_bytes", JSON: `8192`}, {Name: "idle_timeout", JSON: `"20s"`}}},
		{Set: "routes", Name: "r1", Version: 3, Rev: 3, Fields: []config.Field{
			{Name: "name", JSON: `"r1"`}, {Name: "version", JSON: `3`}, {Name: "hostname", JSON: `"shop.example"`}, {Name: "path_prefix", JSON: `"/"`}, {Name: "route_type", JSON: `"download"`},
			{Name: "timeout", JSON: `"3s"`}, {Name: "traffic_split", JSON: `[{"service_name":"pay","weight":3},{"service_name":"book","weight":1}]`}, {Name: "priority", JSON: `2`},
		}},
		{Set: "routes", Name: "r2", Version: 2, Rev: 3, Dropped: true},
		{Set: "services", Name: "book", Version: 4, Rev: 2, Fields: []config.Field{{Name: "name", JSON: `"book"`}, {Name: "version", JSON: `4`}}},
		{Set: "services", Name: "pay", Version: 1, Rev: 2, Fields: []config.Field{
			{Name: "name", JSON: `"pay"`}, {Name: "version", JSON: `1`}, {Name: "health_check_path", JSON: `"/ready"`}, {Name: "max_connections", JSON: `20`}, {Name: "extra", JSON: `{"a":[1,null,"x"]}`},
		}},
		{Set: "tenants", Name: "acme", Version: 2, Rev: 2, Fields: []config.Field{
			{Name: "name", JSON: `"acme"`}, {Name: "version", JSON: `2`}, {Name: "hostnames", JSON: `["shop.example"]`}, {Name: "rate", JSON: `12.5`}, {Name: "burst", JSON: `50`},
		}},
	},
	Evacuations: map[string]Evacuation{"east-1": {Site: "east-1", Active: true, Rev: 4}, "west-1": {Site: "west-1", Rev: 6}},
	Documents: map[policy.Kind]policy.Document{
		"drain-policy":     {Kind: "drain-policy", Version: 2, Body: storedDocuments["drain-policy"], Rev: 8},
		"day-plan":         {Kind: "day-plan", Version: 3, Body: storedDocuments["day-plan"], Rev: 9},
		"retry-limit":      {Kind: "retry-limit", Version: 1, Body: storedDocuments["retry-limit"], Rev: 10},
		"session-affinity": {Kind: "session-affinity", Version: 7, Body: storedDocuments["session-affinity"], Rev: 11},
	},
	Retired: map[rpc.EndpointID]rpc.Retirement{
		"pay-1":  {Server: "pay-1", Service: "pay", By: "operator", Announced: 12, Stopped: 13, Rev: 13},
		"pay-2":  {Server: "pay-2", Service: "pay", By: "platform", Announced: 14, Rev: 14},
		"book-1": {Server: "book-1", Service: "book", By: "operator", Announced: 15, Rev: 16, Gone: true},
	},
	Move: rpc.ScheduleStep{Version: 3, Count: 1, Instant: 1800000000, Rev: 17, Targets: []rpc.ScheduleTarget{{Host: "shop.example", Weights: []rpc.RegionWeight{{Region: "east", Weight: 750}, {Region: "west", Weight: 250}}}}},
	Bindings: map[rpc.SessionID]Binding{
		"session-1": {Service: "pay", Server: "pay-2", Idle: 5 * time.Minute, Seq: 3},
		"session-2": {Service: "pay", Server: "pay-1", Idle: 10 * time.Minute, Seq: 2},
	},
	Claims: []Claim{{Key: "key-1", Request: "digest-1", Holder: "node-1", Life: 1 << 40}, {Key: "key-3", Request: "digest-3", Holder: "node-2", Life: 7}},
	Seqs:   []uint64{6, 8}, Seq: 8, Rev: 17,
	Columns: map[config.Set][]string{
		"limits":   {"version", "max_header_bytes", "idle_timeout"},
		"routes":   {"name", "version", "hostname", "path_prefix", "route_type", "timeout", "service_name", "traffic_split", "priority"},
		"services": {"name", "version", "health_check_path", "max_connections", "extra"},
		"tenants":  {"name", "version", "hostnames", "rate", "burst"},
	},
	// Of each order the digest of its number and that of its content.
	Overtaken: dedup.Frozen{Entries: unhex("7d7ea621c9cbad54" + "32b1b4ebde6fee50" + "a95ba73dc857db61" + "5ee703e3300a81ff")},
	Orders: dedup.Frozen{Entries: unhex("bf00dd0c02374311" + "bc567ce12c318475" + "c08b2e886bc866f2" + "295edfc30594737b" + "a28c914c5c8acd41" + "54dee19886a4fb51" + "0897e4d4030e2e21" + "75c65435810cc35d" +
		"65932614f61b3884" + "0000000000000000" + "57b39fd9f04b2a98" + "0000000000000000" + "322c6b086c99b91d" + "47638056d4777fc3")},
}

// olderState is a snapshot's state as versions wrote it that knew neither columns
// nor records of orders.
type olderState struct {
	Canon       []config.Item
	Evacuations map[string]Evacuation
	Documents   map[policy.Kind]policy.Document
	Retired     map[rpc.EndpointID]rpc.Retirement
	Move        rpc.ScheduleStep
	Bindings    map[rpc.SessionID]Binding
	Claims      []Claim
	Seqs        []uint64
	Seq, Rev    uint64
}

// withdrawnPolicy is a document that was taken back.
var withdrawnPolicy = map[policy.Kind]policy.Document{"drain-policy": {Kind: "drain-policy", Version: 3, Rev: 16}}

func older(of frozen) (state olderState) {
	return olderState{of.Canon, of.Evacuations, withdrawnPolicy, of.Retired, of.Move, of.Bindings, of.Claims, of.Seqs, of.Seq, of.Rev}
}

// filledState is the stored state with what no single state has at once.
func filledState() (state frozen) {
	state = storedState
	state.Overtaken.Dropped, state.Orders.Dropped = 5, 6
	state.Canon = []config.Item{{Set: "routes", Name: "r1", Version: 3, Rev: 2, Dropped: true, Fields: []config.Field{{Name: "version", JSON: `3`}}}}
	state.Retired = map[rpc.EndpointID]rpc.Retirement{"pay-1": {Server: "pay-1", Service: "pay", By: "operator", Announced: 12, Stopped: 13, Rev: 14, Gone: true}}
	state.Move.Targets = []rpc.ScheduleTarget{{Host: "shop.example", Service: "pay", Weights: []rpc.RegionWeight{{Region: "east", Weight: 1000}}}}
	return state
}

// wireFixtures are the records of the disk and the calls between cores.
func wireFixtures() (fixtures []wireFixture) {
	part := &SnapshotChunk{Index: 40, Term: 6, Members: storedMembers, Total: 7, Offset: 2, Whole: 0xc0ffee01, Sum: 0x7a5b0f11, Data: []byte("ate\x00\xff")}
	message := Message{
		Kind: MsgSnapshotChunk, From: "a", To: "b", Term: 8, Index: 44, LogTerm: 7, Commit: 43, Reject: true, Hint: 41, Round: 1 << 33, Force: true, Idle: true, Life: 1<<63 + 1, Age: 1500 * time.Millisecond,
		Entries: []Entry{{Term: 7, Index: 45, Members: storedMembers, Data: []byte("entry\x00\xff")}}, Snapshot: &storedSnapshot, Part: part,
	}
	return []wireFixture{
		{"hard_state", storedHard},
		{"core_id", storedID},
		{"snapshot", storedSnapshot},
		{"membership", append([]Member{storedLearner}, storedMembers...)},
		{"snapshot_state", filledState()},
		{"core_step_request", MessageBatch{From: "a", Inner: "10.0.2.1:7100", Messages: []Message{message, {Kind: MsgHeartbeatResponse, From: "a", To: "b", Term: 8, Round: 9}}}},
		{"core_step_reply", Empty{}},
		{"core_join_request", JoinRequest{Member: storedMembers[0]}},
		{"core_join_reply", JoinResponse{Leader: true, Inners: []string{"10.0.2.1:7100", "10.0.2.2:7100"}}},
		{"core_leave_request", LeaveRequest{ID: "founder-10.0.2.1"}},
		{"core_leave_reply", LeaveResponse{Parting: LeaveCompleted}},
	}
}

func unhex(text string) (data []byte) {
	data, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return data
}

// kinds has one command of each kind with every field filled.
func kinds() (commands []Command) {
	for kind := CommandConfig; kind <= CommandUnbind; kind++ {
		text := func(what string) string { return what + "-" + string(rune('a'+kind-1)) }
		commands = append(commands, Command{
			Kind: kind, Body: []byte(text("body\x00\xff")), Site: text("site"), Upto: 1<<63 + uint64(kind),
			Claim: Claim{Key: text("key"), Request: text("request"), Holder: text("holder"), Life: 300 * uint64(kind)},
		})
	}
	return commands
}

func stateFrom(t *testing.T, commands []Command) (state *State) {
	t.Helper()
	state = NewState()
	for i, command := range commands {
		if result := state.Apply(uint64(i+2), command, 0); result.Problem != "" {
			t.Fatalf("command %d: %s", i, result.Problem)
		}
	}
	return state
}

func freeze(t *testing.T, state *State) (data []byte) {
	t.Helper()
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestStoredRecordsAndCallsOfCoresAreReadAsTheyWere(t *testing.T) { checkWire(t, wireFixtures()) }

// fileFixture gives the bytes of a fixture in the code's own encoding.
func fileFixture(t *testing.T, name string, now []byte) (data []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if missing(path) {
		writeFixture(t, path, now)
	}
	return readFixture(t, path)
}

func TestStoredCommandsAreReadAsTheyWere(t *testing.T) {
	for name, commands := range map[string][]Command{"commands_each_kind.bin": kinds(), "commands_of_state.bin": storedCommands} {
		now := EncodeCommands(commands)
		data := fileFixture(t, name, now)
		if !bytes.Equal(data, now) {
			t.Errorf("%s is written differently now", name)
		}
		got, err := DecodeCommands(data)
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(commands, got, equalBodies); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	filled, count := reflect.New(reflect.TypeFor[Command]()).Elem(), 0
	fill(t, filled, &count)
	got, err := DecodeCommands(EncodeCommands([]Command{filled.Interface().(Command)}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]Command{filled.Interface().(Command)}, got); diff != "" {
		t.Errorf("a command with %d filled fields (-want +got):\n%s", count, diff)
	}
}

// equalBodies takes no body for an empty one.
var equalBodies = cmp.Comparer(func(a, b []byte) bool { return bytes.Equal(a, b) })

// storedLog is the log behind the snapshot: a command of each kind, a change of
// members, the barrier of a new term, and a last entry that another took the place of.
func storedLog() (log []Entry) {
	return []Entry{
		{Index: 30, Term: 6, Data: EncodeCommands(kinds())},
		{Index: 31, Term: 6, Members: append(append([]Member(nil), storedMembers...), storedLearner)},
		{Index: 32, Term: 7, Data: EncodeCommands([]Command{{Kind: CommandBarrier}})},
		{Index: 33, Term: 8, Data: []byte{1, byte(CommandFree), 0, 0, 5, 'k', 'e', 'y', '-', '1', 8, 'd', 'i', 'g', 'e', 's', 't', '-', '1', 6, 'n', 'o', 'd', 'e', '-', '1', 128, 128, 128, 128, 128, 32, 0}},
	}
}

func TestStoredLogEntriesAreReadAsTheyWere(t *testing.T) {
	for i, want := range storedLog()[:2] {
		name := []string{"log_entry.bin", "log_entry_membership.bin"}[i]
		got, err := readEntry(want.Index, fileFixture(t, name, writeEntry(want)))
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	filled, count := reflect.New(reflect.TypeFor[Entry]()).Elem(), 0
	fill(t, filled, &count)
	want := filled.Interface().(Entry)
	got, err := readEntry(want.Index, writeEntry(want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("an entry with %d filled fields (-want +got):\n%s", count, diff)
	}
}

// A sum that was sent with a part of a snapshot is the one that is reckoned now,
// and so is the seal of a record.
func TestChecksumsHold(t *testing.T) {
	part := SnapshotChunk{Index: 40, Term: 6, Members: storedMembers, Total: 7, Offset: 2, Whole: checksum(storedSnapshot.Data), Data: []byte("ate\x00\xff")}
	got := []uint32{part.Whole, part.sum(), sealSum(keyEntry(7), []byte("value"))}
	if diff := cmp.Diff([]uint32{1802194548, 3866943754, 4062685565}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if got := hex.EncodeToString(seal(keyHard, []byte("value"))); got != "0001f95d0db676616c7565" {
		t.Errorf("a sealed record is %s", got)
	}
}

// Keys and numbers that are stored or sent are the ones that were.
func TestStoredConstantsHold(t *testing.T) {
	commands := []CommandKind{
		CommandConfig, CommandEvacuate, CommandReturn, CommandClaim, CommandFree, CommandExpire, CommandBarrier,
		CommandOrder, CommandRetire, CommandStop, CommandRestore, CommandMove, CommandBind, CommandUnbind,
	}
	messages := []MessageKind{MsgPreVote, MsgPreVoteResponse, MsgVote, MsgVoteResponse, MsgAppend, MsgAppendResponse, MsgSnapshot, MsgTimeoutNow, MsgHeartbeatResponse, MsgSnapshotChunk, MsgSnapshotChunkResponse}
	for i, kind := range commands {
		if int(kind) != i+1 {
			t.Errorf("command %d has the number %d", i+1, kind)
		}
	}
	for i, kind := range messages {
		if int(kind) != i+1 {
			t.Errorf("message %d has the number %d", i+1, kind)
		}
	}
	if LeaveAsMember != 1 || LeavePending != 2 || LeaveCompleted != 3 {
		t.Error("partings have other numbers")
	}
	keys := [][]byte{keyID, keyHard, keySnapshot, keyLogEnd, keyForm, keyEntry(258)}
	if diff := cmp.Diff([][]byte{[]byte("i"), []byte("h"), []byte("s"), []byte("m"), []byte("f"), []byte("l\x00\x00\x00\x00\x00\x00\x01\x02")}, keys); diff != "" {
		t.Errorf("keys of records (-want +got):\n%s", diff)
	}
}

// openFixture opens a copy of a stored write directory.
func openFixture(t *testing.T, name string) (store *Store, folder string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	store, err := OpenStore(folder, vfs.Default)
	if err != nil {
		t.Fatal(err)
	}
	return store, folder
}

// compareStore loads a store twice, the second time after it was opened again.
func compareStore(t *testing.T, name string, wantHard HardState, wantBase Snapshot, wantLog []Entry, data any) {
	t.Helper()
	store, folder := openFixture(t, name)
	for range 2 {
		id, hard, base, log, err := store.Load()
		if err != nil || id != storedID || hard != wantHard {
			t.Fatal(id, hard, err)
		}
		if data != nil {
			if diff := cmp.Diff(data, gobValue(t, base.Data, data)); diff != "" {
				t.Errorf("state of the snapshot (-want +got):\n%s", diff)
			}
			base.Data = nil
		}
		if diff := cmp.Diff(wantBase, base); diff != "" {
			t.Errorf("snapshot (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(wantLog, log); diff != "" {
			t.Errorf("log (-want +got):\n%s", diff)
		}
		if err = store.Close(); err != nil {
			t.Fatal(err)
		}
		if store, err = OpenStore(folder, vfs.Default); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// buildStore writes a directory in a temporary folder and keeps it as a fixture;
// each step has the store opened anew, so that tables come beside the journal.
func buildStore(t *testing.T, name string, steps ...func(store *Store) error) {
	t.Helper()
	if !missing(filepath.Join("testdata", name, "CURRENT")) {
		return
	}
	folder := filepath.Join(t.TempDir(), "data")
	for _, step := range steps {
		store, err := OpenStore(folder, vfs.Default)
		if err != nil {
			t.Fatal(err)
		}
		if err = step(store); err != nil {
			t.Fatal(err)
		}
		if err = store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	keepStore(t, folder, name)
}

func keepStore(t *testing.T, folder, name string) {
	t.Helper()
	if err := os.CopyFS(filepath.Join("testdata", name), os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
}

func TestAStoredDirectoryIsReadAsItWas(t *testing.T) {
	founding := Snapshot{Index: 1, Term: 1, Members: storedMembers}
	last := Index(len(storedCommands) + 1)
	log := storedLog()
	buildStore(t, "store",
		func(store *Store) error {
			if err := store.Found(storedID, founding); err != nil {
				return err
			}
			var entries []Entry
			for i, command := range storedCommands {
				entries = append(entries, Entry{Index: Index(i + 2), Term: 6, Data: EncodeCommands([]Command{command})})
			}
			return store.Write([]Write{{HardState: &HardState{Term: 6}}, {Entries: entries}})
		},
		func(store *Store) error {
			data := usual(func() []byte { return freeze(t, stateFrom(t, storedCommands)) })
			return store.Write([]Write{{Snapshot: &Snapshot{Index: last, Term: 6, Members: storedMembers, Data: data}}, {Entries: log[:2]}})
		},
		func(store *Store) error {
			if err := store.Write([]Write{{HardState: &HardState{Term: 7}}, {Entries: []Entry{log[2], entry(33, 7), entry(34, 7)}}}); err != nil {
				return err
			}
			hard := storedHard
			return store.Write([]Write{{HardState: &hard}, {TruncateFrom: 33, Entries: log[3:]}})
		})
	compareStore(t, "store", storedHard, Snapshot{Index: last, Term: 6, Members: storedMembers}, log, storedState)
	store, _ := openFixture(t, "store")
	defer func() { _ = store.Close() }()
	for _, index := range []Index{last, 34} {
		if _, _, err := store.db.Get(keyEntry(index)); !errors.Is(err, pebble.ErrNotFound) {
			t.Errorf("log entry %d, which was cut: %v", index, err)
		}
	}
}

// A state that is read from a stored snapshot is written out as it was, and knows
// which orders were taken.
func TestAStoredStateKnowsWhatWasTaken(t *testing.T) {
	store, _ := openFixture(t, "store")
	defer func() { _ = store.Close() }()
	_, _, base, _, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	state, err := Restore(base.Data, 0)
	if err != nil {
		t.Fatal(err)
	}
	again := func(when string) {
		t.Helper()
		if diff := cmp.Diff(storedState, gobValue(t, freeze(t, state), frozen{})); diff != "" {
			t.Errorf("state %s (-want +got):\n%s", when, diff)
		}
	}
	again("written out again")
	for name, command := range map[string]Command{
		"an evacuation": storedCommands[2], "a withdrawn one": storedCommands[4], "a retirement": storedCommands[10], "one taken back": storedCommands[14],
		"an overtaken policy":       storedCommands[5],
		"a policy":                  {Kind: CommandOrder, Site: "drain-policy", Body: append([]byte(" "), storedDocuments["drain-policy"]...)},
		"an overtaken route":        {Kind: CommandConfig, Body: []byte(overtakenRoute)},
		"a configuration in force":  storedCommands[1],
		"a claim by its own holder": storedCommands[22],
	} {
		if result := state.Apply(99, command, 0); !result.Granted && result.Held != command.Claim || result.Problem != "" {
			t.Errorf("%s, sent again: %+v", name, result)
		}
	}
	if stands, taken := state.RetireTaken("book-1"); stands || !taken {
		t.Error("a retirement that was taken back:", stands, taken)
	}
	for name, command := range map[string]Command{
		"an evacuation": {Kind: CommandEvacuate, Site: "west-2", Claim: Claim{Key: "order-1"}},
		"a policy":      {Kind: CommandOrder, Site: "drain-policy", Body: bytes.Replace([]byte(overtakenPolicy), []byte("serve"), []byte("stop"), 1)},
		"a route":       {Kind: CommandConfig, Body: bytes.Replace([]byte(overtakenRoute), []byte("2s"), []byte("4s"), 1)},
	} {
		if result := state.Apply(99, command, 0); !result.Conflict {
			t.Errorf("%s with other content under a number that was taken: %+v", name, result)
		}
	}
}

// A directory of a version that knew no seals is read, and sealed from then on.
func TestAStoredDirectoryWithoutSealsIsReadAsItWas(t *testing.T) {
	name := "store_unsealed"
	base := Snapshot{Index: 29, Term: 6, Members: storedMembers}
	log := storedLog()[:3]
	if missing(filepath.Join("testdata", name, "CURRENT")) {
		folder := filepath.Join(t.TempDir(), "data")
		db, err := pebble.Open(folder, &pebble.Options{Logger: silent{}})
		if err != nil {
			t.Fatal(err)
		}
		whole := base
		whole.Data = usual(func() []byte { return encode(older(storedState)) })
		batch := db.NewBatch()
		_ = batch.Set(keyID, encode(storedID), nil)
		_ = batch.Set(keyHard, encode(storedHard), nil)
		_ = batch.Set(keySnapshot, encode(whole), nil)
		for _, entry := range log {
			_ = batch.Set(keyEntry(entry.Index), writeEntry(entry), nil)
		}
		if err = batch.Commit(pebble.Sync); err != nil {
			t.Fatal(err)
		}
		if err = db.Close(); err != nil {
			t.Fatal(err)
		}
		keepStore(t, folder, name)
	}
	compareStore(t, name, storedHard, base, log, older(storedState))
	store, _ := openFixture(t, name)
	defer func() { _ = store.Close() }()
	_, _, found, _, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	state, err := Restore(found.Data, 0)
	if err != nil {
		t.Fatal(err)
	}
	// What it did not hold is empty, but for the columns, which its items give.
	want := storedState
	want.Documents, want.Overtaken, want.Orders = withdrawnPolicy, dedup.Frozen{}, dedup.Frozen{}
	want.Columns = maps.Clone(storedState.Columns)
	want.Columns["routes"] = []string{"name", "version", "hostname", "path_prefix", "route_type", "timeout", "traffic_split", "priority"}
	if diff := cmp.Diff(want, gobValue(t, freeze(t, state), frozen{})); diff != "" {
		t.Errorf("state of an older version (-want +got):\n%s", diff)
	}
	for _, key := range [][]byte{keyID, keyHard, keySnapshot, keyForm, keyEntry(30)} {
		if _, err = unseal(key, store.raw(t, key)); err != nil {
			t.Error(err)
		}
	}
}

// Entries that an older version left behind a newer leader's are dropped.
func TestAStoredDirectoryWithACutTailIsReadAsItWas(t *testing.T) {
	base := Snapshot{Index: 1, Term: 1, Members: storedMembers, Data: []byte("state\x00\xff")}
	buildStore(t, "store_cut_tail",
		func(store *Store) error {
			if err := store.Found(storedID, base); err != nil {
				return err
			}
			return store.Write([]Write{{HardState: &HardState{Term: 2}, Entries: run(2, 7, 2)}})
		},
		func(store *Store) error {
			hard := storedHard
			return store.Write([]Write{{HardState: &hard, Entries: []Entry{entry(4, 5)}}})
		})
	compareStore(t, "store_cut_tail", storedHard, base, []Entry{entry(2, 2), entry(3, 2), entry(4, 5)}, nil)
	store, _ := openFixture(t, "store_cut_tail")
	defer func() { _ = store.Close() }()
	for index := Index(5); index <= 7; index++ {
		if left, err := unseal(keyEntry(index), store.raw(t, keyEntry(index))); err != nil || !bytes.Equal(left, writeEntry(entry(index, 2))) {
			t.Errorf("what was left at %d: %x, %v", index, left, err)
		}
	}
}

// The operator documents of a stored state are read by their JSON names.
func TestStoredDocumentsAreReadAsTheyWere(t *testing.T) {
	text := func(kind policy.Kind) []byte { return []byte(storedState.Documents[kind].Body) }
	drainPolicy, err := drain.Parse(text("drain-policy"))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := schedule.Read(text("day-plan"))
	if err != nil {
		t.Fatal(err)
	}
	limit, err := retry.Parse(text("retry-limit"))
	if err != nil {
		t.Fatal(err)
	}
	sessions, err := affinity.Parse(text("session-affinity"))
	if err != nil {
		t.Fatal(err)
	}
	second := policy.Span(time.Second)
	want := []any{
		&drain.Policy{Version: 2, IsolatedAfter: 10 * second, WhenIsolated: "stop", Rules: []drain.Rule{
			{Service: "*", Notice: 2 * second, Finish: 30 * second, KeyedRequests: "deadline", LeastShare: 0.5},
			{Service: "pay", Notice: second, Finish: 60 * second, KeyedRequests: "finish", LeastShare: 0.25},
		}},
		&schedule.Plan{Version: 3, Step: 0.1, Every: 30 * second, Room: 0.8, Targets: []schedule.Target{{
			Host: "shop.example", TimeZone: "Europe/Berlin",
			Spans: []schedule.Span{{From: 390, To: 1080, Weights: map[rpc.RegionName]float64{"east": 3, "west": 1}, Ramp: 1800 * second}},
		}}},
		&retry.Policy{Version: 1, Rules: []retry.Rule{{Service: "*", Ratio: 0.2, LeastPerSecond: 10, Window: 10 * second}}},
		&affinity.Policy{Version: 7, Rules: []affinity.Rule{{Service: "pay", Source: "cookie", Name: "sid", Idle: 600 * second, WithoutLeader: "serve", MaxSessions: 1000}}},
	}
	if diff := cmp.Diff(want, []any{drainPolicy, plan, limit, sessions}, cmpopts.IgnoreUnexported(schedule.Target{})); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// A core's status reply lists the members as JSON under the names of the fields.
func TestAMemberIsWrittenAsJSONAsItWas(t *testing.T) {
	got, err := json.Marshal(storedMembers[0])
	if err != nil {
		t.Fatal(err)
	}
	want := `{"ID":"founder-10.0.2.1","Inner":"10.0.2.1:7100","Control":"10.0.2.1:7200","Site":"east-1","Voter":true}`
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
