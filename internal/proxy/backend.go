package proxy

import (
	"math"
	"sync"
	"time"

	"tinpin/internal/balancer"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

const (
	// minUnavailable and maxUnavailable bound how long a backend is not used after a connection
	// to it failed; the time doubles with each failure in a row.
	minUnavailable = 400 * time.Millisecond
	maxUnavailable = 4 * time.Second
	// minOverdue is how long beyond its usual latency a backend may be silent before it is suspect.
	minOverdue = 150 * time.Millisecond
	// loadReportLifetime is how long a backend's load report counts; its weight falls with its age.
	loadReportLifetime = 1500 * time.Millisecond
	// outcomeReportSpan is how long after a failure the outcomes of a backend are reported.
	outcomeReportSpan = 4 * time.Second
	// failureStep is the part by which a failure moves the failure score towards 1; the score
	// halves in each failureHalfLife.
	failureStep     = 0.35
	failureHalfLife = 2 * time.Second
	// abandonedMemory is how long an abandoned attempt still counts for whether a backend is overdue.
	abandonedMemory = time.Second
	// latencyStep is the weight of one response in a backend's latency.
	latencyStep = 0.15
)

// Backend is one incarnation of a backend as this node deals with it: what the endpoint list and the
// state cache say of it, what was observed here, and the pool of connections to it. Observations of
// this node may stop the use of a backend for a while; they never put one back into use that the state
// cache holds to be unhealthy. All times are of the node's clock.
type Backend struct {
	rpc.Endpoint
	Region rpc.RegionName
	// listedSummary is the summary of the endpoint list's last entry for this backend.
	listedSummary string

	mu sync.Mutex
	// health and ejected are what the state cache says.
	health  rpc.Health
	ejected bool
	// warmUpUntil is the end of the slow start, warmUpSends what was sent during it.
	warmUpUntil time.Duration
	warmUpSends *quota.Window
	// The backend is not used before unavailableUntil; unavailableSpan is the length of that time.
	unavailableUntil time.Duration
	unavailableSpan  time.Duration
	// inFlight counts attempts; busySince is when it last rose from 0, respondedAt when the backend
	// last responded.
	// Until suspectUntil the backend counts as busy also with abandoned attempts, since nothing
	// but their silence was learned of it.
	inFlight     int
	busySince    time.Duration
	respondedAt  time.Duration
	suspectUntil time.Duration
	openConns    int
	idleConns    []*Conn
	closed       bool
	// activeConns are the connections that carry a request now, with whether it is keyed.
	activeConns map[*Conn]bool
	// latency is a moving average in milliseconds, unknown while latencyAt is 0.
	latency   float64
	latencyAt time.Duration
	stats     *ServiceStats
	load      reportedLoad
	// localZone is the zone of this node; a backend may be ejected for the nodes of one zone only.
	localZone    string
	nextCanaryAt time.Duration
	// failureScore is 0 to 1 as of failureScoreAt.
	failureScore   float64
	failureScoreAt time.Duration
	// outcomes are counted until they are reported, successes until reportUntil only.
	outcomes    rpc.OutcomeCount
	reportUntil time.Duration
}

// reportedLoad is how many requests a backend reported to have, and how many were sent to it since.
type reportedLoad struct {
	requests  int
	sentSince int
	at        time.Duration
}

func newBackend(listed rpc.Endpoint, region rpc.RegionName, localZone string, stats *ServiceStats) *Backend {
	return &Backend{
		Endpoint: listed, Region: region, localZone: localZone, stats: stats,
		warmUpSends: quota.NewWindow(time.Second), activeConns: map[*Conn]bool{},
	}
}

// attemptStarted notes that an attempt begins, until attemptEnded.
func (b *Backend) attemptStarted(now time.Duration) {
	b.mu.Lock()
	if b.inFlight == 0 && now >= b.suspectUntil {
		b.busySince = now
	}
	b.inFlight++
	b.load.sentSince++
	if now < b.warmUpUntil+time.Second {
		b.warmUpSends.Add(now)
	}
	b.mu.Unlock()
}

// attemptEnded notes how long an attempt took and how it ended.
func (b *Backend) attemptEnded(now, took time.Duration, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	traits := outcomeTable[outcome]
	switch traits.health {
	case signGood:
		b.countOutcome(now, true)
	case signBad:
		b.countOutcome(now, false)
		b.failureScore = b.recentFailures(now)
		b.failureScore += (1 - b.failureScore) * failureStep
		b.failureScoreAt = now
	}
	if traits.responded {
		b.respondedAt = now
	}
	switch outcome {
	case Complete:
		b.unavailableSpan = 0
		b.observeLatency(now, float64(took)/float64(time.Millisecond))
		b.stats.ObserveLatency(now, took)
	case StaleConnection:
	case NotSent, ConnectionFailed:
		b.setUnavailable(now)
	case Rejected:
		b.observeLatency(now, b.latency*1.5+20)
	case TimedOut:
		b.observeLatency(now, float64(took)/float64(time.Millisecond))
	case Abandoned:
		b.observeSilence(now, took)
	}
}

// observeSilence takes that an attempt was abandoned after some time without a response, which tells
// that the response would have taken longer. The caller holds the lock.
func (b *Backend) observeSilence(now, took time.Duration) {
	if longerThan := float64(took) / float64(time.Millisecond); b.latencyAt != 0 && longerThan > b.latency {
		b.observeLatency(now, longerThan)
	}
	if b.respondedAt < now-took {
		b.suspectUntil = now + abandonedMemory
	}
}

// countOutcome counts an outcome for the node that probes the backend; successes count only while
// the backend has failures to report or is ejected. The caller holds the lock.
func (b *Backend) countOutcome(now time.Duration, good bool) {
	b.stats.countOutcome(good)
	if good {
		if b.ejected || now < b.reportUntil {
			b.outcomes.Succeeded++
		}
		return
	}
	b.outcomes.Failed++
	b.reportUntil = now + outcomeReportSpan
	b.stats.addReportable(b)
}

// takeOutcomes returns the outcomes counted since it was last called. They are reported only for a
// backend that failed within outcomeReportSpan or is ejected.
func (b *Backend) takeOutcomes(now time.Duration) (counts rpc.OutcomeCount, report bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts = b.outcomes
	b.outcomes = rpc.OutcomeCount{}
	counts.Endpoint, counts.Service = b.ID, b.Service
	if !b.ejected && now >= b.reportUntil || b.closed {
		b.stats.removeReportable(b)
		return counts, false
	}
	return counts, counts.Succeeded+counts.Failed > 0
}

// recentFailures is the failure score, 0 to 1, decayed to a time. The caller holds the lock.
func (b *Backend) recentFailures(now time.Duration) (score float64) {
	if b.failureScore == 0 {
		return 0
	}
	return b.failureScore * math.Exp2(-float64(now-b.failureScoreAt)/float64(failureHalfLife))
}

// overdue tells that the backend has had requests in flight, or abandoned ones lately, for longer than its
// usual latency and minOverdue without any response; it may be unreachable. defaultLatency, in milliseconds, stands for
// the latency of a backend that has never responded. The caller holds the lock.
func (b *Backend) overdue(now time.Duration, defaultLatency float64) bool {
	if b.inFlight == 0 && now >= b.suspectUntil {
		return false
	}
	usual := b.latency
	if b.latencyAt == 0 {
		usual = defaultLatency
	}
	return now-max(b.busySince, b.respondedAt) > minOverdue+time.Duration(usual*float64(time.Millisecond))
}

// suspect tells that a backend is unavailable, warming up or overdue.
func (b *Backend) suspect(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now < b.unavailableUntil || now < b.warmUpUntil ||
		b.overdue(now, b.stats.BaselineLatency(balancer.DefaultLatencyMS))
}

// isWarmingUp tells that the backend is in its slow start.
func (b *Backend) isWarmingUp(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now < b.warmUpUntil
}

// isDraining tells that the platform has listed the backend as draining.
func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Draining
}

