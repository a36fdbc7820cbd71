package soak

import (
	"testing"
	"time"
)

// finishedPlay is a play of one proxy, three controllers and one backend that is over, with nothing wrong.
type finishedPlay struct {
	*System
	request *Request
	arrival *Arrival
	life    *Life
}

const (
	playSent    = 20 * time.Second
	playSum     = 7
	playStarted = time.Second
	// playControllers is how many controllers a play has.
	playControllers = 3
)

func newFinishedPlay(kind Kind) *finishedPlay {
	schedule := Schedule{Options: Options{Seed: 1, Time: time.Minute}}
	system := &System{
		schedule: schedule, log: NewLog(), grace: gracePeriod,
		Proxies:  []*Process{{Target: Target{ProxyRole, 1}}},
		Backends: []*Backend{{Number: 1, drainings: map[string]time.Duration{}}},
	}
	for number := range playControllers {
		system.Controllers = append(system.Controllers, &Process{
			Target: Target{ControllerRole, number + 1}, lives: []*Life{{Started: playStarted}},
		})
	}
	system.watch = newWatch(system.log, nil)
	system.operator = newOperator(nil, system.log, 1)
	system.operator.initial()
	s := &finishedPlay{
		System: system, life: &Life{Started: playStarted},
		request: &Request{
			ID: "r", Kind: kind, Proxy: 1, Sent: playSent, Ended: playSent + time.Second, Deadline: shortDeadline,
			End: Answered, Status: 200, Signature: "s", BodySum: playSum,
		},
		arrival: &Arrival{
			Request: "r", Backend: 1, Service: kindService(kind), Zone: zones[0], Instance: "i-1-1", Valid: true,
			At: playSent, Ended: playSent + time.Second, Work: time.Second, End: RanToEnd,
			Signature: "s", BodySum: playSum,
		},
	}
	if kind == Keyed {
		s.request.Key = "k"
	}
	system.Proxies[0].lives = []*Life{s.life}
	system.log.requests["r"] = s.request
	system.log.arrivals["r"] = []*Arrival{s.arrival}
	// Something is served at the end.
	system.log.requests["last"] = &Request{
		ID: "last", Kind: Moving, Proxy: 1, Sent: time.Minute - time.Second, Ended: time.Minute, End: Answered,
		Status: 429,
	}
	system.log.requests["served"] = &Request{
		ID: "served", Kind: Idempotent, Proxy: 1, Sent: time.Minute - time.Second, Ended: time.Minute, End: Answered,
		Status: 200, Signature: "served",
	}
	system.log.arrivals["served"] = []*Arrival{{
		Request: "served", Backend: 1, Service: services[0], Valid: true, At: time.Minute - time.Second,
		Ended: time.Minute, End: RanToEnd, Signature: "served",
	}}
	return s
}

// powerOff has so many controllers lose power long before the request was sent.
func (s *finishedPlay) powerOff(count int) {
	for _, controller := range s.Controllers[:count] {
		at := playSent - 2*contact
		controller.lives[0].Kill, controller.lives[0].Ended = at, at
		controller.disturbed = []time.Duration{at}
	}
}

// cut has the request end without an answer, cut off at its backend.
func (s *finishedPlay) cut() {
	s.request.End, s.request.Status, s.request.Signature = Cut, 0, ""
	s.arrival.End = CutOff
}

// term has the proxy be told to stop a time before the request was sent.
func (s *finishedPlay) term(before time.Duration) {
	s.life.Term = playSent - before
	s.life.Ended = s.life.Term + gracePeriod
}

// repeat adds another arrival of the request.
func (s *finishedPlay) repeat() {
	again := *s.arrival
	s.log.arrivals["r"] = append(s.log.arrivals["r"], &again)
}

