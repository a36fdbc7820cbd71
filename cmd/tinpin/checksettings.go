package main

import (
	"fmt"

	"tinpin/internal/settings"
)

var checkSettingsCommand = command{
	name:  "check-settings",
	usage: [][2]string{{"FILE", "check a settings file"}},
	run: func(call *invocation) (code int) {
		words, code, done := call.parse("check-settings", newFlags("check-settings"), call.args, 1)
		if done {
			return code
		}
		if _, err := settings.Load(words[0]); err != nil {
			return call.fail(err, exitUsage)
		}
		_, _ = fmt.Fprintln(call.out, "settings are good")
		return exitOK
	},
}
