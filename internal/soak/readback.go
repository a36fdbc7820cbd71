package soak

import (
	"fmt"
	"reflect"
)

// checkDescription: what was acknowledged is read back, in its newest version, as it was
// sent; what was dropped or refused is not.
func (s *System) checkDescription(items map[string]map[string]any, describeErr error) (violations []Violation) {
	add := func(format string, arguments ...any) {
		text := fmt.Sprintf(format, arguments...)
		violations = append(violations, Violation{Rule: ruleConfig, At: s.schedule.Time, Text: text})
	}
	if describeErr != nil {
		add("%v", describeErr)
		return violations
	}
	newest := map[string]*Change{}
	for _, change := range s.operator.changes {
		if text := change.wrongResult(); text != "" {
			add("%s", text)
		}
		if change.Result != Acknowledged || change.Invalid || change.Item == resentItem {
			continue
		}
		known := newest[change.Item]
		if known == nil || change.Version > known.Version {
			newest[change.Item] = change
		} else if change.Version == known.Version && change.Content != known.Content {
			add("two contents of %s were acknowledged under version %d", change.Item, change.Version)
		}
	}
	for item, change := range newest {
		if text := s.compareItem(change, items[item]); text != "" {
			add("%s, acknowledged in version %d: %s", item, change.Version, text)
		}
	}
	if items[invalidItem] != nil {
		add("an invalid route is in force")
	}
	return violations
}

// wrongResult tells what is wrong with the result of a change, nothing if it may be so.
func (c *Change) wrongResult() (text string) {
	switch {
	case c.Invalid && c.Result == Acknowledged:
		return "an invalid change was acknowledged: " + c.Content
	case c.Invalid || c.Raced || c.Result != Refused:
		return ""
	case c.Item == resentItem:
		return fmt.Sprintf("an acknowledged change was sent again and got %d: %s", c.Status, c.Content)
	}
	return fmt.Sprintf("a valid change of %s got %d", c.Item, c.Status)
}

// compareItem tells what is wrong with an item as it is read back, nothing if it is as the
// newest change that was acknowledged, or a later one without a clear answer, has it.
func (s *System) compareItem(newest *Change, item map[string]any) (text string) {
	var candidates []*Change
	for _, change := range s.operator.changes {
		later := change.Version > newest.Version && change.Result == OutcomeUnknown
		if change.Item == newest.Item && (change == newest || later) {
			candidates = append(candidates, change)
		}
	}
	for _, change := range candidates {
		if change.Dropped && item == nil || !change.Dropped && reflect.DeepEqual(parseContent(change), item) {
			return ""
		}
	}
	return fmt.Sprintf("sent %s (dropped %v), read back %v", newest.Content, newest.Dropped, item)
}
