// The tinpin-trial command plays the control side by seed in simulated time and
// checks it; see docs/trial.md.
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

const usage = `tinpin-trial plays the control side of tinpin by seed, in simulated time, and checks it

  tinpin-trial [RANGE] [SIZE..] [-troubles KIND,..]   play seeds, say what broke
  tinpin-trial [RANGE] [SIZE..] -plant NAME|all       put a fault in and say after how many seeds it is found
  tinpin-trial -replay FILE [-quiet]                  play a kept case again, step by step
  tinpin-trial -list                                  kinds of trouble and planted faults

RANGE is -seeds and -from, with -parallel and -limit (of real time). SIZE is -length
(of simulated time), -cores, -losses, -operators, -edges, -gap (between troubles) and
-catch-up. A seed that breaks is made shorter and kept in the folder that -keep names;
-json prints JSON instead of a table. Progress goes to the error output.

Exit codes: 0 nothing broke (or every planted fault was found), 1 something broke (or
a planted fault was not found), 2 the call cannot be carried out.

`

// casesMost is how many cases of one hunt are made shorter and kept.
const casesMost = 3

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// trialCall is what the command line asks for.
type trialCall struct {
	options simulation.Options
	seeds   simulation.Range
	kinds   string
	plant   string
	replay  string
	keep    string
	json    bool
	list    bool
	quiet   bool
}

func read(args []string, bad io.Writer) (call trialCall, err error) {
	call.options = simulation.DefaultOptions()
	set := flag.NewFlagSet("tinpin-trial", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.IntVar(&call.seeds.Seeds, "seeds", 100, "how many seeds are played")
	set.Int64Var(&call.seeds.From, "from", 1, "the first seed")
	set.IntVar(&call.seeds.Parallel, "parallel", 2, "how many are played side by side")
	set.DurationVar(&call.seeds.Limit, "limit", 10*time.Minute, "after which real time no further seed is begun")
	set.DurationVar(&call.options.Length, "length", call.options.Length, "the simulated time of troubles")
	set.IntVar(&call.options.Controllers, "cores", call.options.Controllers, "how many cores there are")
	set.IntVar(&call.options.Losses, "losses", call.options.Losses, "how many lost cores are borne")
	set.IntVar(&call.options.Operators, "operators", call.options.Operators, "how many operators there are")
	set.IntVar(&call.options.Edges, "edges", call.options.Edges, "how many edges there are")
	set.DurationVar(&call.options.Gap, "gap", call.options.Gap, "the mean time between troubles")
	set.DurationVar(&call.options.CatchUp, "catch-up", call.options.CatchUp, "how long a core counts as lost once it is back")
	set.StringVar(&call.kinds, "troubles", "all", "kinds of trouble, or all, or none")
	set.StringVar(&call.plant, "plant", "", "a fault to put in, or all of them")
	set.StringVar(&call.replay, "replay", "", "a kept case to play again")
	set.StringVar(&call.keep, "keep", "", "a folder for cases that broke; without it none is kept")
	set.BoolVar(&call.json, "json", false, "print JSON")
	set.BoolVar(&call.list, "list", false, "list kinds of trouble and planted faults")
	set.BoolVar(&call.quiet, "quiet", false, "tell no progress and no steps")
	if err = set.Parse(args); err != nil {
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
	var faults []string
	for _, check := range []func() error{
		call.options.Check,
		call.seeds.Check,
		func() (kindErr error) {
			call.options.Faults, kindErr = simulation.ParseFaultKinds(call.kinds)
			return kindErr
		},
		func() error {
			if call.plant != "" && call.plant != "all" && !simulation.InjectedBug(call.plant).Known() {
				return simulation.Class.New("unknown planted fault %q", call.plant)
			}
			return nil
		},
	} {
		if fault := check(); fault != nil {
			faults = append(faults, strings.TrimPrefix(fault.Error(), "trial: "))
		}
	}
	if len(faults) > 0 {
		return call, simulation.Class.New("%s", strings.Join(faults, "; "))
	}
	return call, nil
}

func run(args []string, out, bad io.Writer) (code int) {
	call, err := read(args, bad)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil {
		switch {
		case call.list:
			list(out)
		case call.replay != "":
			code, err = call.again(out)
		case call.plant != "":
			code = call.seek(out, bad)
		default:
			code, err = call.hunt(out, bad)
		}
	}
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin-trial:", err)
		return 2
	}
	return code
}

func list(out io.Writer) {
	_, _ = fmt.Fprintln(out, "troubles:")
	for _, known := range simulation.FaultKindTexts {
		_, _ = fmt.Fprintf(out, "  %-14s %s\n", known.Kind, known.Text)
	}
	_, _ = fmt.Fprintln(out, "planted faults:")
	for _, known := range simulation.InjectedBugTexts {
		_, _ = fmt.Fprintf(out, "  %-14s %s\n", known.Plant, known.Text)
	}
}

// progress tells now and then how far a hunt is.
func (c trialCall) progress(bad io.Writer, what string) (told func(report simulation.Report)) {
	last := time.Now()
	return func(report simulation.Report) {
		if c.quiet || time.Since(last) < 5*time.Second {
			return
		}
		last = time.Now()
		_, _ = fmt.Fprintln(bad, what+report.Line())
	}
}

func (c trialCall) hunt(out, bad io.Writer) (code int, err error) {
	report := simulation.Hunt(c.options, c.seeds, c.progress(bad, ""))
	if c.json {
		err = print(out, report)
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
	for _, verdict := range report.Broken {
		check := simulation.CheckOf(verdict.Failure)
		if kept[check] || len(kept) == casesMost {
			continue
		}
		kept[check] = true
		short := simulation.CaseOf(verdict, c.options).Shorten(time.Minute)
		path := filepath.Join(c.keep, fmt.Sprintf("trial-%d.json", verdict.Seed))
		if err = short.Write(path); err != nil {
			return 1, err
		}
		_, _ = fmt.Fprintf(bad, "seed %d is kept in %s, with %d of %d troubles and %s: %s\n", verdict.Seed, path, len(short.Faults), short.Drawn, short.Options.Length, short.Failure)
	}
	return 1, nil
}

func (c trialCall) seek(out, bad io.Writer) (code int) {
	plants := simulation.InjectedBugs()
	if c.plant != "all" {
		plants = []simulation.InjectedBug{simulation.InjectedBug(c.plant)}
	}
	var finds []simulation.Find
	for _, plant := range plants {
		find := simulation.Seek(plant, c.options, c.seeds, c.progress(bad, string(plant)+": "))
		finds = append(finds, find)
		if !find.Found {
			code = 1
		}
	}
	if c.json {
		_ = print(out, finds)
		return code
	}
	simulation.FindTable(out, finds)
	return code
}

func (c trialCall) again(out io.Writer) (code int, err error) {
	kept, err := simulation.ReadCase(c.replay)
	if err != nil {
		return 0, err
	}
	verdict := kept.Replay(func(line string) {
		if !c.quiet && !c.json {
			_, _ = fmt.Fprintln(out, line)
		}
	})
	if c.json {
		err = print(out, verdict)
	} else if verdict.Failure == "" {
		_, _ = fmt.Fprintln(out, "nothing broke")
	} else {
		_, _ = fmt.Fprintf(out, "broke at %s: %s\n", verdict.At, verdict.Failure)
	}
	if verdict.Failure != "" {
		code = 1
	}
	return code, err
}

func print(out io.Writer, what any) (err error) {
	data, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return simulation.Class.Wrap(err)
	}
	_, err = fmt.Fprintln(out, string(data))
	return simulation.Class.Wrap(err)
}
