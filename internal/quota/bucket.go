package quota

import "time"

const (
	// A request without a token is asked to come back after minRetryAfter at least and
	// maxRetryAfter at most, or noRateRetryAfter if no tokens come at all.
	minRetryAfter    = 50 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
	noRateRetryAfter = 500 * time.Millisecond
)

// TokenBucket admits requests at one node under its part of a limit. A part that grows
// adds room but no tokens, so tokens never come from nowhere when parts move or a node
// restarts.
type TokenBucket struct {
	tokens    float64
	updatedAt time.Duration
	started   bool
	// recentRequests is about how many requests came in the last second.
	recentRequests float64
}

// elapsed moves the bucket's time on and gives the seconds since the last time.
func (b *TokenBucket) elapsed(now time.Duration) (seconds float64) {
	if !b.started {
		b.started, b.updatedAt = true, now
	}
	seconds = (now - b.updatedAt).Seconds()
	b.updatedAt = now
	return seconds
}

// Admit takes one token. If there is none it tells when to come back.
func (b *TokenBucket) Admit(
	now time.Duration, limit RateLimit, part float64,
) (admitted bool, retryAfter time.Duration) {
	elapsed := b.elapsed(now)
	rate := part * limit.Rate
	b.tokens = min(b.tokens+rate*elapsed, part*max(limit.Burst, 1))
	b.recentRequests = b.recentRequests*max(0, 1-elapsed) + 1
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if rate <= 0 {
		return false, noRateRetryAfter
	}
	retryAfter = time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return false, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

// Refill brings the tokens up to now. A node calls it as parts change, so that time
// under a small part is not counted at a larger one's rate.
func (b *TokenBucket) Refill(now time.Duration, limit RateLimit, part float64) {
	elapsed := b.elapsed(now)
	b.tokens = min(b.tokens+part*limit.Rate*elapsed, part*max(limit.Burst, 1))
	b.recentRequests *= max(0, 1-elapsed)
}

// Demand is about how many requests came in the last second.
func (b *TokenBucket) Demand() (rate float64) { return b.recentRequests }
