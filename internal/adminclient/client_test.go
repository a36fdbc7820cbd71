package adminclient

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"tinpin/internal/testutil/malformed"
)

// What the operator reads of a rejection, of a request that was accepted under the
// same version, and of no clear answer.
func TestAnswersAreReportedPlainly(t *testing.T) {
	for _, c := range []struct {
		statuses []int
		good     bool
		text     string
	}{
		{[]int{200}, true, ""},
		{[]int{503, 200}, true, ""},
		{[]int{409, 200}, false, "refused: another order was taken under this version: version 5 stands"},
		{[]int{503, 422}, false, "refused: version 5 stands"},
		{[]int{503, 503}, false, "no clear answer, the same may be sent again"},
	} {
		client, names := &Client{}, []string(nil)
		for _, status := range c.statuses {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				names = append(names, r.URL.Query().Get("order"))
				w.WriteHeader(status)
				_, _ = w.Write([]byte(`{"status":"acknowledged","error_message":"version 5 stands"}`))
			}))
			t.Cleanup(server.Close)
			client.Addresses = append(client.Addresses, strings.TrimPrefix(server.URL, "http://"))
		}
		var out bytes.Buffer
		good, err := client.Run(context.Background(), &out, "drain", "withdraw", []string{"5"})
		if slices.ContainsFunc(names, func(name string) bool { return name != "" }) {
			t.Errorf("a request with a version got the names %q", names)
		}
		if good != c.good || good != strings.Contains(out.String(), "acknowledged") ||
			!good && !strings.Contains(err.Error(), c.text) {
			t.Errorf("%v: %v, %q, %v", c.statuses, good, out.String(), err)
		}
	}
}

// A request without a version has one name at each address that is tried, and the
// operator is shown it where the outcome is unknown.
func TestRequestWithoutAVersionHasOneName(t *testing.T) {
	for _, given := range []string{"", "mine&1"} {
		var names []string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			names = append(names, r.URL.Query().Get("order"))
			w.WriteHeader(503)
		}))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		client := &Client{Addresses: []string{address, address}, RequestName: given}
		for _, verb := range []string{"retire", "restore"} {
			names = nil
			_, err := client.Run(context.Background(), &bytes.Buffer{}, "drain", verb, []string{"i-1"})
			if len(names) != 2 || names[0] != names[1] || names[0] == "" || given != "" && names[0] != given {
				t.Errorf("%s: names %q", verb, names)
			}
			if err == nil || !strings.Contains(err.Error(), "-order ") {
				t.Errorf("%s: %v", verb, err)
			}
		}
	}
}

// An answer whose head is malformed is none: the next address is asked, and without another one the outcome is unknown.
func TestAMalformedAnswerIsNone(t *testing.T) {
	respond := func(line string) (address string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			text := "HTTP/1.1 " + line + "\r\nConnection: close\r\n\r\n{\"status\":\"acknowledged\"}"
			if err := malformed.Send(w, text); err != nil {
				t.Error(err)
			}
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	for line, good := range map[string]bool{
		"200 OK": true, "200 OK\r\nX Other: 1": false, "422 X\r\nX-Other : 1": false, "200 OK\r\nX\x01: 1": false,
		"000 X": false,
	} {
		var unknown *OutcomeUnknownError
		client := &Client{Addresses: []string{respond(line)}}
		done, err := client.Run(context.Background(), &bytes.Buffer{}, "drain", "withdraw", []string{"5"})
		if done != good || !good && !errors.As(err, &unknown) {
			t.Errorf("%q: %v, %v", line, done, err)
		}
		client.Addresses = append(client.Addresses, respond("200 OK"))
		if done, err = client.Run(context.Background(), &bytes.Buffer{}, "drain", "withdraw", []string{"5"}); !done {
			t.Errorf("%q, then a good one: %v", line, err)
		}
	}
}
