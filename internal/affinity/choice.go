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

// Choose picks where a new session begins, empty where there is no candidate, by a
// weighted rendezvous hash. Every node that sees the same candidates chooses
// alike, whichever nodes there are and whatever it has in flight itself; one more
// backend takes only its share of new sessions. Where two nodes see different
// backends and choose differently, the first binding decides.
func Choose(session rpc.SessionID, candidates []Candidate) (chosen rpc.EndpointID) {
	best := math.Inf(-1)
	for _, candidate := range candidates {
		// The hash as a number above 0 and below 1.
		hash := (float64(healthcheck.Rank(string(candidate.ID), string(session))>>11) + 0.5) / (1 << 53)
		score := float64(max(1, candidate.Weight)) / -math.Log(hash)
		if score > best || score == best && candidate.ID < chosen {
			best, chosen = score, candidate.ID
		}
	}
	return chosen
}
