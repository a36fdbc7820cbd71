// Lane keeps large answers from filling a thin link. What is passed on as it
// comes is read no faster than a part of the link, so that small answers find
// their way between; the backend's own stream holds the rest back. All large
// answers of a daemon share the one lane.
package proxy

import (
	"io"
	"sync"
	"time"
)

const (
	// bandwidthShare of the link is for large answers; laneChunk is read at once.
	bandwidthShare = 0.5
	bandwidthChunk = 8 << 10
	bandwidthBurst = 24 << 10
)

// BandwidthLimiter is a bucket of bytes that fills at a rate.
type BandwidthLimiter struct {
	mu        sync.Mutex
	rate      float64
	available float64
	updatedAt time.Duration
	clock     Clock
}

// NewBandwidthLimiter is a lane of a link of so many megabits a second; 0 is no bound.
func NewBandwidthLimiter(clock Clock, mbps float64) (lane *BandwidthLimiter) {
	return &BandwidthLimiter{rate: mbps * 1e6 / 8 * bandwidthShare, available: bandwidthBurst, clock: clock}
}

// reserve takes room for bytes and tells how long to wait before they are read.
func (l *BandwidthLimiter) reserve(now time.Duration, size int) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.available = min(bandwidthBurst, l.available+l.rate*(now-l.updatedAt).Seconds())
	l.updatedAt = now
	if l.available -= float64(size); l.available >= 0 {
		return 0
	}
	return time.Duration(-l.available / l.rate * float64(time.Second))
}

// Limit reads by way of the lane.
func (l *BandwidthLimiter) Limit(from io.Reader) (reader io.Reader) {
	if l == nil || l.rate <= 0 {
		return from
	}
	return &limitedReader{l, from}
}

type limitedReader struct {
	limiter *BandwidthLimiter
	from    io.Reader
}

func (r *limitedReader) Read(into []byte) (size int, err error) {
	size, err = r.from.Read(into[:min(len(into), bandwidthChunk)])
	if wait := r.limiter.reserve(r.limiter.clock.Now(), size); wait > 0 {
		time.Sleep(wait)
	}
	return size, err
}
