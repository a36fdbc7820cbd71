package proxy

import (
	"time"

	"tinpin/internal/rpc"
)

const (
	// hedgeTargetShare is the part of the target latency after which a silent backend is doubted.
	hedgeTargetShare = 0.55
	// hedgeLatencyFactor is how many times the usual latency must have passed as well: a service
	// that is pressed is only pressed more by asking twice.
	hedgeLatencyFactor = 2.2
)

// endedAttempt is an attempt that has ended, and with whom.
type endedAttempt struct {
	attempt Attempt
	backend *Backend
}

// attemptWithHedge sends to one backend. Where the request is idempotent and the backend says
// nothing for a good part of the target latency, neither to this request nor to any other, a
// second backend is asked beside it and the first complete response is taken; the other is
// discarded. Arrivals counts the attempts that were sent.
func (d *Daemon) attemptWithHedge(plan *Plan, backend *Backend, chosenAt time.Duration, arrivals *int) (attempt Attempt, answering *Backend) {
	wait := hedgeDelay(plan, backend)
	if !plan.Route.Type.Retryable() || plan.AttemptsLeft < 2 || wait <= 0 || plan.BoundBackend != "" {
		attempt = runAttempt(d.clock, backend, plan.Request, d.attemptOptions(plan, chosenAt))
		if attempt.Sent {
			*arrivals++
		}
		return attempt, backend
	}
	ended := make(chan endedAttempt, 2)
	sentAt := d.clock.Now()
	d.startAttempt(plan, backend, chosenAt, ended)
	running := 1
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case end := <-ended:
			running--
			if end.attempt.Sent {
				*arrivals++
			}
			if end.attempt.Outcome == Complete || running == 0 {
				if running > 0 {
					go discard(ended)
				}
				return end.attempt, end.backend
			}
			// One of two has failed; the other may yet answer.
			plan.Next(d.clock.Now(), end.backend.ID, end.attempt)
		case <-timer.C:
			now := d.clock.Now()
			if second := d.hedgeBackend(plan, backend, sentAt, now); second != nil {
				d.startAttempt(plan, second, now, ended)
				running++
			}
		}
	}
}

// hedgeDelay is how long a backend may be silent before a second one is asked.
func hedgeDelay(plan *Plan, backend *Backend) time.Duration {
	return max(time.Duration(float64(plan.Route.LatencyTarget)*hedgeTargetShare), time.Duration(hedgeLatencyFactor*backend.stats.MeanLatency())*time.Millisecond)
}

// startAttempt sends to a backend and brings the result on a channel.
func (d *Daemon) startAttempt(plan *Plan, backend *Backend, chosenAt time.Duration, ended chan<- endedAttempt) {
	go func() {
		ended <- endedAttempt{runAttempt(d.clock, backend, plan.Request, d.attemptOptions(plan, chosenAt)), backend}
	}()
}

// hedgeBackend is the second backend to ask, or nil while the first is not silent, no other can
// be chosen or no retry is allowed.
func (d *Daemon) hedgeBackend(plan *Plan, first *Backend, sentAt, now time.Duration) *Backend {
	if !first.noResponseSince(sentAt) || now >= plan.Deadline {
		return nil
	}
	attempted := append([]rpc.EndpointID{first.ID}, plan.Attempted...)
	second, _ := d.state.chooseEndpoint(d.state.Snapshot(), d.criteria(plan, attempted))
	if second == nil || !d.allowRetry(now, plan, second) {
		return nil
	}
	return second
}

// discard takes a response that is not needed any more.
func discard(ended <-chan endedAttempt) {
	if end := <-ended; end.attempt.Response.Finish != nil {
		end.attempt.Response.Finish(false)
	}
}
