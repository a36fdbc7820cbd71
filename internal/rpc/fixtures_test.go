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
)

// The parts of which requests and replies are made, with every field filled.
var (
	sentNode    = Fellow{ID: "node-1", Life: 1 << 40, Site: "east-1", Region: "east", Front: "10.0.0.1:80", Inner: "10.0.0.1:7000", Ready: true, Stopping: true}
	sentBackend = Server{ID: "pay-1", Service: "pay", Address: "10.0.1.1:8080", Site: "east-1", Slots: 64, Draining: true, Cold: 1500 * time.Millisecond}
	sentState   = State{Server: "pay-1", Health: Down, Cold: 250 * time.Millisecond, Aside: AsideForAll, Gone: true}
	sentRetired = Retirement{Server: "pay-1", Service: "pay", By: "operator", Announced: 41, Stopped: 42, Rev: 43, Gone: true}
	sentMove    = Move{Version: 3, Count: 17, Instant: 1800000000, Rev: 44, Targets: []MoveTarget{
		{Host: "shop.example", Service: "pay", Weights: []RegionWeight{{Region: "east", Weight: 250}, {Region: "west", Weight: 750}}},
		{Service: "book", Weights: []RegionWeight{{Region: "east", Weight: 1000}}},
	}}
	sentTally  = Tally{Server: "pay-1", Service: "pay", Site: "east-1", Good: 4000000000, Bad: 7}
	sentAnswer = RecallReply{Standing: Answered, Status: 201, Header: [][2]string{{"Content-Type", "text/plain"}, {"Location", "/o/1"}}, Body: []byte("made\x00\xff"), Inner: "10.0.0.2:7000"}
	sentItems  = []config.Item{
		{Set: config.Routes, Name: "r1", Version: 5, Rev: 31, Dropped: true, Fields: []config.Field{{Name: "hostname", JSON: `"shop.example"`}, {Name: "version", JSON: `5`}}},
		{Set: config.Services, Name: "pay", Version: 2, Rev: 30, Fields: []config.Field{{Name: "name", JSON: `"pay"`}}},
	}
)

// wireFixtures are the requests and replies of all calls between cores and nodes,
// in the order of the calls, but for those that only cores make.
var wireFixtures = []wireFixture{
	{"beat_request", BeatAsk{
		Fellow: sentNode,
		Seen:   Seen{Term: 9, Epoch: 1001, Rev: 44, ItemAt: AllItems, Listed: true, ListAt: "pay-9", MapAt: 12},
		Known:  300, Hold: 2 * time.Second,
		Demands: []Demand{{Tenant: "acme", Rate: 12.5, Floor: 0.25}},
		Retries: []Demand{{Tenant: "pay", Rate: 3.5, Floor: 0.125}},
		Burdens: []Burden{{Service: "pay", AtWork: 11}},
		Tallies: []Tally{sentTally},
	}},
	{"beat_reply", News{
		Leader: true, Hint: "10.0.2.1:7100", Cores: []Core{{Inner: "10.0.2.1:7100", Control: "10.0.2.1:7200"}},
		Term: 9, Epoch: 1002, Full: true, Rev: 45, ItemAt: "routes/r1", Packed: []byte{1, 0, 255}, Items: sentItems,
		Evacuations: []Evacuation{{Site: "east-1", Active: true, Rev: 21}, {Site: "west-1", Rev: 23}},
		Documents:   []policy.Document{{Kind: policy.DrainPolicy, Version: 4, Body: `{"version":4}`, Rev: 25}},
		Retired:     []Retirement{sentRetired}, Move: &sentMove,
		Part:    &ListPart{Servers: []Server{sentBackend}, States: []State{sentState}, Packed: []byte{2, 0, 254}, From: "pay-0", At: "pay-1", Done: true},
		Servers: []ServerChange{{Server: sentBackend, Gone: true}},
		Fellows: []FellowChange{{Fellow: sentNode, Gone: true}},
		States:  []State{sentState, {Server: "pay-2", Health: Up}}, Crowd: []byte{3, 0, 253},
		Map:      &ShardMap{Term: 9, Count: 12, Members: []FellowID{"node-1", "node-2"}},
		MapDelta: &MapDelta{Base: 11, Count: 12, Added: []FellowID{"node-2"}, Removed: []FellowID{"node-3"}},
		Absent:   []FellowID{"node-4"},
		Leases:   []Lease{{Kind: TenantFloor, Key: "acme", Amount: 6.25, Span: 10 * time.Second}},
		Spills:   []Spill{{Service: "pay", Away: 125, To: []SiteWeight{{Site: "west-1", Weight: 1000}}}},
		Tallies:  []Tally{sentTally},
	}},
	{"lead_request", LeadAsk{}},
	{"lead_reply", LeadReply{Leader: true, Term: 9, Cores: []Core{{Inner: "10.0.2.1:7100", Control: "10.0.2.1:7200"}}}},
	{"claim_request", ClaimAsk{Holder: "node-1", Life: 77, Claims: []KeyClaim{{Key: "key-1", Request: "digest-1"}}, Frees: []KeyClaim{{Key: "key-2", Request: "digest-2"}}, Left: 480 * time.Millisecond}},
	{"claim_reply", ClaimReply{Leader: true, Freed: true, Found: []ClaimFound{{Outcome: Held, Holder: "node-2", Inner: "10.0.0.2:7000", Life: 78, Request: "digest-1"}, {Outcome: Refused}}}},
	{"bind_request", BindAsk{Binds: []Bind{{Session: "a1b2", Service: "pay", Server: "pay-1", From: "pay-0", Idle: 10 * time.Minute}}}},
	{"bind_reply", BindReply{Leader: true, Term: 9, Found: []BindFound{{Outcome: Bound, Server: "pay-1"}, {Outcome: BindRefused}}}},
	{"report_request", ReportAsk{Fellow: "node-1", Term: 9, Count: 12, Service: "pay", Full: true, States: []State{sentState}}},
	{"report_reply", ReportReply{Leader: true, Taken: true}},
	{"orders_request", OrdersAsk{From: "node-1"}},
	{"orders_reply", OrdersReply{Retired: []Retirement{sentRetired}}},
	{"recall_request", RecallAsk{Key: "key-1", Request: "digest-1", Life: 77, Region: "east"}},
	{"recall_reply", sentAnswer},
	{"keep_request", KeepAsk{Key: "key-1", Request: "digest-1", Answer: sentAnswer}},
	{"keep_reply", KeepReply{Kept: true}},
	{"status_request", StatusAsk{}},
	{"status_reply", StatusReply{JSON: []byte(`{"role":"accord"}`)}},
	{"trace_request", TraceAsk{Kind: "item", Name: "routes/r1"}},
	{"trace_reply", TraceReply{Name: "core-1", Has: true, Stamp: "5", Rev: 31, Marks: []TraceMark{{What: "applied", Stamp: "5", Rev: 31, Age: 3 * time.Second}}}},
}

