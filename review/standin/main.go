// Program standin plays one case of the review: it starts the project's programs as processes on loopback
// addresses, with stand-ins for the platform, the backends, the clients and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// longestPlay is after which time a case counts as one that could not run.
const longestPlay = 115 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case; trouble tells that it is played with its disruption. It gives what breaks the rule.
type play func(log *record, trouble bool) (broken []string, err error)

// plays are the cases by name.
var plays = map[string]play{
	"uploads": playUploads,
	"bodies":  playBodies,
	"limits":  playLimits,
	"leader":  playLeader,
}

func main() { os.Exit(runCase()) }

// runCase plays the case of the first argument into the file of the second.
func runCase() (code int) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE RECORD")
		return exitNotRun
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(longestPlay, func() {
		log.write("the case took too long")
		os.Exit(exitNotRun)
	})
	broken, err := plays[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.write("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, what := range broken {
		log.write("BROKEN %s", what)
		fmt.Println("broken:", what)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	log.write("the rule held")
	fmt.Println("held")
	return exitHeld
}
