// The tinpin-soak command runs the real programs on loopback addresses under a schedule
// of signals, changes and faults, and accounts for every request. It ends with 0 if every
// rule was kept, 1 if one was broken, 2 on wrong use or where it cannot be played.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tinpin/internal/soak"
)

const usage = `tinpin-soak runs the programs under signals, restarts and changes, and accounts for every request

  tinpin-soak [-seed N] [-for TIME] [-shape directory|gateway] [-size small|medium|large]
              [-proxies N] [-controllers N] [-backends N] [-clients N]
              [-programs FOLDER] [-print] [-schedule FILE] [-json]

A schedule is drawn from the seed (default 1; a minute, directory, small). -print shows it and plays
nothing; what it shows can be kept in a file and played again with -schedule. The programs are those in
target/ unless -programs names another folder. The four numbers replace those of the size; all processes
together may take half of the machine's memory. It ends with 0 if every rule was kept, 1 if one was
broken, 2 on wrong use or where it cannot be played; interrupted, it ends all that it has started.
`

// The exit codes.
const (
	exitKept = iota
	exitBroken
	exitNotPlayed
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// call is what the command line asks for.
type call struct {
	options                soak.Options
	shape, size            string
	schedulePath, programs string
	print, asJSON          bool
}

// flags declares the flags of a call.
func (c *call) flags() (set *flag.FlagSet) {
	set = flag.NewFlagSet("tinpin-soak", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.Uint64Var(&c.options.Seed, "seed", 1, "")
	set.DurationVar(&c.options.Time, "for", time.Minute, "")
	set.StringVar(&c.shape, "shape", soak.Directory.String(), "")
	set.StringVar(&c.size, "size", "small", "")
	set.IntVar(&c.options.Size.Proxies, "proxies", 0, "")
	set.IntVar(&c.options.Size.Controllers, "controllers", 0, "")
	set.IntVar(&c.options.Size.Backends, "backends", 0, "")
	set.IntVar(&c.options.Size.Clients, "clients", 0, "")
	set.StringVar(&c.programs, "programs", "target", "")
	set.StringVar(&c.schedulePath, "schedule", "", "")
	set.BoolVar(&c.print, "print", false, "")
	set.BoolVar(&c.asJSON, "json", false, "")
	return set
}

// schedule is what is to be played.
func (c *call) schedule() (schedule soak.Schedule, err error) {
	if c.schedulePath != "" {
		file, openErr := os.Open(c.schedulePath)
		if openErr != nil {
			return schedule, openErr
		}
		defer func() { _ = file.Close() }()
		if schedule, err = soak.ReadSchedule(file); err != nil {
			return schedule, fmt.Errorf("%s: %w", c.schedulePath, err)
		}
		return schedule, schedule.Check(machineMemoryMB())
	}
	if c.options.Shape, err = soak.ParseShape(c.shape); err != nil {
		return schedule, err
	}
	size, err := soak.ParseSize(c.size)
	if err != nil {
		return schedule, err
	}
	asked := c.options.Size
	for _, part := range []struct{ into, asked *int }{
		{&size.Proxies, &asked.Proxies},
		{&size.Controllers, &asked.Controllers},
		{&size.Backends, &asked.Backends},
		{&size.Clients, &asked.Clients},
	} {
		if *part.asked != 0 {
			*part.into = *part.asked
		}
	}
	c.options.Size = size
	if err = c.options.Check(machineMemoryMB()); err != nil {
		return schedule, err
	}
	return soak.Draw(c.options), nil
}

// machineMemoryMB is the memory of this machine; 0 where it cannot be read.
func machineMemoryMB() (size int) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

func run(args []string, out, bad io.Writer) (code int) {
	wrong := func(err error) int {
		_, _ = fmt.Fprintln(bad, "tinpin-soak:", err)
		return exitNotPlayed
	}
	c := &call{}
	set := c.flags()
	if err := set.Parse(args); errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(out, usage)
		return exitKept
	} else if err != nil {
		return wrong(fmt.Errorf("%w; see 'tinpin-soak -help'", err))
	}
	if set.NArg() > 0 {
		return wrong(fmt.Errorf("what is %q? see 'tinpin-soak -help'", set.Arg(0)))
	}
	schedule, err := c.schedule()
	if err != nil {
		return wrong(err)
	}
	if c.print {
		if err = schedule.Write(out); err != nil {
			return wrong(err)
		}
		return exitKept
	}
	report, err := play(schedule, c.programs)
	if err != nil {
		return wrong(err)
	}
	if c.asJSON {
		if err = report.WriteJSON(out); err != nil {
			return wrong(err)
		}
	} else {
		report.Write(out)
	}
	if !report.Good() {
		return exitBroken
	}
	return exitKept
}

// play plays a schedule, and ends everything that it has started, also when interrupted.
func play(schedule soak.Schedule, programs string) (report *soak.Report, err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	system, err := soak.Open(schedule, programs)
	if err != nil {
		return nil, err
	}
	defer system.Close()
	return system.Play(ctx)
}
