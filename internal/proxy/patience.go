// Patience is how long the question who leads may take. A core that is gone may
// not be waited for long; but a daemon whose link or processor is pressed hears
// every answer late, and with one short wait it would ask for ever. So the wait
// is long once nobody answered at all, for the stream to a core as for its answer,
// and short again once a leader is heard.
package proxy

import "time"

const (
	patienceLeast = 200 * time.Millisecond
	patienceMost  = 800 * time.Millisecond
)

// Patience with the cores.
type Patience struct{ wait time.Duration }

// Wait is how long the next question may take.
func (p *Patience) Wait() (wait time.Duration) { return max(patienceLeast, p.wait) }

// InVain notes that a question had no answer in time from any core.
func (p *Patience) InVain() { p.wait = patienceMost }

// Heard notes that a leader was heard.
func (p *Patience) Heard() { p.wait = 0 }
