package http1

import (
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
)

// headGrammar is a head by RFC 9112, sections 4 and 5, written apart from the code that is tested.
var headGrammar = regexp.MustCompile(
	"(?s-m)^HTTP/1\\.[0-9] [1-5][0-9]{2} [\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n" +
		"([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n)*\\r\\n")

// trailerGrammar is the end of a chunked body.
var trailerGrammar = regexp.MustCompile(
	"(?s-m)\\r\\n0+[^\\r\\n]*\\r\\n([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n)*\\r\\n$")

// latin1 makes each byte of a text one rune of the same number, as the grammars count.
func latin1(text string) string {
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

// readAll reads one response, and gives its body and how many bytes were not consumed.
func readAll(from io.Reader, method string) (body string, left int, err error) {
	reader := NewReader(from)
	response, err := reader.ReadResponse(method)
	if err != nil {
		return "", 0, err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), reader.Buffered(), err
}

// What the grammar allows is read, in whatever pieces it arrives.
func TestWellFormedResponsesAreRead(t *testing.T) {
	long := strings.Repeat("v", 10_000)
	boundary := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: "
	longest := strings.Repeat("v", maxHeadBytes-len(boundary)-4)
	for name, c := range map[string]struct{ text, body string }{
		"a length":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a length twice":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"HTTP/1.0 to its end":  {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
		"a later minor one":    {"HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"no phrase":            {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a phrase of bytes":    {"HTTP/1.1 599 \xe9t\xe9 \t!\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"names in other case":  {"HTTP/1.1 200 OK\r\ncONTENT-lENGTH: 2\r\n\r\nok", "ok"},
		"all bytes of a name":  {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"blanks round a value": {"HTTP/1.1 200 OK\r\nContent-Length: \t2 \t\r\nX:\r\nY: \xff\t \x80\r\n\r\nok", "ok"},
		"no body":              {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"chunks": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1;a=\"b\"\r\no\r\n01\r\nk\r\n000\r\n\r\n", "ok",
		},
		"a trailer": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\nY: 2\r\n\r\n", "ok",
		},
		"a long trailer": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: " + long + "\r\n\r\n", "ok",
		},
		"a long head":             {"HTTP/1.1 200 OK\r\nX: " + long + "\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a long head, long body":  {"HTTP/1.1 200 OK\r\nX: " + long + "\r\nContent-Length: 10000\r\n\r\n" + long, long},
		"a head of a buffer":      {boundary + long[:bufferBytes-len(boundary)-4] + "\r\n\r\nok", "ok"},
		"one byte beyond":         {boundary + long[:bufferBytes-len(boundary)-3] + "\r\n\r\nok", "ok"},
		"two bytes beyond":        {boundary + long[:bufferBytes-len(boundary)-2] + "\r\n\r\nok", "ok"},
		"a head as long as it is": {boundary + longest + "\r\n\r\nok", "ok"},
	} {
		for pieces, from := range map[string]io.Reader{
			"at once":            strings.NewReader(c.text),
			"byte by byte":       iotest.OneByteReader(strings.NewReader(c.text)),
			"in halves":          iotest.HalfReader(strings.NewReader(c.text)),
			"its end with bytes": iotest.DataErrReader(strings.NewReader(c.text)),
		} {
			if body, left, err := readAll(from, "GET"); err != nil || body != c.body || left != 0 {
				t.Errorf("%s, %s: body of %d bytes, %d left, %v", name, pieces, len(body), left, err)
			}
		}
	}
}

// The head of a response to HEAD may name a body that does not come.
func TestResponsesToHEADHaveNoBody(t *testing.T) {
	for _, field := range []string{"Content-Length: 5", "Transfer-Encoding: chunked"} {
		text := "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n"
		body, left, err := readAll(strings.NewReader(text+"HTTP"), "HEAD")
		if err != nil || body != "" || left != len("HTTP") {
			t.Errorf("%s: %q, %d left, %v", field, body, left, err)
		}
	}
}

// Responses that follow each other on a connection are read each to its end, also where the buffer grows in between.
func TestResponsesFollowEachOther(t *testing.T) {
	const count = 5
	one := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX: " + strings.Repeat("v", 3000) +
		"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: " + strings.Repeat("v", 5000) + "\r\n\r\n"
	reader := NewReader(strings.NewReader(strings.Repeat(one, count)))
	for i := range count {
		for _, want := range []string{"", "ok"} {
			response, err := reader.ReadResponse("GET")
			if err != nil {
				t.Fatal(i, err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != want {
				t.Fatalf("response %d: %q, %v", i, body, err)
			}
		}
	}
	if _, err := reader.ReadResponse("GET"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Error(err)
	}
}

// The buffer of a connection grows with the heads that come on it, to less than twice their size.
func TestTheBufferGrowsWithTheHead(t *testing.T) {
	for length, want := range map[int]int{100: bufferBytes, 5000: 8 << 10, 9000: 16 << 10, 60_000: maxHeadBytes} {
		text := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("v", length) + "\r\nContent-Length: 0\r\n\r\n"
		reader := NewReader(strings.NewReader(text))
		if _, err := reader.ReadResponse("GET"); err != nil || reader.buffered.Size() != want {
			t.Errorf("a head of %d bytes: a buffer of %d, %v", len(text), reader.buffered.Size(), err)
		}
	}
}

// A connection that ends within a response has failed; what has come is not malformed. The connection's own errors
// stay what they are.
func TestAnEndWithinAResponseIsTheConnections(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"
	broken := errors.New("broken")
	for length := range len(text) {
		_, _, err := readAll(strings.NewReader(text[:length]), "GET")
		if !errors.Is(err, io.ErrUnexpectedEOF) || IsMalformed(err) {
			t.Errorf("%d bytes: %v", length, err)
		}
	}
	from := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nA"), iotest.ErrReader(broken))
	if _, _, err := readAll(from, "GET"); !errors.Is(err, broken) {
		t.Error(err)
	}
}

// A head without end is given up.
func TestAHeadWithoutEndIsMalformed(t *testing.T) {
	fields := strings.Repeat("A: 1\r\n", maxHeadBytes)
	for name, text := range map[string]string{
		"one line":    strings.Repeat("a", 2*maxHeadBytes),
		"many fields": "HTTP/1.1 200 OK\r\n" + fields,
		"a trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields,
	} {
		if _, _, err := readAll(strings.NewReader(text), "GET"); !IsMalformed(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Whatever is read as a response is one by the grammar, up to where it was consumed.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 OK\r\n\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 503 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nok\r\n0\r\nX : 1\r\n\r\nHTTP/1.1",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewReader(strings.NewReader(text))
		response, err := reader.ReadResponse("GET")
		if err != nil {
			return
		}
		if !headGrammar.MatchString(latin1(text)) {
			t.Fatalf("%q is read as a head", text)
		}
		data, err := io.ReadAll(response.Body)
		if err != nil || len(response.TransferEncoding) == 0 || response.Body == http.NoBody {
			return
		}
		if consumed := text[:len(text)-reader.Buffered()]; len(text) < bufferBytes &&
			!trailerGrammar.MatchString(latin1("\r\n"+consumed)) {
			t.Fatalf("%q is read as a chunked body of %d bytes", consumed, len(data))
		}
	})
}
