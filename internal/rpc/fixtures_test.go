// What cores and nodes say to each other, as it was sent before the names of the
// types were changed. Each fixture is read and compared value by value; a request
// or a reply that is added needs one too.
package rpc

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/config"
	"tinpin/internal/policy"
	"tinpin/internal/testutil/wiretest"
)

// The parts of which requests and replies are made, with every field filled.
var (
	sentNode    = Node{ID: "node-1", Incarnation: 1 << 40, Zone: "east-1", Region: "east", FrontendAddress: "10.0.0.1:80", InternalAddress: "10.0.0.1:7000", Ready: true, Stopping: true}
	sentBackend = Endpoint{ID: "pay-1", Service: "pay", Address: "10.0.1.1:8080", Zone: "east-1", Slots: 64, Draining: true, WarmupRemaining: 1500 * time.Millisecond}
	sentState   = EndpointState{Endpoint: "pay-1", Health: Unhealthy, WarmupRemaining: 250 * time.Millisecond, EjectedFor: EjectedForAllZones, Removed: true}
	sentRetired = Retirement{Server: "pay-1", Service: "pay", By: "operator", Announced: 41, Stopped: 42, Rev: 43, Gone: true}
	sentMove    = ScheduleStep{Version: 3, Count: 17, Instant: 1800000000, Rev: 44, Targets: []ScheduleTarget{
		{Host: "shop.example", Service: "pay", Weights: []RegionWeight{{Region: "east", Weight: 250}, {Region: "west", Weight: 750}}},
		{Service: "book", Weights: []RegionWeight{{Region: "east", Weight: 1000}}},
	}}
	sentTally  = OutcomeCount{Endpoint: "pay-1", Service: "pay", Zone: "east-1", Succeeded: 4000000000, Failed: 7}
	sentAnswer = StoredResponse{State: OperationCompleted, Status: 201, Headers: [][2]string{{"Content-Type", "text/plain"}, {"Location", "/o/1"}}, Body: []byte("made\x00\xff"), InternalAddress: "10.0.0.2:7000"}
	sentItems  = []config.Item{
		{Set: config.Routes, Name: "r1", Version: 5, Rev: 31, Dropped: true, Fields: []config.Field{{Name: "hostname", JSON: `"shop.example"`}, {Name: "version", JSON: `5`}}},
		{Set: config.Services, Name: "pay", Version: 2, Rev: 30, Fields: []config.Field{{Name: "name", JSON: `"pay"`}}},
	}
)

