package main

import (
	"tinpin/internal/eventlog"
	"tinpin/internal/proxy"
	"tinpin/internal/settings"
)

var proxyCommand = command{
	name:  "proxy",
	usage: [][2]string{{"", "carry traffic and answer name queries (edge)"}},
	run: func(call *invocation) (code int) {
		return serve(call, func(p settings.Settings, log *eventlog.Logger) (running daemon, err error) {
			return proxy.Start(p, log)
		})
	},
}
