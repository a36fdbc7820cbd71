// The simulation lets several daemons' books and the cores' agreed state meet
// under a seeded clock: claims and give-backs that arrive late, in any order or
// not at all, daemons that restart, runs that break off. A key must run once.
// A daemon here does what the request path does: claim before running, run only
// when granted, give back only what has not run.
package idempotency

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

type plantedFault struct {
	freeBroken bool // a run that broke off gives its key back
	runUnclear bool // a claim without an outcome is taken for granted
	oldAnswers bool // a restarted daemon answers for its earlier life
}

type simEdge struct {
	name string
	life uint64
	book *Store
}

type simAction struct {
	due time.Duration
	do  func()
}

type simKeys struct {
	luck    *rand.Rand
	fault   plantedFault
	now     time.Duration
	rev     uint64
	state   *statemachine.State
	edges   []*simEdge
	actions []simAction
	runs    map[string]int
	served  int
}

func (s *simKeys) later(most int, do func()) {
	s.actions = append(s.actions, simAction{s.now + time.Duration(s.luck.Intn(most)+1)*time.Millisecond, do})
}

func (s *simKeys) apply(kind statemachine.CommandKind, claim statemachine.Claim) statemachine.Result {
	s.rev++
	return s.state.Apply(s.rev, statemachine.Command{Kind: kind, Claim: claim}, s.now)
}

// try is one client's try at one daemon.
func (s *simKeys) try(edge *simEdge, key, request string) {
	life := edge.life
	op, old := edge.book.Begin(key, request)
	if old != nil {
		if old.Response().State == rpc.OperationCompleted {
			s.served++
		}
		return
	}
	claim := statemachine.Claim{Key: key, Request: request, Holder: edge.name, Life: edge.life}
	alive := func() bool { return edge.life == life }
	giveBack := func() {
		edge.book.Release(op)
		s.later(300, func() { s.apply(statemachine.CommandReleaseClaim, claim) })
	}
	run := func() {
		if !alive() {
			return
		}
		s.runs[key]++
		s.later(200, func() {
			switch {
			case !alive():
			case s.luck.Intn(4) == 0: // the answer is lost
				edge.book.MarkLost(op)
				if s.fault.freeBroken {
					giveBack()
				}
			default:
				edge.book.Complete(op, 200, nil, []byte(request))
				s.served++
			}
		})
	}
	told := false
	s.later(120, func() {
		result := s.apply(statemachine.CommandClaim, claim)
		if s.luck.Intn(5) == 0 {
			return // the outcome never comes back
		}
		s.later(60, func() {
			if told || !alive() {
				return
			}
			told = true
			switch {
			case result.Granted && s.luck.Intn(6) == 0: // no backend had room
				giveBack()
			case result.Granted:
				run()
			default:
				edge.book.Abandon(op)
				s.recall(result.Held)
			}
		})
	})
	s.later(400, func() {
		if told || !alive() {
			return
		}
		told = true
		if s.fault.runUnclear {
			run()
			return
		}
		giveBack()
	})
}

// recall asks the holder, who gives a freed claim back again.
func (s *simKeys) recall(held statemachine.Claim) {
	for _, edge := range s.edges {
		if edge.name != held.Holder {
			continue
		}
		if edge.life != held.Life {
			if s.fault.oldAnswers {
				s.apply(statemachine.CommandReleaseClaim, held)
			}
			return
		}
		if edge.book.Find(held.Key, held.Request).State == rpc.OperationReleased {
			s.later(100, func() { s.apply(statemachine.CommandReleaseClaim, held) })
		}
	}
}

func playKeys(seed int64, fault plantedFault) (twice string, served int) {
	s := &simKeys{luck: rand.New(rand.NewSource(seed)), fault: fault, state: statemachine.NewState(), runs: map[string]int{}}
	for i := range 5 {
		edge := &simEdge{name: fmt.Sprint("edge-", i), life: 1}
		edge.book = NewStore(time.Hour, 1<<20, func() time.Duration { return s.now })
		s.edges = append(s.edges, edge)
	}
	for n := 0; s.now < 20*time.Second; s.now += time.Millisecond {
		due := s.actions
		s.actions = nil
		for _, action := range due {
			if action.due <= s.now {
				action.do()
			} else {
				s.actions = append(s.actions, action)
			}
		}
		if s.luck.Intn(5) == 0 {
			n++
			s.try(s.edges[s.luck.Intn(5)], fmt.Sprint("k", s.luck.Intn(400)), fmt.Sprint("r", n))
		}
		if s.luck.Intn(1500) == 0 {
			edge := s.edges[s.luck.Intn(5)]
			edge.life++
			edge.book = NewStore(time.Hour, 1<<20, func() time.Duration { return s.now })
		}
	}
	for key, runs := range s.runs {
		if runs > 1 {
			twice = fmt.Sprintf("%s ran %d times", key, runs)
		}
	}
	return twice, s.served
}

func TestKeyRunsOnceUnderFaults(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		twice, served := playKeys(seed, plantedFault{})
		if twice != "" {
			t.Errorf("seed %d: %s", seed, twice)
		}
		if served < 100 {
			t.Errorf("seed %d: only %d tries were served", seed, served)
		}
	}
}

func TestInjectedBugsOfKeysAreFound(t *testing.T) {
	for name, fault := range map[string]plantedFault{"freeBroken": {freeBroken: true}, "runUnclear": {runUnclear: true}, "oldAnswers": {oldAnswers: true}} {
		found := ""
		for seed := int64(1); seed <= 20 && found == ""; seed++ {
			found, _ = playKeys(seed, fault)
		}
		if found == "" {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}
