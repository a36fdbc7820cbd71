package proxy

import "time"

const (
	// minLeaderQueryTimeout is the time for a first query, maxLeaderQueryTimeout for the one after a query
	// that was not answered.
	minLeaderQueryTimeout = 200 * time.Millisecond
	maxLeaderQueryTimeout = 800 * time.Millisecond
)

// LeaderQueryTimeout is how long a controller may take to answer who leads. A dial to one that is gone is
// soon made anew, since it may be back; but one that is far away or pressed answers every query late, and
// with one short time-out it would be asked for ever. So the time is long once a query was not answered, and
// short again once one was. The zero value is ready.
type LeaderQueryTimeout struct{ duration time.Duration }

// Duration is how long the next query may take.
func (t *LeaderQueryTimeout) Duration() time.Duration {
	return max(minLeaderQueryTimeout, t.duration)
}

// NoAnswer notes that a query had no answer in time.
func (t *LeaderQueryTimeout) NoAnswer() { t.duration = maxLeaderQueryTimeout }

// Answered notes that a query was answered.
func (t *LeaderQueryTimeout) Answered() { t.duration = 0 }