// ruleCases are what breaks which rule: none where it is empty.
var ruleCases = map[string]struct {
	kind    Kind
	corrupt func(s *finishedPlay)
	rule    string
}{
	"nothing wrong":     {Keyed, func(*finishedPlay) {}, ""},
	"passed on and cut": {Idempotent, (*finishedPlay).cut, ruleLost},
	"held and cut": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.arrival.End = Rejected
	}, ruleLost},
	"cut within the answer": {Download, func(s *finishedPlay) { s.request.End = Cut }, ruleLost},
	"cut by its backend": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.arrival.End = BrokeOff
	}, ""},
	"cut after a garbled answer": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.arrival.End = Garbled
	}, ""},
	"502 for a garbled answer": {NonIdempotent, func(s *finishedPlay) {
		s.arrival.End = Garbled
		s.request.Status, s.request.Signature = 502, ""
	}, ""},
	"503 for a garbled answer": {NonIdempotent, func(s *finishedPlay) {
		s.arrival.End = Garbled
		s.request.Status, s.request.Signature = 503, ""
	}, ruleRefused},
	"a garbled answer is served":       {Idempotent, func(s *finishedPlay) { s.arrival.End = Garbled }, ruleMixed},
	"a key's garbled answer is served": {Keyed, func(s *finishedPlay) { s.arrival.End = Garbled }, ruleMixed},
	"a malformed answer":               {Idempotent, func(s *finishedPlay) { s.request.End = Malformed }, ruleMixed},
	"cut at its deadline": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.request.Ended = playSent + shortDeadline
	}, ""},
	"cut by a kill": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.life.Kill, s.life.Ended = playSent, playSent
	}, ""},
	"behind another, not passed on": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.arrival.End, s.request.Behind = Rejected, true
	}, ""},
	"taken early, cut at the end": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.term(2 * time.Second)
		s.arrival.Ended = playSent + 2500*time.Millisecond
	}, ""},
	"taken early, cut before": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.term(time.Second)
	}, ruleLost},
	"taken late, cut at the end": {Idempotent, func(s *finishedPlay) {
		s.cut()
		s.term(4 * time.Second)
	}, ruleLost},
	"broken off and answered": {NonIdempotent, func(s *finishedPlay) {
		s.cut()
		s.request.End, s.request.Status = Answered, 502
	}, ruleLost},
	"two runs of what may repeat": {Idempotent, (*finishedPlay).repeat, ""},
	"two runs of what may not":    {NonIdempotent, (*finishedPlay).repeat, ruleTwice},
	"two runs of a key":           {Keyed, (*finishedPlay).repeat, ruleTwice},
	"rejected and run": {NonIdempotent, func(s *finishedPlay) {
		s.request.Status, s.request.Signature = 503, ""
	}, ruleRefused},
	"another body":                  {Idempotent, func(s *finishedPlay) { s.request.BodySum++ }, ruleMixed},
	"another's answer":              {Idempotent, func(s *finishedPlay) { s.request.Signature = "of x" }, ruleMixed},
	"a failure with a signature":    {Idempotent, func(s *finishedPlay) { s.request.Status = 502 }, ruleMixed},
	"a changed body at the backend": {NonIdempotent, func(s *finishedPlay) { s.arrival.Valid = false }, ruleUnasked},
	"a request nobody sent": {Idempotent, func(s *finishedPlay) {
		s.log.arrivals["x"] = []*Arrival{s.arrival}
	}, ruleUnasked},
	"at a service it never had": {Idempotent, func(s *finishedPlay) { s.arrival.Service = services[1] }, ruleRoute},
	"at a drained backend": {Idempotent, func(s *finishedPlay) {
		s.Backends[0].drainings["i-1-1"] = playSent - drainBound - time.Second
	}, ruleDrain},
	"in an evacuated zone": {Idempotent, (*finishedPlay).evacuateZone, ruleEvac},
	"the same, out of touch": {Idempotent, func(s *finishedPlay) {
		s.evacuateZone()
		s.Proxies[0].disturbed = []time.Duration{playSent - time.Second}
	}, ""},
	"an older version": {Moving, func(s *finishedPlay) { s.moveAway(configApply + time.Second) }, ruleConfig},
	"an older version, starved": {Moving, func(s *finishedPlay) {
		s.moveAway(configApply + time.Second)
		s.watch.add(Span{From: playSent, To: playSent})
	}, ""},
	"a small body is refused": {NonIdempotent, func(s *finishedPlay) {
		s.limitBodies(tightestBody, configApply+time.Second)
		s.refuseBody(tightestBody)
	}, ruleConfig},
	"a body is refused by limits of before": {NonIdempotent, func(s *finishedPlay) {
		s.operator.changes[len(s.operator.changes)-1].BodyBytes = tightestBody
		s.limitBodies(widestBody, configApply+time.Second)
		s.refuseBody(tightestBody + 1)
	}, ruleConfig},
	"a body is refused by limits that may hold": {NonIdempotent, func(s *finishedPlay) {
		s.operator.changes[len(s.operator.changes)-1].BodyBytes = tightestBody
		s.limitBodies(widestBody, time.Second)
		s.refuseBody(tightestBody + 1)
	}, ""},
	"a large body is refused": {NonIdempotent, func(s *finishedPlay) {
		s.limitBodies(tightestBody, configApply+time.Second)
		s.refuseBody(tightestBody + 1)
	}, ""},
	"a body is served by limits of before": {NonIdempotent, func(s *finishedPlay) {
		s.limitBodies(tightestBody, configApply+time.Second)
		s.request.BodyBytes = tightestBody + 1
	}, ruleConfig},
	"an older version, one controller has no power": {Moving, func(s *finishedPlay) {
		s.moveAway(configApply + time.Second)
		s.powerOff(1)
	}, ruleConfig},
	"an older version, most controllers have no power": {Moving, func(s *finishedPlay) {
		s.moveAway(configApply + time.Second)
		s.powerOff(2)
	}, ""},
	"an older version, not yet due": {Moving, func(s *finishedPlay) { s.moveAway(time.Second) }, ""},
	"it ends by itself":             {Idempotent, func(s *finishedPlay) { s.life.Ended = 30 * time.Second }, ruleExit},
	"it ends with a failure": {Idempotent, func(s *finishedPlay) {
		s.term(0)
		s.life.ExitCode = 2
	}, ruleExit},
	"it is ended before it listens": {Idempotent, func(s *finishedPlay) {
		s.term(0)
		s.life.ExitCode = -1
	}, ""},
	"it is ended while it listens": {Idempotent, func(s *finishedPlay) {
		s.term(0)
		s.life.ExitCode, s.life.Listening = -1, playStarted
	}, ruleExit},
	"it outlasts its grace period": {Idempotent, func(s *finishedPlay) {
		s.term(0)
		s.life.Kill, s.life.Overdue = s.life.Ended, true
	}, ruleGrace},
	"nothing is served at the end": {Idempotent, func(s *finishedPlay) {
		delete(s.log.requests, "served")
		delete(s.log.arrivals, "served")
	}, ruleRecover},
	"proper requests are denied": {Idempotent, func(s *finishedPlay) { s.deny(404, deniedSlack+1) }, ruleDenied},
	"a few proper requests are":  {Idempotent, func(s *finishedPlay) { s.deny(404, deniedSlack) }, ""},
	"work for clients that left": {Idempotent, func(s *finishedPlay) { s.leave(minLasting, time.Second) }, ruleGone},
	"work that ends with them":   {Idempotent, func(s *finishedPlay) { s.leave(minLasting, leftSlack/2) }, ""},
}

