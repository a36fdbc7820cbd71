package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// leftSlack is how long work may go on after a client has left; maxSentAfterLeft and
	// maxWorkedShare, of at least minLasting, are how much beyond that is a violation.
	leftSlack        = 500 * time.Millisecond
	maxSentAfterLeft = 3
	maxWorkedShare   = 0.25
	minLasting       = 8
	// bodySendTime is how long before its last byte a request may have come, which is judged by the limits of then.
	bodySendTime = 500 * time.Millisecond
	// recoverSpan is the end of a play in which minRecovered must be served.
	recoverSpan  = 4 * time.Second
	minRecovered = 0.25
)

// checkTimes: changes, drains and evacuations are in force at machines in touch.
func (c *checker) checkTimes(request *Request, arrivals []*Arrival) {
	proxy := c.proxy(request)
	for _, arrival := range arrivals {
		if !arrival.ran() || !c.inTouch(proxy, arrival.At) {
			continue
		}
		late := timed{request: request.ID, process: proxy, to: arrival.At}
		drained, listed := c.Backends[arrival.Backend-1].drainings[arrival.Instance]
		if late.from = drained; listed && arrival.At > drained+drainBound {
			late.rule = ruleDrain
			c.addTimed(late, "a request reached %s %v after it was listed as draining", arrival.Instance,
				(arrival.At - drained).Round(time.Millisecond))
		}
		for _, emptied := range c.operator.evacuations {
			if late.from = emptied.Acknowledged; emptied.inForce(arrival) {
				late.rule = ruleEvac
				c.addTimed(late, "a request reached %s, which is evacuated", arrival.Zone)
			}
		}
		c.checkChange(request, proxy, arrival)
	}
}

// inForce tells that an evacuation must keep a request from its backend.
func (e *Evacuation) inForce(arrival *Arrival) bool {
	return e.Zone == arrival.Zone && e.Acknowledged > 0 && arrival.At > e.Acknowledged+evacuation &&
		(e.TakenBack == 0 || arrival.At < e.TakenBack)
}

// checkChange: a request sent after config_apply past an acknowledgement is not handled as
// only an older version allows.
func (c *checker) checkChange(request *Request, proxy *Process, arrival *Arrival) {
	if request.Kind != Moving || !c.inTouch(proxy, request.Sent) {
		return
	}
	inForce, newest := c.mayBeInForce(kindRoute(Moving), request.Sent, arrival.At)
	for _, change := range inForce {
		if change.Service == arrival.Service {
			return
		}
	}
	late := timed{
		rule: ruleConfig, request: request.ID, process: proxy, from: request.Sent - configApply, to: arrival.At,
	}
	c.addTimed(late, "a request ran at %s, which only a version before %d allows", arrival.Service, newest)
}

// mayBeInForce lists the changes of an item by which a request may be handled that was sent at a time and handled
// by another, and the newest version that had to be in force when it was sent.
func (c *checker) mayBeInForce(item string, sent, handled time.Duration) (changes []*Change, newest int) {
	for _, change := range c.changesOf(item) {
		if change.Result == Acknowledged && change.AnsweredAt+configApply < sent {
			newest = max(newest, change.Version)
		}
	}
	for _, change := range c.changesOf(item) {
		if change.Version >= newest && change.Sent <= handled && change.Result != Refused {
			changes = append(changes, change)
		}
	}
	return changes, newest
}

// bodyLimits are the tightest and the widest bound on bodies that may hold for a request, and the newest version
// that had to be in force when it was sent.
func (c *checker) bodyLimits(request *Request) (tightest, widest, newest int) {
	changes, newest := c.mayBeInForce(limitsItem, request.Sent-bodySendTime, request.Ended)
	tightest = widestBody
	for _, change := range changes {
		tightest, widest = min(tightest, change.BodyBytes), max(widest, change.BodyBytes)
	}
	return tightest, widest, newest
}

