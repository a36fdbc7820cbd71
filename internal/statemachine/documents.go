package statemachine

import (
	"encoding/json"

	"tinpin/internal/affinity"
	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/drain"
	"tinpin/internal/policy"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

// CheckDocument checks a document, or its withdrawal where it has no body, without
// applying it. It gives the document that would be in force, and whether the same one
// was accepted before; the error is why it is rejected.
func (s *State) CheckDocument(next policy.Document) (after policy.Document, accepted bool, err error) {
	if next.Body != "" {
		var head struct{ Version policy.Version }
		if json.Unmarshal([]byte(next.Body), &head) == nil {
			next.Version = head.Version
		}
	}
	current := s.Documents[next.Kind]
	if current.Version == next.Version && current.Digest() == next.Digest() {
		return current, true, nil
	}
	if content, known := s.Accepted.Lookup(documentKey(next.Kind, next.Version)); known {
		if content == next.Digest() {
			return current, true, nil
		}
		return after, false, dedup.ErrConflict.New("version %d of %s is not above %s: it came with other content",
			next.Version, next.Kind, current.Summary())
	}
	if next.Body != "" {
		if next, err = ParseDocument(next.Kind, []byte(next.Body), s.Config); err != nil {
			return after, false, err
		}
	}
	after, changed, err := current.Next(next)
	return after, err == nil && !changed, err
}

// ParseDocument reads a document and checks it against the services that exist.
func ParseDocument(kind policy.Kind, body []byte, items *config.Store) (document policy.Document, err error) {
	known := func(service string) bool { return items.Exists(config.Services, service) }
	document = policy.Document{Kind: kind, Body: string(body)}
	switch kind {
	case policy.DrainPolicy:
		var parsed *drain.Policy
		if parsed, err = drain.Parse(body); err == nil {
			document.Version, err = parsed.Version, parsed.CheckServices(known)
		}
	case policy.DayPlan:
		var parsed *schedule.Plan
		if parsed, err = schedule.Parse(body); err == nil {
			// Which regions exist is not part of the replicated state.
			anyRegion := func(rpc.RegionName) bool { return true }
			document.Version, err = parsed.Version, parsed.Check(known, anyRegion)
		}
	case policy.SessionAffinity:
		var parsed *affinity.Policy
		if parsed, err = affinity.Parse(body); err == nil {
			document.Version, err = parsed.Version, parsed.CheckServices(known)
		}
	case policy.RetryLimit:
		var parsed *retry.Policy
		if parsed, err = retry.Parse(body); err == nil {
			document.Version, err = parsed.Version, parsed.CheckServices(known)
		}
	default:
		err = policy.ErrInvalid.New("unknown kind of document %q", kind)
	}
	return document, err
}

// applyDocument sets or withdraws a document. The version before is remembered as
// accepted.
func (s *State) applyDocument(index uint64, command Command) (result Result) {
	next := policy.Document{
		Kind:    policy.Kind(command.Subject),
		Version: policy.Version(command.Number),
		Body:    string(command.Body),
	}
	after, accepted, err := s.CheckDocument(next)
	if err != nil {
		return rejected(err)
	}
	if accepted {
		return granted()
	}
	if before := s.Documents[next.Kind]; before.Version > 0 {
		s.Accepted.Remember(documentKey(before.Kind, before.Version), before.Digest())
	}
	after.Rev = index
	s.Documents[next.Kind], s.Revision = after, index
	if next.Kind == policy.DayPlan && !after.Active() {
		// The count and its time remain, so that no later step goes back.
		s.ScheduleStep.Targets, s.ScheduleStep.Rev = nil, index
	}
	return granted()
}
