package faulttest

// A fault is what a stand-in does with one request. Some can only be injected on a connection
// that has carried a request before, some only on a fresh one; some respond without a run,
// some run without a response. The order of the faults is that in which seeds draw them.

// Fault of one request.
type Fault uint8

// The faults.
const (
	None Fault = iota
	ResetBefore
	ResetWithin
	RefusedWithin
	ResetAfter
	ResetAfterRun
	ClosedAfterRun
	TimeoutNotRun
	TimeoutRun
	Late
	Slow
	Garbled
	CutShort
	ResetBehind
	Duplicated
	DuplicateBefore
	WithoutIDBehind
	WithoutID421Before
	WithoutIDNotRunBefore
	WithoutIDSuccessBefore
	WithoutID421
	UnknownIDBefore
	LongerIDBefore
	TwoIDs
	TwoLengths
	NoStatus
	Interim
	RunNotRun
	Rejected
	RejectedMisdirected
	RejectedTwice
	BackendError
	BackendBusy
	BlankInName
	BlankBehindLength
	FoldedLength
	HeadEndsEarly
	Status000
	TwoFramings
	MalformedTrailer
	MalformedNotRun
	faultCount
)

// connectionState says on which connections a fault can be injected.
type connectionState uint8

const (
	anyConnection connectionState = iota
	// onReused: only on a connection that carried a request, before the awaited response.
	onReused
	onFresh
	// onBody: only for a request with a body.
	onBody
)

// faultSpec says how often a fault is drawn among a thousand requests to which it applies.
type faultSpec struct {
	name        string
	perThousand int
	where       connectionState
}

var faultSpecs = [faultCount]faultSpec{
	None:                   {"none", 0, anyConnection},
	ResetBefore:            {"reset before the request", 12, onReused},
	ResetWithin:            {"reset within the request", 12, onBody},
	RefusedWithin:          {"refused and reset within the request", 12, onBody},
	ResetAfter:             {"reset after the request, not run", 8, anyConnection},
	ResetAfterRun:          {"reset after the request, run", 16, anyConnection},
	ClosedAfterRun:         {"closed after the request, run", 8, anyConnection},
	TimeoutNotRun:          {"silent, not run", 1, anyConnection},
	TimeoutRun:             {"silent, run", 1, anyConnection},
	Late:                   {"late", 1, anyConnection},
	Slow:                   {"slow", 10, anyConnection},
	Garbled:                {"garbled", 8, anyConnection},
	CutShort:               {"cut short", 8, anyConnection},
	ResetBehind:            {"reset behind the answer", 8, anyConnection},
	Duplicated:             {"answered twice", 12, anyConnection},
	DuplicateBefore:        {"the last answer again, then its own", 15, onReused},
	WithoutIDBehind:        {"421 without an id behind the answer", 12, anyConnection},
	WithoutID421Before:     {"421 without an id, then its own", 15, onReused},
	WithoutIDNotRunBefore:  {"not run without an id, then its own", 15, onReused},
	WithoutIDSuccessBefore: {"a success without an id, then its own", 12, onReused},
	WithoutID421:           {"421 without an id, not run", 20, onFresh},
	UnknownIDBefore:        {"an unknown id's answer, then its own", 12, anyConnection},
	LongerIDBefore:         {"an id of another length, then its own", 8, anyConnection},
	TwoIDs:                 {"two ids", 8, anyConnection},
	TwoLengths:             {"two lengths", 8, anyConnection},
	NoStatus:               {"a status that is no number", 8, anyConnection},
	Interim:                {"100, then its own", 8, anyConnection},
	RunNotRun:              {"a success that says not run", 8, anyConnection},
	Rejected:               {"rejected", 25, anyConnection},
	RejectedMisdirected:    {"rejected by 421", 4, anyConnection},
	RejectedTwice:          {"rejected twice", 12, anyConnection},
	BackendError:           {"backend failure", 8, anyConnection},
	BackendBusy:            {"503 without a word, run", 8, anyConnection},
	BlankInName:            {"a blank in a name", 8, anyConnection},
	BlankBehindLength:      {"a blank behind the name of the length", 8, anyConnection},
	FoldedLength:           {"a tab before the name of the length", 8, anyConnection},
	HeadEndsEarly:          {"an empty line of LF in the head", 8, anyConnection},
	Status000:              {"status 000", 8, anyConnection},
	TwoFramings:            {"a length and chunks", 8, anyConnection},
	MalformedTrailer:       {"a blank in a name of the trailer", 8, anyConnection},
	MalformedNotRun:        {"not run, a blank in a name, run", 8, anyConnection},
}

// draw picks a fault for a request; at is a random number below a thousand.
func draw(at int, reused, body bool) (fault Fault) {
	for fault, spec := range faultSpecs {
		fits := spec.where == anyConnection || spec.where == onReused && reused ||
			spec.where == onFresh && !reused || spec.where == onBody && body
		if !fits {
			continue
		}
		if at -= spec.perThousand; at < 0 {
			return Fault(fault)
		}
	}
	return None
}