// evacuateZone has the backend's zone be evacuated for long.
func (s *finishedPlay) evacuateZone() {
	s.operator.evacuations = []*Evacuation{{Zone: zones[0], Acknowledged: time.Second}}
}

// moveAway has the moving route go to the other service, acknowledged a time before the
// request was sent.
func (s *finishedPlay) moveAway(before time.Duration) {
	s.operator.changes = append(s.operator.changes, &Change{
		Item: kindRoute(Moving), Version: 2, Service: services[1], Result: Acknowledged, AnsweredAt: playSent - before,
	})
}

// limitBodies has the limits bound bodies, acknowledged a time before the request was sent.
func (s *finishedPlay) limitBodies(bodyBytes int, before time.Duration) {
	s.operator.changes = append(s.operator.changes, &Change{
		Item: limitsItem, Version: 2, BodyBytes: bodyBytes, Result: Acknowledged, AnsweredAt: playSent - before,
	})
}

// refuseBody has the request be refused for the length of its body.
func (s *finishedPlay) refuseBody(bodyBytes int) {
	s.request.BodyBytes, s.request.Status, s.request.Signature = bodyBytes, 413, ""
	s.arrival.End = Rejected
}

// deny adds requests that get a status.
func (s *finishedPlay) deny(status, count int) {
	for n := range count {
		id := string(rune('A' + n))
		s.log.requests[id] = &Request{
			ID: id, Kind: Idempotent, Proxy: 1, Sent: playSent, Ended: playSent, End: Answered, Status: status,
		}
	}
}

