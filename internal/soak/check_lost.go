package soak

import (
	"net/http"
	"time"
)

const (
	// exemptSent and exemptPart say when giving a request up is no loss: its backend is
	// at work in the last sixth of the grace period, and it was sent no later than 3 s
	// after the signal.
	exemptSent = 3 * time.Second
	exemptPart = 6
	// timerSlack is how late the machine's timers may be.
	timerSlack = 100 * time.Millisecond
)

// checkLost: what a process has read is answered, unless its backend broke off, its time
// was over, or the process was killed or stood still.
func (c *checker) checkLost(request *Request, arrivals []*Arrival) {
	replaced := replacedAnswer(request, arrivals)
	if request.End != Cut && !replaced || !c.answerDue(request, arrivals) {
		return
	}
	took := request.Ended - request.Sent
	loss := timed{rule: ruleLost, request: request.ID, process: c.proxy(request), from: request.Sent, to: request.Ended}
	switch {
	case replaced:
		c.addTimed(loss, "its backend was at work, and it was broken off and answered with %d", request.Status)
	case hasRun(arrivals):
		c.addTimed(loss, "a request was passed on and got no complete answer")
	case took > lossSlack && !request.Behind:
		c.addTimed(loss, "a request was held for %v and got no answer", took.Round(time.Millisecond))
	}
}

// answerDue tells that nothing excuses a request's end without an answer of its backend.
func (c *checker) answerDue(request *Request, arrivals []*Arrival) bool {
	proxy := c.proxy(request)
	life := proxy.lifeAt(request.Sent)
	if life == nil || life.Kill > 0 || proxy.frozenWithin(request.Sent-contact, request.Ended) {
		return false
	}
	if request.Ended-request.Sent >= request.Deadline-timerSlack {
		return false
	}
	for _, arrival := range arrivals {
		if arrival.End == BrokeOff || arrival.End == Garbled {
			return false
		}
	}
	return life.Term == 0 || !c.exempt(request, arrivals, life)
}

// exempt tells that a request may be given up: a backend was at work on it in the last
// sixth of the grace period, and it was sent in time.
func (c *checker) exempt(request *Request, arrivals []*Arrival, life *Life) bool {
	lastPart := life.Term + c.grace - c.grace/exemptPart
	for _, arrival := range arrivals {
		if arrival.ran() && arrival.Ended >= lastPart && request.Sent <= life.Term+exemptSent {
			return true
		}
	}
	return false
}

// replacedAnswer tells that a run was cut off, and an answer given in its place.
func replacedAnswer(request *Request, arrivals []*Arrival) bool {
	replaced := request.Status == http.StatusBadGateway || request.Status == http.StatusGatewayTimeout
	if request.End != Answered || !replaced {
		return false
	}
	for _, arrival := range arrivals {
		if arrival.End == CutOff {
			return true
		}
	}
	return false
}

// hasRun tells that a backend worked on a request.
func hasRun(arrivals []*Arrival) bool {
	for _, arrival := range arrivals {
		if arrival.ran() {
			return true
		}
	}
	return false
}
