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
	// lanePart of the link is for large answers; laneChunk is read at once.
	lanePart  = 0.5
	laneChunk = 8 << 10
	laneBurst = 24 << 10
)

// Lane is a bucket of bytes that fills at a rate.
type Lane struct {
	mu    sync.Mutex
	rate  float64
	free  float64
	at    time.Duration
	clock Clock
}

// NewLane is a lane of a link of so many megabits a second; 0 is no bound.
func NewLane(clock Clock, mbps float64) (lane *Lane) {
	return &Lane{rate: mbps * 1e6 / 8 * lanePart, free: laneBurst, clock: clock}
}

// take takes room for bytes and tells how long to wait before they are read.
func (l *Lane) take(now time.Duration, size int) (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = min(laneBurst, l.free+l.rate*(now-l.at).Seconds())
	l.at = now
	if l.free -= float64(size); l.free >= 0 {
		return 0
	}
	return time.Duration(-l.free / l.rate * float64(time.Second))
}

// Through reads by way of the lane.
func (l *Lane) Through(from io.Reader) (reader io.Reader) {
	if l == nil || l.rate <= 0 {
		return from
	}
	return &laneReader{l, from}
}

type laneReader struct {
	lane *Lane
	from io.Reader
}

func (r *laneReader) Read(into []byte) (size int, err error) {
	size, err = r.from.Read(into[:min(len(into), laneChunk)])
	if wait := r.lane.take(r.lane.clock.Now(), size); wait > 0 {
		time.Sleep(wait)
	}
	return size, err
}
