package shutdown

import "time"

const (
	// signalMargin is taken off the time for announcing: a busy machine handles the
	// signal that much later than it was sent.
	signalMargin = 200 * time.Millisecond
	// answerShare is the part of the grace period, and minAnswerTime the least, in
	// which what is still in flight is ended with an answer. Half of it is for the
	// answers to be written and half for the process to end.
	answerShare   = 15
	minAnswerTime = 250 * time.Millisecond
)

// Timeline is when the phases of a shutdown end at the latest, since the signal.
type Timeline struct {
	// AcceptUntil ends the time in which others learn of the shutdown and everything
	// is accepted as before.
	AcceptUntil time.Duration
	// DrainUntil ends the time for what was accepted. What is in flight then is
	// interrupted, and answered if it can be.
	DrainUntil time.Duration
	// CloseBy is when the last connection is closed.
	CloseBy time.Duration
}

// Needs is what a daemon's shutdown needs time for.
type Needs struct {
	// Announce is how long others need to learn of the shutdown.
	Announce time.Duration
	// Work is what must be left for what is accepted last.
	Work time.Duration
}

// NewTimeline divides a grace period. Where it is too short for both needs, others
// get less time to learn of the shutdown.
func NewTimeline(grace time.Duration, needs Needs) (t Timeline) {
	answering := max(grace/answerShare, minAnswerTime)
	t.DrainUntil = max(grace-answering, grace/2)
	t.CloseBy = max(grace-answering/2, t.DrainUntil)
	t.AcceptUntil = max(min(needs.Announce, t.DrainUntil-needs.Work)-signalMargin, 0)
	return t
}

// Work is what may be known of a request before it is accepted.
type Work struct {
	// TimeLeft is how long it may take at most.
	TimeLeft time.Duration
	// Delivery tells that much of its time is the delivery of a large response: it
	// may be in flight when no backend is at work on it any more.
	Delivery bool
}

// Accepts tells whether work may be accepted at a time since the signal: until
// AcceptUntil, and afterwards what ends before DrainUntil. What has a long delivery
// must end before DrainUntil in both cases.
func (t Timeline) Accepts(elapsed time.Duration, work Work) bool {
	if elapsed+work.TimeLeft <= t.DrainUntil {
		return true
	}
	return elapsed < t.AcceptUntil && !work.Delivery
}
