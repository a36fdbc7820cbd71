package coordinator

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

// scripted is a contact that holds or not, and counts who asked.
type scripted struct {
	lost  atomic.Bool
	asked atomic.Int64
}

func (s *scripted) InContact(term raft.Term, _ time.Duration) (proven bool) {
	s.asked.Add(1)
	return term == 7 && !s.lost.Load()
}

// A desk out of contact says of nothing that it is a leader's word.
func TestADeskOutOfContactDoesNotLead(t *testing.T) {
	for _, lost := range []bool{false, true} {
		contact := &scripted{}
		contact.lost.Store(lost)
		desk := NewHandler(&raft.Node{}, contact)
		f := bare()
		f.node, f.list.Walked = &raft.Node{}, true
		desk.SetCoordinator(f)

		var news rpc.News
		ask := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Ready: true}, Seen: rpc.Seen{ItemAt: rpc.AllItems}}
		if err := desk.Beat(ask, &news); err != nil || news.Leader == lost || lost && (news.Term != 0 || news.Map != nil || len(news.Leases) > 0 || len(news.Fellows) > 0) {
			t.Errorf("lost %v: news %+v, %v", lost, news, err)
		}
		var lead rpc.LeadReply
		if err := desk.Lead(rpc.LeadAsk{}, &lead); err != nil || lead.Leader == lost || lost && lead.Term != 0 {
			t.Errorf("lost %v: lead %+v, %v", lost, lead, err)
		}
		var report rpc.ReportReply
		if err := desk.Report(rpc.ReportAsk{Fellow: "e", Service: "s", Full: true}, &report); err != nil || report.Leader == lost || lost && report.Taken {
			t.Errorf("lost %v: report %+v, %v", lost, report, err)
		}
		var bind rpc.BindReply
		if err := desk.Bind(rpc.BindAsk{Binds: []rpc.Bind{{Session: "x"}}}, &bind); err != nil || bind.Leader == lost || lost && len(bind.Found) > 0 {
			t.Errorf("lost %v: bind %+v, %v", lost, bind, err)
		}
		// A claim that is not taken is a clear no: it has entered no log.
		var claim rpc.ClaimReply
		if err := desk.Claim(rpc.ClaimAsk{Holder: "e", Claims: []rpc.KeyClaim{{Key: "k", Request: "r"}}}, &claim); err != nil || claim.Leader == lost || lost && len(claim.Found) > 0 {
			t.Errorf("lost %v: claim %+v, %v", lost, claim, err)
		}
	}
}

// A beat that was held open is proven when it is answered, not when it came.
func TestABeatThatWasHeldIsProvenWhenItIsAnswered(t *testing.T) {
	contact := &scripted{}
	desk := NewHandler(&raft.Node{}, contact)
	f := bare()
	f.node, f.list.Walked = &raft.Node{}, true
	desk.SetCoordinator(f)
	ask := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Inner: "e:1", Ready: true}, Hold: time.Minute}
	ask.Term, ask.Epoch, ask.ItemAt, ask.Listed = 7, f.clock.Now()+8, rpc.AllItems, true
	done := make(chan rpc.News)
	go func() {
		var news rpc.News
		_ = desk.Beat(ask, &news)
		done <- news
	}()
	// The beat lets go of the lock only where it waits.
	for inner := ""; inner == ""; inner, _ = f.NodeAddress("e") {
		runtime.Gosched()
	}
	contact.lost.Store(true)
	f.mu.Lock()
	for f.clock.Now() <= ask.Epoch {
		f.clock.Next()
	}
	f.stir()
	f.mu.Unlock()
	if news := <-done; news.Leader || news.Term != 0 {
		t.Fatalf("after contact was lost: %+v", news)
	}
	if contact.asked.Load() == 0 {
		t.Fatal("contact was not asked for")
	}
}
