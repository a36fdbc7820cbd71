package simulation

// Play is one run from its start to its result: faults and callers for the length of the run,
// then quiescence, in which the cluster has to come back to full strength; at last every
// register is read and every history checked.

import (
	"fmt"
	"math/rand"
	"time"

	"tinpin/internal/membership"
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

// DrawFaults returns the faults of a seed.
func DrawFaults(seed int64, options Options) (faults []Fault) {
	return drawFaults(rand.New(rand.NewSource(seed^0x5eed)), options)
}

// Play runs a seed with the faults that it draws.
func Play(seed int64, options Options) (result RunResult) {
	return PlayWith(seed, options, DrawFaults(seed, options), nil)
}

// PlayWith runs a seed with given faults; onEvent, if any, gets each logged step.
func PlayWith(seed int64, options Options, faults []Fault, onEvent func(line string)) (result RunResult) {
	w := newCluster(seed, options, onEvent)
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

// quiesce ends all faults and waits until the cluster is at full strength: first, where a writer goes on, until
// as many vote as should, and then without any writes until all have everything.
func (w *Cluster) quiesce() (elapsed time.Duration) {
	w.ending = true
	w.heal()
	if w.writer != nil {
		w.awaitNothing("full strength under steady writes", w.missingVoters)
		w.writer.stopped = true
	}
	return w.awaitNothing("full strength once quiesced", w.missing)
}

// awaitNothing runs until nothing is missing any more, and fails where that takes too long.
func (w *Cluster) awaitNothing(check string, missing func() (lacking string)) (elapsed time.Duration) {
	since := w.events.now
	lacking := ""
	for w.events.now-since < maxQuiesceWait && w.failure == "" {
		w.run(w.events.now + 50*time.Millisecond)
		if lacking = missing(); lacking == "" {
			break
		}
	}
	elapsed = w.events.now - since
	switch allowed := w.options.CatchUp + quiesceAllowance; {
	case w.failure != "":
	case lacking != "":
		w.fail("%s: after %s %s", check, elapsed, lacking)
	case elapsed > allowed:
		w.fail("%s: it took %s, allowed are %s", check, elapsed, allowed)
	}
	return elapsed
}

// missingVoters names what is missing to as many voters as should be.
func (w *Cluster) missingVoters() (lacking string) {
	leader := w.establishedLeader()
	if leader == nil {
		return "nobody leads"
	}
	voters, controllers, ids := 0, w.remaining(), map[raft.ID]bool{}
	for _, controller := range controllers {
		ids[controller.member.ID] = true
	}
	for _, member := range leader.raft.Members() {
		if member.Voter && !ids[member.ID] {
			return string(member.ID) + " votes, and is gone"
		}
		if member.Voter {
			voters++
		}
	}
	if wanted := min(membership.VotersForLosses(w.options.Losses), len(controllers)); voters != wanted {
		return fmt.Sprintf("%d vote where %d should", voters, wanted)
	}
	return ""
}

// missing names what is missing to full strength.
func (w *Cluster) missing() (lacking string) {
	if lacking = w.missingVoters(); lacking != "" {
		return lacking
	}
	leader := w.establishedLeader()
	for _, controller := range w.remaining() {
		if controller != leader && !leader.holdsAll(controller.member.ID) {
			return controller.host + " has not caught up"
		}
	}
	return ""
}

// holdsAll tells whether a member in contact is known to hold all that is committed at this moment.
func (c *Controller) holdsAll(id raft.ID) (all bool) {
	lag, known := c.raft.Lag(id)
	withoutContact, _ := c.raft.SinceHeard(id)
	return known && lag == 0 && withoutContact < 2*raft.ElectionTicks
}

// readAll reads every register through the leader, and compares all controllers with it.
func (w *Cluster) readAll() {
	w.run(w.events.now + callTimeout + proposalTimeout)
	reader, open := w.newCaller(), len(w.histories)
	for _, history := range w.histories {
		reader.read(history, func() { open-- })
	}
	w.run(w.events.now + requestTimeout)
	leader := w.establishedLeader()
	switch {
	case w.failure != "":
	case open > 0 || leader == nil:
		w.fail("answers once quiesced: %d of %d registers could not be read", open, len(w.histories))
	default:
		for _, controller := range w.remaining() {
			for _, history := range w.histories {
				if has, holds := history.observe(controller.state), history.observe(leader.state); has != holds {
					w.fail("one state: %s has %d %q of %s, the leader %d %q", controller.host, has.version, has.content, history.name, holds.version, holds.content)
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
