package simulation

// Play is one run from its start to its verdict: troubles and callers for the
// length of the run, then calm, in which the core has to come back to full
// strength; at last every register is read and every history explained.

import (
	"fmt"
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

// RunResult of one run.
type RunResult struct {
	Seed      int64         `json:"seed"`
	Failure   string        `json:"broken,omitempty"`
	At        time.Duration `json:"at"`
	Steps     uint64        `json:"steps"`
	Confirmed int           `json:"confirmed"`
	Refused   int           `json:"refused"`
	Open      int           `json:"open"`
	Unchecked int           `json:"unchecked"`
	Full      time.Duration `json:"full"`

	Log []string `json:"-"`
}

// DrawFaults gives the troubles of a seed.
func DrawFaults(seed int64, options Options) (faults []Fault) {
	return drawFaults(rand.New(rand.NewSource(seed^0x5eed)), options)
}

// Play plays a seed with the troubles that it draws.
func Play(seed int64, options Options) (result RunResult) {
	return PlayWith(seed, options, DrawFaults(seed, options), nil)
}

// PlayWith plays a seed with given troubles; each step that is noted is told.
func PlayWith(seed int64, options Options, faults []Fault, noted func(line string)) (result RunResult) {
	w := newCluster(seed, options, noted)
	defer w.close()
	for _, fault := range faults {
		w.events.After(fault.At, func() { w.inject(fault) })
	}
	w.run(options.Length)
	var full time.Duration
	if w.failure == "" {
		full = w.quiesce()
	}
	at := w.events.now
	if w.failure == "" {
		w.readAll()
		at = w.events.now
	}
	w.checkHistories()
	return RunResult{
		Seed: seed, Failure: w.failure, At: at, Steps: w.events.steps, Confirmed: w.counts[confirmed], Refused: w.counts[refused],
		Open: w.counts[unknown], Unchecked: w.unchecked, Full: full, Log: w.log,
	}
}

// quiesce heals everything and waits until the core is at full strength.
func (w *Cluster) quiesce() (took time.Duration) {
	w.ending = true
	w.heal()
	quietSince := w.events.now
	lacks := ""
	for w.events.now-quietSince < maxQuiesceWait && w.failure == "" {
		w.run(w.events.now + 50*time.Millisecond)
		if lacks = w.missing(); lacks == "" {
			break
		}
	}
	took = w.events.now - quietSince
	switch allowed := w.options.CatchUp + quiesceAllowance; {
	case w.failure != "":
	case lacks != "":
		w.fail("full strength once calm: after %s %s", took, lacks)
	case took > allowed:
		w.fail("full strength once calm: it took %s, allowed are %s", took, allowed)
	}
	return took
}

// missing tells what is missing to full strength.
func (w *Cluster) missing() (lacks string) {
	leader := w.establishedLeader()
	if leader == nil {
		return "nobody leads"
	}
	voters, cores, ids := 0, w.remaining(), map[raft.ID]bool{}
	for _, core := range cores {
		ids[core.member.ID] = true
	}
	for _, member := range leader.raft.Members() {
		if member.Voter && !ids[member.ID] {
			return string(member.ID) + " votes, and is gone"
		}
		if member.Voter {
			voters++
		}
	}
	if wanted := min(raft.VotersForLosses(w.options.Losses), len(cores)); voters != wanted {
		return fmt.Sprintf("%d vote where %d should", voters, wanted)
	}
	for _, core := range cores {
		if core != leader && !leader.raft.CaughtUp(core.member.ID) {
			return core.host + " has not caught up"
		}
	}
	return ""
}

// readAll reads every register through the leader, and holds all cores against it.
func (w *Cluster) readAll() {
	w.run(w.events.now + callLimit + proposalTimeout)
	reader, open := w.newCaller(), len(w.histories)
	for _, history := range w.histories {
		reader.read(history, func() { open-- })
	}
	w.run(w.events.now + orderLimit)
	leader := w.establishedLeader()
	switch {
	case w.failure != "":
	case open > 0 || leader == nil:
		w.fail("answers once calm: %d of %d registers could not be read", open, len(w.histories))
	default:
		for _, core := range w.remaining() {
			for _, history := range w.histories {
				if has, holds := history.look(core.state), history.look(leader.state); has != holds {
					w.fail("one state: %s has %d %q of %s, the leader %d %q", core.host, has.version, has.content, history.name, holds.version, holds.content)
				}
			}
		}
	}
}

// checkHistories checks the histories.
func (w *Cluster) checkHistories() {
	if w.failure != "" {
		return
	}
	for _, history := range w.histories {
		right, sure := history.Check(checkLimit)
		if !sure {
			w.unchecked++
		}
		if !right {
			w.fail("linearizable: the calls for %s cannot be explained by any order of them", history.name)
			for _, line := range history.Text() {
				w.logEvent("%s", line)
			}
			return
		}
	}
}
