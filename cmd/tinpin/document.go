package main

import (
	"context"
	"strings"

	"tinpin/internal/adminclient"
)

// documentUsage are the forms that all documents have.
func documentUsage(document, status string) (usage [][2]string) {
	return [][2]string{
		{"set|check FILE", "set " + document + ", or check it only"},
		{"show", "read it and " + status + " back"},
		{"withdraw VERSION", "withdraw it"},
	}
}

// runDocument carries out an operator's request on a document or a backend.
func runDocument(call *invocation) (code int) {
	subject := call.command.name
	if len(call.args) == 0 {
		return call.usageError("%s wants a verb", subject)
	}
	verb, rest := call.args[0], call.args[1:]
	want, known := adminclient.Verbs[subject][verb]
	if !known && !isHelp(verb) {
		return call.usageError("%s knows no %q", subject, verb)
	}
	if isHelp(verb) {
		rest = call.args
	}
	flags := newFlags(subject)
	control := flags.String("control", "", "control addresses of controllers, by commas (default: the seeds)")
	wait := flags.Duration("wait", 0, "how long to wait until all nodes follow a retirement")
	request := flags.String("order", "", "name of a retirement or restoration, to send it again as the same")
	words, code, done := call.parse(subject+" "+verb, flags, rest, want)
	if done {
		return code
	}
	addresses := strings.Split(*control, ",")
	if *control == "" {
		p, err := loadSettings()
		if err != nil {
			return call.fail(err, exitFailure)
		}
		addresses = p.Seeds
	}
	client := &adminclient.Client{Addresses: addresses, Wait: *wait, RequestName: *request}
	return call.result(client.Run(context.Background(), call.out, subject, verb, words))
}

func isHelp(word string) bool { return word == "-h" || word == "-help" || word == "--help" }
