package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/healthcheck"
	"tinpin/internal/history"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
	"tinpin/internal/statemachine"
)

// newTestCoordinator is a coordinator of term 7 without loops: it knows only
// what the test gives it.
func newTestCoordinator() (c *Coordinator) {
	c = newCoordinator(settings.Settings{}, eventlog.Discard(), 7)
	c.history = history.New(eventlog.Discard())
	c.nodes = newNodeTable(c.revisions, registry.NodeTimeouts{Absent: time.Minute, Expired: time.Hour})
	c.health = healthcheck.NewStateCache(c.revisions, time.Minute)
	c.leases = newLeaseTable(true)
	return c
}

// nextPart gives the update with the next part of the list, decompressed.
func nextPart(t *testing.T, c *Coordinator, request rpc.HeartbeatRequest, parts int) (update rpc.Update) {
	t.Helper()
	if !c.updateDue(request) || parts > 3 {
		t.Fatalf("after %d parts: due %v", parts, c.updateDue(request))
	}
	c.fillUpdate(request, &update)
	if update.EndpointChunk == nil {
		t.Fatalf("part %d is missing", parts)
	}
	// A page is made once for all nodes that are as far, so it is decompressed in a copy.
	part := *update.EndpointChunk
	if err := part.Decompress(); err != nil || len(part.Endpoints) > pageRows {
		t.Fatalf("part %d has %d rows: %v", parts, len(part.Endpoints), err)
	}
	update.EndpointChunk = &part
	return update
}

// A node that finds a new leader before its list is complete must get all of the
// list once it is, in pages that a narrow link can take, and beside them what
// changes meanwhile.
func TestNodeThatJoinedBeforeTheListIsCompleteGetsAllOfIt(t *testing.T) {
	c := newTestCoordinator()
	endpoint := func(id string) rpc.Endpoint {
		return rpc.Endpoint{ID: rpc.EndpointID(id), Service: "s", Address: "x:1"}
	}
	c.mergeEndpoints([]rpc.Endpoint{endpoint("a"), endpoint("b")}, false)
	healthy := []rpc.EndpointState{{Endpoint: "a", Health: rpc.Healthy}}
	if c.Report(rpc.HealthReport{Node: "e", Service: "s", Full: true, States: healthy}) {
		t.Fatal("a report was taken before the list is complete, and would not be sent again")
	}
	request := rpc.HeartbeatRequest{Node: rpc.Node{ID: "e", Ready: true}}
	// Its first heartbeat made it known; this one brings no change of term.
	request.Term, request.Revision, request.LastItem = 7, c.revisions.Current(), rpc.AfterAllItems
	var first rpc.Update
	c.fillUpdate(request, &first)
	if first.EndpointChunk != nil || len(first.Endpoints) != 0 {
		t.Fatalf("an incomplete list was sent: %+v", first)
	}
	walk := []rpc.Endpoint{endpoint("a"), endpoint("b")}
	for i := range 3*pageRows - 2 {
		walk = append(walk, endpoint(fmt.Sprintf("c-%03d", i)))
	}
	c.mergeEndpoints(walk, false)
	c.mergeEndpoints(walk, true)
	known := map[rpc.EndpointID]bool{}
	request.Term, request.Revision = first.Term, first.Revision
	for parts := 0; !request.EndpointsComplete; parts++ {
		update := nextPart(t, c, request, parts)
		for _, row := range update.EndpointChunk.Endpoints {
			known[row.ID] = true
		}
		for _, row := range update.Endpoints {
			known[row.ID] = !row.Removed
		}
		request.Revision = update.Revision
		request.LastEndpoint, request.EndpointsComplete = update.EndpointChunk.Last, update.EndpointChunk.Complete
		if parts == 0 {
			// One more that sorts before what was sent, and one that goes.
			c.mergeEndpoints([]rpc.Endpoint{endpoint("aa")}, false)
			c.endpoints.Endpoints.Remove("a")
		}
	}
	if len(known) != 3*pageRows+1 || !known["aa"] || known["a"] {
		t.Fatalf("%d backends are known, aa: %v, a: %v", len(known), known["aa"], known["a"])
	}
	c.mergeEndpoints([]rpc.Endpoint{endpoint("d")}, false)
	var last rpc.Update
	c.fillUpdate(request, &last)
	if last.EndpointChunk != nil || len(last.Endpoints) != 1 {
		t.Fatalf("then only what changed: %d sent", len(last.Endpoints))
	}
}

// A great many items are sent in parts, each once, and a node that has only some
// of them is sent the rest however the leader changes in between.
func TestItemsAreSentInParts(t *testing.T) {
	items := config.New()
	rows := make([]string, 4000)
	for i := range rows {
		rows[i] = fmt.Sprintf(`["r-%d","h.example","/p%d/","idempotent","1s","s",%d]`, i, i, i+1)
	}
	call := `{"upserts":{"services":{"column_names":["name","version"],"row_values":[["s",1]]},` +
		`"routes":{"column_names":["name","hostname","path_prefix","route_type","timeout","service_name","version"],` +
		`"row_values":[` + strings.Join(rows, ",") + `]}}}`
	if err := items.Apply([]byte(call), 5); err != nil {
		t.Fatal(err)
	}
	state := statemachine.NewState()
	state.Config, state.Revision = items, 5
	c := newTestCoordinator()
	c.logIndex = 5
	sent := 0
	known := map[string]bool{}
	var position rpc.KnownState
	for parts := 0; c.lacksItems(position); parts++ {
		var update rpc.Update
		c.addItems(state, position, &update)
		size := 0
		for _, item := range itemsOf(t, update) {
			if known[item.Path()] {
				t.Fatalf("%s is sent twice", item.Path())
			}
			known[item.Path()] = true
			for _, field := range item.Fields {
				size += len(field.JSON)
			}
		}
		if size > itemPartBytes || parts > 100 {
			t.Fatalf("part %d has %d bytes", parts, size)
		}
		position.LogIndex, position.LastItem = update.LogIndex, update.LastItem
		sent++
	}
	if sent < 3 || len(c.encoded.items.parts) != sent {
		t.Fatalf("sent in %d parts, %d of them kept for the next node", sent, len(c.encoded.items.parts))
	}
	if len(known) != 4001 || position.LogIndex != 5 {
		t.Fatalf("%d items sent, up to %d", len(known), position.LogIndex)
	}
}

// itemsOf gives the items of an update, decompressed where they are compressed.
func itemsOf(t *testing.T, update rpc.Update) (items []config.Item) {
	t.Helper()
	if update.CompressedItems == nil {
		return update.Items
	}
	items, err := rpc.DecompressItems(update.CompressedItems)
	if err != nil {
		t.Fatal(err)
	}
	return items
}

// Before anything was configured there is nothing to send, and sending it must
// not end the leader.
func TestEmptyConfigurationSendsNoItems(t *testing.T) {
	c := newTestCoordinator()
	var update rpc.Update
	c.addItems(statemachine.NewState(), rpc.KnownState{}, &update)
	if update.LogIndex != 0 || update.LastItem != rpc.AfterAllItems || len(update.Items) != 0 ||
		update.CompressedItems != nil {
		t.Fatalf("%+v", update)
	}
}
