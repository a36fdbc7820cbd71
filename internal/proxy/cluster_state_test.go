package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A late update of an older leader grants no leases, and neither does an update of the same leader that
// arrives after a later one.
func TestStaleUpdatesGrantNoLeases(t *testing.T) {
	d := newTestDaemon(t)
	update := func(term rpc.Term, revision rpc.Revision, amount float64) *rpc.Update {
		return &rpc.Update{IsLeader: true, Term: term, Revision: revision, Leases: []rpc.Lease{
			{Kind: rpc.RetrySlack, Amount: amount, Duration: time.Minute},
		}}
	}
	for _, step := range []struct {
		term   rpc.Term
		epoch  rpc.Revision
		amount float64
		led    bool
		share  float64
	}{
		{3, 9, 5, true, 5},
		{2, 50, 8, false, 5},
		{3, 8, 7, true, 5},
		{3, 9, 6, true, 6},
		{4, 1, 2, true, 2},
		{3, 10, 9, false, 2},
	} {
		if applied := d.state.Apply(d.clock.Now(), update(step.term, step.epoch, step.amount)); applied != step.led {
			t.Errorf("%+v: led %v", step, applied)
		}
		if leased := d.state.Leased(rpc.RetrySlack, ""); leased != step.share {
			t.Errorf("%+v: share %g", step, leased)
		}
	}
	// A lease runs from when it was requested, however late the update arrives.
	d.state.Apply(d.clock.Now()-time.Minute, update(5, 1, 4))
	if leased := d.state.Leased(rpc.RetrySlack, ""); leased != 0 {
		t.Errorf("a lease that was asked for a minute ago: share %g", leased)
	}
}

// A leader of an older term does not replace the known leader.
func TestALeaderOfAnOlderTermIsIgnored(t *testing.T) {
	d := newTestDaemon(t)
	if !d.leader.noteLeader("new:1", 4) || d.leader.noteLeader("old:1", 3) || *d.leader.leader.Load() != "new:1" {
		t.Fatalf("the leader is %s", *d.leader.leader.Load())
	}
	if !d.leader.noteLeader("next:1", 5) || *d.leader.leader.Load() != "next:1" {
		t.Fatalf("the leader is %s", *d.leader.leader.Load())
	}
}

// termCoordinator is the leader of a given term and binds sessions.
type termCoordinator struct{ term rpc.Term }

func (f *termCoordinator) Bind(_ rpc.BindRequest, reply *rpc.BindResponse) (err error) {
	reply.IsLeader, reply.Term, reply.Results = true, f.term, []rpc.BindResult{{Outcome: rpc.Bound, Endpoint: "i-1"}}
	return nil
}

// The reply of a leader of an older term does not bind a session.
func TestABindingOfAnOlderTermIsIgnored(t *testing.T) {
	d := newTestDaemon(t)
	d.state.Apply(0, &rpc.Update{IsLeader: true, Term: 6, Revision: 1})
	for term, wantResults := range map[rpc.Term]int{5: 0, 6: 1, 7: 1} {
		address := serveRPC(t, map[string]any{"Forum": &termCoordinator{term}})
		d.leader.leader.Store(&address)
		results := d.leader.sendBinds([]rpc.SessionBinding{{Session: "x"}}, claimCallTimeout)
		if len(results) != wantResults {
			t.Errorf("term %d: %+v", term, results)
		}
	}
}
