package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"tinpin/internal/await"
)

const (
	// bandwidthShare of the link is for large responses; bandwidthChunk bytes are read at once, and
	// bandwidthBurst bytes may be read after a pause without a wait.
	bandwidthShare = 0.5
	bandwidthChunk = 8 << 10
	bandwidthBurst = 24 << 10
)

// BandwidthLimiter keeps large responses from filling a slow link. Streamed bodies are read no faster
// than bandwidthShare of the link, so that small responses are not delayed behind them; flow control of
// the backend's connection holds the rest back. All streamed responses of a node share one limiter, a
// token bucket of bytes.
type BandwidthLimiter struct {
	mu        sync.Mutex
	rate      float64
	available float64
	updatedAt time.Duration
	clock     Clock
}

// NewBandwidthLimiter limits to the share of a link of so many megabits a second; 0 is no limit.
func NewBandwidthLimiter(clock Clock, mbps float64) *BandwidthLimiter {
	return &BandwidthLimiter{rate: mbps * 1e6 / 8 * bandwidthShare, available: bandwidthBurst, clock: clock}
}

// reserve takes tokens for bytes that were read and tells how long to wait before the next are.
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

// Limit returns a reader that keeps to the limit while a lifetime lasts; a nil limiter has none.
func (l *BandwidthLimiter) Limit(ctx context.Context, from io.Reader) io.Reader {
	if l == nil || l.rate <= 0 {
		return from
	}
	return &limitedReader{ctx, l, from}
}

type limitedReader struct {
	ctx     context.Context
	limiter *BandwidthLimiter
	from    io.Reader
}

func (r *limitedReader) Read(into []byte) (size int, err error) {
	size, err = r.from.Read(into[:min(len(into), bandwidthChunk)])
	if wait := r.limiter.reserve(r.limiter.clock.Now(), size); wait > 0 {
		_ = await.Delay(r.ctx, wait)
	}
	return size, err
}
