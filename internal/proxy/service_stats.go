package proxy

import (
	"sync"
	"time"
)

const (
	// defaultMaxIdle is how long a connection may stay idle while none was found stale.
	defaultMaxIdle = time.Minute
	// A stale connection lowers the limit to maxIdleBackoff of the time that it was idle, but not
	// below minMaxIdle, until none was found stale for maxIdleMemory.
	minMaxIdle     = 40 * time.Millisecond
	maxIdleBackoff = 0.6
	maxIdleMemory  = 6 * time.Second
	// latencyWeight is the weight of one response in the mean latency, after the first warmUpSamples.
	latencyWeight = 0.05
	warmUpSamples = 20
	// baselineGrowth is the part by which the baseline latency may grow in a second.
	baselineGrowth = 0.02
	// baselineMargin corrects for the minimum of many moving averages being lower than their expected
	// value, by about the spread of one average.
	baselineMargin = 1.25
)

// ServiceStats holds what a node has observed of a service as a whole: how long its responses take, and
// how long a connection may stay idle before its backends close it without notice. A request that is
// sent on such a connection meets a reset; so connections expire before that age, and the limit is
// lifted again once none was found stale for a while.
type ServiceStats struct {
	mu sync.Mutex
	// good and bad count outcomes since they were reported.
	good, bad uint32
	// reportable are the backends whose outcomes may have to be reported.
	reportable map[*Backend]bool
	// meanLatency is a moving average in milliseconds, baselineLatency its recent minimum, as of
	// baselineAt.
	meanLatency     float64
	baselineLatency float64
	baselineAt      time.Duration
	samples         int
	// maxIdle is the limit until maxIdleUntil, 0 for none.
	maxIdle      time.Duration
	maxIdleUntil time.Duration
}

// countOutcome counts an outcome.
func (s *ServiceStats) countOutcome(good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if good {
		s.good++
	} else {
		s.bad++
	}
}

// addReportable adds a backend whose outcomes may have to be reported.
func (s *ServiceStats) addReportable(backend *Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportable == nil {
		s.reportable = map[*Backend]bool{}
	}
	s.reportable[backend] = true
}

// reportableBackends lists the backends whose outcomes may have to be reported.
func (s *ServiceStats) reportableBackends() (backends []*Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for backend := range s.reportable {
		backends = append(backends, backend)
	}
	return backends
}

// removeReportable undoes addReportable.
func (s *ServiceStats) removeReportable(backend *Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reportable, backend)
}

// takeCounts returns the counts since it was last called.
func (s *ServiceStats) takeCounts() (good, bad uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	good, bad = s.good, s.bad
	s.good, s.bad = 0, 0
	return good, bad
}

// ObserveLatency records how long one complete response took.
func (s *ServiceStats) ObserveLatency(now, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	milliseconds := float64(took) / float64(time.Millisecond)
	if s.meanLatency == 0 {
		s.meanLatency, s.baselineLatency, s.baselineAt = milliseconds, milliseconds, now
		return
	}
	if s.samples++; s.samples < warmUpSamples {
		s.meanLatency += (milliseconds - s.meanLatency) / float64(s.samples+1)
		s.baselineLatency, s.baselineAt = s.meanLatency, now
		return
	}
	s.meanLatency += (milliseconds - s.meanLatency) * latencyWeight
	s.baselineLatency = min(s.meanLatency, s.baselineLatency*(1+baselineGrowth*(now-s.baselineAt).Seconds()))
	s.baselineAt = now
}

// BaselineLatency is how many milliseconds a response took on average while the service was least
// loaded lately, or defaultLatency during the first warmUpSamples. It is the expected latency of a
// backend that was sent nothing for a while.
func (s *ServiceStats) BaselineLatency(defaultLatency float64) (latency float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples < warmUpSamples {
		return defaultLatency
	}
	return min(s.meanLatency, s.baselineLatency*baselineMargin)
}

// MeanLatency is how many milliseconds a response takes now.
func (s *ServiceStats) MeanLatency() (latency float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanLatency
}

// ObserveStaleConn records how long a connection had been idle that its backend had closed.
func (s *ServiceStats) ObserveStaleConn(now, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := max(minMaxIdle, time.Duration(float64(idle)*maxIdleBackoff))
	if now >= s.maxIdleUntil || limit < s.maxIdle {
		s.maxIdle = limit
	}
	s.maxIdleUntil = now + maxIdleMemory
}

// MaxIdle is how long a connection may stay idle now.
func (s *ServiceStats) MaxIdle(now time.Duration) (limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxIdle == 0 || now >= s.maxIdleUntil {
		return defaultMaxIdle
	}
	return s.maxIdle
}
