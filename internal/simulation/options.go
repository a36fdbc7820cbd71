package simulation

// Options define one run; Check refuses sizes that cannot be run.

import (
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class marks the errors of a simulation.
var Class = errs.Class("simulation")

// Options of one run.
type Options struct {
	Length      time.Duration `json:"length"`
	Controllers int           `json:"cores"`
	Losses      int           `json:"losses"`
	Operators   int           `json:"operators"`
	Edges       int           `json:"edges"`
	Gap         time.Duration `json:"gap"`
	CatchUp     time.Duration `json:"catch_up"`
	// FarLink is how much longer a message takes between the controllers of the start and those that replace them.
	FarLink time.Duration `json:"far_link,omitempty"`
	// WriteInterval is the time between the changes of a writer that never pauses, 0 for no such writer.
	WriteInterval time.Duration `json:"write_interval,omitempty"`
	Faults        []FaultKind   `json:"troubles"`
	InjectedBug   InjectedBug   `json:"plant,omitempty"`
}

// DefaultOptions is used where nothing else is asked for.
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
	MaxFarLink     = 500 * time.Millisecond
)

// Check names every size that cannot be run, in one message.
func (o Options) Check() (err error) {
	var invalid []string
	size := func(name string, number, low, high int) {
		if number < low || number > high {
			invalid = append(invalid, errs.New("%s is %d and must be from %d to %d", name, number, low, high).Error())
		}
	}
	span := func(name string, span, low, high time.Duration) {
		if span < low || span > high {
			invalid = append(invalid, errs.New("%s is %s and must be from %s to %s", name, span, low, high).Error())
		}
	}
	span("length", o.Length, time.Second, MaxLength)
	size("controllers", o.Controllers, 3, MaxControllers)
	size("losses", o.Losses, 1, MaxControllers/2)
	if o.Controllers >= 3 && o.Losses >= 1 && o.Controllers <= MaxControllers && o.Controllers < 2*o.Losses+1 {
		invalid = append(invalid, errs.New("losses is %d, and %d controllers cannot tolerate so many", o.Losses, o.Controllers).Error())
	}
	size("operators", o.Operators, 1, MaxCallers)
	size("edges", o.Edges, 1, MaxCallers)
	span("gap", o.Gap, 10*time.Millisecond, MaxLength)
	span("catch-up", o.CatchUp, 100*time.Millisecond, MaxLength)
	span("far link", o.FarLink, 0, MaxFarLink)
	if o.WriteInterval != 0 {
		span("write interval", o.WriteInterval, time.Millisecond, MaxLength)
	}
	if o.InjectedBug != "" && !o.InjectedBug.Known() {
		invalid = append(invalid, "unknown bug to inject "+string(o.InjectedBug))
	}
	if len(invalid) > 0 {
		return Class.New("%s", strings.Join(invalid, "; "))
	}
	return nil
}
