// A lapse is a check of a round that is left out. No daemon leaves one out: it
// is planted by tests, which must find what comes of it.
package proxy

// Lapse is a set of checks that are left out.
type Lapse uint8

// The checks that may be left out.
const (
	// TrustNameless takes an answer without an id for proof on any stream.
	TrustNameless Lapse = 1 << iota
	// RepeatReset takes the reset of a stream that had rested for proof that
	// nothing has run.
	RepeatReset
	// TakeSurplus takes the first answer that comes, whatever its id.
	TakeSurplus
	// FirstID takes the first of two ids for the answer's.
	FirstID
	// SameStream asks a backend again over the stream that it refused on.
	SameStream
)

func (l Lapse) has(lapse Lapse) bool { return l&lapse != 0 }
