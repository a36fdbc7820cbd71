package healthcheck

import (
	"cmp"
	"slices"
	"time"

	"tinpin/internal/rpc"
)

const (
	// Outcomes are summed over sumSlots spans of sumSlotDuration each.
	sumSlots        = 8
	sumSlotDuration = 500 * time.Millisecond
	// An endpoint is an outlier with at least minFailures failures that are at least
	// minFailureRatio of its outcomes and minRatioToNorm times the service's own ratio.
	minFailures     = 3
	minFailureRatio = 0.2
	minRatioToNorm  = 3
	// maxEjectedPart is the part of a service's endpoints that may be ejected at once.
	maxEjectedPart  = 0.25
	firstEjection   = 2 * time.Second
	longestEjection = 20 * time.Second
	// successesToReturn is how many successes in a row end an ejection early.
	successesToReturn = 3
	// relapseWindow is how long after its return a next ejection is longer.
	relapseWindow = 30 * time.Second
)

// outcomes counts requests that succeeded and that failed.
type outcomes struct{ succeeded, failed float64 }

func (o outcomes) total() (total float64) { return o.succeeded + o.failed }

// failureRatio is the part that failed, 0 for no requests.
func (o outcomes) failureRatio() (ratio float64) { return o.failed / max(1, o.total()) }

// slidingSum sums outcomes over the last sumSlots spans.
type slidingSum struct {
	slots   [sumSlots]outcomes
	current int64
}

