// The tinpin-load command measures what the control plane costs at given sizes, with
// real controllers and stub nodes on loopback; see docs/CAPACITY.md.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"tinpin/internal/loadtest"
)

const usage = `tinpin-load measures the control plane of tinpin on this machine

  tinpin-load [-span TIME] [-json] [SIZE..]                 one size
  tinpin-load [-span TIME] [-json] [SIZE..] -vary NAME=A,B,..  several, one variable changed
  tinpin-load [-json] -path REQUESTS                        what the request path adds
  tinpin-load -reckon FOLDER                                slopes and totals from kept points

SIZE is -nodes, -backends, -services, -routes, -tenants, and a second each -changes
(of the configuration), -members (nodes that start anew), -claims (of keys) and
-reports (of health). What is not given has its default. Real controllers and stub nodes run
as processes of this program; they talk to loopback only and end with it. It uses at
most half of the memory that is free, and refuses a size that needs more.
`

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// report is what is printed as JSON.
type report struct {
	Commit string                  `json:"commit"`
	Points []loadtest.Point        `json:"points,omitempty"`
	Fits   map[string]loadtest.Fit `json:"fits,omitempty"`
	Path   *loadtest.PathPoint     `json:"path,omitempty"`
}

// command is what the command line asks for.
type command struct {
	size   loadtest.Size
	span   time.Duration
	asJSON bool
	vary   string
	// path is the number of requests that measure the request path; 0 measures the control plane.
	path int
	// sweeps is the folder of kept points from which slopes and totals are computed.
	sweeps string
}

func run(args []string, in io.Reader, out, bad io.Writer) (code int) {
	if len(args) == 1 {
		if known, err := loadtest.RunWorker(args[0], in, out); known {
			return exitCode(err, 2, bad)
		}
	}
	call, err := parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = io.WriteString(out, usage)
		return 0
	case err != nil:
		return exitCode(err, 2, bad)
	case call.sweeps != "":
		return exitCode(call.printSweeps(out), 2, bad)
	case call.path != 0:
		return exitCode(call.measurePath(out), 2, bad)
	}
	return call.measureSizes(out, bad)
}

// exitCode prints an error, if there is one, and gives the exit code: failed or 0.
func exitCode(err error, failed int, bad io.Writer) (code int) {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(bad, "tinpin-load:", err)
	return failed
}

