// Judge finds backends whose requests fail though their health answers are
// good. One daemon sees too little of a backend; so the outcomes that all
// daemons tell are summed at the service's owner, by backend and by the site
// that asked, and held against the service's own norm over the same span. A
// backend that stands out is set aside, for one asking site or for all, no
// more than a bounded part of a service at once, and let back after a wait
// that grows with each relapse. When everything fails, nothing stands out.
package healthcheck

import (
	"sort"
	"time"

	"tinpin/internal/rpc"
)

const (
	sumSlots        = 8
	sumSlotDuration = 500 * time.Millisecond
	// minFailures is how many bad outcomes it takes, judgePart the least part of
	// all that they must be, judgeNorm how far above the service's norm.
	minFailures     = 3
	minFailureRatio = 0.2
	minRatioToNorm  = 3
	// maxEjectedPart is the part of a service that may be set aside.
	maxEjectedPart  = 0.25
	firstEjection   = 2 * time.Second
	longestEjection = 20 * time.Second
	// successesToReturn is how many good outcomes in a row let a backend back early.
	successesToReturn = 3
	relapseWindow     = 30 * time.Second
)

type outcomes struct{ succeeded, failed float64 }

func (c outcomes) total() float64 { return c.succeeded + c.failed }

// slidingSum is a sliding sum.
type slidingSum struct {
	slots   [sumSlots]outcomes
	current int64
}

func (s *slidingSum) advance(now time.Duration) {
	turn := int64(now / sumSlotDuration)
	for step := int64(0); s.current < turn && step < sumSlots; step++ {
		s.current++
		s.slots[s.current%sumSlots] = outcomes{}
	}
	s.current = max(s.current, turn)
}

func (s *slidingSum) add(now time.Duration, more outcomes) {
	s.advance(now)
	slot := &s.slots[s.current%sumSlots]
	slot.succeeded += more.succeeded
	slot.failed += more.failed
}

func (s *slidingSum) sum(now time.Duration) (sum outcomes) {
	s.advance(now)
	for _, slot := range s.slots {
		sum.succeeded += slot.succeeded
		sum.failed += slot.failed
	}
	return sum
}

type suspect struct {
	service    rpc.ServiceName
	zones      map[rpc.ZoneName]*slidingSum
	ejectedFor string
	ejectedAt  time.Duration
	ejection   time.Duration
	returnedAt time.Duration
	successes  float64
}

// OutlierDetector keeps the sums of what one daemon owns.
type OutlierDetector struct {
	suspects map[rpc.EndpointID]*suspect
	norms    map[rpc.ServiceName]*slidingSum
}

// NewOutlierDetector has heard nothing.
func NewOutlierDetector() (judge *OutlierDetector) {
	return &OutlierDetector{suspects: map[rpc.EndpointID]*suspect{}, norms: map[rpc.ServiceName]*slidingSum{}}
}

// Add takes what a daemon of a site told. A row without a backend is the
// daemon's sum over the whole service.
func (j *OutlierDetector) Add(now time.Duration, tally rpc.OutcomeCount) {
	more := outcomes{float64(tally.Succeeded), float64(tally.Failed)}
	if tally.Endpoint == "" {
		norm := j.norms[tally.Service]
		if norm == nil {
			norm = &slidingSum{}
			j.norms[tally.Service] = norm
		}
		norm.add(now, more)
		return
	}
	held := j.suspects[tally.Endpoint]
	if held == nil {
		held = &suspect{service: tally.Service, zones: map[rpc.ZoneName]*slidingSum{}}
		j.suspects[tally.Endpoint] = held
	}
	if held.zones[tally.Zone] == nil {
		held.zones[tally.Zone] = &slidingSum{}
	}
	held.zones[tally.Zone].add(now, more)
	if held.ejectedFor == rpc.EjectedForAllZones || held.ejectedFor == string(tally.Zone) {
		if held.successes += more.succeeded; more.failed > 0 {
			held.successes = 0
		}
	}
}

