// Package schedule moves clients between regions as the working day moves: it reads
// the day plan, turns it and a moment into the weights of regions, and paces the
// steps that the leader proposes. It neither proposes nor applies steps. A Stepper
// belongs to the goroutine of the leader's term; the rest keeps no state.
package schedule

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	// The data of the time zones, so that no file of the machine is needed.
	_ "time/tzdata"

	"tinpin/internal/drain"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// TimeOfDay is a time of day, as in 06:30.
type TimeOfDay int

// UnmarshalText reads it.
func (c *TimeOfDay) UnmarshalText(text []byte) (err error) {
	hours, minutes, found := strings.Cut(string(text), ":")
	hour, hourErr := strconv.Atoi(hours)
	minute, minuteErr := strconv.Atoi(minutes)
	if !found || hourErr != nil || minuteErr != nil || len(minutes) != 2 || hour < 0 || minute < 0 || minute > 59 || hour*60+minute > 24*60 {
		return policy.ErrInvalid.New("%q is no time of day such as 06:30", text)
	}
	*c = TimeOfDay(hour*60 + minute)
	return nil
}

// MarshalText writes it.
func (c TimeOfDay) MarshalText() (text []byte, err error) {
	return []byte(fmt.Sprintf("%02d:%02d", int(c)/60, int(c)%60)), nil
}

// Span is a part of the local day; one that ends before it begins runs over
// midnight.
type Span struct {
	From    TimeOfDay                  `json:"from"`
	To      TimeOfDay                  `json:"to"`
	Weights map[rpc.RegionName]float64 `json:"weights"`
	Ramp    drain.Span                 `json:"ramp"`
}

func (s Span) minutes() (length int) {
	length = int(s.To) - int(s.From)
	if length <= 0 {
		length += 24 * 60
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

// Name names the target in words.
func (t Target) Name() (name string) {
	if t.Host != "" {
		return "host " + t.Host
	}
	return "service " + string(t.Service)
}

// Plan is the whole document.
type Plan struct {
	Version policy.Version `json:"version"`
	Targets []Target       `json:"targets"`
	// MaxStep is the largest part of the callers moved at once, Every the least
	// time between two such steps.
	MaxStep      float64    `json:"step"`
	StepInterval drain.Span `json:"every"`
	// MaxUtilization is the part of a region's slots that moved callers may fill.
	MaxUtilization float64 `json:"room"`
}

const targetsMost = 1000

// Read reads a plan and checks what can be seen from it alone.
func Read(body []byte) (plan *Plan, err error) {
	plan = &Plan{}
	if err = policy.Decode(body, plan); err != nil {
		return nil, err
	}
	faults := &policy.ValidationErrors{}
	if plan.Version == 0 {
		faults.Add("version", "must be 1 or more")
	}
	if !(plan.MaxStep > 0 && plan.MaxStep <= 1) {
		faults.Add("step", "must be above 0 and up to 1")
	}
	if plan.StepInterval < drain.Span(time.Second) || plan.StepInterval > drain.Span(time.Hour) {
		faults.Add("every", "must be a time from 1s to 1h")
	}
	if !(plan.MaxUtilization > 0 && plan.MaxUtilization <= 1) {
		faults.Add("room", "must be above 0 and up to 1")
	}
	if len(plan.Targets) == 0 || len(plan.Targets) > targetsMost {
		faults.Add("targets", "must hold one target or more")
	}
	named := map[string]bool{}
	for i := range plan.Targets {
		target := &plan.Targets[i]
		at := fmt.Sprintf("targets.%d", i)
		if (target.Host == "") == (target.Service == "") {
			faults.Add(at, "must name a host or a service")
		} else if named[target.Name()] {
			faults.Add(at, "names "+target.Name()+" again")
		}
		named[target.Name()] = true
		target.check(at, faults)
	}
	return plan, faults.Err()
}

func (t *Target) check(at string, faults *policy.ValidationErrors) {
	var err error
	if t.location, err = time.LoadLocation(t.TimeZone); err != nil || t.TimeZone == "" || t.TimeZone == "Local" {
		faults.Add(at+".time_zone", fmt.Sprintf("%q is no known time zone", t.TimeZone))
		t.location = time.UTC
	}
	if len(t.Spans) == 0 {
		faults.Add(at+".spans", "must hold one span or more")
	}
	for i, span := range t.Spans {
		where := fmt.Sprintf("%s.spans.%d", at, i)
		if span.From == span.To || span.From >= 24*60 {
			faults.Add(where, "is empty")
		}
		if span.Ramp < 0 || time.Duration(span.Ramp) > time.Duration(span.minutes())*time.Minute {
			faults.Add(where+".ramp", "is longer than its span")
		}
		sum := 0.0
		for region, weight := range span.Weights {
			if !(weight >= 0 && weight <= 1e6) {
				faults.Add(where+".weights", fmt.Sprintf("has a weight for %s that is no number of 0 or more", region))
			}
			sum += weight
		}
		if !(sum > 0) {
			faults.Add(where+".weights", "sum to 0")
		}
		for k, other := range t.Spans[:i] {
			if span.overlaps(other) {
				faults.Add(where, fmt.Sprintf("overlaps span %d", k))
			}
		}
	}
	sort.SliceStable(t.Spans, func(i, k int) bool { return t.Spans[i].From < t.Spans[k].From })
}

func (s Span) overlaps(other Span) bool {
	inside := func(minute TimeOfDay, span Span) bool {
		away := (int(minute) - int(span.From) + 24*60) % (24 * 60)
		return away < span.minutes()
	}
	return inside(s.From, other) || inside(other.From, s)
}

// Check tells what a plan names that is not known.
func (p *Plan) Check(service func(string) bool, region func(rpc.RegionName) bool) (err error) {
	faults := &policy.ValidationErrors{}
	for i, target := range p.Targets {
		at := fmt.Sprintf("targets.%d", i)
		if target.Service != "" && !service(string(target.Service)) {
			faults.Add(at+".service", fmt.Sprintf("names unknown service %q", target.Service))
		}
		for k, span := range target.Spans {
			regions := make([]string, 0, len(span.Weights))
			for name := range span.Weights {
				regions = append(regions, string(name))
			}
			sort.Strings(regions)
			for _, name := range regions {
				if !region(rpc.RegionName(name)) {
					faults.Add(fmt.Sprintf("%s.spans.%d.weights", at, k), fmt.Sprintf("names unknown region %q", name))
				}
			}
		}
	}
	return faults.Err()
}
