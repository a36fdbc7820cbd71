package http1

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// Parts of a status line, by RFC 9112, section 4: HTTP-version SP status-code SP [ reason-phrase ].
const (
	versionPrefix = "HTTP/1."
	minorAt       = len(versionPrefix)
	statusAt      = minorAt + len("1 ")
	reasonAt      = statusAt + len("200 ")
)

var (
	lineEnd = []byte("\r\n")
	colon   = []byte(":")
	// The fields that frame a body.
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// framing is what the lines of a head have said about where the body ends.
type framing struct {
	// http10 tells that the version is HTTP/1.0.
	http10   bool
	length   bool
	encoding bool
}

// checkHead waits for the whole head of a response and checks it. Nothing of it is consumed.
func (r *Reader) checkHead() error {
	line, err := r.peekLine(0)
	if err != nil {
		return err
	}
	if err = checkStatusLine(line); err != nil {
		return err
	}
	head := framing{http10: line[minorAt] == '0'}
	for offset := len(line); ; offset += len(line) {
		if line, err = r.peekLine(offset); err != nil {
			return err
		}
		name, fieldErr := fieldName(line)
		switch {
		case fieldErr != nil:
			return fieldErr
		case name == nil:
			return head.check()
		}
		head.add(name)
	}
}

// add takes the name of a field.
func (f *framing) add(name []byte) {
	f.length = f.length || bytes.EqualFold(name, contentLength)
	f.encoding = f.encoding || bytes.EqualFold(name, transferEncoding)
}

// check tells whether the fields frame the body in one way only (RFC 9112, sections 6.1 and 6.3).
func (f *framing) check() error {
	switch {
	case f.encoding && f.length:
		return malformed("both Content-Length and Transfer-Encoding", nil)
	case f.encoding && f.http10:
		return malformed("Transfer-Encoding in HTTP/1.0", nil)
	}
	return nil
}

// checkStatusLine checks the first line of a response.
func checkStatusLine(line []byte) error {
	text, ended := bytes.CutSuffix(line, lineEnd)
	if !ended || len(text) < reasonAt || !bytes.HasPrefix(text, []byte(versionPrefix)) {
		return malformed("status line", line)
	}
	spaces := text[minorAt+1] == ' ' && text[reasonAt-1] == ' '
	if !spaces || !areDigits(text[minorAt:minorAt+1]) || !isStatus(text[statusAt:reasonAt-1]) {
		return malformed("status line", line)
	}
	// A reason phrase holds the bytes of a field's value.
	if !httpguts.ValidHeaderFieldValue(string(text[reasonAt:])) {
		return malformed("reason phrase", line)
	}
	return nil
}

// isStatus tells whether three bytes are a status between minStatus and maxStatus.
func isStatus(text []byte) bool {
	return areDigits(text) && text[0] >= '0'+minStatus/100 && text[0] <= '0'+maxStatus/100
}

func areDigits(text []byte) bool {
	for _, char := range text {
		if char < '0' || char > '9' {
			return false
		}
	}
	return true
}

// fieldName gives the name on a line of a head or of a trailer; the empty line that ends them has none. net/http
// checks the bytes of values, but neither blanks in a name, nor a blank before it, which folds the line, nor line ends.
func fieldName(line []byte) (name []byte, err error) {
	text, ended := bytes.CutSuffix(line, lineEnd)
	if !ended {
		return nil, malformed("line end", line)
	}
	if len(text) == 0 {
		return nil, nil
	}
	name, _, found := bytes.Cut(text, colon)
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, malformed("field name", line)
	}
	return name, nil
}
