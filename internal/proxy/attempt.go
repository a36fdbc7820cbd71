package proxy

import (
	"context"
	"time"

	"tinpin/internal/message"
)

const (
	// maxBufferedBody and maxStreamedPrefix are how many bytes of a body are read before the
	// response is passed on, the latter where the route streams.
	maxBufferedBody   = 256 << 10
	maxStreamedPrefix = 16 << 10
	// choiceLifetime is how long the choice of a backend holds, with all that it was based on;
	// a node that stood still longer chooses anew.
	choiceLifetime = time.Second
	// freshConnOnly as AttemptOptions.MaxIdle excludes every connection that has carried a request.
	freshConnOnly = -1
)

// Attempt is the result of sending a request to one backend once. Only NotSent, SendCancelled
// and Rejected prove that the request has not run. net/http's codec is used but not its
// transport, which repeats requests on its own.
type Attempt struct {
	Outcome  Outcome
	Response message.Response
	// Sent tells that bytes of the request have left this node, so that it counts as an arrival.
	Sent bool
}

// permits says which backends may be sent requests.
type permits interface {
	mayReceive(backend *Backend) bool
}

// AttemptOptions says how a request may be sent.
type AttemptOptions struct {
	// ChosenAt is when the backend was chosen, Deadline when the request ends; MaxIdle is how
	// long the connection may have been idle.
	ChosenAt, Deadline, MaxIdle time.Duration
	Keyed                       bool
	// Interruptible tells that the request may be broken off when its lifetime ends.
	Interruptible bool
	Bandwidth     *BandwidthLimiter
	// Permits is asked once a connection is at hand whether the request may still go.
	Permits        permits
	Counts         *attemptCounts
	DisabledChecks DisabledChecks
}

// runAttempt sends the request to the backend and reads the response.
func runAttempt(
	ctx context.Context, clock Clock, backend *Backend, request *message.Request, options AttemptOptions,
) (attempt Attempt) {
	startedAt := clock.Now()
	backend.attemptStarted(startedAt)
	defer func() {
		options.Counts.observe(ctx, attempt.Outcome)
		if attempt.Response.BodyRest == nil {
			now := clock.Now()
			backend.attemptEnded(now, now-startedAt, attempt.Outcome)
		}
	}()
	conn, err := backend.take(ctx, startedAt, options)
	if err != nil && ctx.Err() != nil {
		return Attempt{Outcome: SendCancelled}
	}
	if err != nil {
		return Attempt{Outcome: NotSent}
	}
	now := clock.Now()
	if now >= options.Deadline {
		backend.putIdle(now, conn, defaultKeepAlive)
		return Attempt{Outcome: NotSent}
	}
	backend.trackActive(conn, options.Keyed)
	defer backend.untrackActive(conn)
	data := request.Encode(options.Deadline-now, backend.ID)
	_ = conn.netConn.SetDeadline(time.Now().Add(options.Deadline - now))
	if !options.stillAllowed(ctx, clock, backend) {
		_ = conn.netConn.SetDeadline(time.Time{})
		backend.putIdle(clock.Now(), conn, defaultKeepAlive)
		return Attempt{Outcome: SendCancelled}
	}
	if options.Interruptible {
		conn.interruptAtEnd(ctx)
	}
	options.Counts.sending(ctx)
	sent, err := conn.netConn.Write(data)
	if err != nil && (sent == 0 || message.IsTimeout(err)) {
		backend.closeConn(conn)
		return writeFailure(sent, conn.stopInterruption())
	}
	// A backend that resets the connection while the request is written may have answered before.
	reader := responseReader{
		clock: clock, conn: conn, request: request, startedAt: startedAt, writeFailed: err != nil,
		disabledChecks: options.DisabledChecks,
	}
	attempt = reader.readResponse()
	if attempt.Response.BodyRest != nil {
		attempt.Response.BodyRest = options.Bandwidth.Limit(ctx, attempt.Response.BodyRest)
	}
	if attempt.Outcome == StaleConnection {
		backend.stats.ObserveStaleConn(clock.Now(), startedAt-conn.idleSince)
	}
	attempt.Sent = true
	return attempt
}

// take gives an idle connection or a new one.
func (b *Backend) take(ctx context.Context, now time.Duration, options AttemptOptions) (conn *Conn, err error) {
	if conn = b.takeIdle(now, options.MaxIdle); conn != nil {
		return conn, nil
	}
	return b.dial(ctx, options.Deadline-now)
}

// writeFailure is the attempt whose request could not be written as a whole. Where the kernel has
// taken nothing, nothing has left.
func writeFailure(sent int, interrupted bool) Attempt {
	switch {
	case sent == 0 && interrupted:
		return Attempt{Outcome: SendCancelled}
	case sent == 0:
		return Attempt{Outcome: NotSent}
	case interrupted:
		return Attempt{Outcome: Abandoned, Sent: true}
	}
	return Attempt{Outcome: ConnectionFailed, Sent: true}
}

// stillAllowed tells, right before the request is written, that it may still be sent. The process
// may have been suspended since the backend was chosen, and timers that have expired meanwhile may
// not have fired yet; that is why the clock is read last.
func (o AttemptOptions) stillAllowed(ctx context.Context, clock Clock, backend *Backend) bool {
	if ctx.Err() != nil {
		return false
	}
	if o.Permits != nil && !o.Permits.mayReceive(backend) {
		return false
	}
	now := clock.Now()
	return now < o.Deadline && now-o.ChosenAt <= choiceLifetime
}

// Clock is the monotonic clock of a node.
type Clock struct{ birth time.Time }

// NewClock starts at zero.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.birth) }
