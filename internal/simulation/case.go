package simulation

// A case is a failing run as it is kept in a file: it replays step by step, and it is
// shortened as far as it still fails in the same check.

import (
	"encoding/json"
	"os"
	"strings"
	"time"
)

// Case of one run that broke.
type Case struct {
	Seed    int64    `json:"seed"`
	Options Options  `json:"options"`
	Faults  []Fault  `json:"troubles"`
	Failure string   `json:"broken"`
	Drawn   int      `json:"drawn"`
	Plays   int      `json:"plays"`
	Log     []string `json:"log"`
}

// CheckOf names the check that a run broke.
func CheckOf(broken string) (check string) {
	check, _, _ = strings.Cut(broken, ":")
	return check
}

// CaseOf is the whole case of a seed.
func CaseOf(result RunResult, options Options) (kept Case) {
	faults := DrawFaults(result.Seed, options)
	return Case{Seed: result.Seed, Options: options, Faults: faults, Failure: result.Failure, Drawn: len(faults), Log: result.Log}
}

// Shorten makes a case shorter as long as it breaks in the same check: it ends
// soon after the break, has fewer callers, and only the faults it takes.
func (c Case) Shorten(limit time.Duration) (short Case) {
	short = c
	begin := time.Now()
	try := func(options Options, faults []Fault) (same bool) {
		if time.Since(begin) > limit {
			return false
		}
		result := PlayWith(c.Seed, options, faults, nil)
		short.Plays++
		if result.Failure == "" || CheckOf(result.Failure) != CheckOf(c.Failure) {
			return false
		}
		short.Options, short.Faults, short.Failure, short.Log = options, faults, result.Failure, result.Log
		return true
	}
	for part := time.Duration(1); part < 8; part++ {
		options := short.Options
		options.Length = c.Options.Length * part / 8
		if options.Length >= time.Second && try(options, before(short.Faults, options.Length)) {
			break
		}
	}
	for _, fewer := range []func(options *Options){
		func(options *Options) { options.Operators = 1 },
		func(options *Options) { options.Edges = 1 },
	} {
		options := short.Options
		fewer(&options)
		try(options, short.Faults)
	}
	for size := len(short.Faults); size > 0; size /= 2 {
		for from := 0; from < len(short.Faults); {
			rest := append(append([]Fault(nil), short.Faults[:from]...), short.Faults[min(len(short.Faults), from+size):]...)
			if !try(short.Options, rest) {
				from += size
			}
		}
	}
	return short
}

func before(faults []Fault, end time.Duration) (kept []Fault) {
	for _, fault := range faults {
		if fault.At < end {
			kept = append(kept, fault)
		}
	}
	return kept
}

// Write keeps the case in a file.
func (c Case) Write(path string) (err error) {
	data, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return Class.Wrap(err)
	}
	return Class.Wrap(os.WriteFile(path, append(data, '\n'), 0o644))
}

// ReadCase reads a case and refuses what cannot be played.
func ReadCase(path string) (kept Case, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return kept, Class.Wrap(err)
	}
	if err = json.Unmarshal(data, &kept); err != nil {
		return kept, Class.New("%s is not a case: %v", path, err)
	}
	for _, fault := range kept.Faults {
		if kinds, kindErr := ParseFaultKinds(string(fault.Kind)); kindErr != nil || len(kinds) != 1 || fault.At < 0 || fault.Span < 0 || fault.Controller < 0 {
			return kept, Class.New("%s: the fault %q at %s cannot be injected", path, fault.Kind, fault.At)
		}
	}
	return kept, kept.Options.Check()
}

// Replay plays the case again and logs each step.
func (c Case) Replay(onEvent func(line string)) (result RunResult) {
	return PlayWith(c.Seed, c.Options, c.Faults, onEvent)
}
