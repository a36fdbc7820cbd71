package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"tinpin/internal/message"
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

// checkNoResponse sends requests to which a backend responds with a text that is no response. The client must receive
// no byte of it: it gets 502 where the request may run once, and the response to a second attempt where it may run
// again. The connection is not used again.
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

// A response whose head has a line that is no field is none: its name holds a blank or a control byte.
func TestAMalformedFieldNameIsNoResponse(t *testing.T) {
	for name, line := range malformedNames() {
		own := responseText(200, "ID", marker)
		status, fields, _ := strings.Cut(own, "\r\n")
		checkNoResponse(t, name+", first line", status+"\r\n"+line+"\r\n"+fields)
		checkNoResponse(t, name+", last line", responseText(200, "ID", marker, line))
		checkNoResponse(t, name+", not run", responseText(503, "ID", "", message.HeaderNotExecuted+": 1", line))
		checkNoResponse(t, name+", 421 without an id",
			"HTTP/1.1 421 X\r\nContent-Length: 0\r\n"+line+"\r\n\r\n"+own)
		checkNoResponse(t, name+", in an interim response", "HTTP/1.1 103 X\r\n"+line+"\r\n\r\n"+own)
		checkNoResponse(t, name+", in another's", responseText(200, "other", marker, line)+own)
	}
}

// The same holds for the responses that a name without its blank would frame.
func TestAMalformedFramingFieldIsNoResponse(t *testing.T) {
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
		checkNoResponse(t, name, text)
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

// What follows the last chunk belongs to the response: a trailer that is none makes it no response.
func TestAMalformedTrailerIsNoResponse(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	trailers := malformedNames()
	trailers["a control byte in a value"] = "X-" + marker + ": \x01"
	for name, line := range trailers {
		checkNoResponse(t, name, chunkedText(chunked, line+"\r\n"))
		notRun := chunkedText(chunked+"\r\n"+message.HeaderNotExecuted+": 1", line+"\r\n")
		checkNoResponse(t, name+", not run", strings.Replace(notRun, "200", "503", 1))
	}
	own := chunkedText(chunked, "")
	for name, text := range map[string]string{
		"an empty line of LF":   strings.TrimSuffix(own, "\r\n") + "\n",
		"a size that is none":   strings.Replace(own, "\r\n5\r\n", "\r\nfive\r\n", 1),
		"a size that is short":  strings.Replace(own, "\r\n5\r\n", "\r\n4\r\n", 1),
		"a size line of LF":     strings.Replace(own, "\r\n5\r\n", "\r\n5\n", 1),
		"no end, other's bytes": strings.Replace(own, "\r\n0\r\n\r\n", responseText(200, "ID", "x"), 1),
	} {
		checkNoResponse(t, name, text)
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
		d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOnce(text)))
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
		checkNoResponse(t, name, text)
	}
}

// A status line has a version of HTTP/1, a status and a phrase, with one blank between them.
func TestAMalformedStatusLineIsNoResponse(t *testing.T) {
	own := responseText(200, "ID", marker)
	for _, line := range []string{
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "ICY 200 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 200", "HTTP/1.1 200OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\x7f",
	} {
		checkNoResponse(t, fmt.Sprintf("%q", line), strings.Replace(own, "HTTP/1.1 200 X", line, 1))
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
	for name, text := range texts {
		backend := newFakeBackend(t, "i-1", func(_ int, _ receivedRequest, conn net.Conn) bool {
			_, err := io.WriteString(conn, text)
			return err == nil
		})
		d := newTestDaemon(t, backend)
		target := d.state.backends["i-1"]
		result, _ := probeEndpoint(d.clock, target, "/health", true)
		if result != ProbeInvalid || target.openConns != 0 {
			t.Errorf("%s: result %d, %d open connections", name, result, target.openConns)
		}
	}
}
