package main

import "fmt"

const helpDetails = `The daemons read the settings file that TINPIN_CONFIG names. status and trace ask
the controllers at the internal addresses given by -at, or else those behind the
seeds of that file. drain, plan, retry and affinity ask the control addresses
given by -control, or else the seeds of that file. 'tinpin COMMAND -h' tells more
of one command. A tool ends with 1 where something is amiss, with 2 for wrong use.
`

// helpCommand is a function since the list of commands contains it.
func helpCommand() (help command) {
	return command{
		name:  "help",
		usage: [][2]string{{"", "print this"}},
		run:   runHelp,
	}
}

func runHelp(call *invocation) (code int) {
	if _, code, done := call.parse("help", newFlags("help"), call.args, 0); done {
		return code
	}
	_, _ = fmt.Fprint(call.out, "tinpin, a global load balancer and API gateway\n\n")
	printUsage(call.out, commands()...)
	_, _ = fmt.Fprintf(call.out, "\n%s", helpDetails)
	return exitOK
}
