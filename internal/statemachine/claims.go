package statemachine

import "time"

// Claim tells which node holds an operation key and for which request. Incarnation
// is the start of the node that claimed it.
type Claim struct {
	Key         string
	Request     string
	Holder      string
	Incarnation uint64
}

// appliedClaim is a claim in the state. appliedAt is on the steady clock of this
// controller and no part of the agreed state.
type appliedClaim struct {
	Claim
	sequence  uint64
	appliedAt time.Duration
}

// claimTable holds the claims by key, and in the order of their sequence numbers.
// A claim that was released stays in the order until those before it expire.
type claimTable struct {
	byKey map[string]*appliedClaim
	order []*appliedClaim
}

func (t *claimTable) add(claim *appliedClaim) {
	t.byKey[claim.Key] = claim
	t.order = append(t.order, claim)
}

// ClaimCount counts the keys held.
func (s *State) ClaimCount() int { return len(s.claims.byKey) }

// ClaimOf looks a key up.
func (s *State) ClaimOf(key string) (claim Claim, held bool) {
	found, held := s.claims.byKey[key]
	if !held {
		return claim, false
	}
	return found.Claim, true
}

// applyClaim grants a key to the first claim of it, and to that one again.
func (s *State) applyClaim(command Command, now time.Duration) (result Result) {
	if held, known := s.claims.byKey[command.Key]; known {
		return Result{Held: held.Claim, Granted: held.Claim == command.Claim}
	}
	s.sequence++
	s.claims.add(&appliedClaim{Claim: command.Claim, sequence: s.sequence, appliedAt: now})
	return granted()
}

func (s *State) applyReleaseClaim(command Command) (result Result) {
	if held, known := s.claims.byKey[command.Key]; known && held.Claim == command.Claim {
		delete(s.claims.byKey, command.Key)
	}
	return granted()
}

func (s *State) applyExpireClaims(command Command) (result Result) {
	order, expired := s.claims.order, 0
	for expired < len(order) && order[expired].sequence <= command.Number {
		if claim := order[expired]; s.claims.byKey[claim.Key] == claim {
			delete(s.claims.byKey, claim.Key)
		}
		expired++
	}
	s.claims.order = append([]*appliedClaim(nil), order[expired:]...)
	return granted()
}

// ExpiredClaims gives the sequence number up to which claims are older than window,
// 0 for none.
func (s *State) ExpiredClaims(now, window time.Duration) (upTo uint64) {
	for _, claim := range s.claims.order {
		if now-claim.appliedAt <= window {
			break
		}
		upTo = claim.sequence
	}
	return upTo
}
