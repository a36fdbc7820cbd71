package http1

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Statuses are minStatus to maxStatus (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckParsed checks a response that net/http's client has read, and gives a *MalformedError where its version, its
// status or the name of a field is none. Folded lines and those that end with LF do not show any more: a caller must
// not take a body for what it should be by the head alone.
func CheckParsed(response *http.Response) error {
	if response.ProtoMajor != 1 || response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return malformed("status line", []byte(response.Proto+" "+response.Status))
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name", []byte(name))
		}
	}
	return nil
}
