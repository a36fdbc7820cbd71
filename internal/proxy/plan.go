package proxy

import (
	"slices"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// maxConnectFailures is how many backends may fail to take a request before it is given up.
const maxConnectFailures = 4

// Plan is how one request is to be handled: newPlan makes it before anything is sent, execute makes
// its attempts. After each attempt Next decides what follows: a retry, only where the request is
// idempotent or proven not to have run; the response; or an error, which promises that nothing ran
// only where that is proven.
type Plan struct {
	Route   *config.Route
	Service rpc.ServiceName
	Request *message.Request
	// Key is the operation key with its tenant, where the route is keyed.
	Key string
	// StartedAt and Deadline are times of the node's clock.
	StartedAt    time.Duration
	Deadline     time.Duration
	AttemptsLeft int
	// Attempted lists the backends of attempts that have ended, and not with the response.
	Attempted []rpc.EndpointID
	// MayHaveRun is set once an attempt ended without proof that nothing ran.
	MayHaveRun bool
	// LastServerError is the last response in which a backend told of its own failure.
	LastServerError *message.Response
	connectFailures int
	// Session is what the request belongs to, under Rule; BoundBackend is the backend that the
	// request may go to and no other.
	Session      rpc.SessionID
	Rule         affinity.Rule
	BoundBackend rpc.EndpointID
}

// wasAttempted tells that an attempt at a backend has ended.
func (p *Plan) wasAttempted(id rpc.EndpointID) bool { return slices.Contains(p.Attempted, id) }

// Step is what a plan does next.
type Step uint8

// The steps.
const (
	StepRetry Step = iota
	StepRespond
	StepFail
)

// Next records the outcome of an attempt and decides what comes next.
func (p *Plan) Next(now time.Duration, backend rpc.EndpointID, attempt Attempt) (step Step, kind apierror.Kind) {
	if attempt.Sent {
		p.AttemptsLeft--
	}
	if attempt.Outcome == Complete {
		return StepRespond, apierror.None
	}
	p.Attempted = append(p.Attempted, backend)
	if outcomeTable[attempt.Outcome].execution != notExecutedProven {
		p.MayHaveRun = true
	}
	if attempt.Outcome == ServerError {
		// The server error is the response, unless another attempt is allowed.
		if !p.Route.Type.Retryable() || p.AttemptsLeft <= 0 || now >= p.Deadline {
			return StepRespond, apierror.None
		}
		return StepRetry, apierror.None
	}
	return p.nextAfterFailure(now, attempt.Outcome)
}

// nextAfterFailure decides what comes after an attempt without a response.
func (p *Plan) nextAfterFailure(now time.Duration, outcome Outcome) (step Step, kind apierror.Kind) {
	switch outcome {
	case TimedOut:
		return StepFail, apierror.DeadlineExceeded
	case Abandoned:
		return StepFail, apierror.ClientLeft
	case ConnectionFailed, StaleConnection:
		if !p.Route.Type.Retryable() {
			return StepFail, apierror.BackendFailed
		}
	case NotSent:
		if p.connectFailures++; p.connectFailures > maxConnectFailures {
			return StepFail, p.errorKind(apierror.NoBackend)
		}
	}
	if now >= p.Deadline {
		return StepFail, p.errorKind(apierror.DeadlineTooShort)
	}
	if p.AttemptsLeft <= 0 {
		return StepFail, p.errorKind(apierror.Overloaded)
	}
	return StepRetry, apierror.None
}

// errorKind returns kind, which promises that nothing ran, unless the request may have run; then
// it returns BackendFailed, which promises nothing.
func (p *Plan) errorKind(kind apierror.Kind) apierror.Kind {
	if p.MayHaveRun {
		return apierror.BackendFailed
	}
	return kind
}
