package simulation

// Options say what is played, and which sizes are refused.

import (
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class marks the errors of the trial.
var Class = errs.Class("trial")

// Options of one run.
type Options struct {
	Length      time.Duration `json:"length"`
	Controllers int           `json:"cores"`
	Losses      int           `json:"losses"`
	Operators   int           `json:"operators"`
	Edges       int           `json:"edges"`
	Gap         time.Duration `json:"gap"`
	CatchUp     time.Duration `json:"catch_up"`
	Faults      []FaultKind   `json:"troubles"`
	InjectedBug InjectedBug   `json:"plant,omitempty"`
}

// DefaultOptions is what is played where nothing else is asked for.
func DefaultOptions() (options Options) {
	return Options{
		Length: 30 * time.Second, Controllers: 3, Losses: 1, Operators: 4, Edges: 3, Gap: 1500 * time.Millisecond,
		CatchUp: 4 * time.Second, Faults: FaultKinds(),
	}
}

// The largest sizes.
const (
	MaxLength      = time.Hour
	MaxControllers = 15
	MaxCallers     = 64
)

// Check names every size that cannot be played, in one message.
func (o Options) Check() (err error) {
	var faults []string
	size := func(name string, number, low, high int) {
		if number < low || number > high {
			faults = append(faults, errs.New("%s is %d and must be from %d to %d", name, number, low, high).Error())
		}
	}
	span := func(name string, span, low, high time.Duration) {
		if span < low || span > high {
			faults = append(faults, errs.New("%s is %s and must be from %s to %s", name, span, low, high).Error())
		}
	}
	span("length", o.Length, time.Second, MaxLength)
	size("cores", o.Controllers, 3, MaxControllers)
	size("losses", o.Losses, 1, MaxControllers/2)
	if o.Controllers >= 3 && o.Losses >= 1 && o.Controllers <= MaxControllers && o.Controllers < 2*o.Losses+1 {
		faults = append(faults, errs.New("losses is %d, and %d cores cannot bear so many", o.Losses, o.Controllers).Error())
	}
	size("operators", o.Operators, 1, MaxCallers)
	size("edges", o.Edges, 1, MaxCallers)
	span("gap", o.Gap, 10*time.Millisecond, MaxLength)
	span("catch-up", o.CatchUp, 100*time.Millisecond, MaxLength)
	if o.InjectedBug != "" && !o.InjectedBug.Known() {
		faults = append(faults, "unknown planted fault "+string(o.InjectedBug))
	}
	if len(faults) > 0 {
		return Class.New("%s", strings.Join(faults, "; "))
	}
	return nil
}
