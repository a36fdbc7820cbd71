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

// Orders that are no configurations: documents, their withdrawal, and retiring.
// What was taken is remembered under its number, so that the same order, sent
// again after others, is confirmed and changes nothing, whatever stands by then.

// ordersMost is how many orders that were taken are remembered.
const ordersMost = 4096

func refusal(err error) (result Result) {
	return Result{Problem: err.Error(), Conflict: dedup.ErrConflict.Has(err)}
}

func documentNumber(kind policy.Kind, version policy.Version) (number dedup.Key) {
	return dedup.Key{Kind: "document", Name: string(kind), Version: uint64(version)}
}

func retireNumber(id rpc.EndpointID) (number dedup.Key) {
	return dedup.Key{Kind: "retire", Name: string(id)}
}

// namedOrder tells that a command is an order without a version, and that its
// operator gave it a name of its own, the key.
func (c Command) namedOrder() (named bool) {
	switch c.Kind {
	case CommandStartEvacuation, CommandEndEvacuation, CommandRetire, CommandCancelRetire:
		return c.Key != ""
	}
	return false
}

func orderNumber(command Command) (number dedup.Key) {
	return dedup.Key{Kind: "order", Name: command.Key}
}

func orderContent(command Command) (digest dedup.Digest) {
	content := &dedup.ContentHash{}
	content.AddUint(uint64(command.Kind))
	content.AddText(command.Subject)
	return content.Digest()
}

// AcceptedByName tells whether an order was taken under the name that it has, or
// why not where another was.
func (s *State) AcceptedByName(command Command) (taken bool, err error) {
	if !command.namedOrder() {
		return false, nil
	}
	content, known := s.Accepted.Lookup(orderNumber(command))
	if known && content != orderContent(command) {
		return false, dedup.ErrConflict.New("order %q is another one", command.Key)
	}
	return known, nil
}

// CheckDocument tells what would become of a document, or of its withdrawal
// where it has no body: whether it was taken before, or why it is refused.
func (s *State) CheckDocument(next policy.Document) (after policy.Document, taken bool, err error) {
	if next.Body != "" {
		var head struct{ Version policy.Version }
		if json.Unmarshal([]byte(next.Body), &head) == nil {
			next.Version = head.Version
		}
	}
	standing := s.Documents[next.Kind]
	if standing.Version == next.Version && standing.Digest() == next.Digest() {
		return standing, true, nil
	}
	if content, known := s.Accepted.Lookup(documentNumber(next.Kind, next.Version)); known {
		if content == next.Digest() {
			return standing, true, nil
		}
		return after, false, dedup.ErrConflict.New("version %d of %s is not above %s: it came with other content", next.Version, next.Kind, standing.Summary())
	}
	if next.Body != "" {
		if next, err = ParseDocument(next.Kind, []byte(next.Body), s.Config); err != nil {
			return after, false, err
		}
	}
	after, changed, err := standing.Next(next)
	return after, err == nil && !changed, err
}

// ParseDocument reads a document and checks it against the services that stand.
func ParseDocument(kind policy.Kind, body []byte, items *config.Store) (document policy.Document, err error) {
	known := func(service string) bool { return items.Exists(config.Services, service) }
	document = policy.Document{Kind: kind, Body: string(body)}
	switch kind {
	case policy.DrainPolicy:
		parsed, readErr := drain.Parse(body)
		if readErr != nil {
			return document, readErr
		}
		document.Version, err = parsed.Version, parsed.CheckServices(known)
	case policy.DayPlan:
		plan, readErr := schedule.Read(body)
		if readErr != nil {
			return document, readErr
		}
		document.Version, err = plan.Version, plan.Check(known, func(rpc.RegionName) bool { return true })
	case policy.SessionAffinity:
		parsed, readErr := affinity.Parse(body)
		if readErr != nil {
			return document, readErr
		}
		document.Version, err = parsed.Version, parsed.CheckServices(known)
	case policy.RetryLimit:
		limit, readErr := retry.Parse(body)
		if readErr != nil {
			return document, readErr
		}
		document.Version, err = limit.Version, limit.CheckServices(known)
	default:
		err = policy.ErrInvalid.New("unknown kind of document %q", kind)
	}
	return document, err
}

func (s *State) setDocument(rev uint64, command Command) (err error) {
	next := policy.Document{Kind: policy.Kind(command.Subject), Version: policy.Version(command.Number), Body: string(command.Body)}
	after, taken, err := s.CheckDocument(next)
	if err != nil || taken {
		return err
	}
	if before := s.Documents[next.Kind]; before.Version > 0 {
		s.Accepted.Remember(documentNumber(before.Kind, before.Version), before.Digest())
	}
	after.Rev = rev
	s.Documents[next.Kind], s.Revision = after, rev
	if next.Kind == policy.DayPlan && !after.Active() {
		// The count and its time stay, so that no later step goes back.
		s.ScheduleStep.Targets, s.ScheduleStep.Rev = nil, rev
	}
	return nil
}

// RetirementStatus tells whether an order to retire a backend stands, and whether one
// was ever taken from an operator.
func (s *State) RetirementStatus(id rpc.EndpointID) (stands, taken bool) {
	standing, known := s.Retirements[id]
	_, taken = s.Accepted.Lookup(retireNumber(id))
	return known && !standing.Gone, taken
}

// takenBackMost is how many orders that were taken back are remembered.
const takenBackMost = 512

func (s *State) retire(rev uint64, command Command) {
	id := rpc.EndpointID(command.Subject)
	if command.Kind == CommandRetire && command.Holder == drain.ByOperator {
		s.Accepted.Remember(retireNumber(id), dedup.Digest{})
	}
	standing, known := s.Retirements[id]
	known = known && !standing.Gone
	switch {
	case command.Kind == CommandRetire && !known:
		standing = rpc.Retirement{Server: id, Service: rpc.ServiceName(command.Body), By: command.Holder, Announced: rev}
	case command.Kind == CommandStopRetired && known && standing.Stopped == 0:
		standing.Stopped = rev
	case command.Kind == CommandCancelRetire && known:
		standing.Gone = true
	default:
		return
	}
	standing.Rev = rev
	s.Retirements[id], s.Revision = standing, rev
	var goneID rpc.EndpointID
	gone := 0
	for other, retired := range s.Retirements {
		if retired.Gone {
			if gone++; goneID == "" || retired.Rev < s.Retirements[goneID].Rev {
				goneID = other
			}
		}
	}
	if gone > takenBackMost {
		delete(s.Retirements, goneID)
	}
}
