// Package storedstate holds a replicated state as data directories of older
// versions have it, and the commands that led to it, for the tests of the packages
// that read such directories. It does not read or write directories. Only tests import
// it; its values must not be changed.
package storedstate

import (
	"encoding/hex"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

// The operator documents of the stored state.
var (
	// Documents are those in force.
	Documents = map[policy.Kind]string{
		policy.DrainPolicy:     `{"version":2,"rules":[{"service":"*","notice":"2s","finish":"30s","keyed":"deadline","least_share":0.5},{"service":"pay","notice":"1s","finish":"1m0s","keyed":"finish","least_share":0.25}],"lost_touch":"10s","cut_off":"stop"}`,
		policy.DayPlan:         `{"version":3,"targets":[{"host":"shop.example","time_zone":"Europe/Berlin","spans":[{"from":"06:30","to":"18:00","weights":{"east":3,"west":1},"ramp":"30m0s"}]}],"step":0.1,"every":"30s","room":0.8}`,
		policy.RetryLimit:      `{"version":1,"rules":[{"service":"*","ratio":0.2,"least_per_s":10,"window":"10s"}]}`,
		policy.SessionAffinity: `{"version":7,"rules":[{"service":"pay","from":"cookie","name":"sid","idle":"10m0s","alone":"serve","most":1000}]}`,
	}
	// OvertakenPolicy is the drain policy that another version has superseded.
	OvertakenPolicy = `{"version":1,"rules":[{"service":"*","notice":"0s","finish":"5s","keyed":"finish","least_share":0}],"lost_touch":"5s","cut_off":"serve"}`
	// OvertakenRoute is a configuration of which one route was superseded since.
	OvertakenRoute = `{"upserts":{"routes":{"column_names":["name","version","hostname","path_prefix","route_type","timeout","service_name"],"row_values":[["r1",1,"shop.example","/","idempotent","2s","pay"]]}}}`
)

// Commands are the commands that led to the state of the snapshot, from the log index 2
// on.
var Commands = []statemachine.Command{
	{Kind: statemachine.CommandConfig, Body: []byte(`{"upserts":{"services":{"column_names":["name","version","health_check_path","max_connections","extra"],"row_values":[["pay",1,"/ready",20,{"a":[1,null,"x"]}],["book",4,null,null,null]]},` +
		`"routes":{"column_names":["name","version","hostname","path_prefix","route_type","timeout","service_name"],"row_values":[["r1",1,"shop.example","/","idempotent","2s","pay"],["r2",1,"shop.example","/book/","keyed","1500ms","book"]]},` +
		`"tenants":{"column_names":["name","version","hostnames","rate","burst"],"row_values":[["acme",2,["shop.example"],12.5,50]]},"limits":{"version":3,"max_header_bytes":8192,"idle_timeout":"20s"}}}`)},
	{Kind: statemachine.CommandConfig, Body: []byte(`{"upserts":{"routes":{"column_names":["name","version","hostname","path_prefix","route_type","timeout","traffic_split","priority"],"row_values":[["r1",3,"shop.example","/","download","3s",[{"service_name":"pay","weight":3},{"service_name":"book","weight":1}],2]]}},"removals":{"routes":[{"name":"r2","version":2}]}}`)},
	{Kind: statemachine.CommandStartEvacuation, Subject: "east-1", Claim: statemachine.Claim{Key: "order-1"}},
	{Kind: statemachine.CommandStartEvacuation, Subject: "west-1"},
	{Kind: statemachine.CommandEndEvacuation, Subject: "west-1", Claim: statemachine.Claim{Key: "order-2"}},
	{Kind: statemachine.CommandDocument, Subject: string(policy.DrainPolicy), Body: []byte(OvertakenPolicy)},
	{Kind: statemachine.CommandDocument, Subject: string(policy.DrainPolicy), Body: []byte(Documents[policy.DrainPolicy])},
	{Kind: statemachine.CommandDocument, Subject: string(policy.DayPlan), Body: []byte(Documents[policy.DayPlan])},
	{Kind: statemachine.CommandDocument, Subject: string(policy.RetryLimit), Body: []byte(Documents[policy.RetryLimit])},
	{Kind: statemachine.CommandDocument, Subject: string(policy.SessionAffinity), Body: []byte(Documents[policy.SessionAffinity])},
	{Kind: statemachine.CommandRetire, Subject: "pay-1", Body: []byte("pay"), Claim: statemachine.Claim{Holder: "operator", Key: "order-3"}},
	{Kind: statemachine.CommandStopRetired, Subject: "pay-1"},
	{Kind: statemachine.CommandRetire, Subject: "pay-2", Body: []byte("pay"), Claim: statemachine.Claim{Holder: "platform"}},
	{Kind: statemachine.CommandRetire, Subject: "book-1", Body: []byte("book"), Claim: statemachine.Claim{Holder: "operator"}},
	{Kind: statemachine.CommandCancelRetire, Subject: "book-1", Claim: statemachine.Claim{Key: "order-4"}},
	{Kind: statemachine.CommandScheduleStep, Body: []byte(`{"Version":3,"Count":1,"Instant":1800000000,"Targets":[{"Host":"shop.example","Service":"","Weights":[{"Region":"east","Weight":750},{"Region":"west","Weight":250}]}],"Rev":0}`)},
	{Kind: statemachine.CommandBind, Subject: "pay", Number: uint64(10 * time.Minute), Claim: statemachine.Claim{Key: "session-1", Request: "pay-1"}},
	{Kind: statemachine.CommandBind, Subject: "pay", Number: uint64(10 * time.Minute), Claim: statemachine.Claim{Key: "session-2", Request: "pay-1"}},
	{Kind: statemachine.CommandBind, Subject: "pay", Number: uint64(5 * time.Minute), Claim: statemachine.Claim{Key: "session-1", Request: "pay-2", Holder: "pay-1"}},
	{Kind: statemachine.CommandBind, Subject: "pay", Number: uint64(time.Minute), Claim: statemachine.Claim{Key: "session-3", Request: "pay-2"}},
	{Kind: statemachine.CommandUnbind, Number: 4, Claim: statemachine.Claim{Key: "session-3"}},
	{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: "key-0", Request: "digest-0", Holder: "node-1", Incarnation: 1 << 40}},
	{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: "key-1", Request: "digest-1", Holder: "node-1", Incarnation: 1 << 40}},
	{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: "key-2", Request: "digest-2", Holder: "node-2", Incarnation: 7}},
	{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: "key-3", Request: "digest-3", Holder: "node-2", Incarnation: 7}},
	{Kind: statemachine.CommandExpireClaims, Number: 5},
	{Kind: statemachine.CommandReleaseClaim, Claim: statemachine.Claim{Key: "key-2", Request: "digest-2", Holder: "node-2", Incarnation: 7}},
	{Kind: statemachine.CommandBarrier},
}

