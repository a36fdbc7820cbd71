package proxy

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// Large responses together stay within their share of the link, and no byte of them is lost.
func TestBandwidthLimiterKeepsToItsShare(t *testing.T) {
	limiter := NewBandwidthLimiter(NewClock(), 8) // a megabyte a second
	now, taken := time.Second, 0
	for taken < 4<<20 {
		wait := limiter.reserve(now, bandwidthChunk)
		taken += bandwidthChunk
		now += wait
	}
	rate := float64(taken) / (now - time.Second).Seconds()
	if rate > 1.02e6*bandwidthShare || rate < 0.95e6*bandwidthShare {
		t.Errorf("%.0f bytes a second of a megabyte", rate)
	}
	if wait := limiter.reserve(now+time.Second, bandwidthBurst); wait > 0 {
		t.Errorf("an idle limiter delays by %s", wait)
	}
	text := bytes.Repeat([]byte("large answer "), 3000)
	got, err := io.ReadAll(NewBandwidthLimiter(NewClock(), 800).Limit(t.Context(), bytes.NewReader(text)))
	if err != nil || !bytes.Equal(got, text) {
		t.Errorf("%d of %d bytes, %v", len(got), len(text), err)
	}
	if (*BandwidthLimiter)(nil).Limit(t.Context(), nil) != nil {
		t.Error("without a limiter the response is read unchanged")
	}
}
