package main

import "fmt"

var versionCommand = command{
	name:  "version",
	usage: [][2]string{{"", "print the version"}},
	run: func(call *invocation) (code int) {
		if _, code, done := call.parse("version", newFlags("version"), call.args, 0); done {
			return code
		}
		_, _ = fmt.Fprintln(call.out, "tinpin", Version)
		return exitOK
	},
}
