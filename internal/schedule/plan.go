// Package schedule moves clients between regions over the working day: it reads the
// day plan, computes the weights of regions that the plan wants at a moment, and paces
// the steps that the leader proposes. It neither proposes nor applies steps. A Stepper
// belongs to the goroutine of the leader's term; the rest keeps no state.
package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	// The time zone database, so that no file of the machine is needed.
	_ "time/tzdata"

	"tinpin/internal/drain"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// minutesPerDay is the length of a day without a change of summer time.
const minutesPerDay = 24 * 60

// TimeOfDay is a time of the local day in minutes since midnight, written as 06:30.
type TimeOfDay int

// UnmarshalText reads a time of day, up to 24:00.
func (d *TimeOfDay) UnmarshalText(text []byte) (err error) {
	hours, minutes, found := strings.Cut(string(text), ":")
	hour, hourErr := strconv.Atoi(hours)
	minute, minuteErr := strconv.Atoi(minutes)
	if !found || hourErr != nil || minuteErr != nil || len(minutes) != 2 ||
		hour < 0 || minute < 0 || minute > 59 || hour*60+minute > minutesPerDay {
		return policy.ErrInvalid.New("%q is no time of day such as 06:30", text)
	}
	*d = TimeOfDay(hour*60 + minute)
	return nil
}

// MarshalText writes a time of day.
func (d TimeOfDay) MarshalText() (text []byte, err error) {
	return []byte(fmt.Sprintf("%02d:%02d", int(d)/60, int(d)%60)), nil
}

// Span is a part of the local day with the weights of regions in it; one that ends
// before it begins runs over midnight. Ramp is how long after its begin the weights of
// the span before turn into its own.
type Span struct {
	From    TimeOfDay                  `json:"from"`
	To      TimeOfDay                  `json:"to"`
	Weights map[rpc.RegionName]float64 `json:"weights"`
	Ramp    drain.Span                 `json:"ramp"`
}

func (s Span) minutes() (length int) {
	length = int(s.To) - int(s.From)
	if length <= 0 {
		length += minutesPerDay
	}
	return length
}

// Target is the plan of one host or one service.
type Target struct {
	Host     string          `json:"host,omitempty"`
	Service  rpc.ServiceName `json:"service,omitempty"`
	TimeZone string          `json:"time_zone"`
	Spans    []Span          `json:"spans"`

	location *time.Location
}

// Name is the target as operators read it, such as "host shop.example".
func (t Target) Name() (name string) {
	if t.Host != "" {
		return "host " + t.Host
	}
	return "service " + string(t.Service)
}

// Plan is the complete document.
type Plan struct {
	Version policy.Version `json:"version"`
	Targets []Target       `json:"targets"`
	// MaxStep is the largest fraction of clients moved in one step, StepInterval the
	// shortest time between two steps.
	MaxStep      float64    `json:"step"`
	StepInterval drain.Span `json:"every"`
	// MaxUtilization is the fraction of a region's slots that moved clients may fill.
	MaxUtilization float64 `json:"room"`
}

// maxTargets bounds the work of checking a plan.
const maxTargets = 1000

// Parse reads a plan and checks everything but the services and regions it names.
func Parse(body []byte) (plan *Plan, err error) {
	plan = &Plan{}
	if err = policy.Decode(body, plan); err != nil {
		return nil, err
	}
	faults := &policy.ValidationErrors{}
	plan.checkHeader(faults)
	seen := map[string]bool{}
	for i := range plan.Targets {
		target := &plan.Targets[i]
		path := fmt.Sprintf("targets.%d", i)
		if (target.Host == "") == (target.Service == "") {
			faults.Add(path, "must name a host or a service")
		} else if seen[target.Name()] {
			faults.Add(path, "names "+target.Name()+" again")
		}
		seen[target.Name()] = true
		target.check(path, faults)
	}
	return plan, faults.Err()
}

// checkHeader checks the fields of a plan that belong to no target. The negated
// comparisons reject NaN too.
func (p *Plan) checkHeader(faults *policy.ValidationErrors) {
	if p.Version == 0 {
		faults.Add("version", "must be 1 or more")
	}
	if !(p.MaxStep > 0 && p.MaxStep <= 1) {
		faults.Add("step", "must be above 0 and up to 1")
	}
	if p.StepInterval < drain.Span(time.Second) || p.StepInterval > drain.Span(time.Hour) {
		faults.Add("every", "must be a time from 1s to 1h")
	}
	if !(p.MaxUtilization > 0 && p.MaxUtilization <= 1) {
		faults.Add("room", "must be above 0 and up to 1")
	}
	if len(p.Targets) == 0 || len(p.Targets) > maxTargets {
		faults.Add("targets", "must hold one target or more")
	}
}

// check checks a target, finds its time zone and sorts its spans by their begin.
func (t *Target) check(path string, faults *policy.ValidationErrors) {
	var err error
	if t.location, err = time.LoadLocation(t.TimeZone); err != nil || t.TimeZone == "" || t.TimeZone == "Local" {
		faults.Add(path+".time_zone", fmt.Sprintf("%q is no known time zone", t.TimeZone))
		t.location = time.UTC
	}
	if len(t.Spans) == 0 {
		faults.Add(path+".spans", "must hold one span or more")
	}
	for i, span := range t.Spans {
		spanPath := fmt.Sprintf("%s.spans.%d", path, i)
		span.check(spanPath, faults)
		for k, other := range t.Spans[:i] {
			if span.overlaps(other) {
				faults.Add(spanPath, fmt.Sprintf("overlaps span %d", k))
			}
		}
	}
	slices.SortStableFunc(t.Spans, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
}

func (s Span) check(path string, faults *policy.ValidationErrors) {
	if s.From == s.To || s.From >= minutesPerDay {
		faults.Add(path, "is empty")
	}
	if s.Ramp < 0 || time.Duration(s.Ramp) > time.Duration(s.minutes())*time.Minute {
		faults.Add(path+".ramp", "is longer than its span")
	}
	sum := 0.0
	for region, weight := range s.Weights {
		if !(weight >= 0 && weight <= 1e6) {
			faults.Add(path+".weights", fmt.Sprintf("has a weight for %s that is no number of 0 or more", region))
		}
		sum += weight
	}
	if !(sum > 0) {
		faults.Add(path+".weights", "sum to 0")
	}
}

func (s Span) overlaps(other Span) bool {
	inside := func(minute TimeOfDay, span Span) bool {
		sinceBegin := (int(minute) - int(span.From) + minutesPerDay) % minutesPerDay
		return sinceBegin < span.minutes()
	}
	return inside(s.From, other) || inside(other.From, s)
}

// Check reports the services and regions that a plan names and that are not known.
func (p *Plan) Check(knownService func(string) bool, knownRegion func(rpc.RegionName) bool) (err error) {
	faults := &policy.ValidationErrors{}
	for i, target := range p.Targets {
		path := fmt.Sprintf("targets.%d", i)
		if target.Service != "" && !knownService(string(target.Service)) {
			faults.Add(path+".service", fmt.Sprintf("names unknown service %q", target.Service))
		}
		for k, span := range target.Spans {
			for _, region := range slices.Sorted(maps.Keys(span.Weights)) {
				if !knownRegion(region) {
					spanPath := fmt.Sprintf("%s.spans.%d", path, k)
					faults.Add(spanPath+".weights", fmt.Sprintf("names unknown region %q", region))
				}
			}
		}
	}
	return faults.Err()
}
