// Habit is what a daemon knows of a service as a whole: how long its answers
// take when it is calm, and how long a stream to it may rest before its backends have
// been seen to forget it. A backend that forgets says nothing; whatever goes
// out next on the stream is reset. So streams are retired before that age, and
// the age is tried longer again once nothing was forgotten for a while.
package proxy

import (
	"sync"
	"time"
)

const (
	defaultMaxIdle = time.Minute
	minMaxIdle     = 40 * time.Millisecond
	maxIdleBackoff = 0.6
	maxIdleMemory  = 6 * time.Second
	latencyWeight  = 0.05
	// baselineGrowth is the part by which the calm time may grow in a second.
	baselineGrowth = 0.02
	baselineMargin = 1.25
	warmUpSamples  = 20
)

// ServiceStats of one service.
type ServiceStats struct {
	good, bad uint32
	mu        sync.Mutex
	// reportable are the backends of which there may be something to tell.
	reportable      map[*Backend]bool
	meanLatency     float64
	baselineLatency float64
	samples         int
	baselineAt      time.Duration
	maxIdle         time.Duration
	maxIdleUntil    time.Duration
}

// countOutcome notes an outcome.
func (h *ServiceStats) countOutcome(good bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if good {
		h.good++
	} else {
		h.bad++
	}
}

// markReportable notes that there may be something to tell of a backend.
func (h *ServiceStats) markReportable(server *Backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reportable == nil {
		h.reportable = map[*Backend]bool{}
	}
	h.reportable[server] = true
}

// reportableBackends lists them.
func (h *ServiceStats) reportableBackends() (servers []*Backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for server := range h.reportable {
		servers = append(servers, server)
	}
	return servers
}

// clearReportable forgets one that has nothing to tell any more.
func (h *ServiceStats) clearReportable(server *Backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reportable, server)
}

// takeCounts gives the sums since it was last asked.
func (h *ServiceStats) takeCounts() (good, bad uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	good, bad = h.good, h.bad
	h.good, h.bad = 0, 0
	return good, bad
}

// ObserveLatency learns from one whole answer.
func (h *ServiceStats) ObserveLatency(now, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spent := float64(took) / float64(time.Millisecond)
	if h.meanLatency == 0 {
		h.meanLatency, h.baselineLatency, h.baselineAt = spent, spent, now
		return
	}
	if h.samples++; h.samples < warmUpSamples {
		h.meanLatency += (spent - h.meanLatency) / float64(h.samples+1)
		h.baselineLatency, h.baselineAt = h.meanLatency, now
		return
	}
	h.meanLatency += (spent - h.meanLatency) * latencyWeight
	h.baselineLatency = min(h.meanLatency, h.baselineLatency*(1+baselineGrowth*(now-h.baselineAt).Seconds()))
	h.baselineAt = now
}

// BaselineLatency is how many milliseconds an answer took on average while the service
// was least pressed lately, where nothing is known yet the given. It is what
// may be expected of a backend that was not asked for a while.
func (h *ServiceStats) BaselineLatency(unknown float64) (calm float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.samples < warmUpSamples {
		return unknown
	}
	// The least of many means is too little by about the spread of a mean.
	return min(h.meanLatency, h.baselineLatency*baselineMargin)
}

// MeanLatency is how many milliseconds an answer takes now.
func (h *ServiceStats) MeanLatency() (usual float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.meanLatency
}

// ObserveStaleConn learns that a stream that had rested so long was forgotten.
func (h *ServiceStats) ObserveStaleConn(now, rested time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rest := max(minMaxIdle, time.Duration(float64(rested)*maxIdleBackoff))
	if now >= h.maxIdleUntil || rest < h.maxIdle {
		h.maxIdle = rest
	}
	h.maxIdleUntil = now + maxIdleMemory
}

// MaxIdle is how long a stream may rest now.
func (h *ServiceStats) MaxIdle(now time.Duration) (rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.maxIdle == 0 || now >= h.maxIdleUntil {
		return defaultMaxIdle
	}
	return h.maxIdle
}
