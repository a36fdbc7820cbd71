// The tinpin-simulate command runs the control plane by seed in simulated time and
// checks invariants; see docs/simulation.md.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tinpin/internal/simulation"
)

const usage = `tinpin-simulate runs the control plane of tinpin by seed, in simulated time, and checks it

  tinpin-simulate [RANGE] [SIZE..] [-faults KIND,..]  run seeds, report which ones failed
  tinpin-simulate [RANGE] [SIZE..] -inject NAME|all   inject a bug and report after how many seeds it is found
  tinpin-simulate -replay FILE [-quiet]               replay a kept case, step by step
  tinpin-simulate -list                               list the kinds of faults and the bugs that can be injected

RANGE is -seeds and -from, with -parallel and -limit (of real time). SIZE is -length
(of simulated time), -controllers, -losses, -operators, -edges, -gap (between faults),
-catch-up, -far-link and -write-interval. A seed that fails is shortened and kept in the folder that -keep names;
-json prints JSON instead of a table. Progress goes to the error output.

Exit codes: 0 nothing failed (or every injected bug was found), 1 something failed (or
an injected bug was not found), 2 the call cannot be carried out.

`

// maxCases is how many cases of one hunt are shortened and kept.
const maxCases = 3

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// command is what the command line asks for.
type command struct {
	options simulation.Options
	seeds   simulation.Range
	kinds   string
	inject  string
	replay  string
	keep    string
	json    bool
	list    bool
	quiet   bool
}

// renamedFlags gives the present name of each flag that had another in earlier releases.
var renamedFlags = map[string]string{"troubles": "faults", "plant": "inject", "cores": "controllers"}

// parse reads the command line. Every value that cannot be used is named in one error.
func parse(args []string, bad io.Writer) (call command, err error) {
	call.options = simulation.DefaultOptions()
	set := flag.NewFlagSet("tinpin-simulate", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	call.define(set)
	var renamed error
	for earlier, now := range renamedFlags {
		set.BoolFunc(earlier, "renamed: use -"+now, func(string) error {
			renamed = simulation.Class.New("-%s was renamed: use -%s", earlier, now)
			return renamed
		})
	}
	if err = set.Parse(args); err != nil {
		if renamed != nil {
			return call, renamed
		}
		if errors.Is(err, flag.ErrHelp) {
			_, _ = fmt.Fprint(bad, usage)
			set.SetOutput(bad)
			set.PrintDefaults()
		}
		return call, err
	}
	if set.NArg() > 0 {
		return call, simulation.Class.New("unexpected %q", set.Arg(0))
	}
	err = call.check()
	return call, err
}

// define adds the flags of a command, with their defaults, to a set.
func (c *command) define(set *flag.FlagSet) {
	set.IntVar(&c.seeds.Seeds, "seeds", 100, "how many seeds are run")
	set.Int64Var(&c.seeds.From, "from", 1, "the first seed")
	set.IntVar(&c.seeds.Parallel, "parallel", 2, "how many run in parallel")
	set.DurationVar(&c.seeds.Limit, "limit", 10*time.Minute,
		"the real time after which no further seed is started")
	set.DurationVar(&c.options.Length, "length", c.options.Length, "the simulated time during which faults occur")
	set.IntVar(&c.options.Controllers, "controllers", c.options.Controllers, "how many controllers there are")
	set.IntVar(&c.options.Losses, "losses", c.options.Losses, "how many lost controllers are tolerated")
	set.IntVar(&c.options.Operators, "operators", c.options.Operators, "how many operators there are")
	set.IntVar(&c.options.Edges, "edges", c.options.Edges, "how many edges there are")
	set.DurationVar(&c.options.Gap, "gap", c.options.Gap, "the mean time between faults")
	set.DurationVar(&c.options.CatchUp, "catch-up", c.options.CatchUp,
		"how long a controller counts as lost once it is back")
	set.DurationVar(&c.options.FarLink, "far-link", c.options.FarLink,
		"how much longer a message takes to a controller that replaces another, one way")
	set.DurationVar(&c.options.WriteInterval, "write-interval", c.options.WriteInterval,
		"the time between the changes of a writer that never pauses, 0 for none")
	set.StringVar(&c.kinds, "faults", "all", "kinds of faults, or all, or none")
	set.StringVar(&c.inject, "inject", "", "a bug to inject, or all of them")
	set.StringVar(&c.replay, "replay", "", "a kept case to replay")
	set.StringVar(&c.keep, "keep", "", "a folder for cases that failed; without it none is kept")
	set.BoolVar(&c.json, "json", false, "print JSON")
	set.BoolVar(&c.list, "list", false, "list kinds of faults and injectable bugs")
	set.BoolVar(&c.quiet, "quiet", false, "print no progress and no steps")
}

// check reads the kinds of faults and names every value that cannot be used in one error.
func (c *command) check() (err error) {
	var unusable []string
	for _, check := range []func() error{c.options.Check, c.seeds.Check, c.checkFaults, c.checkInject} {
		if checkErr := check(); checkErr != nil {
			unusable = append(unusable, strings.TrimPrefix(checkErr.Error(), "simulation: "))
		}
	}
	if len(unusable) > 0 {
		return simulation.Class.New("%s", strings.Join(unusable, "; "))
	}
	return nil
}

func (c *command) checkFaults() (err error) {
	c.options.Faults, err = simulation.ParseFaultKinds(c.kinds)
	return err
}

func (c *command) checkInject() (err error) {
	if c.inject != "" && c.inject != "all" && !simulation.InjectedBug(c.inject).Known() {
		return simulation.Class.New("unknown bug to inject: %q", c.inject)
	}
	return nil
}

func run(args []string, out, bad io.Writer) (code int) {
	call, err := parse(args, bad)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil {
		switch {
		case call.list:
			list(out)
		case call.replay != "":
			code, err = call.replayCase(out)
		case call.inject != "":
			code = call.seekBugs(out, bad)
		default:
			code, err = call.hunt(out, bad)
		}
	}
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin-simulate:", err)
		return 2
	}
	return code
}

