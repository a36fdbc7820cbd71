// Choice is where a new session begins: a weighted rendezvous hash of the
// session and the backends that are of use. Every node that sees the same
// backends chooses alike, whichever nodes there are and whatever it has at work
// itself; a backend more takes only its share of new sessions. Where two nodes
// see different backends and choose differently, the first to bind decides.
package affinity

import (
	"math"

	"tinpin/internal/healthcheck"
	"tinpin/internal/rpc"
)

// Candidate is a backend that a session may begin on, weighted by its slots.
type Candidate struct {
	ID     rpc.EndpointID
	Weight int
}

// Choose picks one, or none where there is none.
func Choose(session rpc.SessionID, candidates []Candidate) (chosen rpc.EndpointID) {
	best := math.Inf(-1)
	for _, candidate := range candidates {
		// The hash as a number above 0 and below 1.
		at := (float64(healthcheck.Rank(string(candidate.ID), string(session))>>11) + 0.5) / (1 << 53)
		score := float64(max(1, candidate.Weight)) / -math.Log(at)
		if score > best || score == best && candidate.ID < chosen {
			best, chosen = score, candidate.ID
		}
	}
	return chosen
}
