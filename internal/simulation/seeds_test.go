package simulation

import (
	"sync"
	"testing"
	"time"
)

// Seeds that run each time, over the sizes that a cluster can have.
func TestFixedSeeds(t *testing.T) {
	for name, c := range map[string]struct {
		cores, losses int
		length        time.Duration
		from          int64
		seeds         int
	}{
		"three controllers": {3, 1, 10 * time.Second, 1, 24},
		"four controllers":  {4, 1, 10 * time.Second, 101, 8},
		"five controllers":  {5, 2, 8 * time.Second, 201, 8},
		"seven controllers": {7, 3, 6 * time.Second, 301, 3},
		"half a minute":     {3, 1, 30 * time.Second, 401, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := DefaultOptions()
			options.Controllers, options.Losses, options.Length = c.cores, c.losses, c.length
			for seed := c.from; seed < c.from+int64(c.seeds); seed++ {
				if result := Play(seed, options); result.Failure != "" {
					t.Errorf("seed %d at %s: %s", seed, result.At, result.Failure)
				} else if result.Confirmed == 0 {
					t.Errorf("seed %d: nothing was confirmed", seed)
				}
			}
		})
	}
}

// movingOptions replace five controllers, one after the other, by some that are 20 ms away, while a writer never
// pauses.
func movingOptions() (options Options) {
	options = DefaultOptions()
	options.Controllers, options.Losses, options.Length, options.Gap = 5, 2, 16*time.Second, 2*time.Second
	options.Faults = []FaultKind{Supersede}
	options.FarLink, options.WriteInterval = 20*time.Millisecond, 5*time.Millisecond
	return options
}

// Guards against learners that are never promoted since there is always a write that they do not hold yet.
func TestLearnersFarAwayArePromotedUnderSteadyWrites(t *testing.T) {
	t.Parallel()
	for seed := int64(501); seed < 507; seed++ {
		if result := Play(seed, movingOptions()); result.Failure != "" {
			t.Errorf("seed %d at %s: %s", seed, result.At, result.Failure)
		}
	}
}

func TestALearnerThatIsNeverRaisedIsFound(t *testing.T) {
	t.Parallel()
	seeds := Range{Seeds: 4, From: 501, Parallel: 1, Limit: time.Minute}
	find := Seek(LearnerNeverRaised, movingOptions(), seeds, func(Report) {})
	if !find.Found {
		t.Errorf("not found by %d seeds", find.Seeds)
	}
	t.Logf("found after %d seeds: %s", find.Seeds, find.Broken)
}

// Each injected bug is found, by the faults that bring it out.
func TestInjectedBugsAreFound(t *testing.T) {
	type sought struct {
		faults []FaultKind
		seeds  int
		from   int64
	}
	leases := []FaultKind{Freeze, Cut, OneWay, Storm}
	bugs := map[InjectedBug]sought{
		SendBeforeSync: {nil, 3, 1}, ForgetSync: {nil, 3, 1}, LoseVote: {[]FaultKind{Kill, Power}, 10, 1}, CommitWithoutQuorum: {[]FaultKind{Cut, Storm}, 10, 1},
		TwoContents: {nil, 3, 1}, ResentRefused: {nil, 3, 1}, UnknownAsRejected: {[]FaultKind{Cut, Freeze, Storm}, 20, 1}, TwoRuns: {nil, 3, 1},
		SlowVoterRemoval: {[]FaultKind{Replace, Wipe}, 10, 1}, ShrinkFirst: {[]FaultKind{Freeze, Cut, Kill}, 20, 1},
		StaleRead: {leases, 80, 26}, EdgeBack: {leases, 60, 18}, RestartVotes: {[]FaultKind{Storm, WipeRest}, 40, 1},
	}
	var mu sync.Mutex
	for bug, how := range bugs {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			options := DefaultOptions()
			options.Length, options.Gap, options.Faults = 10*time.Second, 400*time.Millisecond, how.faults
			find := Seek(bug, options, Range{Seeds: how.seeds, From: how.from, Parallel: 1, Limit: time.Minute}, func(Report) {})
			mu.Lock()
			defer mu.Unlock()
			if !find.Found {
				t.Errorf("not found by %d seeds", find.Seeds)
			}
			t.Logf("found after %d seeds: %s", find.Seeds, find.Broken)
		})
	}
}
