// Package simulation runs the control plane by seed in simulated time: the real raft,
// storage, state machine and membership policy in several controllers, with operators
// and edges as callers, under faults that the seed draws. It checks invariants at each
// step and the linearizability of every history at the end. It owns the event queue, the
// simulated disks and links, the faults and the injected bugs; it runs no daemon, opens no
// port and reads no wall clock. A Cluster is one run and belongs to one goroutine; Hunt
// and Seek run several seeds in parallel, each with a Cluster of its own.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"tinpin/internal/raft"
)

const (
	maxOpenOperations = 6
	maxWrites         = 26
	// quiesceAllowance is how long the cluster may take beyond catch_up to be at full
	// strength once the faults are over, maxQuiesceWait how long the run waits for it.
	quiesceAllowance = 2 * time.Second
	maxQuiesceWait   = 30 * time.Second
	// checkLimit is how long the check of one history may take, in real time.
	checkLimit = 10 * time.Second
)

// Cluster is one run.
type Cluster struct {
	options           Options
	events            EventQueue
	rng               *rand.Rand
	controllers       []*Controller
	network           *Network
	invariants        *InvariantChecker
	callers           int
	identities        int
	hosts             int
	requests          int
	ending            bool
	requestBurstUntil time.Duration
	failure           string
	log               []string
	onEvent           func(line string)

	histories []*History
	items     []*History
	document  *History
	claimed   *History
	evacuated *History
	writer    *Writer

	counts    map[outcome]int
	unchecked int
}

func newCluster(seed int64, options Options, onEvent func(line string)) (w *Cluster) {
	w = &Cluster{options: options, rng: rand.New(rand.NewSource(seed)), counts: map[outcome]int{}, onEvent: onEvent}
	w.network, w.invariants = newNetwork(w, w.forkRNG()), newInvariantChecker(w)
	var initialVoters []raft.Member
	for i := range options.Controllers {
		host := w.newHost()
		if i < 3 {
			initialVoters = append(initialVoters, raft.Member{ID: raft.ID("founder-" + host), Inner: host, Voter: true})
		}
	}
	for i := range options.Controllers {
		host := fmt.Sprintf("core-%d", i)
		id, base := raft.ID(host+"-0"), raft.Snapshot{}
		if i < 3 {
			id, base = raft.ID("founder-"+host), raft.Snapshot{Index: 1, Term: 1, Members: initialVoters}
		}
		w.addController(host, id, base).start()
	}
	w.document = w.newHistory(Versioned, "document/drain-policy")
	for range 3 {
		w.items = append(w.items, w.newHistory(Versioned, ""))
	}
	for range options.Operators {
		operator := &Operator{w.newCaller()}
		w.events.After(time.Duration(operator.rng.Intn(800))*time.Millisecond, operator.run)
	}
	for range options.Edges {
		edge := &Edge{Caller: w.newCaller()}
		w.events.After(time.Duration(edge.rng.Intn(800))*time.Millisecond, edge.run)
	}
	if options.WriteInterval > 0 {
		w.writer = &Writer{Caller: w.newCaller()}
		w.events.After(firstWrite, w.writer.run)
	}
	w.watchLosses()
	return w
}

// forkRNG returns a source of random numbers that does not depend on how others are used.
func (w *Cluster) forkRNG() (rng *rand.Rand) { return rand.New(rand.NewSource(w.rng.Int63())) }

func (w *Cluster) newHost() (host string) {
	host = fmt.Sprintf("core-%d", w.hosts)
	w.hosts++
	return host
}

func (w *Cluster) addController(host string, id raft.ID, base raft.Snapshot) (controller *Controller) {
	disk, err := newDisk(id, base, w.options.InjectedBug)
	if err != nil {
		w.fail("%v", err)
	}
	controller = &Controller{cluster: w, host: host, member: raft.Member{ID: id, Inner: host}, disk: disk, rng: w.forkRNG()}
	w.controllers = append(w.controllers, controller)
	return controller
}

func (w *Cluster) newCaller() (caller *Caller) {
	w.callers++
	return &Caller{cluster: w, number: w.callers, rng: w.forkRNG()}
}

func (w *Cluster) newHistory(shape Shape, name string) (history *History) {
	if name == "" {
		name = fmt.Sprintf("config/item-%d", len(w.histories))
	}
	history = &History{shape: shape, name: name}
	w.histories = append(w.histories, history)
	return history
}

func (h *History) full() (full bool) { return h.open >= maxOpenOperations || h.writes >= maxWrites }

// item gives one of the items that are worked on; one with many calls is left.
func (w *Cluster) item() (history *History) {
	at := w.rng.Intn(len(w.items))
	if w.items[at].full() {
		w.items[at] = w.newHistory(Versioned, "")
	}
	return w.items[at]
}

func (w *Cluster) evacuatedZone() (history *History) {
	if w.evacuated == nil || w.evacuated.full() {
		w.evacuated = w.newHistory(Flag, fmt.Sprintf("evacuation/site-%d", len(w.histories)))
	}
	return w.evacuated
}

func (w *Cluster) key() (history *History) {
	if w.claimed == nil || w.claimed.open > 2 || w.claimed.writes >= 6 {
		w.claimed = w.newHistory(Key, fmt.Sprintf("key/k-%d", len(w.histories)))
	}
	return w.claimed
}

// current lists the registers that are worked on.
func (w *Cluster) current() (histories []*History) {
	histories = append([]*History{w.document}, w.items...)
	if w.evacuated != nil {
		histories = append(histories, w.evacuated)
	}
	return histories
}

// recent gives a register to read.
func (w *Cluster) recent() (history *History) {
	current := w.current()
	return current[w.rng.Intn(len(current))]
}

func (w *Cluster) count(answer observation) { w.counts[answer.outcome]++ }

func (w *Cluster) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%10s ", w.events.now.Round(time.Microsecond)) + fmt.Sprintf(format, args...)
	if w.onEvent != nil {
		w.onEvent(line)
		return
	}
	if w.log = append(w.log, line); len(w.log) > 400 {
		w.log = slices.Clone(w.log[200:])
	}
}

// fail records the first failure.
func (w *Cluster) fail(format string, args ...any) {
	if w.failure != "" {
		return
	}
	w.failure = fmt.Sprintf(format, args...)
	w.logEvent("FAILED: %s", w.failure)
}

// remaining lists the controllers that have not gone for good.
func (w *Cluster) remaining() (controllers []*Controller) {
	for _, controller := range w.controllers {
		if !controller.gone {
			controllers = append(controllers, controller)
		}
	}
	return controllers
}

func (w *Cluster) establishedLeader() (leader *Controller) {
	for _, controller := range w.controllers {
		if controller.up && !controller.frozen && controller.raft.CommittedInTerm() && (leader == nil || controller.raft.Term() > leader.raft.Term()) {
			leader = controller
		}
	}
	return leader
}

// run carries out events up to a time, or until a check fails.
func (w *Cluster) run(until time.Duration) {
	for w.failure == "" && w.events.Step(until) {
	}
}

// close closes the disks.
func (w *Cluster) close() {
	for _, controller := range w.controllers {
		_ = controller.disk.Close()
	}
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) (keys []K) {
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
