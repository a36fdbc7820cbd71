package main

import (
	"tinpin/internal/controller"
	"tinpin/internal/eventlog"
	"tinpin/internal/settings"
)

var controllerCommand = command{
	name:  "controller",
	usage: [][2]string{{"", "hold configuration and membership (core)"}},
	run: func(call *invocation) (code int) {
		return serve(call, func(p settings.Settings, log *eventlog.Logger) (running daemon, err error) {
			return controller.Start(p, log)
		})
	},
}
