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
	"tinpin/internal/quota"
	"tinpin/internal/raft"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

// bare is a forum without duties: what it is told in the test is all there is.
func bare() (f *Coordinator) {
	defer func() {
		f.balance, f.orders, f.members = healthcheck.NewBalance(), newOrders(), registry.NewLedger[rpc.FellowID, bool](f.clock)
	}()
	clock := &registry.Clock{}
	clock.Next()
	return &Coordinator{
		log: eventlog.Discard(), term: 7, birth: time.Now(), clock: clock, rev: 0,
		roll: registry.NewRoll(clock, registry.RollBounds{Absent: time.Minute, Struck: time.Hour}), list: registry.NewList(clock),
		cache: healthcheck.NewCache(clock, time.Minute), book: quota.Unwaited(leaseSpan), lender: quota.NewLender(0, leaseSpan, true),
		view: config.New().View(), near: map[rpc.SiteName][]rpc.FellowID{}, owners: map[rpc.ServiceName]rpc.FellowID{}, tallies: map[rpc.FellowID][]rpc.Tally{}, sites: map[rpc.SiteName]bool{}, changed: make(chan struct{}), stop: make(chan struct{}),
		chronicle: history.New(eventlog.Discard()),
	}
}

// A fellow that finds a new leader before its list is whole must get all of
// the list once it is, in parts that a small link can take, and beside them
// what changes meanwhile.
func TestAFellowThatCameBeforeTheListGetsAllOfIt(t *testing.T) {
	f := bare()
	server := func(id string) rpc.Server {
		return rpc.Server{ID: rpc.ServerID(id), Service: "s", Address: "x:1"}
	}
	f.merge([]rpc.Server{server("a"), server("b")}, false)
	if f.Report(rpc.ReportAsk{Fellow: "e", Service: "s", Full: true, States: []rpc.State{{Server: "a", Health: rpc.Up}}}) {
		t.Fatal("a report was taken before the list is whole, and would not be told again")
	}
	ask := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Ready: true}}
	// Its first beat made it known; this one brings no change of term.
	ask.Term, ask.Epoch, ask.ItemAt = 7, f.clock.Now(), rpc.AllItems
	var first rpc.News
	f.tell(ask, &first)
	if first.Part != nil || len(first.Servers) != 0 {
		t.Fatalf("a list that is not whole was told: %+v", first)
	}
	walk := []rpc.Server{server("a"), server("b")}
	for i := range 3*partRows - 2 {
		walk = append(walk, server(fmt.Sprintf("c-%03d", i)))
	}
	f.merge(walk, false)
	f.merge(walk, true)
	known := map[rpc.ServerID]bool{}
	ask.Term, ask.Epoch = first.Term, first.Epoch
	for parts := 0; !ask.Listed; parts++ {
		if !f.due(ask) || parts > 3 {
			t.Fatalf("after %d parts: due %v", parts, f.due(ask))
		}
		var news rpc.News
		f.tell(ask, &news)
		if news.Part == nil {
			t.Fatalf("part %d is missing", parts)
		}
		// A part is made once for all that are as far, so it is unpacked in a copy.
		part := *news.Part
		if err := part.Unpack(); err != nil || len(part.Servers) > partRows {
			t.Fatalf("part %d has %d rows: %v", parts, len(part.Servers), err)
		}
		news.Part = &part
		for _, row := range news.Part.Servers {
			known[row.ID] = true
		}
		for _, row := range news.Servers {
			known[row.ID] = !row.Gone
		}
		ask.Epoch, ask.ListAt, ask.Listed = news.Epoch, news.Part.At, news.Part.Done
		if parts == 0 {
			// One more that sorts before what was told, and one that goes.
			f.merge([]rpc.Server{server("aa")}, false)
			f.list.Servers.Drop("a")
		}
	}
	if len(known) != 3*partRows+1 || !known["aa"] || known["a"] {
		t.Fatalf("%d backends are known, aa: %v, a: %v", len(known), known["aa"], known["a"])
	}
	f.merge([]rpc.Server{server("d")}, false)
	var last rpc.News
	f.tell(ask, &last)
	if last.Part != nil || len(last.Servers) != 1 {
		t.Fatalf("then only what changed: %d told", len(last.Servers))
	}
}

// A great many items come in parts, each once, and a fellow that has only some
// of them is told the rest however the leader changes in between.
func TestItemsComeInParts(t *testing.T) {
	items := config.New()
	rows := make([]string, 4000)
	for i := range rows {
		rows[i] = fmt.Sprintf(`["r-%d","h.example","/p%d/","idempotent","1s","s",%d]`, i, i, i+1)
	}
	call := `{"upserts":{"services":{"column_names":["name","version"],"row_values":[["s",1]]},"routes":{"column_names":["name","hostname","path_prefix","route_type","timeout","service_name","version"],"row_values":[` + strings.Join(rows, ",") + `]}}}`
	if err := items.Apply([]byte(call), 5); err != nil {
		t.Fatal(err)
	}
	state := raft.NewState()
	state.Canon, state.Rev = items, 5
	f := bare()
	f.rev = 5
	told := 0
	known := map[string]bool{}
	var seen rpc.Seen
	for parts := 0; f.owesItems(seen); parts++ {
		var news rpc.News
		f.tellItems(state, seen, &news)
		size := 0
		items := news.Items
		if news.Packed != nil {
			var err error
			if items, err = rpc.Unpack(news.Packed); err != nil {
				t.Fatal(err)
			}
		}
		for _, item := range items {
			if known[item.Path()] {
				t.Fatalf("%s is told twice", item.Path())
			}
			known[item.Path()] = true
			for _, field := range item.Fields {
				size += len(field.JSON)
			}
		}
		if size > itemsRoom || parts > 100 {
			t.Fatalf("part %d has %d bytes", parts, size)
		}
		seen.Rev, seen.ItemAt = news.Rev, news.ItemAt
		told++
	}
	if told < 3 || len(f.parts) != told {
		t.Fatalf("told in %d parts, %d of them kept for the next fellow", told, len(f.parts))
	}
	if len(known) != 4001 || seen.Rev != 5 {
		t.Fatalf("%d items told, up to %d", len(known), seen.Rev)
	}
}

// Before anything was configured there is nothing to tell, and the telling of
// it must not end the leader.
func TestNothingIsToldOfAnEmptyConfiguration(t *testing.T) {
	f := bare()
	var news rpc.News
	f.tellItems(raft.NewState(), rpc.Seen{}, &news)
	if news.Rev != 0 || news.ItemAt != rpc.AllItems || len(news.Items) != 0 || news.Packed != nil {
		t.Fatalf("%+v", news)
	}
}
