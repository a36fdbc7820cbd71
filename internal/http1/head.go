package http1

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

var (
	lineEnd = []byte("\r\n")
	colon   = []byte(":")
)

// checkHead waits for the whole head of a response and checks it. Nothing of it is consumed.
func (r *Reader) checkHead() error {
	line, err := r.peekLine(0)
	if err != nil {
		return err
	}
	if !bytes.HasSuffix(line, lineEnd) {
		return malformed("line end", line)
	}
	for offset := len(line); ; offset += len(line) {
		if line, err = r.peekLine(offset); err != nil {
			return err
		}
		name, fieldErr := fieldName(line)
		if fieldErr != nil || name == nil {
			return fieldErr
		}
	}
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
