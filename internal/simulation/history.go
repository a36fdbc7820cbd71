package simulation

// A history is what callers asked and observed of one register: an item, a
// document, an evacuation or a key. It must be explained by some order of the
// calls, each carried out at one moment between its sending and its answer; a
// call without a clear answer may have been carried out at any time since, or
// never. A number that was confirmed for one content is confirmed for no other,
// what was taken is never refused, and a key has one run.

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Shape of a register.
type Shape uint8

// The shapes: with versions, on and off, and held by the first who asks.
const (
	Versioned Shape = iota
	Flag
	Key
)

type verb uint8

const (
	set verb = iota
	read
)

// outcome of a call, as the caller observed it.
type outcome uint8

const (
	unknown outcome = iota
	confirmed
	refused
)

// call is what was asked.
type call struct {
	verb    verb
	version uint64
	content string
}

// observation is what was answered.
type observation struct {
	outcome outcome
	version uint64
	content string
}

// operation is one call with its answer.
type operation struct {
	client     int
	call       call
	observed   observation
	from, upto time.Duration
}

// History of one register.
type History struct {
	shape      Shape
	name       string
	operations []*operation
	open       int
	writes     int
	next       uint64
}

// begin records a call; it is open until its answer is recorded.
func (h *History) begin(client int, call call, now time.Duration) (op *operation) {
	op = &operation{client: client, call: call, from: now, upto: math.MaxInt64}
	h.operations = append(h.operations, op)
	if call.verb == set {
		h.open++
		h.writes++
	}
	return op
}

// end records the answer.
func (h *History) end(op *operation, observed observation, now time.Duration) {
	if observed.outcome == unknown {
		return
	}
	if op.call.verb == set {
		h.open--
	}
	op.observed, op.upto = observed, now
}

// forget takes back a call that nobody took up.
func (h *History) forget(op *operation) {
	for i := len(h.operations) - 1; i >= 0; i-- {
		if h.operations[i] == op {
			h.operations = append(h.operations[:i], h.operations[i+1:]...)
			if op.call.verb == set {
				h.open--
			}
			return
		}
	}
}

// registerState is what holds in a register; taken lists what was taken under which version.
type registerState struct {
	version  uint64
	content  string
	accepted string
}

func (s registerState) contentOf(version uint64) (content string, known bool) {
	_, behind, known := strings.Cut(s.accepted, versionPrefix(version))
	content, _, _ = strings.Cut(behind, ";")
	return content, known
}

func versionPrefix(version uint64) (text string) { return fmt.Sprintf(";%06d=", version) }

// accept keeps what was accepted in the order of the versions, so that what holds is
// the same however it came about.
func (s registerState) accept(call call) (after registerState) {
	after = s
	at := 0
	for next := versionPrefix(call.version); at < len(s.accepted) && s.accepted[at:min(len(s.accepted), at+len(next))] < next; {
		if step := strings.Index(s.accepted[at+1:], ";"); step >= 0 {
			at += 1 + step
		} else {
			at = len(s.accepted)
		}
	}
	after.accepted = s.accepted[:at] + versionPrefix(call.version) + call.content + s.accepted[at:]
	if call.version > s.version {
		after.version, after.content = call.version, call.content
	}
	return after
}

// step carries one call out on what holds, and tells whether it may be answered so.
func (h Shape) step(now registerState, call call, observed observation) (right bool, after registerState) {
	if call.verb == read {
		return observed.outcome != confirmed || observed.version == now.version && observed.content == now.content, now
	}
	switch h {
	case Flag:
		if observed.outcome != refused {
			now.content = call.content
		}
		return observed.outcome != refused, now
	case Key:
		if observed.outcome == refused {
			return now.content != "" && now.content != call.content, now
		}
		if now.content == "" {
			now.content = call.content
		}
		return observed.outcome == unknown || now.content == call.content, now
	}
	content, known := now.contentOf(call.version)
	switch {
	case observed.outcome == refused:
		return known && content != call.content || !known && call.version < now.version, now
	case known:
		return observed.outcome == unknown || content == call.content, now
	case call.version > now.version || observed.outcome == confirmed:
		return true, now.accept(call)
	}
	return true, now
}

func (h Shape) model() (model porcupine.Model) {
	return porcupine.Model{
		Init: func() any { return registerState{} },
		Step: func(state, input, output any) (bool, any) {
			right, after := h.step(state.(registerState), input.(call), output.(observation))
			return right, after
		},
	}
}

// Check tells whether the history can be explained; sure is false where that
// was not found out in time.
func (h *History) Check(limit time.Duration) (right, sure bool) {
	var operations []porcupine.Operation
	for _, op := range h.operations {
		if op.call.verb == read && op.observed.outcome != confirmed {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: op.client, Input: op.call, Output: op.observed, Call: int64(op.from), Return: int64(op.upto),
		})
	}
	switch porcupine.CheckOperationsTimeout(h.shape.model(), operations, limit) {
	case porcupine.Ok:
		return true, true
	case porcupine.Illegal:
		return false, true
	}
	return true, false
}

// Text writes the history out, one call a line.
func (h *History) Text() (lines []string) {
	for _, op := range h.operations {
		what := fmt.Sprintf("set %d to %q", op.call.version, op.call.content)
		if op.call.verb == read {
			what = "read"
		}
		answer := "open"
		switch op.observed.outcome {
		case confirmed:
			answer = "confirmed"
			if op.call.verb == read {
				answer = fmt.Sprintf("%d is %q", op.observed.version, op.observed.content)
			}
		case refused:
			answer = "refused"
		}
		upto := "end"
		if op.upto != math.MaxInt64 {
			upto = op.upto.String()
		}
		lines = append(lines, fmt.Sprintf("%s..%s caller %d: %s: %s", op.from, upto, op.client, what, answer))
	}
	return lines
}
