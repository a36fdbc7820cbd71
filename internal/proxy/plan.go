// Plan is the way of one request through this daemon, made first as data and
// then carried out. After each round the plan says what comes next: another
// round, only where the request is idempotent or proven not to have run; the
// answer; or a problem, which promises that nothing ran only if that is so.
package proxy

import (
	"slices"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

// Plan is one request's way.
type Plan struct {
	Way     *config.Way
	Service rpc.ServiceName
	Request *Request
	Key     string
	Started time.Duration
	Till    time.Duration
	Rounds  int
	Tried   []rpc.ServerID
	// MayHaveRun is set once a round ended without proof that nothing ran.
	MayHaveRun bool
	// Failure is the last answer in which a backend told of its own failure.
	Failure *Response
	dials   int
	// Session is what the request belongs to, under Rule; Bound is the backend
	// that it may go to and no other.
	Session rpc.SessionID
	Rule    affinity.Rule
	Bound   rpc.ServerID
}

// asked tells that a backend was tried before.
func (p *Plan) asked(server rpc.ServerID) bool { return slices.Contains(p.Tried, server) }

// Step is what the plan wants next.
type Step uint8

// The steps.
const (
	TryAgain Step = iota
	GiveAnswer
	GiveProblem
)

// Learn takes the outcome of a round and tells what comes next.
func (p *Plan) Learn(now time.Duration, server rpc.ServerID, round Attempt) (step Step, kind apierror.Kind) {
	if round.Sent {
		p.Rounds--
	}
	p.Tried = append(p.Tried, server)
	switch round.Outcome {
	case Complete:
		return GiveAnswer, apierror.None
	case NotSent:
		if p.dials++; p.dials > 4 {
			return GiveProblem, p.refusal(apierror.NoBackend)
		}
	case Rejected, SendCancelled:
	case ServerError:
		// The backend's own failure is its answer, unless another may be asked.
		p.MayHaveRun = true
		if !p.Way.Repeat.Repeatable() || p.Rounds <= 0 || now >= p.Till {
			return GiveAnswer, apierror.None
		}
		return TryAgain, apierror.None
	case ConnectionFailed, StaleConnection:
		p.MayHaveRun = true
		if !p.Way.Repeat.Repeatable() {
			return GiveProblem, apierror.Broken
		}
	case TimedOut:
		p.MayHaveRun = true
		return GiveProblem, apierror.DeadlineOver
	}
	if now >= p.Till {
		return GiveProblem, p.refusal(apierror.TooLate)
	}
	if p.Rounds <= 0 {
		return GiveProblem, p.refusal(apierror.NoRoom)
	}
	return TryAgain, apierror.None
}

// refusal is a promise that nothing ran where that is so, else the word that
// the answer was lost.
func (p *Plan) refusal(kind apierror.Kind) apierror.Kind {
	if p.MayHaveRun {
		return apierror.Broken
	}
	return kind
}
