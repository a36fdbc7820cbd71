package faulttest

// Trouble is what a stand-in does with one request. Some of it can only be
// brought about on a stream that has carried a request before, some only on a
// fresh one; some answers without a run, some runs without an answer.

// Trouble of one request.
type Trouble uint8

// The troubles.
const (
	None Trouble = iota
	ResetBefore
	ResetWithin
	RefusedWithin
	ResetAfter
	ResetAfterRun
	ClosedAfterRun
	SilentUnrun
	SilentRun
	Late
	Slow
	Garbled
	CutShort
	ResetBehind
	Doubled
	DoubledBefore
	NamelessBehind
	Nameless421Before
	NamelessNotRunBefore
	NamelessSuccessBefore
	Nameless421
	AnothersBefore
	LongerIDBefore
	TwoIDs
	TwoLengths
	NoStatus
	Interim
	RunNotRun
	Turned
	TurnedElsewhere
	TurnedTwice
	OwnError
	OwnBusy
	troubles
)

// where a trouble can be brought about.
type where uint8

const (
	anywhere where = iota
	// onRested streams only, in the place of the answer that is awaited next.
	onRested
	onFresh
	// onBody: only for a request with a body.
	onBody
)

// way of bringing it about: how often among a thousand requests that it fits.
type way struct {
	name  string
	often int
	where where
}

var ways = [troubles]way{
	None:                  {"none", 0, anywhere},
	ResetBefore:           {"reset before the request", 12, onRested},
	ResetWithin:           {"reset within the request", 12, onBody},
	RefusedWithin:         {"refused and reset within the request", 12, onBody},
	ResetAfter:            {"reset after the request, not run", 8, anywhere},
	ResetAfterRun:         {"reset after the request, run", 16, anywhere},
	ClosedAfterRun:        {"closed after the request, run", 8, anywhere},
	SilentUnrun:           {"silent, not run", 1, anywhere},
	SilentRun:             {"silent, run", 1, anywhere},
	Late:                  {"late", 1, anywhere},
	Slow:                  {"slow", 10, anywhere},
	Garbled:               {"garbled", 8, anywhere},
	CutShort:              {"cut short", 8, anywhere},
	ResetBehind:           {"reset behind the answer", 8, anywhere},
	Doubled:               {"answered twice", 12, anywhere},
	DoubledBefore:         {"the last answer again, then its own", 15, onRested},
	NamelessBehind:        {"421 without an id behind the answer", 12, anywhere},
	Nameless421Before:     {"421 without an id, then its own", 15, onRested},
	NamelessNotRunBefore:  {"not run without an id, then its own", 15, onRested},
	NamelessSuccessBefore: {"a success without an id, then its own", 12, onRested},
	Nameless421:           {"421 without an id, not run", 20, onFresh},
	AnothersBefore:        {"an unknown id's answer, then its own", 12, anywhere},
	LongerIDBefore:        {"an id of another length, then its own", 8, anywhere},
	TwoIDs:                {"two ids", 8, anywhere},
	TwoLengths:            {"two lengths", 8, anywhere},
	NoStatus:              {"a status that is no number", 8, anywhere},
	Interim:               {"100, then its own", 8, anywhere},
	RunNotRun:             {"a success that says not run", 8, anywhere},
	Turned:                {"turned away", 25, anywhere},
	TurnedElsewhere:       {"turned away by 421", 4, anywhere},
	TurnedTwice:           {"turned away twice", 12, anywhere},
	OwnError:              {"its own failure", 8, anywhere},
	OwnBusy:               {"503 without a word, run", 8, anywhere},
}

// draw picks a trouble, with a number below a thousand, for a request.
func draw(at int, rested, body bool) (trouble Trouble) {
	for trouble, way := range ways {
		fits := way.where == anywhere || way.where == onRested && rested || way.where == onFresh && !rested || way.where == onBody && body
		if !fits {
			continue
		}
		if at -= way.often; at < 0 {
			return Trouble(trouble)
		}
	}
	return None
}
