// What a client's stream may not do to the requests behind it.
package passage

import (
	"io"
	"net/http"
	"testing"
)

// An answer to HEAD has no body, also when it is a refusal: the bytes would be
// taken for the beginning of the next answer.
func TestARefusedHeadSpoilsNothing(t *testing.T) {
	d := daemonOf(t)
	conn, in := client(t, d)
	_, _ = io.WriteString(conn, ask("HEAD", "/safe/", "h1")+ask("GET", "/safe/", "g1"))
	for _, method := range []string{"HEAD", "GET"} {
		if response, _, err := receiveOne(t, in, method); err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s: %v %v", method, response, err)
		}
	}
}

// What was taken up ahead of answers may count as not read: it must not run if it
// may not be repeated, also when its way changed meanwhile.
func TestNothingThatMayNotBeRepeatedRunsAhead(t *testing.T) {
	backend := newStandIn(t, "i-1", good)
	d := daemonOf(t, backend)
	for way, status := range map[string]int{"/once/": 503, "/safe/": 200} {
		ahead := request("GET", way+"x", "a")
		ahead.Ahead = true
		if verdict := d.Answer(ahead, "2500"); verdict.Status != status {
			t.Errorf("%s: status %d", way, verdict.Status)
		}
	}
	if backend.count() != 1 {
		t.Fatalf("%d runs", backend.count())
	}
}