// evaluate tells for which asking sites a backend stands out, and how much.
func (j *OutlierDetector) evaluate(now time.Duration, held *suspect) (aside string, part float64) {
	norm := outcomes{}
	if spans := j.norms[held.service]; spans != nil {
		norm = spans.sum(now)
	}
	usual := norm.failed / max(1, norm.total())
	out := func(sum outcomes) bool {
		return sum.failed >= minFailures && sum.failed >= minFailureRatio*sum.total() && sum.failed >= minRatioToNorm*usual*sum.total()
	}
	var total outcomes
	var bad, sound []rpc.ZoneName
	for site, spans := range held.zones {
		sum := spans.sum(now)
		total.succeeded += sum.succeeded
		total.failed += sum.failed
		switch {
		case out(sum):
			bad = append(bad, site)
		case sum.succeeded >= minFailures && sum.failed < minFailureRatio*sum.total():
			sound = append(sound, site)
		}
	}
	part = total.failed / max(1, total.total())
	switch {
	case len(bad) == 1 && len(sound) > 0:
		return string(bad[0]), part
	case out(total) || len(bad) > 1:
		return rpc.EjectedForAllZones, part
	}
	return "", part
}

// Tick moves time on; sizes are the numbers of backends of the services that
// this daemon owns. It gives the backends whose standing changed.
func (j *OutlierDetector) Tick(now time.Duration, sizes map[rpc.ServiceName]int) (changed map[rpc.EndpointID]string) {
	changed = map[rpc.EndpointID]string{}
	type finding struct {
		id    rpc.EndpointID
		aside string
		part  float64
	}
	out := map[rpc.ServiceName]int{}
	found := map[rpc.ServiceName][]finding{}
	for id, held := range j.suspects {
		if sizes[held.service] == 0 {
			delete(j.suspects, id)
			continue
		}
		if held.ejectedFor != "" {
			if now-held.ejectedAt >= held.ejection && held.successes >= successesToReturn || now-held.ejectedAt >= 2*held.ejection {
				held.ejectedFor, held.returnedAt = "", now
				held.zones = map[rpc.ZoneName]*slidingSum{}
				changed[id] = ""
				continue
			}
			out[held.service]++
			// Trials from elsewhere may show that only one site's requests fail.
			if aside, _ := j.evaluate(now, held); aside != "" && aside != held.ejectedFor && held.ejectedFor == rpc.EjectedForAllZones {
				held.ejectedFor = aside
				changed[id] = aside
			}
			continue
		}
		aside, part := j.evaluate(now, held)
		if aside != "" {
			found[held.service] = append(found[held.service], finding{id, aside, part})
		} else if part == 0 && now-held.returnedAt > relapseWindow {
			delete(j.suspects, id)
		}
	}
	for service, list := range found {
		room := int(maxEjectedPart * float64(sizes[service]))
		if len(list)+out[service] > 2*room {
			// Most of the service stands out: that is no fault of single ones.
			continue
		}
		sort.Slice(list, func(i, k int) bool {
			if list[i].part != list[k].part {
				return list[i].part > list[k].part
			}
			return list[i].id < list[k].id
		})
		for _, finding := range list[:min(len(list), max(0, room-out[service]))] {
			held := j.suspects[finding.id]
			held.ejection = min(longestEjection, max(firstEjection, 2*held.ejection))
			if now-held.returnedAt > relapseWindow && held.returnedAt > 0 {
				held.ejection = firstEjection
			}
			held.ejectedFor, held.ejectedAt, held.successes = finding.aside, now, 0
			changed[finding.id] = held.ejectedFor
		}
	}
	return changed
}

// EjectedFor tells for whom a backend is set aside.
func (j *OutlierDetector) EjectedFor(id rpc.EndpointID) (aside string) {
	if held := j.suspects[id]; held != nil {
		return held.ejectedFor
	}
	return ""
}
