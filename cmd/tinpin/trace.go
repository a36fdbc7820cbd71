package main

import (
	"strings"

	"tinpin/internal/diagnostics"
)

var traceCommand = command{
	name: "trace",
	usage: [][2]string{
		{"[-at ADDR,..] KIND NAME", "follow a change through all daemons"},
		{"-logs FILE,.. KIND NAME", "the same from logs"},
	},
	details: `KIND is item (as in item routes/r1), evacuation, backend, health, document,
retirement, move or session.
`,
	run: runTrace,
}

func runTrace(call *invocation) (code int) {
	flags := newFlags("trace")
	at := flags.String("at", "", "internal addresses of controllers, by commas (default: those behind the seeds)")
	logs := flags.String("logs", "", "log files to read in place of asking, by commas")
	words, code, done := call.parse("trace", flags, call.args, 2)
	if done {
		return code
	}
	kind, name := words[0], words[1]
	if !diagnostics.KnownKind(kind) {
		return call.usageError("trace: unknown kind %q", kind)
	}
	if *logs != "" {
		return call.result(true, diagnostics.TraceLogs(call.out, strings.Split(*logs, ","), kind, name))
	}
	fleet, err := lookAt(*at)
	if err != nil {
		return call.fail(err, exitFailure)
	}
	return call.result(fleet.Trace(call.out, kind, name))
}