// leave adds requests whose clients leave at once, while their backend goes on for a time.
func (s *finishedPlay) leave(count int, worked time.Duration) {
	for n := range count {
		id := string(rune('A' + n))
		s.log.requests[id] = &Request{
			ID: id, Kind: Idempotent, Proxy: 1, Sent: playSent, Ended: playSent, End: Left,
		}
		s.log.arrivals[id] = []*Arrival{{
			Request: id, Backend: 1, Service: services[0], Valid: true, At: playSent, Work: 2 * time.Second,
			Ended: playSent + worked, End: CutOff,
		}}
	}
}

// Each rule is found broken where it is, and nowhere else.
func TestRules(t *testing.T) {
	for name, c := range ruleCases {
		t.Run(name, func(t *testing.T) {
			s := newFinishedPlay(c.kind)
			c.corrupt(s)
			found := map[string]bool{}
			for _, violation := range s.Check() {
				if !violation.Undecided {
					found[violation.Rule] = true
				}
			}
			if c.rule == "" && len(found) > 0 || c.rule != "" && (!found[c.rule] || len(found) > 1) {
				t.Errorf("found %v, want %q", found, c.rule)
			}
		})
	}
}

// What was acknowledged is read back as it was sent.
func TestReadingBack(t *testing.T) {
	s := newFinishedPlay(Idempotent)
	described := func() (items map[string]map[string]any) {
		items = map[string]map[string]any{}
		for _, change := range s.operator.changes {
			items[change.Item] = parseContent(change)
		}
		return items
	}
	if violations := s.checkDescription(described(), nil); len(violations) > 0 {
		t.Errorf("nothing is wrong: %v", violations)
	}
	for name, corrupt := range map[string]func(items map[string]map[string]any){
		"an item is missing": func(items map[string]map[string]any) { delete(items, limitsItem) },
		"an older version":   func(items map[string]map[string]any) { items[kindRoute(Keyed)]["version"] = 0.0 },
		"an invalid item":    func(items map[string]map[string]any) { items[invalidItem] = map[string]any{} },
	} {
		items := described()
		corrupt(items)
		if violations := s.checkDescription(items, nil); len(violations) != 1 || violations[0].Rule != ruleConfig {
			t.Errorf("%s: %v", name, violations)
		}
	}
	if violations := s.checkDescription(nil, errNotDescribed); len(violations) != 1 {
		t.Errorf("nothing is described: %v", violations)
	}
	for name, change := range map[string]*Change{
		"an invalid change is acknowledged": {Item: invalidItem, Invalid: true, Result: Acknowledged},
		"a resent change is refused":        {Item: resentItem, Result: Refused, Status: 409},
		"a valid change is refused":         {Item: limitsItem, Version: 2, Result: Refused, Status: 400},
	} {
		if change.wrongResult() == "" {
			t.Errorf("%s, and nothing is said", name)
		}
	}
}

// A process may hold what another of its role held, and not much more.
func TestUsage(t *testing.T) {
	s := newFinishedPlay(Idempotent)
	leader, follower := Target{ControllerRole, 1}, Target{ControllerRole, 2}
	before := map[Target]Usage{leader: {Descriptors: 200, MemoryMB: 40, Goroutines: 200}, follower: {20, 20, 20}}
	for name, c := range map[string]struct {
		after Usage
		count int
	}{
		"another leads":        {Usage{210, 41, 210}, 0},
		"descriptors are lost": {Usage{700, 41, 210}, 1},
		"memory is lost":       {Usage{210, 200, 210}, 1},
		"goroutines are lost":  {Usage{210, 41, 800}, 1},
	} {
		violations := s.checkUsages(before, map[Target]Usage{follower: c.after})
		if len(violations) != c.count || c.count > 0 && violations[0].Rule != ruleUsage {
			t.Errorf("%s: %v", name, violations)
		}
	}
}
