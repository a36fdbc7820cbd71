package proxy

import (
	"net/http/httptest"
	"strings"
	"testing"

	"tinpin/internal/metrics"
)

// Every outcome has a figure, and an attempt shows in its own.
func TestFiguresOfANode(t *testing.T) {
	d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOK))
	if response := d.Handle(t.Context(), newRequest("GET", "/safe/x", "a"), "2500"); response.Status != 200 {
		t.Fatal(response.Status)
	}
	recorder := httptest.NewRecorder()
	d.metrics().Handler().ServeHTTP(recorder, httptest.NewRequest("GET", metrics.Path, nil))
	text := recorder.Body.String()
	for outcome := range outcomeTable {
		count := "0"
		if Outcome(outcome) == Complete {
			count = "1"
		}
		line := `tinpin_attempts_total{outcome="` + Outcome(outcome).String() + `"} ` + count + "\n"
		if !strings.Contains(text, line) {
			t.Errorf("no line %q", line)
		}
	}
	for _, name := range []string{
		"clients_left_total", "requests_abandoned_total", "connections_unwatched_total", "requests_in_flight",
		"attempts_sent_after_client_left_total", "attempts_ended_after_client_left_total", "peer_calls_connecting",
	} {
		if !strings.Contains(text, "\ntinpin_"+name+" 0\n") {
			t.Errorf("no figure %s in:\n%s", name, text)
		}
	}
}
