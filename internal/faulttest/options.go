// Package faulttest runs clients against real daemons on loopback whose backends are
// stand-ins that reset, garble, delay, time out and duplicate their responses, and records
// every run and every response by id, at the stand-in and at the client. What does not agree
// is a mismatch: a repeat of what is not idempotent, a run after "not run" was answered, a
// response of another request, a success without a run, an attempt without a response. It
// owns the stand-ins, the clients and the request log; the daemons are set up by
// localcluster. A System may run one play at a time.
package faulttest

import (
	"runtime"
	"time"

	"github.com/zeebo/errs"
)

// Class marks failures of the test itself.
var Class = errs.Class("faulttest")

// The largest options that are accepted.
const (
	MaxOperations = 5_000_000
	MaxTime       = time.Hour
	MaxClients    = 256
)

// Options of one play. Operations counts client operations, each with its attempts: the rounds of the command line.
type Options struct {
	Operations int
	Time       time.Duration
	Clients    int
	Seed       uint64
}

// DefaultOptions are used where nothing else is asked for.
var DefaultOptions = Options{Operations: 20_000, Time: 5 * time.Minute, Clients: min(24, 4*runtime.NumCPU()), Seed: 1}

// Check names what is out of bounds.
func (o Options) Check() (err error) {
	switch {
	case o.Operations < 1 || o.Operations > MaxOperations:
		return Class.New("rounds: %d is not within 1 and %d", o.Operations, MaxOperations)
	case o.Time <= 0 || o.Time > MaxTime:
		return Class.New("for: %v is not above 0 and up to %v", o.Time, MaxTime)
	case o.Clients < 1 || o.Clients > MaxClients:
		return Class.New("clients: %d is not within 1 and %d", o.Clients, MaxClients)
	case o.Seed == 0:
		return Class.New("seed: 0 is no seed")
	}
	return nil
}
