// The tinpin command: one binary, a word for each role and tool.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"tinpin/internal/council"
	"tinpin/internal/events"
	"tinpin/internal/passage"
	"tinpin/internal/props"
)

// Version is what "tinpin version" says.
const Version = "0.1.0"

const usage = `tinpin, a global load balancer

  tinpin passage            carry traffic and answer name queries (edge)
  tinpin accord             hold configuration and membership (core)
  tinpin check-props FILE   check a settings file
  tinpin version            print the version
  tinpin help               print this

The daemons read the settings file that TINPIN_CONFIG names.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out one command line.
func run(args []string, out, bad io.Writer) (code int) {
	set := flag.NewFlagSet("tinpin", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	if err := set.Parse(args); err != nil {
		if err == flag.ErrHelp {
			_, _ = io.WriteString(out, usage)
			return 0
		}
		_, _ = fmt.Fprintf(bad, "tinpin: %v; see 'tinpin help'\n", err)
		return 2
	}
	words := set.Args()
	if len(words) == 0 {
		_, _ = fmt.Fprintln(bad, "tinpin: no command; see 'tinpin help'")
		return 2
	}
	wants := map[string]int{"help": 0, "version": 0, "passage": 0, "accord": 0, "check-props": 1}
	want, known := wants[words[0]]
	if !known {
		_, _ = fmt.Fprintf(bad, "tinpin: unknown command %q; see 'tinpin help'\n", words[0])
		return 2
	}
	if len(words)-1 != want {
		_, _ = fmt.Fprintf(bad, "tinpin: %s takes %d argument(s), not %d; see 'tinpin help'\n", words[0], want, len(words)-1)
		return 2
	}
	switch words[0] {
	case "help":
		_, _ = io.WriteString(out, usage)
		return 0
	case "version":
		_, _ = fmt.Fprintln(out, "tinpin", Version)
		return 0
	case "check-props":
		if _, err := props.Load(words[1]); err != nil {
			_, _ = fmt.Fprintln(bad, "tinpin:", err)
			return 2
		}
		_, _ = fmt.Fprintln(out, "settings are good")
		return 0
	}
	return serve(words[0], bad)
}

type daemon interface {
	Renew(props.Props)
	Stop()
}

// serve runs a role until it is told to stop.
func serve(role string, bad io.Writer) (code int) {
	path := os.Getenv("TINPIN_CONFIG")
	p, err := props.Load(path)
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin:", err)
		return 2
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(p.MemoryMB) << 20 * 6 / 10)
	log := events.New(p.Name)
	var running daemon
	if role == "passage" {
		running, err = passage.Start(p, log)
	} else {
		running, err = council.Start(p, log)
	}
	if err != nil {
		_, _ = fmt.Fprintln(bad, "tinpin:", err)
		return 1
	}
	log.Say(events.Started, "role", role, "version", Version)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	renew := time.NewTicker(2 * time.Second)
	defer renew.Stop()
	last := stamp(path)
	for {
		select {
		case got := <-signals:
			if got != syscall.SIGHUP {
				log.Say(events.Stopping)
				running.Stop()
				log.Say(events.Stopped)
				return 0
			}
		case <-renew.C:
			// The file may change with no signal.
			if now := stamp(path); now == last {
				continue
			}
		}
		last = stamp(path)
		fresh, loadErr := props.Load(path)
		if loadErr != nil {
			log.Say(events.PropsRefused, "problem", loadErr.Error())
			continue
		}
		running.Renew(fresh)
		log.Say(events.PropsTaken)
	}
}

func stamp(path string) (mark string) {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}
