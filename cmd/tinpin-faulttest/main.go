// The tinpin-faulttest command sends operations through real daemons on loopback to
// stand-ins for backends that inject faults, and accounts for every run and every
// response by id. It ends by itself, with 1 on any mismatch.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"tinpin/internal/faulttest"
	"tinpin/internal/localcluster"
)

const usage = `tinpin-faulttest accounts for every run and every response, on loopback

  tinpin-faulttest [-rounds N] [-for TIME] [-clients N] [-seed N] [-json]

A round is one operation with its attempts. It ends after that many rounds (default 20000)
or that time (5m), whichever comes first; default are four clients for each processor, 24 at
most, and seed 1. The stand-ins for the backends reset, garble, delay, time out and duplicate
their responses at random by the seed; which request meets which fault also depends on timing.
The table's columns from "repeats" on are mismatches, which must be 0. It ends with
0 if all agree, 1 on a mismatch or if it could not be played, 2 on a wrong flag.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, bad io.Writer) (code int) {
	wrong := func(err error, code int) int {
		_, _ = fmt.Fprintln(bad, "tinpin-faulttest:", err)
		return code
	}
	options := faulttest.DefaultOptions
	set := flag.NewFlagSet("tinpin-faulttest", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.IntVar(&options.Operations, "rounds", options.Operations, "")
	set.DurationVar(&options.Time, "for", options.Time, "")
	set.IntVar(&options.Clients, "clients", options.Clients, "")
	set.Uint64Var(&options.Seed, "seed", options.Seed, "")
	asJSON := set.Bool("json", false, "")
	if err := set.Parse(args); err != nil {
		if err == flag.ErrHelp {
			_, _ = io.WriteString(out, usage)
			return 0
		}
		return wrong(fmt.Errorf("%w; see 'tinpin-faulttest -help'", err), 2)
	}
	if set.NArg() > 0 {
		return wrong(fmt.Errorf("what is %q? see 'tinpin-faulttest -help'", set.Arg(0)), 2)
	}
	if err := options.Check(); err != nil {
		return wrong(err, 2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	system, err := faulttest.Open(localcluster.Hosts())
	if err != nil {
		return wrong(err, 1)
	}
	defer system.Close()
	report, err := system.Play(ctx, options)
	if err != nil {
		return wrong(err, 1)
	}
	if *asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", " ")
		_ = encoder.Encode(report)
	} else {
		report.Table(out)
	}
	if !report.Good() {
		return 1
	}
	return 0
}
