package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

const (
	// storySpan is how much around a violation a story tells.
	storySpan     = 8 * time.Second
	maxStoryLines = 12
	maxStories    = 6
)

// Report is the outcome of a play.
type Report struct {
	Seed     uint64        `json:"seed"`
	Shape    string        `json:"shape"`
	Size     Size          `json:"size"`
	Time     time.Duration `json:"time"`
	Requests int           `json:"requests"`
	Served   int           `json:"served"`
	Refused  int           `json:"refused"`
	Signals  int64         `json:"signals"`
	Changes  int           `json:"changes"`
	Accepted int           `json:"changes_acknowledged"`
	Events   int64         `json:"events"`
	// Garbled counts runs that backends answered with what is no response.
	Garbled int `json:"garbled"`
	// ConnectionsRefused counts connections that a proxy did not take.
	ConnectionsRefused int64         `json:"connections_refused"`
	Median             time.Duration `json:"median"`
	P99                time.Duration `json:"p99"`
	Usage              []UsageTotal  `json:"usage"`
	Violations         []Violation   `json:"violations"`
	// Starved are the spans in which the machine did not give its turn.
	Starved   int `json:"spans_starved"`
	Undecided int `json:"undecided"`
	Broken    int `json:"broken"`

	system *System
}

// newReport counts what was seen.
func (s *System) newReport(violations []Violation) (report *Report) {
	report = &Report{
		Seed: s.schedule.Seed, Shape: s.schedule.Shape.String(), Size: s.schedule.Size, Time: s.schedule.Time,
		Signals: s.counts.signals.Load(), Events: s.counts.events.Load(), Violations: violations,
		ConnectionsRefused: s.counts.refused.Load(), Median: s.counts.quantile(50), P99: s.counts.quantile(99),
		Starved: len(s.watch.spans), Changes: len(s.operator.changes), system: s,
	}
	for _, change := range s.operator.changes {
		if change.Result == Acknowledged {
			report.Accepted++
		}
	}
	for _, violation := range violations {
		if violation.Undecided {
			report.Undecided++
		} else {
			report.Broken++
		}
	}
	for _, request := range s.log.requests {
		report.Requests++
		switch {
		case request.End == Answered && request.Status == 200:
			report.Served++
		case request.End == Answered:
			report.Refused++
		}
	}
	for _, arrivals := range s.log.arrivals {
		for _, arrival := range arrivals {
			if arrival.End == Garbled {
				report.Garbled++
			}
		}
	}
	return report
}

// Good tells that no rule was broken.
func (r *Report) Good() bool { return r.Broken == 0 }

// WriteJSON writes the report for machines.
func (r *Report) WriteJSON(to io.Writer) (err error) {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", " ")
	return Class.Wrap(encoder.Encode(r))
}

// Write writes the report for reading.
func (r *Report) Write(to io.Writer) {
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(to, format+"\n", arguments...) }
	line("seed %d, %s, %v, %v", r.Seed, r.Shape, r.Size, r.Time)
	line("%d requests: %d served, %d answered otherwise; %d connections not taken; median %v, 99 in 100 within %v",
		r.Requests, r.Served, r.Refused, r.ConnectionsRefused, r.Median.Round(time.Millisecond),
		r.P99.Round(time.Millisecond))
	line("%d events, %d of them signals; %d changes, %d acknowledged; %d garbled answers",
		r.Events, r.Signals, r.Changes, r.Accepted, r.Garbled)
	for _, usage := range r.Usage {
		line("a %s holds %+v at first, %+v at the end", usage.Role, usage.Before, usage.After)
	}
	line("%d spans in which the machine gave no turn; %d violations of time in them, not decided",
		r.Starved, r.Undecided)
	if r.Good() {
		line("no rule broken")
		return
	}
	line("BROKEN: %v", r.counts())
	stories := 0
	for _, violation := range r.Violations {
		if !violation.Undecided && stories < maxStories {
			stories++
			r.writeStory(to, violation)
		}
	}
}

// counts are the violations by rule.
func (r *Report) counts() (byRule map[string]int) {
	byRule = map[string]int{}
	for _, violation := range r.Violations {
		if !violation.Undecided {
			byRule[violation.Rule]++
		}
	}
	return byRule
}

// story writes what happened, each line with its time.
type story struct{ to io.Writer }

func (s story) line(at time.Duration, format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.to, "  %9.3f s  %s\n", at.Seconds(), fmt.Sprintf(format, arguments...))
}

// writeStory tells a violation with what happened around it.
func (r *Report) writeStory(to io.Writer, violation Violation) {
	_, _ = fmt.Fprintf(to, "%s at %.3f s: %s\n", violation.Rule, violation.At.Seconds(), violation.Text)
	s, narrative := r.system, story{to}
	process := violation.Process
	if request := s.log.requests[violation.Request]; request != nil {
		process = Target{ProxyRole, request.Proxy}
		narrative.request(request, s.log.arrivals[request.ID])
	}
	for _, event := range s.schedule.Events {
		near := event.At >= violation.At-storySpan && event.At <= violation.At
		if near && event.Target.Role != "" && (event.Target == process || event.Target.Role == ControllerRole) {
			narrative.line(event.At, "event: %v", event)
		}
	}
	for _, candidate := range s.processes() {
		if candidate.Target == process {
			narrative.logLines(candidate, violation.At)
		}
	}
	_, _ = fmt.Fprintf(to, "  again: tinpin-soak -seed %d -for %v -shape %s "+
		"-proxies %d -controllers %d -backends %d -clients %d\n",
		r.Seed, r.Time, r.Shape, r.Size.Proxies, r.Size.Controllers, r.Size.Backends, r.Size.Clients)
}

// request tells what became of a request.
func (s story) request(request *Request, arrivals []*Arrival) {
	s.line(request.Sent, "request %s (%v, key %q, behind %v) sent to %v", request.ID, request.Kind, request.Key,
		request.Behind, Target{ProxyRole, request.Proxy})
	for _, arrival := range arrivals {
		s.line(arrival.At, "reaches backend/%d (%s, %s), which works for %v",
			arrival.Backend, arrival.Instance, arrival.Service, arrival.Work)
		s.line(arrival.Ended, "its run ends: %v", arrival.End)
	}
	s.line(request.Ended, "it ends for its client: %v, status %d", request.End, request.Status)
}

// logLines tells what a process has written around a time.
func (s story) logLines(process *Process, at time.Duration) {
	lines := process.linesWithin(at-storySpan, at+time.Second)
	for _, line := range lines[max(0, len(lines)-maxStoryLines):] {
		s.line(line.At, "%v writes %s", process.Target, line.Text)
	}
}
