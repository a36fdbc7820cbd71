package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"tinpin/internal/http1"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// marker stands in what a backend sends, and never in what a client may receive of a malformed response.
const marker = "Xmark"

// malformedNames are field lines whose names hold a blank or a control byte.
func malformedNames() map[string]string {
	lines := map[string]string{
		"no name":           ": " + marker,
		"a name in quotes":  `"` + marker + `": 1`,
		"no colon":          marker,
		"a byte above 127":  "X-" + marker + "\xe9: 1",
		"an empty line, LF": "\n" + marker + ": 1",
	}
	for char := range 0x80 {
		if char > ' ' && char != 0x7f {
			continue
		}
		text := string(rune(char))
		lines[fmt.Sprintf("%#02x before a name", char)] = text + marker + ": 1"
		lines[fmt.Sprintf("%#02x in a name", char)] = "X" + text + marker + ": 1"
		lines[fmt.Sprintf("%#02x behind a name", char)] = marker + text + ": 1"
		lines[fmt.Sprintf("%#02x behind the name of the length", char)] = "Content-Length" + text + ": 2"
		lines[fmt.Sprintf("%#02x behind the name of the encoding", char)] = "Transfer-Encoding" + text + ": chunked"
	}
	return lines
}

// noResponseTest is a node with two backends and one client, for many requests: connections that end stay known to the
// kernel for a minute, so the ports would not last for a node of its own for each.
type noResponseTest struct {
	*testing.T
	daemon *Daemon
	// text is what the first backend sends to the next request that it gets.
	text    chan string
	client  net.Conn
	raw     bytes.Buffer
	answers *http1.Reader
}

func newNoResponseTest(t *testing.T) *noResponseTest {
	c := &noResponseTest{T: t, text: make(chan string, 1)}
	first := newFakeBackend(t, "i-1", func(n int, r receivedRequest, conn net.Conn) bool {
		select {
		case text := <-c.text:
			_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", r.ID))
			return err == nil
		default:
			return respondOK(n, r, conn)
		}
	})
	c.daemon = newTestDaemon(t, first, newFakeBackend(t, "i-2", respondOK))
	c.client, _ = dialFrontend(t, c.daemon)
	_ = c.client.SetDeadline(time.Now().Add(time.Minute))
	c.answers = http1.NewReader(io.TeeReader(c.client, &c.raw))
	return c
}

// reset makes the first backend one that has never failed, and that is preferred to the second.
func (c *noResponseTest) reset() {
	for id, latency := range map[rpc.EndpointID]float64{"i-1": 1, "i-2": 1e6} {
		backend := c.daemon.state.backends[id]
		backend.mu.Lock()
		backend.latency, backend.latencyAt, backend.respondedAt, backend.failureScore = latency, 1, 0, 0
		backend.unavailableUntil, backend.unavailableSpan = 0, 0
		backend.mu.Unlock()
	}
}

