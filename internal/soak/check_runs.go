package soak

import (
	"net/http"
	"time"
)

const (
	// deniedSlack and deniedShare are how many proper requests may get a 4xx.
	deniedSlack = 5
	deniedShare = 0.002
	// maxRepeatsDenied is how many repeats of answered keys may get a 409, if they come
	// repeatDelay after the answer.
	maxRepeatsDenied = 3
	repeatDelay      = time.Second
)

// checkRuns: nothing that may run once runs twice, what was rejected has not run, and
// nothing runs that was not sent so, or where no change lets it run.
func (c *checker) checkRuns(request *Request, arrivals []*Arrival) {
	runs := 0
	for _, arrival := range arrivals {
		if !arrival.ran() {
			continue
		}
		runs++
		if !arrival.Valid {
			c.add(ruleUnasked, arrival.At, request.ID, "a backend got another path or body than was sent")
		}
		if !c.mayRunAt(request, arrival) {
			c.add(ruleRoute, arrival.At, request.ID, "a request of %s ran at service %s",
				kindRoute(request.Kind), arrival.Service)
		}
	}
	if kinds[request.Kind].repeatable {
		return
	}
	if runs > 1 {
		c.add(ruleTwice, arrivals[1].At, request.ID, "a %v request ran %d times", request.Kind, runs)
	}
	if request.End == Answered && promisesNotRun(request.Status) && runs > 0 {
		c.add(ruleRefused, request.Ended, request.ID, "a %v request got %d and has run", request.Kind, request.Status)
	}
}

// promisesNotRun tells that a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRunAt tells that some change that was sent lets a request run at a service.
func (c *checker) mayRunAt(request *Request, arrival *Arrival) bool {
	for _, change := range c.changesOf(kindRoute(request.Kind)) {
		if change.Service == arrival.Service && change.Sent <= arrival.At {
			return true
		}
	}
	return false
}

// checkAnswer: what comes is a response; a success is the whole answer of a run of this request, or of its key; a
// failure does not bear a backend's signature.
func (c *checker) checkAnswer(request *Request, arrivals []*Arrival) {
	if request.End == Malformed {
		c.add(ruleMixed, request.Ended, request.ID, "the answer is no response")
		return
	}
	if request.End != Answered && request.End != Cut || request.Status == 0 {
		return
	}
	if request.Status != http.StatusOK {
		if request.Signature != "" {
			c.add(ruleMixed, request.Ended, request.ID, "a %d bears a backend's signature", request.Status)
		}
		return
	}
	if request.End == Cut {
		return
	}
	if request.Key != "" {
		arrivals = c.arrivalsOfKey(request.Key)
	}
	for _, arrival := range arrivals {
		same := arrival.Signature == request.Signature && arrival.BodySum == request.BodySum
		if same && arrival.End != Garbled {
			return
		}
	}
	c.add(ruleMixed, request.Ended, request.ID, "a success is not the whole answer of a run of it: signature %q",
		request.Signature)
}

// checkKeys: a key runs once.
func (c *checker) checkKeys() {
	runs := map[string][]*Arrival{}
	for id, request := range c.log.requests {
		for _, arrival := range c.log.arrivals[id] {
			if request.Key != "" && arrival.ran() {
				runs[request.Key] = append(runs[request.Key], arrival)
			}
		}
	}
	for key, arrivals := range runs {
		if len(arrivals) > 1 {
			c.add(ruleTwice, arrivals[1].At, arrivals[1].Request, "%s ran %d times", key, len(arrivals))
		}
	}
}

// firstAnswers are the first successes of all keys.
func (c *checker) firstAnswers() (answered map[string]*Request) {
	answered = map[string]*Request{}
	for _, request := range c.log.requests {
		if request.Key == "" || request.End != Answered || request.Status != http.StatusOK {
			continue
		}
		if first := answered[request.Key]; first == nil || request.Ended < first.Ended {
			answered[request.Key] = request
		}
	}
	return answered
}

// checkRepeats: a repeat of what was answered gets that answer, and no 409.
func (c *checker) checkRepeats() {
	answered := c.firstAnswers()
	denied := 0
	var last *Request
	for _, request := range c.log.requests {
		first := answered[request.Key]
		if first == nil || request.Status != http.StatusConflict || request.Sent < first.Ended+repeatDelay {
			continue
		}
		holder := c.proxy(first)
		if c.inTouch(c.proxy(request), request.Sent) && c.inTouch(holder, first.Ended) &&
			!holder.disturbedWithin(first.Ended, request.Ended) {
			denied, last = denied+1, request
		}
	}
	if denied > maxRepeatsDenied {
		c.add(ruleDenied, last.Ended, last.ID, "%d repeats of answered keys got 409", denied)
	}
}

// checkUnasked: nothing runs that nobody has sent.
func (c *checker) checkUnasked() {
	for id, arrivals := range c.log.arrivals {
		if c.log.requests[id] == nil {
			c.add(ruleUnasked, arrivals[0].At, id, "a request ran that no client sent")
		}
	}
}

// checkDenied: proper requests are not denied.
func (c *checker) checkDenied() {
	denied := 0
	var last *Request
	for _, request := range c.log.requests {
		clientError := request.Status/100 == 4 && !promisesNotRun(request.Status)
		if request.End != Answered || !clientError || request.Status == http.StatusConflict {
			continue
		}
		tightest, _, _ := c.bodyLimits(request)
		if request.BodyBytes <= tightest {
			denied, last = denied+1, request
		}
	}
	if float64(denied) > deniedSlack+deniedShare*float64(len(c.log.requests)) {
		c.add(ruleDenied, last.Ended, last.ID, "%d proper requests were denied, the last with %d", denied, last.Status)
	}
}