// advance clears the slots of spans that have passed.
func (s *slidingSum) advance(now time.Duration) {
	target := int64(now / sumSlotDuration)
	for step := int64(0); s.current < target && step < sumSlots; step++ {
		s.current++
		s.slots[s.current%sumSlots] = outcomes{}
	}
	s.current = max(s.current, target)
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

// suspect is an endpoint of which outcomes were reported.
type suspect struct {
	service rpc.ServiceName
	zones   map[rpc.ZoneName]*slidingSum
	// ejectedFor is the zone for which it is ejected, or all, or empty.
	ejectedFor string
	ejectedAt  time.Duration
	// ejection is how long the last ejection was meant to be.
	ejection   time.Duration
	returnedAt time.Duration
	// successes are those in a row since it was ejected.
	successes float64
}

// OutlierDetector finds endpoints whose requests fail although their probes succeed.
// One node sees too little of an endpoint, so the outcomes that all nodes report are
// summed at the node that probes the service, by endpoint and by the zone that the
// requests came from, and compared with the service's own ratio of failures over the
// same time. An outlier is ejected, for one zone or for all, but no more than a part
// of a service at once, and returns after a time that grows with each relapse. When
// everything fails, nothing is an outlier.
type OutlierDetector struct {
	suspects map[rpc.EndpointID]*suspect
	norms    map[rpc.ServiceName]*slidingSum
}

// NewOutlierDetector makes a detector without any outcomes.
func NewOutlierDetector() (detector *OutlierDetector) {
	return &OutlierDetector{suspects: map[rpc.EndpointID]*suspect{}, norms: map[rpc.ServiceName]*slidingSum{}}
}

// Add takes what a node reported. A count without an endpoint is the node's sum over
// the whole service.
func (d *OutlierDetector) Add(now time.Duration, report rpc.OutcomeCount) {
	more := outcomes{float64(report.Succeeded), float64(report.Failed)}
	if report.Endpoint == "" {
		norm := d.norms[report.Service]
		if norm == nil {
			norm = &slidingSum{}
			d.norms[report.Service] = norm
		}
		norm.add(now, more)
		return
	}
	endpoint := d.suspects[report.Endpoint]
	if endpoint == nil {
		endpoint = &suspect{service: report.Service, zones: map[rpc.ZoneName]*slidingSum{}}
		d.suspects[report.Endpoint] = endpoint
	}
	if endpoint.zones[report.Zone] == nil {
		endpoint.zones[report.Zone] = &slidingSum{}
	}
	endpoint.zones[report.Zone].add(now, more)
	if endpoint.ejectedFor == rpc.EjectedForAllZones || endpoint.ejectedFor == string(report.Zone) {
		if endpoint.successes += more.succeeded; more.failed > 0 {
			endpoint.successes = 0
		}
	}
}

// evaluate finds the zones for which an endpoint is an outlier: none, one or all; and
// its ratio of failures over all zones.
func (d *OutlierDetector) evaluate(now time.Duration, endpoint *suspect) (ejectFor string, failureRatio float64) {
	usual := 0.0
	if norm := d.norms[endpoint.service]; norm != nil {
		usual = norm.sum(now).failureRatio()
	}
	isOutlier := func(sum outcomes) bool {
		return sum.failed >= minFailures && sum.failed >= minFailureRatio*sum.total() &&
			sum.failed >= minRatioToNorm*usual*sum.total()
	}
	var total outcomes
	var outlying, sound []rpc.ZoneName
	for zone, sums := range endpoint.zones {
		sum := sums.sum(now)
		total.succeeded += sum.succeeded
		total.failed += sum.failed
		switch {
		case isOutlier(sum):
			outlying = append(outlying, zone)
		case sum.succeeded >= minFailures && sum.failed < minFailureRatio*sum.total():
			sound = append(sound, zone)
		}
	}
	failureRatio = total.failureRatio()
	switch {
	case len(outlying) == 1 && len(sound) > 0:
		return string(outlying[0]), failureRatio
	case isOutlier(total) || len(outlying) > 1:
		return rpc.EjectedForAllZones, failureRatio
	}
	return "", failureRatio
}

// outlier is an endpoint that is to be ejected.
type outlier struct {
	id           rpc.EndpointID
	ejectFor     string
	failureRatio float64
}

// Tick moves time on. Sizes are the numbers of endpoints of the services that this
// node probes. It returns the endpoints whose ejection has changed, with the zones
// for which they are ejected now.
func (d *OutlierDetector) Tick(now time.Duration, sizes map[rpc.ServiceName]int) (changed map[rpc.EndpointID]string) {
	changed = map[rpc.EndpointID]string{}
	ejected := map[rpc.ServiceName]int{}
	found := map[rpc.ServiceName][]outlier{}
	for id, endpoint := range d.suspects {
		if sizes[endpoint.service] == 0 {
			delete(d.suspects, id)
			continue
		}
		if endpoint.ejectedFor != "" {
			if d.review(now, id, endpoint, changed) {
				ejected[endpoint.service]++
			}
			continue
		}
		ejectFor, failureRatio := d.evaluate(now, endpoint)
		if ejectFor != "" {
			found[endpoint.service] = append(found[endpoint.service], outlier{id, ejectFor, failureRatio})
		} else if failureRatio == 0 && now-endpoint.returnedAt > relapseWindow {
			delete(d.suspects, id)
		}
	}
	for service, outliers := range found {
		d.eject(now, outliers, sizes[service], ejected[service], changed)
	}
	return changed
}

// review lets an ejected endpoint return, or reports that it stays ejected.
func (d *OutlierDetector) review(
	now time.Duration, id rpc.EndpointID, endpoint *suspect, changed map[rpc.EndpointID]string,
) (stays bool) {
	since := now - endpoint.ejectedAt
	if since >= endpoint.ejection && endpoint.successes >= successesToReturn || since >= 2*endpoint.ejection {
		endpoint.ejectedFor, endpoint.returnedAt = "", now
		endpoint.zones = map[rpc.ZoneName]*slidingSum{}
		changed[id] = ""
		return false
	}
	// Trial requests from other zones may show that only one zone's requests fail.
	ejectFor, _ := d.evaluate(now, endpoint)
	if ejectFor != "" && ejectFor != endpoint.ejectedFor && endpoint.ejectedFor == rpc.EjectedForAllZones {
		endpoint.ejectedFor = ejectFor
		changed[id] = ejectFor
	}
	return true
}

// eject ejects the worst outliers of a service of a number of endpoints, of which some
// are ejected already.
func (d *OutlierDetector) eject(
	now time.Duration, outliers []outlier, size, ejected int, changed map[rpc.EndpointID]string,
) {
	room := int(maxEjectedPart * float64(size))
	if len(outliers)+ejected > 2*room {
		// Most of the service fails: that is no fault of single endpoints.
		return
	}
	slices.SortFunc(outliers, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.failureRatio, a.failureRatio), cmp.Compare(a.id, b.id))
	})
	for _, worst := range outliers[:min(len(outliers), max(0, room-ejected))] {
		endpoint := d.suspects[worst.id]
		endpoint.ejection = min(longestEjection, max(firstEjection, 2*endpoint.ejection))
		if now-endpoint.returnedAt > relapseWindow && endpoint.returnedAt > 0 {
			endpoint.ejection = firstEjection
		}
		endpoint.ejectedFor, endpoint.ejectedAt, endpoint.successes = worst.ejectFor, now, 0
		changed[worst.id] = endpoint.ejectedFor
	}
}

// EjectedFor is the zone for which an endpoint is ejected, or
// [rpc.EjectedForAllZones], or empty.
func (d *OutlierDetector) EjectedFor(id rpc.EndpointID) (zone string) {
	if endpoint := d.suspects[id]; endpoint != nil {
		return endpoint.ejectedFor
	}
	return ""
}
