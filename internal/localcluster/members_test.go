package localcluster

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/diagnostics"
	"tinpin/internal/eventlog"
	"tinpin/internal/raft"
)

// membersOf gives the members as the leader has them, by inner address.
func membersOf(stage *Stage) (members map[string]raft.Member, voters int) {
	members = map[string]raft.Member{}
	fleet, err := diagnostics.Inspect(stage.Inner())
	if err != nil || fleet.Leader() == nil {
		return members, 0
	}
	for _, member := range fleet.Leader().Members {
		members[member.Inner] = member
		if member.Voter {
			voters++
		}
	}
	return members, voters
}

// slow is a time of grace in which a loaded machine, too, comes to agree.
const slow = 24 * time.Second

// startCore starts a core by its settings, new or with its disk.
// A disk that was slow to close is still held by this process for a moment.
func startCore(ctx context.Context, t *testing.T, stage *Stage, n int) {
	t.Helper()
	p := stage.CoreProps[n]
	p.FirstStart, p.Bounds.GracePeriod, p.Bounds.CatchUp = false, slow, slow
	var err error
	if untilErr := Until(ctx, func() bool {
		stage.Cores[p.Name], err = controller.Start(p, eventlog.Discard())
		return err == nil
	}); untilErr != nil {
		t.Fatal(err)
	}
}

// Each core in turn, the leader among them, is stopped beside a spare one: when
// its end is over, three others vote and it is no member; started again with
// its disk it is a learner under its old id. Where nobody is to spare a stop
// changes nothing.
func TestCoresLeaveByAgreement(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Second)
	defer cancel()
	hosts, folder := Hosts(), t.TempDir()
	stage, err := Start(folder, hosts)
	if err != nil {
		t.Fatal(err)
	}
	defer stage.Close()
	if _, _, err = stage.Operator(ctx, "POST", "/-/Config.Update", FirstCall); err != nil {
		t.Fatal(err)
	}
	stop := func(n int) {
		began := time.Now()
		stage.StopCore(stage.CoreProps[n].Name)
		took := time.Since(began)
		t.Logf("core %d ended in %v", n, took.Round(time.Millisecond))
		if took > slow {
			t.Errorf("core %d took %v to end", n, took)
		}
	}
	for n := range stage.CoreProps {
		stop(n)
		if err = Until(ctx, func() bool { members, voters := membersOf(stage); return len(members) == 3 && voters == 3 }); err != nil {
			t.Fatal("a plain stop changed who votes")
		}
		startCore(ctx, t, stage, n)
		if err = Until(ctx, func() bool {
			fleet, lookErr := diagnostics.Inspect(stage.Inner())
			return lookErr == nil && fleet.Leader() != nil && len(fleet.Controllers) == 3
		}); err != nil {
			t.Fatal(err)
		}
	}
	p := stage.CoreProps[0]
	p.Name, p.Address, p.FirstStart = "core-4", hosts(4), false
	p.ControlAddress, p.DataDirectory = hosts(4)+":18166", filepath.Join(folder, "core-4")
	stage.CoreProps = append(stage.CoreProps, p)
	startCore(ctx, t, stage, 3)
	for n := range stage.CoreProps {
		inner := stage.CoreProps[n].ControllerInternalAddress()
		var before raft.Member
		if err = Until(ctx, func() bool {
			members, voters := membersOf(stage)
			before = members[inner]
			return len(members) == 4 && voters == 3
		}); err != nil {
			t.Fatalf("before core %d stops there are not four members", n)
		}
		stop(n)
		var members map[string]raft.Member
		var voters int
		if err = Until(ctx, func() bool { members, voters = membersOf(stage); return len(members) > 0 }); err != nil {
			t.Fatalf("no leader after core %d has left", n)
		}
		if _, stays := members[inner]; before.Voter && stays || voters != 3 {
			t.Errorf("core %d, a voter %v, has left %d voters of %v", n, before.Voter, voters, members)
		}
		startCore(ctx, t, stage, n)
		if err = Until(ctx, func() bool {
			members, _ = membersOf(stage)
			return members[inner].ID == before.ID && !members[inner].Voter
		}); err != nil && before.Voter {
			t.Fatalf("core %d did not come back as a learner under its id", n)
		}
	}
	if _, _, err = stage.Operator(ctx, "GET", "/-/Config.Describe", ""); err != nil {
		t.Fatal(err)
	}
}
