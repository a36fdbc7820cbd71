package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"tinpin/internal/settings"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailure tells that something is amiss, exitUsage that the command line or
	// the settings are wrong.
	exitFailure = 1
	exitUsage   = 2
)

// settingsVariable names the environment variable with the path of the settings.
const settingsVariable = "TINPIN_CONFIG"

// command is one subcommand.
type command struct {
	name string
	// usage has a line for each form: the arguments, and what it does.
	usage [][2]string
	// details follow the forms in the command's own help.
	details string
	run     func(call *invocation) (code int)
}

// commands lists all subcommands in the order of the help.
func commands() (all []command) {
	return []command{
		proxyCommand, controllerCommand, checkSettingsCommand,
		statusCommand, traceCommand,
		drainCommand, planCommand, retryCommand, affinityCommand,
		versionCommand, helpCommand(),
	}
}

// renamedCommands gives the name of today for each earlier one.
var renamedCommands = map[string]string{"passage": "proxy", "accord": "controller", "check-props": "check-settings"}

func findCommand(name string) (found command, known bool) {
	for _, candidate := range commands() {
		if candidate.name == name {
			return candidate, true
		}
	}
	return found, false
}

// printUsage writes a line for each form of some commands.
func printUsage(out io.Writer, some ...command) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range some {
		for _, form := range c.usage {
			line := "  tinpin " + c.name
			if form[0] != "" {
				line += " " + form[0]
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\n", line, form[1])
		}
	}
	_ = table.Flush()
}

// invocation is one command line that is carried out.
type invocation struct {
	command     command
	args        []string
	out, errOut io.Writer
}

// usageError reports a wrong command line.
func (i *invocation) usageError(format string, parts ...any) (code int) {
	_, _ = fmt.Fprintf(i.errOut, "tinpin: "+format+"; see 'tinpin help'\n", parts...)
	return exitUsage
}

// fail reports an error and gives the code to end with.
func (i *invocation) fail(err error, code int) int {
	_, _ = fmt.Fprintln(i.errOut, "tinpin:", err)
	return code
}

// result gives the code for what a tool found, reporting the error if any.
func (i *invocation) result(good bool, err error) (code int) {
	if err != nil {
		return i.fail(err, exitFailure)
	}
	if !good {
		return exitFailure
	}
	return exitOK
}

// parse reads flags and exactly want arguments from args. If done, the command
// line was wrong or asked for help, and code is what to end with. title names
// the form of the command in messages.
func (i *invocation) parse(
	title string, flags *flag.FlagSet, args []string, want int,
) (words []string, code int, done bool) {
	flags.SetOutput(io.Discard)
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		i.printHelp(flags)
		return nil, exitOK, true
	}
	if err != nil {
		return nil, i.usageError("%s: %v", title, err), true
	}
	if flags.NArg() != want {
		return nil, i.usageError("%s takes %d argument(s), not %d", title, want, flags.NArg()), true
	}
	return flags.Args(), exitOK, false
}

// printHelp writes the command's own help.
func (i *invocation) printHelp(flags *flag.FlagSet) {
	printUsage(i.out, i.command)
	if i.command.details != "" {
		_, _ = fmt.Fprintf(i.out, "\n%s", i.command.details)
	}
	hasFlags := false
	flags.VisitAll(func(*flag.Flag) { hasFlags = true })
	if hasFlags {
		_, _ = fmt.Fprintln(i.out)
		flags.SetOutput(i.out)
		flags.PrintDefaults()
	}
}

// newFlags is an empty set of flags for a command.
func newFlags(name string) (flags *flag.FlagSet) {
	return flag.NewFlagSet(name, flag.ContinueOnError)
}

// loadSettings reads the settings file that the environment names.
func loadSettings() (loaded settings.Settings, err error) {
	return settings.Load(os.Getenv(settingsVariable))
}
