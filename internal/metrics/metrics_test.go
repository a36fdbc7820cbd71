package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

func TestFiguresAreReadWhenTheyAreAskedFor(t *testing.T) {
	registry := NewRegistry()
	var sent, rejected atomic.Int64
	registry.Counter("attempts_total", "Attempts.", Labels{"outcome": "sent"}, &sent)
	registry.Counter("attempts_total", "Attempts.", Labels{"outcome": "rejected"}, &rejected)
	registry.Gauge("connections", "Open connections.", nil, func() float64 { return 2 })
	server := httptest.NewServer(registry.Handler())
	defer server.Close()
	sent.Add(7)
	response, err := server.Client().Get(server.URL + Path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatal(response.Status, err)
	}
	for _, line := range []string{
		"# TYPE tinpin_attempts_total counter", `tinpin_attempts_total{outcome="sent"} 7`,
		`tinpin_attempts_total{outcome="rejected"} 0`, "tinpin_connections 2",
	} {
		if !strings.Contains(string(text), line+"\n") {
			t.Errorf("no line %q in:\n%s", line, text)
		}
	}
}