func TestSentValuesAreReadAsTheyWere(t *testing.T) { checkWire(t, wireFixtures) }

// packedFixtures are rows that go packed within a reply to a beat.
var packedFixtures = []struct {
	name   string
	pack   func() ([]byte, error)
	unpack func(data []byte) (any, error)
	want   any
}{
	{
		"items",
		func() ([]byte, error) { return Pack(sentItems) },
		func(data []byte) (any, error) { return Unpack(data) },
		sentItems,
	},
	{
		"nodes",
		func() ([]byte, error) {
			return Pack([]FellowChange{{Fellow: sentNode, Gone: true}, {Fellow: Fellow{ID: "node-2"}}})
		},
		func(data []byte) (any, error) { return UnpackRows[FellowChange](data) },
		[]FellowChange{{Fellow: sentNode, Gone: true}, {Fellow: Fellow{ID: "node-2"}}},
	},
	{
		"backends",
		func() ([]byte, error) {
			part := ListPart{Servers: []Server{sentBackend, {ID: "pay-2"}}, States: []State{sentState}}
			err := part.Pack()
			return part.Packed, err
		},
		func(data []byte) (any, error) {
			part := ListPart{Packed: data, From: "pay-0"}
			err := part.Unpack()
			return part, err
		},
		ListPart{Servers: []Server{sentBackend, {ID: "pay-2"}}, States: []State{sentState}, From: "pay-0"},
	},
}

func TestPackedRowsAreReadAsTheyWere(t *testing.T) {
	for _, fixture := range packedFixtures {
		path := filepath.Join("testdata", "packed", fixture.name+".bin")
		if missing(path) {
			data, err := fixture.pack()
			if err != nil {
				t.Fatal(err)
			}
			writeFixture(t, path, data)
		}
		got, err := fixture.unpack(readFixture(t, path))
		if err != nil {
			t.Fatal(fixture.name, err)
		}
		if diff := cmp.Diff(fixture.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", fixture.name, diff)
		}
	}
	golden := filepath.Join("testdata", "packed", "backends.txt")
	if missing(golden) {
		writeFixture(t, golden, []byte(wireShape(t, reflect.TypeFor[listRows]())))
	}
	if diff := cmp.Diff(string(readFixture(t, golden)), wireShape(t, reflect.TypeFor[listRows]())); diff != "" {
		t.Errorf("field names of the packed part of the list (-golden +now):\n%s", diff)
	}
}

// A step of the day's plan is stored as JSON in a command, under the names of the
// fields.
func TestAStoredMoveIsReadAsItWas(t *testing.T) {
	path := filepath.Join("testdata", "move.json")
	now, err := json.MarshalIndent(sentMove, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if missing(path) {
		writeFixture(t, path, append(now, '\n'))
	}
	data := readFixture(t, path)
	var got Move
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
		Claim    [4]Outcome
		Bind     [4]BindOutcome
		Standing [5]Standing
		Document [4]policy.Kind
		Set      [4]config.Set
		Text     [2]string
	}
	want := constants{
		[3]Health{0, 1, 2}, [6]LeaseKind{1, 2, 3, 4, 5, 6}, [4]Outcome{0, 1, 2, 3}, [4]BindOutcome{0, 1, 2, 3}, [5]Standing{0, 1, 2, 3, 4},
		[4]policy.Kind{"drain-policy", "day-plan", "retry-limit", "session-affinity"}, [4]config.Set{"routes", "services", "tenants", "limits"}, [2]string{"*", "\xff"},
	}
	got := constants{
		[3]Health{Unknown, Up, Down}, [6]LeaseKind{ColdRate, TenantShare, TenantFloor, RetrySlack, RetryShare, RetryFloor}, [4]Outcome{Unclear, Granted, Held, Refused},
		[4]BindOutcome{BindUnclear, Bound, BindFull, BindRefused}, [5]Standing{Lost, Running, Answered, Freed, Moved},
		[4]policy.Kind{policy.DrainPolicy, policy.DayPlan, policy.RetryLimit, policy.SessionAffinity}, [4]config.Set{config.Routes, config.Services, config.Tenants, config.Limits}, [2]string{AsideForAll, AllItems},
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
	for _, line := range strings.Split(string(readFixture(t, filepath.Join("testdata", "methods.txt"))), "\n") {
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
