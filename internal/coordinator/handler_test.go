package coordinator

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/node"
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

// A handler out of contact answers no call as the leader.
func TestHandlerOutOfContactDoesNotLead(t *testing.T) {
	for _, lost := range []bool{false, true} {
		leadership := &fakeLeadership{}
		leadership.lost.Store(lost)
		handler := NewHandler(&node.Node{}, leadership)
		c := newTestCoordinator()
		c.node, c.endpoints.Complete = &node.Node{}, true
		handler.SetCoordinator(c)

		checkHeartbeatAnswer(t, handler, lost)
		checkLeadAnswer(t, handler, lost)
		checkReportAnswer(t, handler, lost)
		checkBindAnswer(t, handler, lost)
		checkClaimAnswer(t, handler, lost)
	}
}

func checkHeartbeatAnswer(t *testing.T, handler *Handler, lost bool) {
	t.Helper()
	var update rpc.Update
	request := rpc.HeartbeatRequest{
		Node: rpc.Node{ID: "e", Ready: true}, KnownState: rpc.KnownState{LastItem: rpc.AfterAllItems},
	}
	err := handler.Beat(rpc.NewIncoming(t.Context(), request), &update)
	leads := update.Term != 0 || update.ShardMap != nil || len(update.Leases) > 0 || len(update.Nodes) > 0
	if err != nil || update.IsLeader == lost || lost && leads {
		t.Errorf("lost %v: update %+v, %v", lost, update, err)
	}
}

func checkLeadAnswer(t *testing.T, handler *Handler, lost bool) {
	t.Helper()
	var lead rpc.LeaderResponse
	err := handler.Lead(rpc.LeaderRequest{}, &lead)
	if err != nil || lead.IsLeader == lost || lost && lead.Term != 0 {
		t.Errorf("lost %v: lead %+v, %v", lost, lead, err)
	}
}

func checkReportAnswer(t *testing.T, handler *Handler, lost bool) {
	t.Helper()
	var report rpc.HealthReportResponse
	err := handler.Report(rpc.HealthReport{Node: "e", Service: "s", Full: true}, &report)
	if err != nil || report.IsLeader == lost || lost && report.Accepted {
		t.Errorf("lost %v: report %+v, %v", lost, report, err)
	}
}

func checkBindAnswer(t *testing.T, handler *Handler, lost bool) {
	t.Helper()
	var bind rpc.BindResponse
	request := rpc.BindRequest{Bindings: []rpc.SessionBinding{{Session: "x"}}}
	err := handler.Bind(rpc.NewIncoming(t.Context(), request), &bind)
	if err != nil || bind.IsLeader == lost || lost && len(bind.Results) > 0 {
		t.Errorf("lost %v: bind %+v, %v", lost, bind, err)
	}
}

// A claim that is not taken is a clear no: it is in no log.
func checkClaimAnswer(t *testing.T, handler *Handler, lost bool) {
	t.Helper()
	var claim rpc.ClaimResponse
	err := handler.Claim(rpc.NewIncoming(t.Context(), rpc.ClaimRequest{
		Holder: "e", Claims: []rpc.KeyClaim{{Key: "k", Request: "r"}},
	}), &claim)
	if err != nil || claim.IsLeader == lost || lost && len(claim.Results) > 0 {
		t.Errorf("lost %v: claim %+v, %v", lost, claim, err)
	}
}

// A heartbeat that was held open is confirmed when it is answered, not when it came.
func TestHeldHeartbeatIsConfirmedWhenItIsAnswered(t *testing.T) {
	leadership := &fakeLeadership{}
	handler := NewHandler(&node.Node{}, leadership)
	c := newTestCoordinator()
	c.node, c.endpoints.Complete = &node.Node{}, true
	handler.SetCoordinator(c)
	request := rpc.HeartbeatRequest{Node: rpc.Node{ID: "e", InternalAddress: "e:1", Ready: true}, MaxWait: time.Minute}
	request.Term, request.Revision = 7, c.revisions.Current()+8
	request.LastItem, request.EndpointsComplete = rpc.AfterAllItems, true
	done := make(chan rpc.Update)
	go func() {
		var update rpc.Update
		_ = handler.Beat(rpc.NewIncoming(t.Context(), request), &update)
		done <- update
	}()
	// The heartbeat releases the lock only where it waits.
	for inner := ""; inner == ""; inner, _ = c.NodeAddress("e") {
		runtime.Gosched()
	}
	leadership.lost.Store(true)
	c.mu.Lock()
	for c.revisions.Current() <= request.Revision {
		c.revisions.Next()
	}
	c.wakeHeartbeats()
	c.mu.Unlock()
	if update := <-done; update.IsLeader || update.Term != 0 {
		t.Fatalf("after contact was lost: %+v", update)
	}
	if leadership.checks.Load() == 0 {
		t.Fatal("leadership was not checked")
	}
}
