// Package trial plays the control side by seed in simulated time: the real
// agreement, store, state and policy of members in several cores, with
// operators and edges as callers, under troubles that the seed draws. World is
// one such run with all that is in it.
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
	mostOpen  = 6
	mostCalls = 26
	// calmSpan is how long a calm core may take beyond catch_up to be at full
	// strength, calmMost how long it is waited for.
	calmSpan = 2 * time.Second
	calmMost = 30 * time.Second
	// checkLimit is how long one history may be looked at.
	checkLimit = 10 * time.Second
)

// World is one run.
type World struct {
	options  Options
	agenda   Agenda
	luck     *rand.Rand
	cores    []*Core
	network  *Network
	witness  *Witness
	callers  int
	lives    int
	hosts    int
	requests int
	ending   bool
	storm    time.Duration
	broken   string
	log      []string
	noted    func(line string)

	histories []*History
	items     []*History
	document  *History
	claimed   *History
	evacuated *History

	counts    map[outcome]int
	unchecked int
}

func newWorld(seed int64, options Options, noted func(line string)) (w *World) {
	w = &World{options: options, luck: rand.New(rand.NewSource(seed)), counts: map[outcome]int{}, noted: noted}
	w.network, w.witness = newNetwork(w, w.branch()), newWitness(w)
	var founders []raft.Member
	for i := range options.Cores {
		host := w.newHost()
		if i < 3 {
			founders = append(founders, raft.Member{ID: raft.ID("founder-" + host), Inner: host, Voter: true})
		}
	}
	for i := range options.Cores {
		host := fmt.Sprintf("core-%d", i)
		id, base := raft.ID(host+"-0"), raft.Snapshot{}
		if i < 3 {
			id, base = raft.ID("founder-"+host), raft.Snapshot{Index: 1, Term: 1, Members: founders}
		}
		w.addCore(host, id, base).start()
	}
	w.document = w.newHistory(Versioned, "document/drain-policy")
	for range 3 {
		w.items = append(w.items, w.newHistory(Versioned, ""))
	}
	for range options.Operators {
		operator := &Operator{w.newCaller()}
		w.agenda.After(time.Duration(operator.luck.Intn(800))*time.Millisecond, operator.live)
	}
	for range options.Edges {
		edge := &Edge{Caller: w.newCaller()}
		w.agenda.After(time.Duration(edge.luck.Intn(800))*time.Millisecond, edge.live)
	}
	w.watch()
	return w
}

// branch gives luck that does not depend on how others use theirs.
func (w *World) branch() (luck *rand.Rand) { return rand.New(rand.NewSource(w.luck.Int63())) }

func (w *World) newHost() (host string) {
	host = fmt.Sprintf("core-%d", w.hosts)
	w.hosts++
	return host
}

func (w *World) addCore(host string, id raft.ID, base raft.Snapshot) (core *Core) {
	disk, err := newDisk(id, base, w.options.Plant)
	if err != nil {
		w.fail("%v", err)
	}
	core = &Core{world: w, host: host, member: raft.Member{ID: id, Inner: host}, disk: disk, luck: w.branch()}
	w.cores = append(w.cores, core)
	return core
}

func (w *World) newCaller() (caller *Caller) {
	w.callers++
	return &Caller{world: w, number: w.callers, luck: w.branch()}
}

func (w *World) newHistory(shape Shape, name string) (history *History) {
	if name == "" {
		name = fmt.Sprintf("config/item-%d", len(w.histories))
	}
	history = &History{shape: shape, name: name}
	w.histories = append(w.histories, history)
	return history
}

func (h *History) full() (full bool) { return h.open >= mostOpen || h.writes >= mostCalls }

// item gives one of the items that are worked on; one with many calls is left.
func (w *World) item() (history *History) {
	at := w.luck.Intn(len(w.items))
	if w.items[at].full() {
		w.items[at] = w.newHistory(Versioned, "")
	}
	return w.items[at]
}

func (w *World) site() (history *History) {
	if w.evacuated == nil || w.evacuated.full() {
		w.evacuated = w.newHistory(Flag, fmt.Sprintf("evacuation/site-%d", len(w.histories)))
	}
	return w.evacuated
}

func (w *World) key() (history *History) {
	if w.claimed == nil || w.claimed.open > 2 || w.claimed.writes >= 6 {
		w.claimed = w.newHistory(Key, fmt.Sprintf("key/k-%d", len(w.histories)))
	}
	return w.claimed
}

// current lists the registers that are worked on.
func (w *World) current() (histories []*History) {
	histories = append([]*History{w.document}, w.items...)
	if w.evacuated != nil {
		histories = append(histories, w.evacuated)
	}
	return histories
}

// recent gives a register to read.
func (w *World) recent() (history *History) {
	current := w.current()
	return current[w.luck.Intn(len(current))]
}

func (w *World) count(answer told) { w.counts[answer.outcome]++ }

// drop ends a wish whose process is gone; its caller hears nothing.
func (w *World) drop(wish) {}

func (w *World) note(format string, args ...any) {
	line := fmt.Sprintf("%10s ", w.agenda.now.Round(time.Microsecond)) + fmt.Sprintf(format, args...)
	if w.noted != nil {
		w.noted(line)
		return
	}
	if w.log = append(w.log, line); len(w.log) > 400 {
		w.log = slices.Clone(w.log[200:])
	}
}

// fail notes the first thing that broke.
func (w *World) fail(format string, args ...any) {
	if w.broken != "" {
		return
	}
	w.broken = fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", w.broken)
}

// standing lists the cores that have not gone for good.
func (w *World) standing() (cores []*Core) {
	for _, core := range w.cores {
		if !core.gone {
			cores = append(cores, core)
		}
	}
	return cores
}

func (w *World) settled() (leader *Core) {
	for _, core := range w.cores {
		if core.up && !core.frozen && core.raft.CommittedInTerm() && (leader == nil || core.raft.Term() > leader.raft.Term()) {
			leader = core
		}
	}
	return leader
}

// run plays on up to a time, or until something breaks.
func (w *World) run(until time.Duration) {
	for w.broken == "" && w.agenda.Step(until) {
	}
}

// close puts the disks away.
func (w *World) close() {
	for _, core := range w.cores {
		_ = core.disk.Close()
	}
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) (keys []K) {
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
