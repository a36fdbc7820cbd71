package accord

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// elect makes a core leader by the votes of the other two.
func (b *bench) elect() {
	b.t.Helper()
	b.step(Message{Kind: TimeoutNow, Term: b.raft.Term()})
	b.syncAll()
	b.step(Message{Kind: TellVote, Term: b.raft.Term(), From: "c"})
	b.syncAll()
	if b.raft.Role() != Leader {
		b.t.Fatal("not elected")
	}
}

// talk carries what two cores say to each other until both are silent, and
// counts the messages of one kind.
func talk(one, two *bench, kind Kind) (count int) {
	for len(one.told)+len(two.told) > 0 {
		for _, from := range []*bench{one, two} {
			said := from.told
			from.told = nil
			for _, m := range said {
				for _, to := range []*bench{one, two} {
					if to != from && to.raft.id == m.To {
						if m.Kind == kind {
							count++
						}
						to.take(to.raft.Step(m))
						to.syncAll()
					}
				}
			}
		}
	}
	return count
}

func TestAConflictIsFoundInAMessageATerm(t *testing.T) {
	shared := run(2, 10, 1)
	for name, c := range map[string]struct {
		leader, follower []Entry
		most             int
	}{
		"a long tail of one term":   {run(11, 400, 4), run(11, 500, 2), 4},
		"a shorter log":             {run(11, 400, 4), nil, 3},
		"two terms":                 {run(11, 400, 4), append(run(11, 200, 2), run(201, 500, 3)...), 5},
		"a term that both hold":     {append(run(11, 100, 2), run(101, 400, 4)...), run(11, 500, 2), 4},
		"a term the leader has cut": {append(run(11, 15, 2), run(16, 400, 4)...), append(run(11, 200, 2), run(201, 500, 3)...), 5},
	} {
		leader := newBench(t, "a", Hard{Term: 4}, append(run(2, 10, 1), c.leader...)...)
		follower := newBench(t, "b", Hard{Term: 4}, append(run(2, 10, 1), c.follower...)...)
		leader.elect()
		if appends := talk(leader, follower, Append); appends > c.most {
			t.Errorf("%s: %d appends until both agree, want %d at most", name, appends, c.most)
		}
		want := append(append(shared[:9:9], c.leader...), Entry{Term: 5, Index: 401})
		if diff := cmp.Diff(want, follower.held()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