// wireFixtures are the requests and replies of all calls between cores and nodes,
// in the order of the calls, but for those that only cores make.
var wireFixtures = []wiretest.Fixture{
	{Name: "beat_request", Value: HeartbeatRequest{
		Node:       sentNode,
		KnownState: KnownState{Term: 9, Revision: 1001, LogIndex: 44, LastItem: AfterAllItems, EndpointsComplete: true, LastEndpoint: "pay-9", ShardMapRevision: 12},
		KnownNodes: 300, MaxWait: 2 * time.Second,
		TenantDemands: []RateDemand{{Name: "acme", Rate: 12.5, Minimum: 0.25}},
		RetryDemands:  []RateDemand{{Name: "pay", Rate: 3.5, Minimum: 0.125}},
		Loads:         []Load{{Service: "pay", InFlight: 11}},
		Outcomes:      []OutcomeCount{sentTally},
	}},
	{Name: "beat_reply", Value: Update{
		IsLeader: true, LeaderAddress: "10.0.2.1:7100", Controllers: []Controller{{InternalAddress: "10.0.2.1:7100", ControlAddress: "10.0.2.1:7200"}},
		Term: 9, Revision: 1002, Full: true, LogIndex: 45, LastItem: "routes/r1", CompressedItems: []byte{1, 0, 255}, Items: sentItems,
		Evacuations: []Evacuation{{Zone: "east-1", Active: true, LogIndex: 21}, {Zone: "west-1", LogIndex: 23}},
		Documents:   []policy.Document{{Kind: policy.DrainPolicy, Version: 4, Body: `{"version":4}`, Rev: 25}},
		Retirements: []Retirement{sentRetired}, ScheduleStep: &sentMove,
		EndpointChunk: &EndpointChunk{Endpoints: []Endpoint{sentBackend}, States: []EndpointState{sentState}, Compressed: []byte{2, 0, 254}, After: "pay-0", Last: "pay-1", Complete: true},
		Endpoints:     []EndpointChange{{Endpoint: sentBackend, Removed: true}},
		Nodes:         []NodeChange{{Node: sentNode, Removed: true}},
		States:        []EndpointState{sentState, {Endpoint: "pay-2", Health: Healthy}}, CompressedNodes: []byte{3, 0, 253},
		ShardMap:      &ShardMap{Term: 9, Revision: 12, Members: []NodeID{"node-1", "node-2"}},
		ShardMapDelta: &ShardMapDelta{BaseRevision: 11, Revision: 12, Added: []NodeID{"node-2"}, Removed: []NodeID{"node-3"}},
		Absent:        []NodeID{"node-4"},
		Leases:        []Lease{{Kind: TenantMinimum, Key: "acme", Amount: 6.25, Duration: 10 * time.Second}},
		ZoneOverflows: []ZoneOverflow{{Service: "pay", Permille: 125, Targets: []ZoneWeight{{Zone: "west-1", Weight: 1000}}}},
		Outcomes:      []OutcomeCount{sentTally},
	}},
	{Name: "lead_request", Value: LeaderRequest{}},
	{Name: "lead_reply", Value: LeaderResponse{IsLeader: true, Term: 9, Controllers: []Controller{{InternalAddress: "10.0.2.1:7100", ControlAddress: "10.0.2.1:7200"}}}},
	{Name: "claim_request", Value: ClaimRequest{Holder: "node-1", Incarnation: 77, Claims: []KeyClaim{{Key: "key-1", Request: "digest-1"}}, Releases: []KeyClaim{{Key: "key-2", Request: "digest-2"}}, TimeLeft: 480 * time.Millisecond}},
	{Name: "claim_reply", Value: ClaimResponse{IsLeader: true, Released: true, Results: []ClaimResult{{Outcome: ClaimHeld, Holder: "node-2", InternalAddress: "10.0.0.2:7000", Incarnation: 78, Request: "digest-1"}, {Outcome: ClaimRejected}}}},
	{Name: "bind_request", Value: BindRequest{Bindings: []SessionBinding{{Session: "a1b2", Service: "pay", Endpoint: "pay-1", EndedEndpoint: "pay-0", IdleTimeout: 10 * time.Minute}}}},
	{Name: "bind_reply", Value: BindResponse{IsLeader: true, Term: 9, Results: []BindResult{{Outcome: Bound, Endpoint: "pay-1"}, {Outcome: BindRejected}}}},
	{Name: "report_request", Value: HealthReport{Node: "node-1", Term: 9, ShardMapRevision: 12, Service: "pay", Full: true, States: []EndpointState{sentState}}},
	{Name: "report_reply", Value: HealthReportResponse{IsLeader: true, Accepted: true}},
	{Name: "orders_request", Value: RetirementsRequest{From: "node-1"}},
	{Name: "orders_reply", Value: RetirementsResponse{Retirements: []Retirement{sentRetired}}},
	{Name: "recall_request", Value: StoredResponseRequest{Key: "key-1", Request: "digest-1", Incarnation: 77, Region: "east"}},
	{Name: "recall_reply", Value: sentAnswer},
	{Name: "keep_request", Value: StoreRequest{Key: "key-1", Request: "digest-1", Response: sentAnswer}},
	{Name: "keep_reply", Value: StoreAcknowledgement{Stored: true}},
	{Name: "status_request", Value: StatusRequest{}},
	{Name: "status_reply", Value: StatusResponse{JSON: []byte(`{"role":"accord"}`)}},
	{Name: "trace_request", Value: TraceRequest{Kind: "item", Name: "routes/r1"}},
	{Name: "trace_reply", Value: TraceResponse{Name: "core-1", Present: true, Summary: "5", LogIndex: 31, Entries: []TraceEntry{{Event: "applied", Summary: "5", LogIndex: 31, Age: 3 * time.Second}}}},
}

func TestSentValuesAreReadAsTheyWere(t *testing.T) { wiretest.Check(t, wireFixtures) }

