package proxy

import (
	"io"
	"net"
	"strings"
	"testing"

	"tinpin/internal/message"
)

// marker stands in what a backend sends, and never in what a client may receive of a malformed response.
const marker = "Xmark"

// rawResponse sends one request over a connection of its own, and gives all bytes that come back.
func rawResponse(t *testing.T, d *Daemon, method, path, id string) string {
	t.Helper()
	conn, in := dialFrontend(t, d)
	if _, err := io.WriteString(conn, requestText(method, path, id, "Connection: close")); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(in)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// respondOnce responds to the first request with a text in which ID stands for the request's id, and to the others
// as it should. It leaves the connection open.
func respondOnce(text string) responder {
	return func(n int, r receivedRequest, conn net.Conn) bool {
		if n > 1 {
			return respondOK(n, r, conn)
		}
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", r.ID))
		return err == nil
	}
}

// checkNoResponse sends requests to which a backend responds with a text that is no response. The client must receive no
// byte of it: it gets 502 where the request may run once, and the response to a second attempt where it may run again.
// The connection is not used again.
func checkNoResponse(t *testing.T, name, text string) {
	t.Helper()
	for path, status := range map[string]string{"/once/q": "502 Bad Gateway", "/safe/q": "200 OK"} {
		backend := newFakeBackend(t, "i-1", respondOnce(text))
		second := newFakeBackend(t, "i-2", respondOK)
		d := newTestDaemon(t, backend, second)
		// The first attempt goes to the first backend.
		d.state.backends["i-2"].latency, d.state.backends["i-2"].latencyAt = 1e6, 1
		got := rawResponse(t, d, "GET", path, "ab")
		if !strings.HasPrefix(got, "HTTP/1.1 "+status+"\r\n") || strings.Contains(got, marker) {
			t.Errorf("%s on %s: the client receives %q", name, path, got)
			continue
		}
		if status == "200 OK" && !strings.HasSuffix(got, "\r\n\r\nbody of ab") {
			t.Errorf("%s on %s: not the body of a backend: %q", name, path, got)
		}
		target := d.state.backends["i-1"]
		if len(target.idleConns) != 0 || target.openConns != 0 {
			t.Errorf("%s on %s: the connection is kept", name, path)
		}
		if target.failureScore == 0 || target.respondedAt != 0 {
			t.Errorf("%s on %s: the backend counts as heard and well", name, path)
		}
	}
}

// Status 000 is no status, whatever else the response has.
func TestStatus000IsNoResponse(t *testing.T) {
	for name, text := range map[string]string{
		"its own":        responseText(200, "ID", marker),
		"not run":        responseText(503, "ID", "", message.HeaderNotExecuted+": 1"),
		"421, no id":     "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"another's":      responseText(200, "other", marker) + responseText(200, "ID", marker),
		"an interim one": "HTTP/1.1 100 Continue\r\n\r\n" + responseText(200, "ID", marker),
	} {
		line, rest, _ := strings.Cut(text, "\r\n")
		for _, status := range []string{"000", "001", "099", "600", "999", "00", "0000", "0"} {
			checkNoResponse(t, name+" with status "+status, "HTTP/1.1 "+status+line[len("HTTP/1.1 200"):]+"\r\n"+rest)
		}
	}
}
