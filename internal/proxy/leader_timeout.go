// Patience is how long the question who leads may take. A core that is gone may
// not be waited for long; but a daemon whose link or processor is pressed hears
// every answer late, and with one short wait it would ask for ever. So the wait
// is long once nobody answered at all, for the stream to a core as for its answer,
// and short again once a leader is heard.
package proxy

import "time"

const (
	minLeaderQueryTimeout = 200 * time.Millisecond
	maxLeaderQueryTimeout = 800 * time.Millisecond
)

// LeaderQueryTimeout with the cores.
type LeaderQueryTimeout struct{ duration time.Duration }

// Duration is how long the next question may take.
func (p *LeaderQueryTimeout) Duration() (wait time.Duration) {
	return max(minLeaderQueryTimeout, p.duration)
}

// NoAnswer notes that a question had no answer in time from any core.
func (p *LeaderQueryTimeout) NoAnswer() { p.duration = maxLeaderQueryTimeout }

// LeaderHeard notes that a leader was heard.
func (p *LeaderQueryTimeout) LeaderHeard() { p.duration = 0 }
