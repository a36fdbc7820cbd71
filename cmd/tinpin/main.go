// The tinpin command: one binary with a subcommand for each role and tool. Each
// subcommand has a file of its own with its flags and its help; main only finds
// it in the table.
package main

import (
	"io"
	"os"
)

// Version is what "tinpin version" prints.
const Version = "0.3.0"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out one command line.
func run(args []string, out, errOut io.Writer) (code int) {
	call := &invocation{out: out, errOut: errOut}
	if len(args) == 0 {
		return call.usageError("no command")
	}
	name, rest := args[0], args[1:]
	if name == "-h" || name == "--help" || name == "-help" {
		name = "help"
	}
	if successor, renamed := renamedCommands[name]; renamed {
		return call.usageError("command %q is now called %q", name, successor)
	}
	found, known := findCommand(name)
	if !known {
		return call.usageError("unknown command %q", name)
	}
	call.command, call.args = found, rest
	return found.run(call)
}
