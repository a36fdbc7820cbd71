// Package policy holds what the operator's documents (the drain policy, the day's
// plan, the limit on retries, session affinity) have in common: each is one document
// with a version, agreed on by the controllers, set whole or not at all. The highest
// version holds; the same content under it changes nothing; an older version, or
// other content under the version that holds, is rejected. All that is wrong with a
// document is reported in one error. What a document means is known to its own package.
// Functions keep no state.
package policy

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"
	"github.com/zeebo/errs"

	"tinpin/internal/dedup"
)

// ErrInvalid marks refused orders.
var ErrInvalid = errs.Class("order")

// Kind names one document.
type Kind string

// The documents.
const (
	DrainPolicy     Kind = "drain-policy"
	DayPlan         Kind = "day-plan"
	RetryLimit      Kind = "retry-limit"
	SessionAffinity Kind = "session-affinity"
)

// Kinds lists them.
var Kinds = []Kind{DrainPolicy, DayPlan, RetryLimit, SessionAffinity}

// Valid tells whether there is such a document.
func (k Kind) Valid() bool { return slices.Contains(Kinds, k) }

// AllServices is the rule that holds where a service has none of its own.
const AllServices = "*"

// MaxNameLength is how long a name in a document may be.
const MaxNameLength = 256

// Duration is a time written as text.
type Duration time.Duration

// UnmarshalText reads it.
func (s *Duration) UnmarshalText(text []byte) (err error) {
	span, err := time.ParseDuration(string(text))
	*s = Duration(span)
	return err
}

// MarshalText writes it.
func (s Duration) MarshalText() (text []byte, err error) {
	return []byte(time.Duration(s).String()), nil
}

// Version orders the states of one document.
type Version uint64

// Document is one as it stands; withdrawn ones have no body.
type Document struct {
	Kind    Kind
	Version Version
	Body    string
	Rev     uint64
}

// Active tells that the document is set and not withdrawn.
func (d Document) Active() bool { return d.Body != "" }

// Summary is the version, with a mark where it was withdrawn.
func (d Document) Summary() (stamp string) {
	stamp = strconv.FormatUint(uint64(d.Version), 10)
	if !d.Active() {
		stamp += " withdrawn"
	}
	return stamp
}

// Digest is a digest of what the document says, however it is written.
func (d Document) Digest() (content dedup.Digest) { return dedup.DigestJSON([]byte(d.Body)) }

// Next gives what stands after a call that sets or withdraws, and whether that
// changes anything.
func (d Document) Next(next Document) (after Document, changed bool, err error) {
	switch {
	case next.Version == d.Version && next.Digest() == d.Digest():
		return d, false, nil
	case next.Version == d.Version:
		return d, false, dedup.ErrConflict.New("version %d is not above %d, which holds with other content", next.Version, d.Version)
	case next.Version < d.Version:
		return d, false, ErrInvalid.New("version %d is not above %d, which holds", next.Version, d.Version)
	}
	return next, true, nil
}

// ServiceRule is a rule for one service, or for all others.
type ServiceRule interface{ For() (service string) }

// RuleFor gives the rule of a service: its own, else that of all.
func RuleFor[Rule ServiceRule](rules []Rule, service string) (rule Rule, ruled bool) {
	for _, candidate := range rules {
		switch candidate.For() {
		case service:
			return candidate, true
		case AllServices:
			rule, ruled = candidate, true
		}
	}
	return rule, ruled
}

// CheckServices tells which services rules name that are not known.
func CheckServices[Rule ServiceRule](rules []Rule, known func(service string) bool) (err error) {
	faults := &ValidationErrors{}
	for i, rule := range rules {
		if service := rule.For(); service != AllServices && !known(service) {
			faults.Add("rules."+strconv.Itoa(i)+".service", "names unknown service "+strconv.Quote(service))
		}
	}
	return faults.Err()
}

// ValidationErrors gathers what is wrong with a document.
type ValidationErrors struct{ lines []string }

// Add notes one fault.
func (f *ValidationErrors) Add(where, why string) { f.lines = append(f.lines, where+" "+why) }

// CheckHeader notes what is wrong with a document's version and number of rules.
func (f *ValidationErrors) CheckHeader(version Version, rules, most int) {
	if version == 0 {
		f.Add("version", "must be 1 or more")
	}
	if rules == 0 || rules > most {
		f.Add("rules", "must hold from 1 to "+strconv.Itoa(most)+" rules")
	}
}

// Err is one error that names every fault, or nil.
func (f *ValidationErrors) Err() (err error) {
	if len(f.lines) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(f.lines, "; "))
}

// CheckSyntax tells why a body is not to be let in, however it would be read.
func CheckSyntax(body []byte) (err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || !utf8.Valid(body) || fastjson.ValidateBytes(body) != nil {
		return ErrInvalid.New("the document is not JSON")
	}
	if key, twice := dedup.DuplicateKey(v); twice {
		return ErrInvalid.New("an object of the document holds %q twice", key)
	}
	return nil
}

// Decode reads a body and its version; unknown fields are faults, since a
// misspelt one would otherwise be obeyed in its absence.
func Decode(body []byte, into any) (err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || v.Type() != fastjson.TypeObject {
		return ErrInvalid.New("the document must be a JSON object")
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(into); err != nil {
		return ErrInvalid.New("the document cannot be read: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}
