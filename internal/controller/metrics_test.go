package controller

import (
	"net/http/httptest"
	"strings"
	"testing"

	"tinpin/internal/metrics"
)

func TestFiguresOfAController(t *testing.T) {
	c, _ := startSingle(t)
	if err := sure(t, func() error { return c.evacuate(t.Context(), "z", true, "") }); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	c.metrics().Handler().ServeHTTP(recorder, httptest.NewRequest("GET", metrics.Path, nil))
	for _, line := range []string{
		"tinpin_controller_leads 1", "tinpin_controller_term 1", "tinpin_proposals_dropped_total 0",
	} {
		if !strings.Contains(recorder.Body.String(), "\n"+line+"\n") {
			t.Errorf("no line %q in:\n%s", line, recorder.Body.String())
		}
	}
}
