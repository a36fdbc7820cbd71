package proxy

// DisabledChecks is a set of checks of an attempt that are left out. No node leaves one out: mutation tests
// do, and must find what comes of it.
type DisabledChecks uint8

// The checks that tests may leave out.
const (
	// TrustMissingID takes a response without an id for proof on any connection.
	TrustMissingID DisabledChecks = 1 << iota
	// RetryAfterReset takes the reset of a connection that had been idle for proof that nothing has run.
	RetryAfterReset
	// AcceptAnyID takes the first response that comes, whatever its id.
	AcceptAnyID
	// AcceptFirstID takes the first of two ids for the response's.
	AcceptFirstID
	// ReuseRejectingConn asks a backend again over the connection that it rejected on.
	ReuseRejectingConn
)

func (c DisabledChecks) has(check DisabledChecks) bool { return c&check != 0 }
