// Package faulttest plays clients against real daemons on loopback whose backends
// are stand-ins that reset, garble, delay, keep silent and double their answers,
// and accounts for every run and every answer by id, at the stand-in and at the
// client. What does not agree is a mismatch: a repeat of what may not be
// repeated, a promise that was broken, an answer that is another's, a success
// without a run, a try that ended without an answer.
package faulttest

import (
	"runtime"
	"time"

	"github.com/zeebo/errs"
)

// Class marks failures of the test itself.
var Class = errs.Class("faulttest")

// Most that an account may be asked for.
const (
	MaxRounds  = 5_000_000
	MaxTime    = time.Hour
	MaxClients = 256
)

// Options of one play. A round is one client's request with its tries.
type Options struct {
	Rounds  int
	Time    time.Duration
	Clients int
	Seed    uint64
}

// DefaultOptions is what is played where nothing is said.
var DefaultOptions = Options{Rounds: 20_000, Time: 5 * time.Minute, Clients: min(24, 4*runtime.NumCPU()), Seed: 1}

// Check names what is out of bounds.
func (o Options) Check() (err error) {
	switch {
	case o.Rounds < 1 || o.Rounds > MaxRounds:
		return Class.New("rounds: %d is not within 1 and %d", o.Rounds, MaxRounds)
	case o.Time <= 0 || o.Time > MaxTime:
		return Class.New("for: %v is not above 0 and up to %v", o.Time, MaxTime)
	case o.Clients < 1 || o.Clients > MaxClients:
		return Class.New("clients: %d is not within 1 and %d", o.Clients, MaxClients)
	case o.Seed == 0:
		return Class.New("seed: 0 is no seed")
	}
	return nil
}
