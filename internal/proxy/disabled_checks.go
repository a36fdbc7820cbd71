package proxy

// DisabledChecks is a set of safety checks of an attempt that are skipped. In production the set is empty;
// mutation tests disable one check at a time and must detect the effect.
type DisabledChecks uint8

// The checks that tests may leave out.
const (
	// TrustMissingID accepts a rejection without an id as proof on any connection, not only a fresh one.
	TrustMissingID DisabledChecks = 1 << iota
	// RetryAfterReset takes the reset of a connection that had been idle as proof that nothing has run.
	RetryAfterReset
	// AcceptAnyID accepts the first response that arrives, whatever its id.
	AcceptAnyID
	// AcceptFirstID accepts a response that carries two ids.
	AcceptFirstID
	// ReuseRejectingConn retries at a backend over the connection on which it rejected the request.
	ReuseRejectingConn
)

func (c DisabledChecks) has(check DisabledChecks) bool { return c&check != 0 }