// request sends one request, and gives all bytes that come back.
func (c *noResponseTest) request(path string) (raw, body string) {
	c.Helper()
	c.raw.Reset()
	if _, err := io.WriteString(c.client, requestText("GET", path, "ab")); err != nil {
		c.Fatal(err)
	}
	response, err := c.answers.ReadResponse("GET")
	if err != nil {
		c.Fatalf("%v: the client receives %q", err, c.raw.String())
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || c.answers.Buffered() > 0 || response.Close {
		c.Fatalf("%v: the client receives %q", err, c.raw.String())
	}
	return c.raw.String(), string(data)
}

// check sends requests to which a backend responds with a text that is no response. The client must receive no byte of
// it: it gets 502 where the request may run once, and the response to a second attempt where it may run again. The
// connection to the backend is not used again.
func (c *noResponseTest) check(name, text string) {
	c.Helper()
	for path, want := range map[string]struct{ status, body string }{
		"/once/q": {"502 Bad Gateway", `{"error_message":"the backend's answer was lost"}`},
		"/safe/q": {"200 OK", "body of ab"},
	} {
		c.reset()
		c.text <- text
		raw, body := c.request(path)
		select {
		case <-c.text:
			c.Fatalf("%s on %s: the first backend was not asked", name, path)
		default:
		}
		answered := strings.HasPrefix(raw, "HTTP/1.1 "+want.status+"\r\n") && body == want.body
		if !answered || strings.Contains(raw, marker) {
			c.Errorf("%s on %s: the client receives %q", name, path, raw)
		}
		target := c.daemon.state.backends["i-1"]
		target.mu.Lock()
		if len(target.idleConns) != 0 || target.openConns != 0 {
			c.Errorf("%s on %s: the connection is kept", name, path)
		}
		if target.failureScore == 0 || target.respondedAt != 0 {
			c.Errorf("%s on %s: the backend counts as heard and well", name, path)
		}
		target.mu.Unlock()
	}
}

// A response whose head has a line that is no field is none: its name holds a blank or a control byte.
func TestAMalformedFieldNameIsNoResponse(t *testing.T) {
	c := newNoResponseTest(t)
	for name, line := range malformedNames() {
		own := responseText(200, "ID", marker)
		status, fields, _ := strings.Cut(own, "\r\n")
		c.check(name+", first line", status+"\r\n"+line+"\r\n"+fields)
		c.check(name+", last line", responseText(200, "ID", marker, line))
		c.check(name+", not run", responseText(503, "ID", "", message.HeaderNotExecuted+": 1", line))
		c.check(name+", 421 without an id",
			"HTTP/1.1 421 X\r\nContent-Length: 0\r\n"+line+"\r\n\r\n"+own)
		c.check(name+", in an interim response", "HTTP/1.1 103 X\r\n"+line+"\r\n\r\n"+own)
		c.check(name+", in another's", responseText(200, "other", marker, line)+own)
	}
}

// The same holds for the responses that a name without its blank would frame.
func TestAMalformedFramingFieldIsNoResponse(t *testing.T) {
	c := newNoResponseTest(t)
	own := responseText(200, "ID", marker)
	for name, text := range map[string]string{
		"a blank behind the only length":   strings.Replace(own, "Content-Length:", "Content-Length :", 1),
		"a tab before the only length":     strings.Replace(own, "Content-Length:", "\tContent-Length:", 1),
		"a blank behind the signature":     strings.Replace(own, "Signature:", "Signature :", 1),
		"a blank behind the request's id":  strings.Replace(own, "Request-Id:", "Request-Id :", 1),
		"a folded value":                   strings.Replace(own, "Signature: ", "Signature:\r\n ", 1),
		"fields that end with LF":          strings.ReplaceAll(own, "\r\n", "\n"),
		"one field that ends with LF":      strings.Replace(own, "\r\nContent", "\nContent", 1),
		"an empty line of LF":              strings.Replace(own, "\r\n\r\n", "\r\n\n", 1),
		"a CR more at the end of a field":  strings.Replace(own, "\r\nContent", "\r\r\nContent", 1),
		"a chunked body, a blank in there": chunkedText("Transfer-Encoding : chunked", ""),
	} {
		c.check(name, text)
	}
}

// chunkedText is a success with a body in chunks, given its line of the encoding and its trailer.
func chunkedText(encoding, trailer string) string {
	return "HTTP/1.1 200 X\r\n" + message.HeaderRequestID + ": ID\r\n" + message.HeaderResponseSignature +
		": stamp\r\n" + encoding + "\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(marker), marker) +
		"0\r\n" + trailer + "\r\n"
}

// Status 000 is no status, whatever else the response has.
func TestStatus000IsNoResponse(t *testing.T) {
	c := newNoResponseTest(t)
	for name, text := range map[string]string{
		"its own":        responseText(200, "ID", marker),
		"not run":        responseText(503, "ID", "", message.HeaderNotExecuted+": 1"),
		"421, no id":     "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"another's":      responseText(200, "other", marker) + responseText(200, "ID", marker),
		"an interim one": "HTTP/1.1 100 Continue\r\n\r\n" + responseText(200, "ID", marker),
	} {
		line, rest, _ := strings.Cut(text, "\r\n")
		for _, status := range []string{"000", "001", "099", "600", "999", "00", "0000", "0"} {
			c.check(name+" with status "+status, "HTTP/1.1 "+status+line[len("HTTP/1.1 200"):]+"\r\n"+rest)
		}
	}
}

// What follows the last chunk belongs to the response: a trailer that is none makes it no response.
func TestAMalformedTrailerIsNoResponse(t *testing.T) {
	c := newNoResponseTest(t)
	const chunked = "Transfer-Encoding: chunked"
	trailers := malformedNames()
	trailers["a control byte in a value"] = "X-" + marker + ": \x01"
	for name, line := range trailers {
		c.check(name, chunkedText(chunked, line+"\r\n"))
		notRun := chunkedText(chunked+"\r\n"+message.HeaderNotExecuted+": 1", line+"\r\n")
		c.check(name+", not run", strings.Replace(notRun, "200", "503", 1))
	}
	own := chunkedText(chunked, "")
	for name, text := range map[string]string{
		"an empty line of LF":   strings.TrimSuffix(own, "\r\n") + "\n",
		"a size that is none":   strings.Replace(own, "\r\n5\r\n", "\r\nfive\r\n", 1),
		"a size that is short":  strings.Replace(own, "\r\n5\r\n", "\r\n4\r\n", 1),
		"a size line of LF":     strings.Replace(own, "\r\n5\r\n", "\r\n5\n", 1),
		"no end, other's bytes": strings.Replace(own, "\r\n0\r\n\r\n", responseText(200, "ID", "x"), 1),
	} {
		c.check(name, text)
	}
}

// A response that is passed on as it comes, and whose end turns out to be none, does not look complete.
func TestAMalformedEndOfAStreamIsNotPassedOn(t *testing.T) {
	large := strings.Repeat("0123456789", 60000)
	for trailer, complete := range map[string]bool{
		"": true, "X-Trailer: 1\r\n": true,
		"X Trailer: 1\r\n": false, " X-Trailer: 1\r\n": false, "X-Trailer\r\n": false,
	} {
		text := strings.Replace(chunkedText("Transfer-Encoding: chunked", trailer),
			fmt.Sprintf("%x\r\n%s", len(marker), marker), fmt.Sprintf("%x\r\n%s", len(large), large), 1)
		d := newTestDaemon(t, newFakeBackend(t, "i-1", firstResponse(text, true)))
		conn, in := dialFrontend(t, d)
		_, _ = io.WriteString(conn, requestText("GET", "/stream/q", "ab"))
		_, body, err := readResponseFrom(t, in, "GET")
		if complete != (err == nil) || complete && body != large {
			t.Errorf("trailer %q: %d bytes, %v", trailer, len(body), err)
		}
	}
}

// A response whose head frames its body in two ways, or in none that its version has, is none.
func TestContradictoryFramingIsNoResponse(t *testing.T) {
	c := newNoResponseTest(t)
	const chunked = "Transfer-Encoding: chunked"
	text := chunkedText(chunked, "")
	for name, text := range map[string]string{
		"length and encoding":    chunkedText("Content-Length: 5\r\n"+chunked, ""),
		"encoding and length":    chunkedText(chunked+"\r\ncontent-length: 5", ""),
		"encoding in HTTP/1.0":   strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1),
		"two encodings":          chunkedText(chunked+"\r\n"+chunked, ""),
		"an unknown encoding":    chunkedText("Transfer-Encoding: gzip, chunked", ""),
		"two lengths":            responseText(200, "ID", marker, "Content-Length: 4"),
		"a length with a sign":   strings.Replace(responseText(200, "ID", marker), "Length: 5", "Length: +5", 1),
		"a length without value": strings.Replace(responseText(200, "ID", marker), "Length: 5", "Length:", 1),
	} {
		c.check(name, text)
	}
}