// parse reads the command line.
func parse(args []string) (call command, err error) {
	call.size = loadtest.DefaultSize
	set := flag.NewFlagSet("tinpin-load", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	for _, name := range loadtest.Names {
		set.IntVar(call.size.At(name), name, *call.size.At(name), "")
	}
	set.DurationVar(&call.span, "span", 5*time.Second, "")
	set.BoolVar(&call.asJSON, "json", false, "")
	set.StringVar(&call.vary, "vary", "", "")
	set.IntVar(&call.path, "path", 0, "")
	set.StringVar(&call.sweeps, "reckon", "", "")
	if err = set.Parse(args); err != nil {
		return call, fmt.Errorf("%w; see 'tinpin-load -help'", err)
	}
	if set.NArg() > 0 {
		return call, fmt.Errorf("what is %q? see 'tinpin-load -help'", set.Arg(0))
	}
	return call, nil
}

func (c command) printSweeps(out io.Writer) (err error) {
	sweeps, err := loadtest.Sweeps(c.sweeps)
	if err != nil {
		return err
	}
	_, _ = io.WriteString(out, loadtest.Table(sweeps))
	return nil
}

func (c command) measurePath(out io.Writer) (err error) {
	measured := report{Commit: commit()}
	point, err := loadtest.MeasurePath(c.path)
	if err != nil {
		return err
	}
	measured.Path = &point
	writeReport(measured, c.asJSON, out)
	return nil
}

// measureSizes measures the size that was asked for, or each that varies it. The exit code is 2
// where nothing was started and 1 where a measurement failed.
func (c command) measureSizes(out, bad io.Writer) (code int) {
	sizes, name, err := varied(c.size, c.vary)
	if err != nil {
		return exitCode(err, 2, bad)
	}
	// All sizes are looked over before anything is started.
	for _, each := range sizes {
		if err = each.Check(c.span, room()); err != nil {
			return exitCode(err, 2, bad)
		}
	}
	program, err := os.Executable()
	if err != nil {
		return exitCode(err, 2, bad)
	}
	measured := report{Commit: commit()}
	for _, each := range sizes {
		point, measureErr := loadtest.Measure(program, each, c.span)
		if measureErr != nil {
			return exitCode(measureErr, 1, bad)
		}
		point.Variable = name
		measured.Points = append(measured.Points, point)
	}
	if name != "" && len(measured.Points) > 1 {
		measured.Fits = loadtest.Fits(name, measured.Points)
	}
	writeReport(measured, c.asJSON, out)
	return 0
}

// varied makes the sizes of a measurement.
func varied(size loadtest.Size, text string) (sizes []loadtest.Size, name string, err error) {
	if text == "" {
		return []loadtest.Size{size}, "", nil
	}
	name, values, _ := strings.Cut(text, "=")
	if size.At(name) == nil {
		return nil, "", fmt.Errorf("vary: unknown variable %q", name)
	}
	for _, value := range strings.Split(values, ",") {
		number, numberErr := strconv.Atoi(value)
		if numberErr != nil {
			return nil, "", fmt.Errorf("vary: %q is no whole number", value)
		}
		*size.At(name) = number
		sizes = append(sizes, size)
	}
	return sizes, name, nil
}

// commit names the source that was built, where the build knows it.
func commit() (name string) {
	name = "unknown"
	if info, known := debug.ReadBuildInfo(); known {
		for _, setting := range info.Settings {
			switch setting.Key {
			case "vcs.revision":
				name = setting.Value
			case "vcs.modified":
				if setting.Value == "true" {
					name += " and changes"
				}
			}
		}
	}
	return name
}

// room is half of the memory that is free.
func room() (bytes int64) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 2 << 30
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemAvailable:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10 / 2
		}
	}
	return 2 << 30
}

func writeReport(measured report, asJSON bool, out io.Writer) {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", " ")
		_ = encoder.Encode(measured)
		return
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "commit "+measured.Commit)
	if measured.Path != nil {
		for _, at := range []string{"p50", "p90", "p99"} {
			_, _ = fmt.Fprintf(table, "%s\tdirect %.3f ms\tthrough an edge %.3f ms\tadded %.3f ms\n",
				at, measured.Path.Direct[at], measured.Path.Through[at],
				measured.Path.Through[at]-measured.Path.Direct[at])
		}
	}
	if len(measured.Points) > 0 {
		_, _ = fmt.Fprintln(table, strings.Join(loadtest.Names, "\t")+
			"\tleader cpu\tMB\tfollower cpu\tMB\tnode cpu\tMB"+
			"\tin B/s\tout B/s\tstart B/node\tchange ms\tdone/s")
	}
	for _, p := range measured.Points {
		for _, name := range loadtest.Names {
			_, _ = fmt.Fprintf(table, "%d\t", *p.Size.At(name))
		}
		_, _ = fmt.Fprintf(table, "%.4f\t%.1f\t%.4f\t%.1f\t%.6f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\n",
			p.LeaderCPU, p.LeaderMB, p.FollowerCPU, p.FollowerMB, p.NodeCPU, p.NodeMB,
			p.LeaderIn, p.LeaderOut, p.StartOut, p.ChangeMS, p.EventRate)
	}
	for _, figure := range loadtest.Figures {
		if fit, known := measured.Fits[figure.Name]; known {
			_, _ = fmt.Fprintf(table, "%s\t%.6g\t+ %.6g each\toff by %.3g at most\n",
				figure.Name, fit.Base, fit.Slope, fit.Residual)
		}
	}
	_ = table.Flush()
}