// packedFixtures are rows that go packed within a reply to a beat.
var packedFixtures = []struct {
	name   string
	pack   func() ([]byte, error)
	unpack func(data []byte) (any, error)
	want   any
}{
	{
		"items",
		func() ([]byte, error) { return Compress(sentItems) },
		func(data []byte) (any, error) { return DecompressItems(data) },
		sentItems,
	},
	{
		"nodes",
		func() ([]byte, error) {
			return Compress([]NodeChange{{Node: sentNode, Removed: true}, {Node: Node{ID: "node-2"}}})
		},
		func(data []byte) (any, error) { return Decompress[NodeChange](data) },
		[]NodeChange{{Node: sentNode, Removed: true}, {Node: Node{ID: "node-2"}}},
	},
	{
		"backends",
		func() ([]byte, error) {
			part := EndpointChunk{Endpoints: []Endpoint{sentBackend, {ID: "pay-2"}}, States: []EndpointState{sentState}}
			err := part.Compress()
			return part.Compressed, err
		},
		func(data []byte) (any, error) {
			part := EndpointChunk{Compressed: data, After: "pay-0"}
			err := part.Decompress()
			return part, err
		},
		EndpointChunk{Endpoints: []Endpoint{sentBackend, {ID: "pay-2"}}, States: []EndpointState{sentState}, After: "pay-0"},
	},
}

func TestCompressedRowsAreReadAsTheyWere(t *testing.T) {
	for _, fixture := range packedFixtures {
		path := filepath.Join("testdata", "packed", fixture.name+".bin")
		if wiretest.Missing(path) {
			data, err := fixture.pack()
			if err != nil {
				t.Fatal(err)
			}
			wiretest.WriteFile(t, path, data)
		}
		got, err := fixture.unpack(wiretest.ReadFile(t, path))
		if err != nil {
			t.Fatal(fixture.name, err)
		}
		if diff := cmp.Diff(fixture.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", fixture.name, diff)
		}
	}
	golden := filepath.Join("testdata", "packed", "backends.txt")
	if wiretest.Missing(golden) {
		wiretest.WriteFile(t, golden, []byte(wiretest.Shape(t, reflect.TypeFor[chunkRows]())))
	}
	if diff := cmp.Diff(string(wiretest.ReadFile(t, golden)), wiretest.Shape(t, reflect.TypeFor[chunkRows]())); diff != "" {
		t.Errorf("field names of the packed part of the list (-golden +now):\n%s", diff)
	}
}