// noResponseSince tells that the backend has responded to no request since a time.
func (b *Backend) noResponseSince(moment time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.respondedAt < moment
}

// observeLatency takes the milliseconds of one attempt. The caller holds the lock.
func (b *Backend) observeLatency(now time.Duration, took float64) {
	if b.latencyAt == 0 {
		b.latency = took
	} else {
		b.latency += (took - b.latency) * latencyStep
	}
	b.latencyAt = now
}

// setUnavailable stops the use of the backend for a time, longer with each failure in a row. The
// caller holds the lock.
func (b *Backend) setUnavailable(now time.Duration) {
	if b.unavailableUntil > now {
		return
	}
	if b.unavailableSpan == 0 {
		b.unavailableSpan = minUnavailable
	} else {
		b.unavailableSpan = min(b.unavailableSpan*2, maxUnavailable)
	}
	b.unavailableUntil = now + b.unavailableSpan
}

// setReplaced stops the use of the backend for maxUnavailable, because another instance answers at
// its address; the endpoint list is expected to drop it within that time.
func (b *Backend) setReplaced(now time.Duration) {
	b.mu.Lock()
	b.unavailableSpan, b.unavailableUntil = maxUnavailable, now+maxUnavailable
	b.mu.Unlock()
}

// update takes what the endpoint list and the state cache say.
func (b *Backend) update(now time.Duration, listed *rpc.Endpoint, state *rpc.EndpointState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed != nil {
		b.Draining = listed.Draining
		b.Slots = listed.Slots
	}
	if state != nil {
		b.health = state.Health
		b.ejected = state.EjectedFor == rpc.EjectedForAllZones ||
			state.EjectedFor != "" && state.EjectedFor == b.localZone
		if b.ejected {
			b.stats.addReportable(b)
		}
		b.warmUpUntil = 0
		if state.WarmupRemaining > 0 {
			b.warmUpUntil = now + state.WarmupRemaining
		}
		if state.Health == rpc.Healthy && b.unavailableUntil > now && b.unavailableSpan > minUnavailable {
			b.unavailableUntil = now
		}
	}
}

// observeLoad records the load that the backend reports of itself in a response.
func (b *Backend) observeLoad(now time.Duration, text string) {
	requests, valid := parseLoad(text)
	if !valid {
		return
	}
	b.mu.Lock()
	// The backend still counts the request that this response answers.
	b.load = reportedLoad{requests: max(0, requests-1), at: now}
	b.mu.Unlock()
}

// queuedRequests estimates how many requests the backend has: what it reported last plus what was
// sent to it since, and with the age of the report more and more what this node has in flight there
// times the nodes that use the backend. The caller holds the lock.
func (b *Backend) queuedRequests(now time.Duration, nodes int) (requests float64, reported bool) {
	own := float64(b.inFlight) * float64(nodes)
	age := now - b.load.at
	if b.load.at == 0 || age >= loadReportLifetime {
		return own, false
	}
	elapsed := float64(age) / float64(loadReportLifetime)
	return max(float64(b.inFlight), float64(b.load.requests+b.load.sentSince)*(1-elapsed)+own*elapsed), true
}

// startWarmUp begins a slow start, or prolongs it.
func (b *Backend) startWarmUp(now, left time.Duration) {
	b.mu.Lock()
	if now+left > b.warmUpUntil {
		b.warmUpUntil = now + left
	}
	b.mu.Unlock()
}
