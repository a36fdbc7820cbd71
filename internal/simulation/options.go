// Options say what is played, and which sizes are refused.
package simulation

import (
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class marks the errors of the trial.
var Class = errs.Class("trial")

// Options of one run.
type Options struct {
	Length    time.Duration `json:"length"`
	Cores     int           `json:"cores"`
	Losses    int           `json:"losses"`
	Operators int           `json:"operators"`
	Edges     int           `json:"edges"`
	Gap       time.Duration `json:"gap"`
	CatchUp   time.Duration `json:"catch_up"`
	Troubles  []Kind        `json:"troubles"`
	Plant     Plant         `json:"plant,omitempty"`
}

// Usual is what is played where nothing else is asked for.
func Usual() (options Options) {
	return Options{
		Length: 30 * time.Second, Cores: 3, Losses: 1, Operators: 4, Edges: 3, Gap: 1500 * time.Millisecond,
		CatchUp: 4 * time.Second, Troubles: Kinds(),
	}
}

// The largest sizes.
const (
	LengthMost  = time.Hour
	CoresMost   = 15
	CallersMost = 64
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
	span("length", o.Length, time.Second, LengthMost)
	size("cores", o.Cores, 3, CoresMost)
	size("losses", o.Losses, 1, CoresMost/2)
	if o.Cores >= 3 && o.Losses >= 1 && o.Cores <= CoresMost && o.Cores < 2*o.Losses+1 {
		faults = append(faults, errs.New("losses is %d, and %d cores cannot bear so many", o.Losses, o.Cores).Error())
	}
	size("operators", o.Operators, 1, CallersMost)
	size("edges", o.Edges, 1, CallersMost)
	span("gap", o.Gap, 10*time.Millisecond, LengthMost)
	span("catch-up", o.CatchUp, 100*time.Millisecond, LengthMost)
	if o.Plant != "" && !o.Plant.Known() {
		faults = append(faults, "unknown planted fault "+string(o.Plant))
	}
	if len(faults) > 0 {
		return Class.New("%s", strings.Join(faults, "; "))
	}
	return nil
}