// Value is the state that these commands give, as a snapshot holds it.
var Value = Form{
	Canon: []config.Item{
		{Set: "limits", Version: 3, Rev: 2, Fields: []config.Field{{Name: "version", JSON: `3`}, {Name: "max_header_bytes", JSON: `8192`}, {Name: "idle_timeout", JSON: `"20s"`}}},
		{Set: "routes", Name: "r1", Version: 3, Rev: 3, Fields: []config.Field{
			{Name: "name", JSON: `"r1"`},
			{Name: "version", JSON: `3`},
			{Name: "hostname", JSON: `"shop.example"`},
			{Name: "path_prefix", JSON: `"/"`},
			{Name: "route_type", JSON: `"download"`},
			{Name: "timeout", JSON: `"3s"`},
			{Name: "traffic_split", JSON: `[{"service_name":"pay","weight":3},{"service_name":"book","weight":1}]`},
			{Name: "priority", JSON: `2`},
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
		"drain-policy":     {Kind: "drain-policy", Version: 2, Body: Documents["drain-policy"], Rev: 8},
		"day-plan":         {Kind: "day-plan", Version: 3, Body: Documents["day-plan"], Rev: 9},
		"retry-limit":      {Kind: "retry-limit", Version: 1, Body: Documents["retry-limit"], Rev: 10},
		"session-affinity": {Kind: "session-affinity", Version: 7, Body: Documents["session-affinity"], Rev: 11},
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
	// Of each request the digest of its key and that of its content.
	Overtaken: dedup.Snapshot{Entries: unhex("7d7ea621c9cbad54" + "32b1b4ebde6fee50" + "a95ba73dc857db61" + "5ee703e3300a81ff")},
	Orders: dedup.Snapshot{Entries: unhex("bf00dd0c02374311" + "bc567ce12c318475" + "c08b2e886bc866f2" + "295edfc30594737b" + "a28c914c5c8acd41" + "54dee19886a4fb51" + "0897e4d4030e2e21" + "75c65435810cc35d" +
		"65932614f61b3884" + "0000000000000000" + "57b39fd9f04b2a98" + "0000000000000000" + "322c6b086c99b91d" + "47638056d4777fc3")},
}

// Form has the fields of a snapshot's state, by the names that are stored.
type Form struct {
	Canon       []config.Item //words:frozen stored in snapshots
	Evacuations map[string]Evacuation
	Documents   map[policy.Kind]policy.Document
	Retired     map[rpc.EndpointID]rpc.Retirement
	Move        rpc.ScheduleStep
	Bindings    map[rpc.SessionID]Binding
	Claims      []Claim
	Seqs        []uint64
	Seq, Rev    uint64
	Columns     map[config.Set][]string
	Overtaken   dedup.Snapshot //words:frozen stored in snapshots
	Orders      dedup.Snapshot
}

// The parts of a stored state that are no types of other packages.
type (
	// Evacuation is that of one zone.
	Evacuation struct {
		Site   string //words:frozen stored in snapshots
		Active bool
		Rev    uint64
	}
	// Binding is that of one session.
	Binding struct {
		Service rpc.ServiceName
		Server  rpc.EndpointID
		Idle    time.Duration
		Seq     uint64
	}
	// Claim is that of one operation key.
	Claim struct {
		Key, Request, Holder string
		Life                 uint64
	}
)

// OlderForm is a snapshot's state as versions wrote it that had neither columns nor
// tables of accepted requests.
type OlderForm struct {
	Canon       []config.Item //words:frozen stored in snapshots
	Evacuations map[string]Evacuation
	Documents   map[policy.Kind]policy.Document
	Retired     map[rpc.EndpointID]rpc.Retirement
	Move        rpc.ScheduleStep
	Bindings    map[rpc.SessionID]Binding
	Claims      []Claim
	Seqs        []uint64
	Seq, Rev    uint64
}

// WithdrawnPolicy is a document that was withdrawn.
var WithdrawnPolicy = map[policy.Kind]policy.Document{"drain-policy": {Kind: "drain-policy", Version: 3, Rev: 16}}

// Older is a state in the older form.
func Older(of Form) (state OlderForm) {
	return OlderForm{of.Canon, of.Evacuations, WithdrawnPolicy, of.Retired, of.Move, of.Bindings, of.Claims, of.Seqs, of.Seq, of.Rev}
}

// Filled is the stored state with every field set, which no single state has.
func Filled() (state Form) {
	state = Value
	state.Overtaken.Dropped, state.Orders.Dropped = 5, 6
	state.Canon = []config.Item{{Set: "routes", Name: "r1", Version: 3, Rev: 2, Dropped: true, Fields: []config.Field{{Name: "version", JSON: `3`}}}}
	state.Retired = map[rpc.EndpointID]rpc.Retirement{"pay-1": {Server: "pay-1", Service: "pay", By: "operator", Announced: 12, Stopped: 13, Rev: 14, Gone: true}}
	state.Move.Targets = []rpc.ScheduleTarget{{Host: "shop.example", Service: "pay", Weights: []rpc.RegionWeight{{Region: "east", Weight: 1000}}}}
	return state
}

func unhex(text string) (data []byte) {
	data, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return data
}

// EachKind has one command of each kind with every field filled.
func EachKind() (commands []statemachine.Command) {
	for kind := statemachine.CommandConfig; kind <= statemachine.CommandUnbind; kind++ {
		text := func(what string) string { return what + "-" + string(rune('a'+kind-1)) }
		commands = append(commands, statemachine.Command{
			Kind: kind, Body: []byte(text("body\x00\xff")), Subject: text("site"), Number: 1<<63 + uint64(kind),
			Claim: statemachine.Claim{Key: text("key"), Request: text("request"), Holder: text("holder"), Incarnation: 300 * uint64(kind)},
		})
	}
	return commands
}

// ApplyAll is the state after these commands, from the log index 2 on.
func ApplyAll(t *testing.T, commands []statemachine.Command) (state *statemachine.State) {
	t.Helper()
	state = statemachine.NewState()
	for i, command := range commands {
		if result := state.Apply(uint64(i+2), command, 0); result.Err != nil {
			t.Fatalf("command %d: %s", i, result.Err)
		}
	}
	return state
}

// SnapshotOf encodes a state.
func SnapshotOf(t *testing.T, state *statemachine.State) (data []byte) {
	t.Helper()
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
