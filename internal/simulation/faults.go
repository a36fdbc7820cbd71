package simulation

// A fault happens at a time that the seed has chosen. All faults of a run are drawn before
// it starts, so that a failing run can be shortened by leaving some of them out.

import (
	"math/rand"
	"slices"
	"strings"
	"time"
)

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	Freeze    FaultKind = "freeze"
	Slow      FaultKind = "slow"
	Clock     FaultKind = "clock"
	Cut       FaultKind = "cut"
	OneWay    FaultKind = "oneway"
	Reset     FaultKind = "reset"
	Lossy     FaultKind = "lossy"
	Answers   FaultKind = "answers"
	Kill      FaultKind = "kill"
	Power     FaultKind = "power"
	PowerAll  FaultKind = "power-all"
	Wipe      FaultKind = "wipe"
	WipeRest  FaultKind = "wipe-rest"
	Replace   FaultKind = "replace"
	Supersede FaultKind = "supersede"
	Flap      FaultKind = "flap"
	Stall     FaultKind = "stall"
	Full      FaultKind = "full"
	Storm     FaultKind = "storm"
)

// FaultKindTexts says what each kind of fault is.
var FaultKindTexts = []struct {
	Kind FaultKind
	Text string
}{
	{Freeze, "a controller is frozen while the monotonic time runs on, its handlers often wake before its ticks"},
	{Slow, "a controller is late with everything"},
	{Clock, "the wall clock of a controller, or of all, steps; the monotonic clocks do not"},
	{Cut, "a controller is partitioned from all other controllers, but not from callers"},
	{OneWay, "a controller is not heard by the others, or does not hear them"},
	{Reset, "all messages in flight to and from a controller are lost"},
	{Lossy, "messages are lost, duplicated and reordered"},
	{Answers, "answers to callers are lost"},
	{Kill, "a controller's process ends at once and is started again from its disk"},
	{Power, "a controller loses power, with a torn write, and starts again"},
	{PowerAll, "all controllers lose power at once"},
	{Wipe, "a controller loses its disk, within the tolerated losses"},
	{WipeRest, "as many controllers as are tolerated lose their disks while all others lose power"},
	{Replace, "a controller ends for good and a new one takes its place, within the tolerated losses"},
	{Supersede, "a controller is asked to stop and a new one takes its place"},
	{Flap, "a controller comes and goes several times"},
	{Stall, "a controller's disk stalls"},
	{Full, "a controller's disk refuses to write"},
	{Storm, "hundreds of changes come at once"},
}

// FaultKinds lists the kinds of faults.
func FaultKinds() (kinds []FaultKind) {
	for _, known := range FaultKindTexts {
		kinds = append(kinds, known.Kind)
	}
	return kinds
}

// ParseFaultKinds reads a list of kinds, as in freeze,cut.
func ParseFaultKinds(text string) (kinds []FaultKind, err error) {
	if text == "" || text == "all" {
		return FaultKinds(), nil
	}
	if text == "none" {
		return nil, nil
	}
	for _, name := range strings.Split(text, ",") {
		kind := FaultKind(strings.TrimSpace(name))
		if !slices.Contains(FaultKinds(), kind) {
			return nil, Class.New("unknown kind of fault %q", name)
		}
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	return kinds, nil
}

// Fault is one thing that goes wrong.
type Fault struct {
	At         time.Duration `json:"at"`
	Kind       FaultKind     `json:"kind"`
	Controller int           `json:"core"`
	Seed       int64         `json:"luck"`
	Span       time.Duration `json:"span"`
}

// drawFaults chooses the faults of a run; now and then one comes right after another.
func drawFaults(rng *rand.Rand, options Options) (faults []Fault) {
	if len(options.Faults) == 0 {
		return nil
	}
	for at := 2 * time.Second; ; {
		gap := time.Duration(rng.ExpFloat64() * float64(options.Gap))
		if rng.Intn(4) == 0 {
			gap = time.Duration(rng.Intn(120)) * time.Millisecond
		}
		if at += gap; at >= options.Length {
			return faults
		}
		faults = append(faults, Fault{
			At: at, Kind: options.Faults[rng.Intn(len(options.Faults))], Controller: rng.Intn(64), Seed: rng.Int63n(1 << 40),
			Span: time.Duration(50+rng.ExpFloat64()*900) * time.Millisecond,
		})
	}
}