// checkBody: the length of a body is judged by no older version than had to be in force when it was sent.
func (c *checker) checkBody(request *Request) {
	proxy := c.proxy(request)
	if request.BodyBytes == 0 || request.End != Answered || !c.inTouch(proxy, request.Sent) {
		return
	}
	tightest, widest, newest := c.bodyLimits(request)
	denied := request.Status == http.StatusRequestEntityTooLarge && request.BodyBytes <= tightest
	served := request.Status == http.StatusOK && request.BodyBytes > widest
	if !denied && !served {
		return
	}
	late := timed{
		rule: ruleConfig, request: request.ID, process: proxy, from: request.Sent - configApply, to: request.Ended,
	}
	c.addTimed(late, "a body of %d bytes got %d, which only a version before %d allows",
		request.BodyBytes, request.Status, newest)
}

// departure is what went on for a client that has left.
type departure struct{ sentAfter, lasting, worked int }

// departureOf counts what went on for a request whose client has left.
func (c *checker) departureOf(request *Request) (d departure) {
	limit := request.Ended + leftSlack
	for _, arrival := range c.log.arrivals[request.ID] {
		if arrival.At > limit {
			d.sentAfter++
			continue
		}
		if !kinds[request.Kind].repeatable || !arrival.ran() || arrival.At+arrival.Work <= limit {
			continue
		}
		d.lasting++
		if arrival.Ended > limit || arrival.Ended == 0 {
			d.worked++
		}
	}
	return d
}

// checkGone: little is done for clients that have left.
func (c *checker) checkGone() {
	var sum departure
	for _, request := range c.log.requests {
		left := request.End == Left && !request.Behind && request.Key == ""
		if !left || !c.inTouch(c.proxy(request), request.Ended+leftSlack) {
			continue
		}
		d := c.departureOf(request)
		sum = departure{sum.sentAfter + d.sentAfter, sum.lasting + d.lasting, sum.worked + d.worked}
	}
	if sum.sentAfter > maxSentAfterLeft {
		c.add(ruleGone, c.schedule.Time, "", "%d requests reached a backend over %v after their clients had left",
			sum.sentAfter, leftSlack)
	}
	if sum.lasting >= minLasting && float64(sum.worked) > maxWorkedShare*float64(sum.lasting) {
		c.add(ruleGone, c.schedule.Time, "", "backends went on with %d of %d requests whose clients had left",
			sum.worked, sum.lasting)
	}
}

// checkLives: processes end when they are told to, in time, and never by themselves.
func (c *checker) checkLives() {
	for _, process := range c.processes() {
		for _, life := range process.lives {
			switch {
			case life.Overdue && !process.frozenWithin(life.Term, life.Kill):
				overdue := timed{rule: ruleGrace, process: process, from: life.Term, to: life.Kill}
				c.addTimed(overdue, "%v had to be killed after its grace period", process.Target)
			case life.Kill > 0 || life.Ended == 0:
			case life.Term == 0:
				c.addExit(process, life, "by itself")
			case life.ExitCode < 0 && life.Listening == 0:
				// Before it listens SIGTERM ends it at once: nothing was accepted.
			case life.ExitCode != 0:
				c.addExit(process, life, "when asked to")
			}
		}
	}
}

// addExit adds the violation of a life that has ended as it must not.
func (c *checker) addExit(process *Process, life *Life, how string) {
	text := fmt.Sprintf("%v, begun at %v, ended %s with %d",
		process.Target, life.Started.Round(time.Millisecond), how, life.ExitCode)
	c.violations = append(c.violations, Violation{
		Rule: ruleExit, At: life.Ended, Process: process.Target, Text: text,
	})
}

// checkRecovery: once nothing happens any more, requests are served.
func (c *checker) checkRecovery() {
	asked, served := 0, 0
	for _, request := range c.log.requests {
		if request.Sent <= c.schedule.Time-recoverSpan || request.End == Left || request.End == Pending {
			continue
		}
		asked++
		if request.End == Answered && request.Status == http.StatusOK {
			served++
		}
	}
	if float64(served) < minRecovered*float64(asked) || asked == 0 {
		c.add(ruleRecover, c.schedule.Time, "", "%d of the last %d requests were served", served, asked)
	}
}
