package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/settings"
)

func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	bad := filepath.Join(folder, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"name":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TINPIN_CONFIG", "")
	cases := map[string]struct {
		args []string
		code int
		text string
	}{
		"help":             {[]string{"help"}, 0, "tinpin status"},
		"version":          {[]string{"version"}, 0, Version},
		"nothing":          {nil, 2, "no command"},
		"unknown":          {[]string{"router"}, 2, `unknown command "router"`},
		"earlier proxy":    {[]string{"passage"}, 2, `"passage" is now called "proxy"`},
		"earlier core":     {[]string{"accord"}, 2, `"accord" is now called "controller"`},
		"earlier check":    {[]string{"check-props", bad}, 2, `"check-props" is now called "check-settings"`},
		"too much":         {[]string{"version", "now"}, 2, "takes 0 argument(s), not 1"},
		"no file":          {[]string{"check-settings"}, 2, "takes 1 argument(s)"},
		"bad file":         {[]string{"check-settings", bad}, 2, "seeds must name one daemon or more"},
		"absent file":      {[]string{"check-settings", bad + "x"}, 2, "no such file"},
		"proxy, no file":   {[]string{"proxy"}, 2, "TINPIN_CONFIG"},
		"core, no file":    {[]string{"controller"}, 2, "TINPIN_CONFIG"},
		"role, argument":   {[]string{"controller", "x"}, 2, "takes 0 argument(s), not 1"},
		"unknown flag":     {[]string{"status", "-colour"}, 2, "colour"},
		"unknown kind":     {[]string{"trace", "thing", "x"}, 2, `unknown kind "thing"`},
		"drain, no verb":   {[]string{"drain"}, 2, "wants a verb"},
		"drain, odd verb":  {[]string{"drain", "empty"}, 2, `knows no "empty"`},
		"drain, no id":     {[]string{"drain", "retire"}, 2, "takes 1 argument(s)"},
		"plan, no file":    {[]string{"plan", "check", "-control", "127.0.0.1:1", bad + "x"}, 1, "no such file"},
		"plan, version":    {[]string{"plan", "withdraw", "-control", "127.0.0.1:1", "old"}, 1, "takes a version"},
		"nobody there":     {[]string{"status", "-at", "127.0.0.1:1"}, 1, "no controller can be reached"},
		"no log":           {[]string{"trace", "-logs", bad + "x", "item", "routes/r"}, 1, "no such file"},
		"nothing in a log": {[]string{"trace", "-logs", bad, "item", "routes/r"}, 1, `no log line tells of a item named "routes/r"`},
	}
	for name, c := range cases {
		var out, bad bytes.Buffer
		code := run(c.args, &out, &bad)
		output := out.String() + bad.String()
		if code != c.code || !strings.Contains(output, c.text) {
			t.Errorf("%s: code %d, said %q", name, code, output)
		}
		if code != 0 && strings.Count(strings.TrimSpace(output), "\n") > 0 {
			t.Errorf("%s: more than one line: %q", name, output)
		}
	}
}

// Each command tells its own forms and flags, and every one is in the help.
func TestEachCommandHasHelp(t *testing.T) {
	var all bytes.Buffer
	run([]string{"help"}, &all, &all)
	for _, c := range commands() {
		var out, errOut bytes.Buffer
		if code := run([]string{c.name, "-h"}, &out, &errOut); code != 0 || !strings.Contains(out.String(), "tinpin "+c.name) {
			t.Errorf("%s -h: code %d, %q %q", c.name, code, out.String(), errOut.String())
		}
		if !strings.Contains(all.String(), "tinpin "+c.name) {
			t.Errorf("%s is not in the help", c.name)
		}
	}
}

func TestTraceFromLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	lines := `{"level":"info","ts":"2026-01-01T00:00:02.000Z","msg":"change observed","daemon":"edge-1","event":120,"kind":"item","name":"routes/r1","change":"applied","state":"7","revision":12}
12.5 edge-2 {"level":"info","ts":"2026-01-01T00:00:01.000Z","daemon":"core-1","event":120,"kind":"item","name":"routes/r1","what":"applied","stamp":"7","rev":12}
{"ts":"2026-01-01T00:00:03.000Z","daemon":"edge-1","event":120,"kind":"item","name":"routes/r2","what":"applied","stamp":"1","rev":13}
`
	if err := os.WriteFile(path, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, bad bytes.Buffer
	if code := run([]string{"trace", "-logs", path, "item", "routes/r1"}, &out, &bad); code != 0 {
		t.Fatal(bad.String())
	}
	if first, second := strings.Index(out.String(), "core-1"), strings.Index(out.String(), "edge-1"); first < 0 || second < first || strings.Contains(out.String(), "r2") {
		t.Fatal(out.String())
	}
	// The lines of this release and of the one before are read alike.
	if rows := strings.Count(strings.Join(strings.Fields(out.String()), " "), "applied 7 12"); rows != 2 {
		t.Fatalf("%d rows: %s", rows, out.String())
	}
}

// writeSettings writes a settings file with one seed.
func writeSettings(t *testing.T, path, seed string) {
	t.Helper()
	text := `{"name":"x","address":"10.0.0.1","zone":"a","region":"n","internal_ports":[7720,7735],"seeds":["` + seed + `"]}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

type recorder struct{ did chan string }

func (r recorder) Reload(p settings.Settings) { r.did <- strings.Join(p.Seeds, ",") }
func (r recorder) Stop(time.Time)             { r.did <- "stop" }

func TestSettingsAreTakenUpBySignalAndSilently(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	write := func(seed string) { writeSettings(t, path, seed) }
	write("10.0.0.2:1")
	signals, renew, ended := make(chan receivedSignal), make(chan time.Time), make(chan int)
	running := recorder{make(chan string, 4)}
	go func() { ended <- attend(running, path, signals, renew, eventlog.Discard()) }()
	renew <- time.Time{} // nothing changed
	signals <- receivedSignal{syscall.SIGHUP, time.Now()}
	if did := <-running.did; did != "10.0.0.2:1" {
		t.Fatal(did)
	}
	write("10.0.0.3:17")
	renew <- time.Time{}
	if did := <-running.did; did != "10.0.0.3:17" {
		t.Fatal(did)
	}
	write("no address")
	renew <- time.Time{}
	signals <- receivedSignal{syscall.SIGTERM, time.Now()}
	if did := <-running.did; did != "stop" {
		t.Fatalf("bad settings were taken up: %s", did)
	}
	if code := <-ended; code != 0 {
		t.Fatal(code)
	}
}
