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
	Route        *config.Way
	Service      rpc.ServiceName
	Request      *Request
	Key          string
	StartedAt    time.Duration
	Deadline     time.Duration
	AttemptsLeft int
	Tried        []rpc.EndpointID
	// MayHaveRun is set once a round ended without proof that nothing ran.
	MayHaveRun bool
	// LastServerError is the last answer in which a backend told of its own failure.
	LastServerError *Response
	connectFailures int
	// Session is what the request belongs to, under Rule; Bound is the backend
	// that it may go to and no other.
	Session      rpc.SessionID
	Rule         affinity.Rule
	BoundBackend rpc.EndpointID
}

// wasTried tells that a backend was tried before.
func (p *Plan) wasTried(server rpc.EndpointID) bool { return slices.Contains(p.Tried, server) }

// Step is what the plan wants next.
type Step uint8

// The steps.
const (
	StepRetry Step = iota
	StepRespond
	StepFail
)

// Next takes the outcome of a round and tells what comes next.
func (p *Plan) Next(now time.Duration, server rpc.EndpointID, round Attempt) (step Step, kind apierror.Kind) {
	if round.Sent {
		p.AttemptsLeft--
	}
	p.Tried = append(p.Tried, server)
	switch round.Outcome {
	case Complete:
		return StepRespond, apierror.None
	case NotSent:
		if p.connectFailures++; p.connectFailures > 4 {
			return StepFail, p.errorKind(apierror.NoBackend)
		}
	case Rejected, SendCancelled:
	case ServerError:
		// The backend's own failure is its answer, unless another may be asked.
		p.MayHaveRun = true
		if !p.Route.Repeat.Repeatable() || p.AttemptsLeft <= 0 || now >= p.Deadline {
			return StepRespond, apierror.None
		}
		return StepRetry, apierror.None
	case ConnectionFailed, StaleConnection:
		p.MayHaveRun = true
		if !p.Route.Repeat.Repeatable() {
			return StepFail, apierror.BackendFailed
		}
	case TimedOut:
		p.MayHaveRun = true
		return StepFail, apierror.DeadlineExceeded
	}
	if now >= p.Deadline {
		return StepFail, p.errorKind(apierror.DeadlineTooShort)
	}
	if p.AttemptsLeft <= 0 {
		return StepFail, p.errorKind(apierror.Overloaded)
	}
	return StepRetry, apierror.None
}

// errorKind is a promise that nothing ran where that is so, else the word that
// the answer was lost.
func (p *Plan) errorKind(kind apierror.Kind) apierror.Kind {
	if p.MayHaveRun {
		return apierror.BackendFailed
	}
	return kind
}
