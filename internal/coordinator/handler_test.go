package coordinator

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

// fakeLeadership is confirmed or not, and counts the checks.
type fakeLeadership struct {
	lost   atomic.Bool
	checks atomic.Int64
}

func (f *fakeLeadership) HoldsLease(term raft.Term, _ time.Duration) (proven bool) {
	f.checks.Add(1)
	return term == 7 && !f.lost.Load()
}

// A handler out of contact says of nothing that it is the leader's word.
func TestHandlerOutOfContactDoesNotLead(t *testing.T) {
	for _, lost := range []bool{false, true} {
		leadership := &fakeLeadership{}
		leadership.lost.Store(lost)
		handler := NewHandler(&raft.Node{}, leadership)
		c := newTestCoordinator()
		c.node, c.endpoints.Walked = &raft.Node{}, true
		handler.SetCoordinator(c)

		var update rpc.News
		request := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Ready: true}, Seen: rpc.Seen{ItemAt: rpc.AllItems}}
		if err := handler.Beat(request, &update); err != nil || update.Leader == lost || lost && (update.Term != 0 || update.Map != nil || len(update.Leases) > 0 || len(update.Fellows) > 0) {
			t.Errorf("lost %v: news %+v, %v", lost, update, err)
		}
		var lead rpc.LeadReply
		if err := handler.Lead(rpc.LeadAsk{}, &lead); err != nil || lead.Leader == lost || lost && lead.Term != 0 {
			t.Errorf("lost %v: lead %+v, %v", lost, lead, err)
		}
		var report rpc.ReportReply
		if err := handler.Report(rpc.ReportAsk{Fellow: "e", Service: "s", Full: true}, &report); err != nil || report.Leader == lost || lost && report.Taken {
			t.Errorf("lost %v: report %+v, %v", lost, report, err)
		}
		var bind rpc.BindReply
		if err := handler.Bind(rpc.BindAsk{Binds: []rpc.Bind{{Session: "x"}}}, &bind); err != nil || bind.Leader == lost || lost && len(bind.Found) > 0 {
			t.Errorf("lost %v: bind %+v, %v", lost, bind, err)
		}
		// A claim that is not taken is a clear no: it is in no log.
		var claim rpc.ClaimReply
		if err := handler.Claim(rpc.ClaimAsk{Holder: "e", Claims: []rpc.KeyClaim{{Key: "k", Request: "r"}}}, &claim); err != nil || claim.Leader == lost || lost && len(claim.Found) > 0 {
			t.Errorf("lost %v: claim %+v, %v", lost, claim, err)
		}
	}
}

// A heartbeat that was held open is confirmed when it is answered, not when it came.
func TestHeldHeartbeatIsConfirmedWhenItIsAnswered(t *testing.T) {
	leadership := &fakeLeadership{}
	handler := NewHandler(&raft.Node{}, leadership)
	c := newTestCoordinator()
	c.node, c.endpoints.Walked = &raft.Node{}, true
	handler.SetCoordinator(c)
	request := rpc.BeatAsk{Fellow: rpc.Fellow{ID: "e", Inner: "e:1", Ready: true}, Hold: time.Minute}
	request.Term, request.Epoch, request.ItemAt, request.Listed = 7, c.clock.Now()+8, rpc.AllItems, true
	done := make(chan rpc.News)
	go func() {
		var update rpc.News
		_ = handler.Beat(request, &update)
		done <- update
	}()
	// The heartbeat releases the lock only where it waits.
	for inner := ""; inner == ""; inner, _ = c.NodeAddress("e") {
		runtime.Gosched()
	}
	leadership.lost.Store(true)
	c.mu.Lock()
	for c.clock.Now() <= request.Epoch {
		c.clock.Next()
	}
	c.wakeHeartbeats()
	c.mu.Unlock()
	if update := <-done; update.Leader || update.Term != 0 {
		t.Fatalf("after contact was lost: %+v", update)
	}
	if leadership.checks.Load() == 0 {
		t.Fatal("leadership was not checked")
	}
}
