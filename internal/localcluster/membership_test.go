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
func membersOf(cluster *Cluster) (members map[string]raft.Member, voters int) {
	members = map[string]raft.Member{}
	fleet, err := diagnostics.Inspect(cluster.InternalAddresses())
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

// agreementTimeout is a time of grace in which a loaded machine, too, comes to agree.
const agreementTimeout = 24 * time.Second

// startController starts a core by its settings, new or with its disk.
// A disk that was slow to close is still held by this process for a moment.
func startController(ctx context.Context, t *testing.T, cluster *Cluster, n int) {
	t.Helper()
	config := cluster.ControllerSettings[n]
	config.FirstStart, config.Bounds.GracePeriod, config.Bounds.CatchUp = false, agreementTimeout, agreementTimeout
	var err error
	if untilErr := Until(ctx, func() bool {
		cluster.Controllers[config.Name], err = controller.Start(config, eventlog.Discard())
		return err == nil
	}); untilErr != nil {
		t.Fatal(err)
	}
}

// Each core in turn, the leader among them, is stopped beside a spare one: when
// its end is over, three others vote and it is no member; started again with
// its disk it is a learner under its old id. Where nobody is to spare a stop
// changes nothing.
func TestControllersLeaveByAgreement(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Second)
	defer cancel()
	hosts, folder := Hosts(), t.TempDir()
	cluster, err := Start(folder, hosts)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	if _, _, err = cluster.Operator(ctx, "POST", "/-/Config.Update", InitialConfiguration); err != nil {
		t.Fatal(err)
	}
	stop := func(n int) {
		started := time.Now()
		cluster.StopController(cluster.ControllerSettings[n].Name)
		elapsed := time.Since(started)
		t.Logf("core %d ended in %v", n, elapsed.Round(time.Millisecond))
		if elapsed > agreementTimeout {
			t.Errorf("core %d took %v to end", n, elapsed)
		}
	}
	for n := range cluster.ControllerSettings {
		stop(n)
		err = Until(ctx, func() bool {
			members, voters := membersOf(cluster)
			return len(members) == 3 && voters == 3
		})
		if err != nil {
			t.Fatal("a plain stop changed who votes")
		}
		startController(ctx, t, cluster, n)
		if err = Until(ctx, func() bool {
			fleet, lookErr := diagnostics.Inspect(cluster.InternalAddresses())
			return lookErr == nil && fleet.Leader() != nil && len(fleet.Controllers) == 3
		}); err != nil {
			t.Fatal(err)
		}
	}
	config := cluster.ControllerSettings[0]
	config.Name, config.Address, config.FirstStart = "core-4", hosts(4), false
	config.ControlAddress, config.DataDirectory = hosts(4)+":18166", filepath.Join(folder, "core-4")
	cluster.ControllerSettings = append(cluster.ControllerSettings, config)
	startController(ctx, t, cluster, 3)
	for n := range cluster.ControllerSettings {
		inner := cluster.ControllerSettings[n].ControllerInternalAddress()
		var before raft.Member
		if err = Until(ctx, func() bool {
			members, voters := membersOf(cluster)
			before = members[inner]
			return len(members) == 4 && voters == 3
		}); err != nil {
			t.Fatalf("before core %d stops there are not four members", n)
		}
		stop(n)
		var members map[string]raft.Member
		var voters int
		if err = Until(ctx, func() bool { members, voters = membersOf(cluster); return len(members) > 0 }); err != nil {
			t.Fatalf("no leader after core %d has left", n)
		}
		if _, stays := members[inner]; before.Voter && stays || voters != 3 {
			t.Errorf("core %d, a voter %v, has left %d voters of %v", n, before.Voter, voters, members)
		}
		startController(ctx, t, cluster, n)
		if err = Until(ctx, func() bool {
			members, _ = membersOf(cluster)
			return members[inner].ID == before.ID && !members[inner].Voter
		}); err != nil && before.Voter {
			t.Fatalf("core %d did not come back as a learner under its id", n)
		}
	}
	if _, _, err = cluster.Operator(ctx, "GET", "/-/Config.Describe", ""); err != nil {
		t.Fatal(err)
	}
}