// A status line has a version of HTTP/1, a status and a phrase, with one blank between them.
func TestAMalformedStatusLineIsNoResponse(t *testing.T) {
	c := newNoResponseTest(t)
	own := responseText(200, "ID", marker)
	for _, line := range []string{
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "ICY 200 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 200", "HTTP/1.1 200OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\x7f",
	} {
		c.check(fmt.Sprintf("%q", line), strings.Replace(own, "HTTP/1.1 200 X", line, 1))
	}
}

// Probes read by the same rules: a backend whose answer is no response is neither well nor ill, and the connection is
// not used again.
func TestAMalformedProbeResponseIsNoSign(t *testing.T) {
	const well = "HTTP/1.1 200 OK\r\n" + message.HeaderInstanceID + ": i-1\r\nContent-Length: 0\r\n\r\n"
	texts := map[string]string{
		"status 000 before another": "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + well,
		"another version":           strings.Replace(well, "HTTP/1.1", "HTTP/3.0", 1),
	}
	for name, line := range malformedNames() {
		texts[name] = strings.Replace(well, "Content", line+"\r\nContent", 1)
	}
	next := make(chan string, 1)
	d := newTestDaemon(t, newFakeBackend(t, "i-1", func(_ int, _ receivedRequest, conn net.Conn) bool {
		_, err := io.WriteString(conn, <-next)
		return err == nil
	}))
	target := d.state.backends["i-1"]
	for name, text := range texts {
		next <- text
		result, _ := probeEndpoint(d.clock, target, "/health", true)
		if result != ProbeInvalid || target.openConns != 0 {
			t.Errorf("%s: result %d, %d open connections", name, result, target.openConns)
		}
	}
}
