package idempotency

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

// The simulation lets the stores of several nodes and the replicated state meet, from a
// seed: claims and releases arrive late, in any order or not at all, nodes restart, runs
// fail. A key must run once. A node here does what the request path does: claim before
// running, run only when granted, release only what has not run.

type injectedBug struct {
	releaseFailed bool // a run that failed releases its key
	runUnknown    bool // a claim without an outcome is taken for granted
	oldAnswers    bool // a restarted node answers for its earlier incarnation
}

type simNode struct {
	name        string
	incarnation uint64
	store       *Store
}

type simAction struct {
	due time.Duration
	do  func()
}

type simulation struct {
	random  *rand.Rand
	bug     injectedBug
	now     time.Duration
	rev     uint64
	state   *statemachine.State
	nodes   []*simNode
	actions []simAction
	runs    map[string]int
	served  int
}

func (s *simulation) later(maxDelay int, do func()) {
	s.actions = append(s.actions, simAction{s.now + time.Duration(s.random.Intn(maxDelay)+1)*time.Millisecond, do})
}

func (s *simulation) apply(kind statemachine.CommandKind, claim statemachine.Claim) statemachine.Result {
	s.rev++
	return s.state.Apply(s.rev, statemachine.Command{Kind: kind, Claim: claim}, s.now)
}

// attempt is one client's attempt at one node.
func (s *simulation) attempt(node *simNode, key, request string) {
	incarnation := node.incarnation
	op, old := node.store.Begin(key, request)
	if old != nil {
		if old.Response().State == rpc.OperationCompleted {
			s.served++
		}
		return
	}
	claim := statemachine.Claim{Key: key, Request: request, Holder: node.name, Incarnation: node.incarnation}
	alive := func() bool { return node.incarnation == incarnation }
	release := func() {
		node.store.Release(op)
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
			case s.random.Intn(4) == 0: // the response is lost
				node.store.SetLost(op)
				if s.bug.releaseFailed {
					release()
				}
			default:
				node.store.Complete(op, 200, nil, []byte(request))
				s.served++
			}
		})
	}
	answered := false
	s.later(120, func() {
		result := s.apply(statemachine.CommandClaim, claim)
		if s.random.Intn(5) == 0 {
			return // the outcome never comes back
		}
		s.later(60, func() {
			if answered || !alive() {
				return
			}
			answered = true
			switch {
			case result.Granted && s.random.Intn(6) == 0: // no backend had a free slot
				release()
			case result.Granted:
				run()
			default:
				node.store.Abandon(op)
				s.askHolder(result.Held)
			}
		})
	})
	s.later(400, func() {
		if answered || !alive() {
			return
		}
		answered = true
		if s.bug.runUnknown {
			run()
			return
		}
		release()
	})
}

// askHolder asks the holder, which gives a released claim back again.
func (s *simulation) askHolder(held statemachine.Claim) {
	for _, node := range s.nodes {
		if node.name != held.Holder {
			continue
		}
		if node.incarnation != held.Incarnation {
			if s.bug.oldAnswers {
				s.apply(statemachine.CommandReleaseClaim, held)
			}
			return
		}
		if node.store.Find(held.Key, held.Request).State == rpc.OperationReleased {
			s.later(100, func() { s.apply(statemachine.CommandReleaseClaim, held) })
		}
	}
}

func runSimulation(seed int64, bug injectedBug) (twice string, served int) {
	s := &simulation{random: rand.New(rand.NewSource(seed)), bug: bug, state: statemachine.NewState(), runs: map[string]int{}}
	for i := range 5 {
		node := &simNode{name: fmt.Sprint("node-", i), incarnation: 1}
		node.store = NewStore(time.Hour, 1<<20, func() time.Duration { return s.now })
		s.nodes = append(s.nodes, node)
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
		if s.random.Intn(5) == 0 {
			n++
			s.attempt(s.nodes[s.random.Intn(5)], fmt.Sprint("k", s.random.Intn(400)), fmt.Sprint("r", n))
		}
		if s.random.Intn(1500) == 0 {
			node := s.nodes[s.random.Intn(5)]
			node.incarnation++
			node.store = NewStore(time.Hour, 1<<20, func() time.Duration { return s.now })
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
		twice, served := runSimulation(seed, injectedBug{})
		if twice != "" {
			t.Errorf("seed %d: %s", seed, twice)
		}
		if served < 100 {
			t.Errorf("seed %d: only %d attempts were served", seed, served)
		}
	}
}

func TestInjectedBugsOfKeysAreFound(t *testing.T) {
	for name, bug := range map[string]injectedBug{"releaseFailed": {releaseFailed: true}, "runUnknown": {runUnknown: true}, "oldAnswers": {oldAnswers: true}} {
		found := ""
		for seed := int64(1); seed <= 20 && found == ""; seed++ {
			found, _ = runSimulation(seed, bug)
		}
		if found == "" {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}
