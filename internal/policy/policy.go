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

// ErrInvalid marks rejected documents. Operators see the text of the class.
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

// Kinds lists the documents.
var Kinds = []Kind{DrainPolicy, DayPlan, RetryLimit, SessionAffinity}

// Valid tells whether the kind is one of Kinds.
func (k Kind) Valid() bool { return slices.Contains(Kinds, k) }

// AllServices is the rule that holds where a service has none of its own.
const AllServices = "*"

// MaxNameLength is how many bytes a name in a document may have.
const MaxNameLength = 256

// Duration is a duration written as text, such as 1.5s.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	duration, err := time.ParseDuration(string(text))
	*d = Duration(duration)
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() (text []byte, err error) {
	return []byte(time.Duration(d).String()), nil
}

// Version orders the states of one document.
type Version uint64

// Document is one document as it is set; withdrawn ones have no body. Rev is the log
// index of its last change. The names of the fields are frozen: they are stored and
// sent with gob.
type Document struct {
	Kind    Kind
	Version Version
	Body    string
	Rev     uint64
}

// Active tells that the document is set and not withdrawn.
func (d Document) Active() bool { return d.Body != "" }

// Summary is the version, with a note where the document was withdrawn.
func (d Document) Summary() (summary string) {
	summary = strconv.FormatUint(uint64(d.Version), 10)
	if !d.Active() {
		summary += " withdrawn"
	}
	return summary
}

// Digest is the digest of the document's content, whatever its form of writing.
func (d Document) Digest() (content dedup.Digest) { return dedup.DigestJSON([]byte(d.Body)) }

// Next gives the document in force after next was set or withdrawn, and whether that
// changes anything. The error is a dedup.ErrConflict where next has the version in force
// with other content.
func (d Document) Next(next Document) (after Document, changed bool, err error) {
	switch {
	case next.Version == d.Version && next.Digest() == d.Digest():
		return d, false, nil
	case next.Version == d.Version:
		return d, false, dedup.ErrConflict.New("version %d is not above %d, which holds with other content",
			next.Version, d.Version)
	case next.Version < d.Version:
		return d, false, ErrInvalid.New("version %d is not above %d, which holds", next.Version, d.Version)
	}
	return next, true, nil
}

// ServiceRule is a rule for one service, or for AllServices.
type ServiceRule interface{ For() (service string) }

// RuleFor gives the rule of a service: its own, else the one for AllServices.
func RuleFor[Rule ServiceRule](rules []Rule, service string) (rule Rule, found bool) {
	for _, candidate := range rules {
		switch candidate.For() {
		case service:
			return candidate, true
		case AllServices:
			rule, found = candidate, true
		}
	}
	return rule, found
}

// CheckServices reports the services that rules name and that are not known.
func CheckServices[Rule ServiceRule](rules []Rule, known func(service string) bool) (err error) {
	faults := &ValidationErrors{}
	for i, rule := range rules {
		if service := rule.For(); service != AllServices && !known(service) {
			faults.Add("rules."+strconv.Itoa(i)+".service", "names unknown service "+strconv.Quote(service))
		}
	}
	return faults.Err()
}

// ValidationErrors collects the faults of a document.
type ValidationErrors struct{ lines []string }

// Add notes one fault, at the path of a field.
func (v *ValidationErrors) Add(path, why string) { v.lines = append(v.lines, path+" "+why) }

// CheckHeader checks a document's version and number of rules.
func (v *ValidationErrors) CheckHeader(version Version, rules, maxRules int) {
	if version == 0 {
		v.Add("version", "must be 1 or more")
	}
	if rules == 0 || rules > maxRules {
		v.Add("rules", "must hold from 1 to "+strconv.Itoa(maxRules)+" rules")
	}
}

// Err is one error that names every fault, or nil.
func (v *ValidationErrors) Err() (err error) {
	if len(v.lines) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(v.lines, "; "))
}

// CheckSyntax tells why a body is rejected whatever its kind: it is not JSON, not
// UTF-8, or has an object with a key twice.
func CheckSyntax(body []byte) (err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || !utf8.Valid(body) || fastjson.ValidateBytes(body) != nil {
		return ErrInvalid.New("the document is not JSON")
	}
	if key, duplicate := dedup.DuplicateKey(v); duplicate {
		return ErrInvalid.New("an object of the document holds %q twice", key)
	}
	return nil
}

// Decode reads a body. Unknown fields are errors, since a misspelt one would otherwise
// be taken for absent without notice.
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
