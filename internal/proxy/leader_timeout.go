package proxy

import "time"

const (
	// minLeaderQueryTimeout is the time for the first queries, maxLeaderQueryTimeout for those after one
	// that nobody answered.
	minLeaderQueryTimeout = 200 * time.Millisecond
	maxLeaderQueryTimeout = 800 * time.Millisecond
)

// LeaderQueryTimeout is how long the query who leads may take. A controller that is gone may not be waited
// for long; but a node whose link or processor is pressed receives every answer late, and with one short
// time-out it would query for ever. So the time is long once nobody answered at all, and short again once
// a leader answered.
type LeaderQueryTimeout struct{ duration time.Duration }

// Duration is how long the next query may take.
func (t *LeaderQueryTimeout) Duration() time.Duration {
	return max(minLeaderQueryTimeout, t.duration)
}

// NoAnswer notes that a query had no answer in time from any controller.
func (t *LeaderQueryTimeout) NoAnswer() { t.duration = maxLeaderQueryTimeout }

// LeaderHeard notes that a leader answered.
func (t *LeaderQueryTimeout) LeaderHeard() { t.duration = 0 }
