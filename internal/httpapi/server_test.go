package httpapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tinpin/internal/apierror"
)

func TestErrorsBecomeResponses(t *testing.T) {
	var failure error
	handler, err := Handler(Handlers{UpdateConfig: func(context.Context, []byte) error { return failure }})
	if err != nil {
		t.Fatal(err)
	}
	typed := &Error{Kind: apierror.InvalidConfig, Text: "no such field"}
	redirect := &Error{Kind: apierror.NotLeader, Location: "http://x"}
	for name, c := range map[string]struct {
		path, body string
		failure    error
		status     int
		text       string
	}{
		"acknowledged": {"/-/Config.Update", "{}", nil, 200, "acknowledged"},
		"typed":        {"/-/Config.Update", "{}", typed, 400, "no such field"},
		"redirect":     {"/-/Config.Update", "{}", redirect, 307, "ask the leader"},
		"unknown":      {"/-/Config.Update", "{}", errors.New("odd"), 503, "odd"},
		"not JSON":     {"/-/Config.Update", "{", nil, 400, "error_message"},
		"not served":   {"/-/Evacuations.Start/a", "", nil, 404, "this daemon does not answer that"},
	} {
		failure = c.failure
		request := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != c.status || !strings.Contains(recorder.Body.String(), c.text) {
			t.Errorf("%s: %d %q", name, recorder.Code, recorder.Body.String())
		}
		if name == "redirect" && recorder.Header().Get("Location") != "http://x" {
			t.Errorf("no location: %v", recorder.Header())
		}
	}
}
