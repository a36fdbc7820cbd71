package simulation

// Trouble is one thing that goes wrong at a time that the seed has chosen. All
// of a run are drawn before it starts, so that a failing run can be made
// shorter by leaving some of them out.

import (
	"math/rand"
	"slices"
	"strings"
	"time"
)

// FaultKind of trouble.
type FaultKind string

// The kinds of trouble.
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

// FaultKindTexts says what each kind of trouble is.
var FaultKindTexts = []struct {
	Kind FaultKind
	Text string
}{
	{Freeze, "a core stands still while the steady time runs on, its handlers often wake before its ticks"},
	{Slow, "a core is late with everything"},
	{Clock, "the wall clock of a core, or of all, steps; the steady clocks do not"},
	{Cut, "a core is cut off from all other cores, but not from callers"},
	{OneWay, "a core is not heard by the others, or does not hear them"},
	{Reset, "all that is under way to and from a core is lost"},
	{Lossy, "messages are lost, doubled and reordered"},
	{Answers, "answers to callers are lost"},
	{Kill, "a core's process ends at once and is started again from its disk"},
	{Power, "a core loses power, with a torn write, and starts again"},
	{PowerAll, "all cores lose power at once"},
	{Wipe, "a core loses its disk, within the losses that are borne"},
	{WipeRest, "as many cores as are borne lose their disks while all others lose power"},
	{Replace, "a core ends for good and a new one takes its place, within the losses that are borne"},
	{Supersede, "a core is asked to stop and a new one takes its place"},
	{Flap, "a core comes and goes several times"},
	{Stall, "a core's disk stands still"},
	{Full, "a core's disk refuses to write"},
	{Storm, "hundreds of changes come at once"},
}

// FaultKinds lists the kinds of trouble.
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
			return nil, Class.New("unknown kind of trouble %q", name)
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

// drawFaults chooses the troubles of a run; now and then one comes right after another.
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
