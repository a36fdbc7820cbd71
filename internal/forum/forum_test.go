package forum

import (
	"testing"
	"time"

	"tinpin/internal/allot"
	"tinpin/internal/canon"
	"tinpin/internal/census"
	"tinpin/internal/chronicle"
	"tinpin/internal/events"
	"tinpin/internal/parley"
	"tinpin/internal/vigil"
)

// bare is a forum without duties: what it is told in the test is all there is.
func bare() (f *Forum) {
	clock := &census.Clock{}
	clock.Next()
	return &Forum{
		log: events.Quiet(), term: 7, birth: time.Now(), clock: clock, rev: 0,
		roll: census.NewRoll(clock, census.RollBounds{Absent: time.Minute, Struck: time.Hour}), list: census.NewList(clock),
		cache: vigil.NewCache(clock, time.Minute), book: allot.Unwaited(leaseSpan), lender: allot.NewLender(0, leaseSpan, true),
		view: canon.New().View(), sites: map[parley.SiteName]bool{}, changed: make(chan struct{}), stop: make(chan struct{}),
		chronicle: chronicle.New(events.Quiet()),
	}
}

// A fellow that finds a new leader before its list is whole must get all of
// the list once it is, not only what came after its first beat.
func TestAFellowThatCameBeforeTheListGetsAllOfIt(t *testing.T) {
	f := bare()
	server := func(id string) parley.Server {
		return parley.Server{ID: parley.ServerID(id), Service: "s", Address: "x:1"}
	}
	f.merge([]parley.Server{server("a"), server("b")}, false)
	if f.Report(parley.ReportAsk{Fellow: "e", Service: "s", Full: true, States: []parley.State{{Server: "a", Health: parley.Up}}}) {
		t.Fatal("a report was taken before the list is whole, and would not be told again")
	}
	// Its first beat made it known; this one brings no change of term.
	ask := parley.BeatAsk{Fellow: parley.Fellow{ID: "e", Ready: true}, Term: 7, Epoch: f.clock.Now()}
	var first parley.News
	f.tell(ask, &first)
	if first.Listed || len(first.Servers) != 0 {
		t.Fatalf("a list that is not whole was told: %+v", first)
	}
	f.merge([]parley.Server{server("c")}, false)
	f.merge([]parley.Server{server("a"), server("b"), server("c")}, true)
	ask.Term, ask.Epoch = first.Term, first.Epoch
	if !f.due(ask) {
		t.Fatal("the whole list is news")
	}
	var second parley.News
	f.tell(ask, &second)
	if !second.Listed || !second.ListFull || len(second.Servers) != 3 {
		t.Fatalf("%d of 3 backends were told", len(second.Servers))
	}
	f.merge([]parley.Server{server("d")}, false)
	ask.Epoch, ask.Listed = second.Epoch, true
	var third parley.News
	f.tell(ask, &third)
	if third.ListFull || len(third.Servers) != 1 {
		t.Fatalf("then only what changed: %d told", len(third.Servers))
	}
}
