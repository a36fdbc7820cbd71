// The tinpin command: one binary, a word for each role and tool.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"tinpin/internal/adminclient"
	"tinpin/internal/controller"
	"tinpin/internal/diagnostics"
	"tinpin/internal/eventlog"
	"tinpin/internal/proxy"
	"tinpin/internal/settings"
)

// Version is what "tinpin version" says.
const Version = "0.3.0"

const usage = `tinpin, a global load balancer

  tinpin passage                       carry traffic and answer name queries (edge)
  tinpin accord                        hold configuration and membership (core)
  tinpin check-props FILE              check a settings file
  tinpin status [-at ADDR,..] [-json]  how all daemons stand
  tinpin trace [-at ADDR,..] KIND NAME follow a change through all daemons
  tinpin trace -logs FILE,.. KIND NAME the same from logs
  tinpin drain set|check FILE          set the drain policy, or check it only
  tinpin drain show|withdraw VERSION   read it and the retired back; withdraw it
  tinpin drain retire [-wait TIME] ID  send a backend no new callers
  tinpin drain restore ID              take that back; -order NAME to send either again
  tinpin plan set|check FILE           set the day's plan, or check it only
  tinpin plan show|withdraw VERSION    read it and its steps back; withdraw it
  tinpin retry set|check FILE          set the limit on retries, or check it only
  tinpin retry show|withdraw VERSION   read it and how it is kept back; withdraw it
  tinpin affinity set|check FILE       set session affinity, or check it only
  tinpin affinity show|withdraw VERSION  read it and its sessions back; withdraw it
  tinpin version                       print the version
  tinpin help                          print this

The daemons read the settings file that TINPIN_CONFIG names. The tools ask the
accord daemons at the inner addresses given by -at, or else those behind the
seeds of that file. KIND is item (as in item routes/r1), evacuation, backend
health, document, retirement, move or session. drain, plan, retry and affinity
ask the control addresses given by -control, or else the seeds of that file. A tool ends with 1 where something is amiss, with 2 for wrong use.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out one command line.
func run(args []string, out, bad io.Writer) (code int) {
	wrong := func(format string, parts ...any) int {
		_, _ = fmt.Fprintf(bad, "tinpin: "+format+"; see 'tinpin help'\n", parts...)
		return 2
	}
	if len(args) == 0 {
		return wrong("no command")
	}
	word, rest := args[0], args[1:]
	if verbs, orders := adminclient.Verbs[word]; orders {
		return ordered(word, verbs, rest, out, bad, wrong)
	}
	if word == "-h" || word == "--help" || word == "-help" {
		word = "help"
	}
	wants := map[string]int{"help": 0, "version": 0, "passage": 0, "accord": 0, "check-props": 1, "status": 0, "trace": 2}
	want, known := wants[word]
	if !known {
		return wrong("unknown command %q", word)
	}
	set := flag.NewFlagSet(word, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	at, logs, asJSON := new(string), new(string), new(bool)
	if word == "status" || word == "trace" {
		set.StringVar(at, "at", "", "")
	}
	if word == "status" {
		set.BoolVar(asJSON, "json", false, "")
	}
	if word == "trace" {
		set.StringVar(logs, "logs", "", "")
	}
	if err := set.Parse(rest); err != nil {
		return wrong("%s: %v", word, err)
	}
	words := set.Args()
	if len(words) != want {
		return wrong("%s takes %d argument(s), not %d", word, want, len(words))
	}
	switch word {
	case "help":
		_, _ = io.WriteString(out, usage)
		return 0
	case "version":
		_, _ = fmt.Fprintln(out, "tinpin", Version)
		return 0
	case "check-props":
		if _, err := settings.Load(words[0]); err != nil {
			_, _ = fmt.Fprintln(bad, "tinpin:", err)
			return 2
		}
		_, _ = fmt.Fprintln(out, "settings are good")
		return 0
	case "status", "trace":
		if word == "trace" && !diagnostics.KnownKind(words[0]) {
			return wrong("trace: unknown kind %q", words[0])
		}
		good, err := look(word, words, *at, *logs, *asJSON, out)
		if err != nil {
			_, _ = fmt.Fprintln(bad, "tinpin:", err)
		}
		if err != nil || !good {
			return 1
		}
		return 0
	}
	return serve(word, bad)
}

// ordered carries out one of the operator's orders.
func ordered(word string, verbs map[string]int, rest []string, out, bad io.Writer, wrong func(string, ...any) int) (code int) {
	if len(rest) == 0 {
		return wrong("%s wants a verb", word)
	}
	verb := rest[0]
	want, known := verbs[verb]
	if !known {
		return wrong("%s knows no %q", word, verb)
	}
	set := flag.NewFlagSet(word, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	control := set.String("control", "", "")
	wait := set.Duration("wait", 0, "")
	name := set.String("order", "", "")
	if err := set.Parse(rest[1:]); err != nil {
		return wrong("%s %s: %v", word, verb, err)
	}
	if set.NArg() != want {
		return wrong("%s %s takes %d argument(s), not %d", word, verb, want, set.NArg())
	}
	controls := strings.Split(*control, ",")
	if *control == "" {
		p, err := settings.Load(os.Getenv("TINPIN_CONFIG"))
		if err != nil {
			_, _ = fmt.Fprintln(bad, "tinpin:", err)
			return 1
		}
		controls = p.Seeds
	}
	desk := &adminclient.Client{Addresses: controls, Wait: *wait, RequestName: *name}
	good, err := desk.Run(context.Background(), out, word, verb, set.Args())
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin:", err)
	}
	if err != nil || !good {
		return 1
	}
	return 0
}

// look carries out one of the operator's tools.
func look(word string, words []string, at, logs string, asJSON bool, out io.Writer) (good bool, err error) {
	if logs != "" {
		return true, diagnostics.TraceLogs(out, strings.Split(logs, ","), words[0], words[1])
	}
	starts := strings.Split(at, ",")
	if at == "" {
		p, loadErr := settings.Load(os.Getenv("TINPIN_CONFIG"))
		if loadErr != nil {
			return false, loadErr
		}
		starts = nil
		for _, seed := range p.Seeds {
			starts = append(starts, p.SeedInternalAddress(seed))
		}
	}
	fleet, err := diagnostics.Inspect(starts)
	if err != nil {
		return false, err
	}
	if word == "status" {
		return fleet.Status(out, asJSON)
	}
	return fleet.Trace(out, words[0], words[1])
}

type daemon interface {
	Reload(settings.Settings)
	Stop()
}

// serve runs a role until it is told to stop.
func serve(role string, bad io.Writer) (code int) {
	path := os.Getenv("TINPIN_CONFIG")
	p, err := settings.Load(path)
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin:", err)
		return 2
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(p.MemoryMB) << 20 * 6 / 10)
	log := eventlog.New(p.Name)
	var running daemon
	if role == "passage" {
		running, err = proxy.Start(p, log)
	} else {
		running, err = controller.Start(p, log)
	}
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin:", err)
		return 1
	}
	log.Emit(eventlog.Started, "role", role, eventlog.KeyVersion, Version)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	renew := time.NewTicker(2 * time.Second)
	defer renew.Stop()
	return attend(running, path, signals, renew.C, log)
}

// attend heeds signals and changes of the settings file until told to stop.
func attend(running daemon, path string, signals <-chan os.Signal, renew <-chan time.Time, log *eventlog.Logger) (code int) {
	last := stamp(path)
	for {
		select {
		case got := <-signals:
			if got != syscall.SIGHUP {
				log.Emit(eventlog.Stopping)
				running.Stop()
				log.Emit(eventlog.Stopped)
				return 0
			}
		case <-renew:
			// The file may change with no signal.
			if stamp(path) == last {
				continue
			}
		}
		last = stamp(path)
		fresh, loadErr := settings.Load(path)
		if loadErr != nil {
			log.Emit(eventlog.SettingsRejected, eventlog.KeyError, loadErr.Error())
			continue
		}
		running.Reload(fresh)
		log.Emit(eventlog.SettingsReloaded)
	}
}

func stamp(path string) (mark string) {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}
