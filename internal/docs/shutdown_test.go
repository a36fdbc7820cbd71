package docs

import (
	"strings"
	"testing"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/proxy"
)

// The table of times on the shutdown page is what the programs keep.
func TestShutdownTimes(t *testing.T) {
	rows := 0
	for line := range strings.Lines(section(t, page(t, "docs/shutdown.md"), "Times")) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		grace, err := time.ParseDuration(strings.TrimSpace(cells[0]))
		if err != nil {
			continue
		}
		rows++
		node, controlling := proxy.ShutdownTimeline(grace), controller.ShutdownTimeline(grace)
		times := []time.Duration{node.AcceptUntil, controlling.AcceptUntil, node.DrainUntil, node.CloseBy}
		for i, want := range times {
			if text := want.Round(time.Millisecond).String(); strings.TrimSpace(cells[i+1]) != text {
				t.Errorf("grace %v, column %d: %s, want %s", grace, i+1, cells[i+1], text)
			}
		}
		if controlling.DrainUntil != node.DrainUntil || controlling.CloseBy != node.CloseBy {
			t.Errorf("grace %v: the programs differ", grace)
		}
	}
	if rows != 4 {
		t.Errorf("%d rows", rows)
	}
}
