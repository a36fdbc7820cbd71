package main

import (
	"strings"

	"tinpin/internal/diagnostics"
)

var statusCommand = command{
	name:  "status",
	usage: [][2]string{{"[-at ADDR,..] [-json]", "how all daemons stand"}},
	run:   runStatus,
}

func runStatus(call *invocation) (code int) {
	flags := newFlags("status")
	at := flags.String("at", "", "internal addresses of controllers, by commas (default: those behind the seeds)")
	asJSON := flags.Bool("json", false, "print JSON")
	if _, code, done := call.parse("status", flags, call.args, 0); done {
		return code
	}
	fleet, err := lookAt(*at)
	if err != nil {
		return call.fail(err, exitFailure)
	}
	return call.result(fleet.Status(call.out, *asJSON))
}

// lookAt asks all daemons, beginning with the controllers at some addresses, or
// else with those behind the seeds of the settings.
func lookAt(addresses string) (fleet *diagnostics.Fleet, err error) {
	if addresses != "" {
		return diagnostics.Inspect(strings.Split(addresses, ","))
	}
	p, err := loadSettings()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, seed := range p.Seeds {
		seeds = append(seeds, p.SeedInternalAddress(seed))
	}
	return diagnostics.Inspect(seeds)
}
