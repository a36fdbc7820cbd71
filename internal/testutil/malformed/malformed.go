// Package malformed makes texts that are no HTTP response of ones that are, for the stand-ins of backends. Lenient
// readers take each of them for a response.
package malformed

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Kind is what is wrong with a response.
type Kind uint8

// The kinds.
const (
	// BlankInName: the first field has a blank in its name.
	BlankInName Kind = iota
	// BlankBehindLength: a blank stands behind the name Content-Length.
	BlankBehindLength
	// FoldedLength: a tab before Content-Length makes it a part of the line before.
	FoldedLength
	// HeadEndsEarly: an empty line that is LF alone follows the status line.
	HeadEndsEarly
	// Status000: the status is 000.
	Status000
	// TwoFramings: a body in chunks has a Content-Length as well.
	TwoFramings
	// Trailer: a field of the trailer behind the chunks has a blank in its name.
	Trailer
	// KindCount is the number of kinds.
	KindCount
)

const (
	lineEnd = "\r\n"
	length  = "Content-Length:"
	line    = "X Fault: 1"
)

// Response makes a malformed response of a well-formed one that has a Content-Length and a body, or none.
func (k Kind) Response(text string) string {
	switch k {
	case BlankInName:
		return strings.Replace(text, lineEnd, lineEnd+line+lineEnd, 1)
	case BlankBehindLength:
		return strings.Replace(text, length, "Content-Length :", 1)
	case FoldedLength:
		return strings.Replace(text, length, "\t"+length, 1)
	case HeadEndsEarly:
		return strings.Replace(text, lineEnd, lineEnd+"\nX-Fault: 1"+lineEnd, 1)
	case Status000:
		version, rest, _ := strings.Cut(text, " ")
		return version + " 000" + rest[len("200"):]
	case TwoFramings:
		return chunked(strings.Replace(text, length, "Content-Length: 7"+lineEnd+length, 1), "")
	case Trailer:
		return chunked(text, line+lineEnd)
	}
	return text
}

// Send sends a text as it is in place of a handler's response, and closes the connection.
func Send(w http.ResponseWriter, text string) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	return err
}

// chunked puts a response's body in one chunk, and lines of a trailer behind it. The last Content-Length is dropped.
func chunked(text, trailer string) string {
	head, body, _ := strings.Cut(text, lineEnd+lineEnd)
	start := strings.LastIndex(head, length)
	_, behind, _ := strings.Cut(head[start:]+lineEnd, lineEnd)
	head = head[:start] + "Transfer-Encoding: chunked" + lineEnd + behind + lineEnd
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x%s%s%s", len(body), lineEnd, body, lineEnd)
	}
	return head + chunk + "0" + lineEnd + trailer + lineEnd
}