func list(out io.Writer) {
	_, _ = fmt.Fprintln(out, "faults:")
	for _, known := range simulation.FaultKindTexts {
		_, _ = fmt.Fprintf(out, "  %-14s %s\n", known.Kind, known.Text)
	}
	_, _ = fmt.Fprintln(out, "injectable bugs:")
	for _, known := range simulation.InjectedBugTexts {
		_, _ = fmt.Fprintf(out, "  %-14s %s\n", known.Bug, known.Text)
	}
}

// progress returns a function that prints how far a hunt has come, every five seconds at most.
func (c command) progress(bad io.Writer, prefix string) (notify func(report simulation.Report)) {
	last := time.Now()
	return func(report simulation.Report) {
		if c.quiet || time.Since(last) < 5*time.Second {
			return
		}
		last = time.Now()
		_, _ = fmt.Fprintln(bad, prefix+report.Line())
	}
}

// hunt runs the seeds and keeps a shortened case of the first failure of each check.
func (c command) hunt(out, bad io.Writer) (code int, err error) {
	report := simulation.Hunt(c.options, c.seeds, c.progress(bad, ""))
	if c.json {
		err = printJSON(out, report)
	} else {
		report.Table(out)
	}
	if len(report.Broken) == 0 || err != nil {
		return 0, err
	}
	if c.keep == "" {
		return 1, nil
	}
	kept := map[string]bool{}
	for _, result := range report.Broken {
		check := simulation.CheckOf(result.Failure)
		if kept[check] || len(kept) == maxCases {
			continue
		}
		kept[check] = true
		short := simulation.CaseOf(result, c.options).Shorten(time.Minute)
		path := filepath.Join(c.keep, fmt.Sprintf("simulation-%d.json", result.Seed))
		if err = short.Write(path); err != nil {
			return 1, err
		}
		_, _ = fmt.Fprintf(bad, "seed %d is kept in %s, with %d of %d faults and %s: %s\n",
			result.Seed, path, len(short.Faults), short.Drawn, short.Options.Length, short.Failure)
	}
	return 1, nil
}

// seekBugs injects each bug in turn and reports whether the seeds find it.
func (c command) seekBugs(out, bad io.Writer) (code int) {
	bugs := simulation.InjectedBugs()
	if c.inject != "all" {
		bugs = []simulation.InjectedBug{simulation.InjectedBug(c.inject)}
	}
	var finds []simulation.Find
	for _, bug := range bugs {
		find := simulation.Seek(bug, c.options, c.seeds, c.progress(bad, string(bug)+": "))
		finds = append(finds, find)
		if !find.Found {
			code = 1
		}
	}
	if c.json {
		_ = printJSON(out, finds)
		return code
	}
	simulation.FindTable(out, finds)
	return code
}

// replayCase runs a kept case again.
func (c command) replayCase(out io.Writer) (code int, err error) {
	kept, err := simulation.ReadCase(c.replay)
	if err != nil {
		return 0, err
	}
	result := kept.Replay(func(line string) {
		if !c.quiet && !c.json {
			_, _ = fmt.Fprintln(out, line)
		}
	})
	if c.json {
		err = printJSON(out, result)
	} else if result.Failure == "" {
		_, _ = fmt.Fprintln(out, "nothing failed")
	} else {
		_, _ = fmt.Fprintf(out, "failed at %s: %s\n", result.At, result.Failure)
	}
	if result.Failure != "" {
		code = 1
	}
	return code, err
}

func printJSON(out io.Writer, value any) (err error) {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return simulation.Class.Wrap(err)
	}
	_, err = fmt.Fprintln(out, string(data))
	return simulation.Class.Wrap(err)
}
