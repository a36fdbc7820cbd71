// A lapse is a check of a round that is left out. No daemon leaves one out: it
// is planted by tests, which must find what comes of it.
package proxy

// DisabledChecks is a set of checks that are left out.
type DisabledChecks uint8

// The checks that may be left out.
const (
	// TrustMissingID takes an answer without an id for proof on any stream.
	TrustMissingID DisabledChecks = 1 << iota
	// RetryAfterReset takes the reset of a stream that had rested for proof that
	// nothing has run.
	RetryAfterReset
	// AcceptAnyID takes the first answer that comes, whatever its id.
	AcceptAnyID
	// AcceptFirstID takes the first of two ids for the answer's.
	AcceptFirstID
	// ReuseRejectingConn asks a backend again over the stream that it refused on.
	ReuseRejectingConn
)

func (l DisabledChecks) has(lapse DisabledChecks) bool { return l&lapse != 0 }
