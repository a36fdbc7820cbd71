package malformed

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"tinpin/internal/http1"
)

// Each kind is a response to net/http, and none by the grammar.
func TestKindsAreMalformed(t *testing.T) {
	for _, wellFormed := range []string{
		"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 5\r\nB: 2\r\n\r\nabcde",
		"HTTP/1.1 503 X\r\nA: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for kind := range KindCount {
			text := kind.Response(wellFormed)
			lenient, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			if err == nil {
				_, err = io.ReadAll(lenient.Body)
			}
			if err != nil {
				t.Errorf("kind %d: net/http refuses it: %v: %q", kind, err, text)
			}
			strict, err := http1.NewReader(strings.NewReader(text)).ReadResponse(http.MethodGet)
			if err == nil {
				_, err = io.ReadAll(strict.Body)
			}
			if !http1.IsMalformed(err) {
				t.Errorf("kind %d: %v: %q", kind, err, text)
			}
		}
		if _, err := http1.NewReader(strings.NewReader(wellFormed)).ReadResponse(http.MethodGet); err != nil {
			t.Error(err)
		}
	}
}