// A step of the day's plan is stored as JSON in a command, under the names of the
// fields.
func TestStoredScheduleStepIsReadAsItWas(t *testing.T) {
	path := filepath.Join("testdata", "move.json")
	now, err := json.MarshalIndent(sentMove, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if wiretest.Missing(path) {
		wiretest.WriteFile(t, path, append(now, '\n'))
	}
	data := wiretest.ReadFile(t, path)
	var got ScheduleStep
	if err = json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sentMove, got); diff != "" {
		t.Errorf("decoded move (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(string(data), string(now)+"\n"); diff != "" {
		t.Errorf("JSON of a move (-golden +now):\n%s", diff)
	}
}

// What is sent as a number or a word has the one that it had.
func TestSentConstantsHold(t *testing.T) {
	type constants struct {
		Health   [3]Health
		Lease    [6]LeaseKind
		Claim    [4]ClaimOutcome
		Bind     [4]BindOutcome
		Standing [5]OperationState
		Document [4]policy.Kind
		Set      [4]config.Set
		Text     [2]string
	}
	want := constants{
		[3]Health{0, 1, 2}, [6]LeaseKind{1, 2, 3, 4, 5, 6}, [4]ClaimOutcome{0, 1, 2, 3}, [4]BindOutcome{0, 1, 2, 3}, [5]OperationState{0, 1, 2, 3, 4},
		[4]policy.Kind{"drain-policy", "day-plan", "retry-limit", "session-affinity"}, [4]config.Set{"routes", "services", "tenants", "limits"}, [2]string{"*", "\xff"},
	}
	got := constants{
		[3]Health{HealthUnknown, Healthy, Unhealthy}, [6]LeaseKind{WarmupRate, TenantShare, TenantMinimum, RetrySlack, RetryShare, RetryMinimum}, [4]ClaimOutcome{ClaimUnknown, ClaimGranted, ClaimHeld, ClaimRejected},
		[4]BindOutcome{BindUnknown, Bound, BindTableFull, BindRejected}, [5]OperationState{OperationLost, OperationRunning, OperationCompleted, OperationReleased, OperationMoved},
		[4]policy.Kind{policy.DrainPolicy, policy.DayPlan, policy.RetryLimit, policy.SessionAffinity}, [4]config.Set{config.Routes, config.Services, config.Tenants, config.Limits}, [2]string{EjectedForAllZones, AfterAllItems},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// The names under which calls are sent and answered are found in the source of
// the whole module, whatever its packages are called.
func TestMethodNamesHold(t *testing.T) {
	root := "."
	for range 8 {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			break
		}
		root = filepath.Join(root, "..")
	}
	methods, services, answered := map[string]bool{}, map[string]bool{}, map[string][]string{}
	called := regexp.MustCompile(`^(Accord|Forum|Fellow|Status)\.[A-Z]\w*$`)
	text := func(node ast.Expr) (text string) {
		if literal, is := node.(*ast.BasicLit); is && literal.Kind == token.STRING {
			text, _ = strconv.Unquote(literal.Value)
		}
		return text
	}
	look := func(node ast.Node) bool {
		if expression, is := node.(ast.Expr); is && called.MatchString(text(expression)) {
			methods[text(expression)] = true
		}
		call, is := node.(*ast.CallExpr)
		if !is {
			return true
		}
		for _, argument := range call.Args {
			receivers, composite := argument.(*ast.CompositeLit)
			if !composite {
				continue
			}
			// Receivers are served as a map from their exported name to any.
			if of, mapped := receivers.Type.(*ast.MapType); mapped {
				if value, named := of.Value.(*ast.Ident); named && value.Name == "any" {
					for _, element := range receivers.Elts {
						if name := text(element.(*ast.KeyValueExpr).Key); ast.IsExported(name) {
							services[name] = true
						}
					}
				}
			}
		}
		return true
	}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, look)
		for _, declared := range file.Decls {
			if method, is := declared.(*ast.FuncDecl); is && answersCalls(method) {
				receiver := filepath.Dir(path) + " " + types.ExprString(method.Recv.List[0].Type)
				answered[receiver] = append(answered[receiver], method.Name.Name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	sorted := func(of map[string]bool) (names []string) {
		for name := range of {
			names = append(names, name)
		}
		sort.Strings(names)
		return names
	}
	var want, wantServices []string
	wantAnswered := map[string][]string{}
	for _, line := range strings.Split(string(wiretest.ReadFile(t, filepath.Join("testdata", "methods.txt"))), "\n") {
		if name, _, found := strings.Cut(line, " "); found {
			want = append(want, name)
			service, method, _ := strings.Cut(name, ".")
			wantAnswered[service] = append(wantAnswered[service], method)
			wantServices = append(wantServices, service)
		}
	}
	sort.Strings(wantServices)
	if diff := cmp.Diff(want, sorted(methods)); diff != "" {
		t.Errorf("methods called (-golden +now):\n%s", diff)
	}
	if diff := cmp.Diff(slices.Compact(wantServices), sorted(services)); diff != "" {
		t.Errorf("services registered (-golden +now):\n%s", diff)
	}
	// Both cores and nodes answer for their status; the others have one receiver each.
	receivers := map[string]int{"Accord": 1, "Forum": 1, "Fellow": 1, "Status": 2}
	for service, names := range wantAnswered {
		found := 0
		for _, has := range answered {
			slices.Sort(has)
			if slices.Equal(names, has) {
				found++
			}
		}
		if found != receivers[service] {
			t.Errorf("%d receivers answer just the calls %v of %s: %v", found, names, service, answered)
		}
	}
}

// answersCalls tells that net/rpc would offer a method to callers.
func answersCalls(method *ast.FuncDecl) (answers bool) {
	kind := method.Type
	if method.Recv == nil || !method.Name.IsExported() || kind.Params.NumFields() != 2 || kind.Results.NumFields() != 1 {
		return false
	}
	_, pointer := kind.Params.List[len(kind.Params.List)-1].Type.(*ast.StarExpr)
	return pointer && types.ExprString(kind.Results.List[0].Type) == "error"
}
