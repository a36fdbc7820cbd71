// Play is one run from its start to its verdict: troubles and callers for the
// length of the run, then calm, in which the core has to come back to full
// strength; at last every register is read and every history explained.
package simulation

import (
	"fmt"
	"math/rand"
	"time"

	"tinpin/internal/raft"
)

// Verdict of one run.
type Verdict struct {
	Seed      int64         `json:"seed"`
	Broken    string        `json:"broken,omitempty"`
	At        time.Duration `json:"at"`
	Steps     uint64        `json:"steps"`
	Confirmed int           `json:"confirmed"`
	Refused   int           `json:"refused"`
	Open      int           `json:"open"`
	Unchecked int           `json:"unchecked"`
	Full      time.Duration `json:"full"`

	Log []string `json:"-"`
}

// Draw gives the troubles of a seed.
func Draw(seed int64, options Options) (troubles []Trouble) {
	return draw(rand.New(rand.NewSource(seed^0x5eed)), options)
}

// Play plays a seed with the troubles that it draws.
func Play(seed int64, options Options) (verdict Verdict) {
	return PlayWith(seed, options, Draw(seed, options), nil)
}

// PlayWith plays a seed with given troubles; each step that is noted is told.
func PlayWith(seed int64, options Options, troubles []Trouble, noted func(line string)) (verdict Verdict) {
	w := newWorld(seed, options, noted)
	defer w.close()
	for _, trouble := range troubles {
		w.agenda.After(trouble.At, func() { w.strike(trouble) })
	}
	w.run(options.Length)
	var full time.Duration
	if w.broken == "" {
		full = w.calmDown()
	}
	at := w.agenda.now
	if w.broken == "" {
		w.readAll()
		at = w.agenda.now
	}
	w.explain()
	return Verdict{
		Seed: seed, Broken: w.broken, At: at, Steps: w.agenda.steps, Confirmed: w.counts[confirmed], Refused: w.counts[refused],
		Open: w.counts[unclear], Unchecked: w.unchecked, Full: full, Log: w.log,
	}
}

// calmDown heals everything and waits until the core is at full strength.
func (w *World) calmDown() (took time.Duration) {
	w.ending = true
	w.heal()
	calm := w.agenda.now
	lacks := ""
	for w.agenda.now-calm < calmMost && w.broken == "" {
		w.run(w.agenda.now + 50*time.Millisecond)
		if lacks = w.lacks(); lacks == "" {
			break
		}
	}
	took = w.agenda.now - calm
	switch allowed := w.options.CatchUp + calmSpan; {
	case w.broken != "":
	case lacks != "":
		w.fail("full strength once calm: after %s %s", took, lacks)
	case took > allowed:
		w.fail("full strength once calm: it took %s, allowed are %s", took, allowed)
	}
	return took
}

// lacks tells what is missing to full strength.
func (w *World) lacks() (lacks string) {
	leader := w.settled()
	if leader == nil {
		return "nobody leads"
	}
	voters, cores, ids := 0, w.standing(), map[raft.ID]bool{}
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
func (w *World) readAll() {
	w.run(w.agenda.now + callLimit + patience)
	reader, open := w.newCaller(), len(w.histories)
	for _, history := range w.histories {
		reader.read(history, func() { open-- })
	}
	w.run(w.agenda.now + orderLimit)
	leader := w.settled()
	switch {
	case w.broken != "":
	case open > 0 || leader == nil:
		w.fail("answers once calm: %d of %d registers could not be read", open, len(w.histories))
	default:
		for _, core := range w.standing() {
			for _, history := range w.histories {
				if has, holds := history.look(core.state), history.look(leader.state); has != holds {
					w.fail("one state: %s has %d %q of %s, the leader %d %q", core.host, has.version, has.content, history.name, holds.version, holds.content)
				}
			}
		}
	}
}

// explain checks the histories.
func (w *World) explain() {
	if w.broken != "" {
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
				w.note("%s", line)
			}
			return
		}
	}
}
