package message

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Headers of the protocol, with the section of the protocol that defines each.
const (
	// HeaderRequestID identifies one try of a client; it goes to the backend as the client
	// sent it and comes back with every answer (Requests; Backends).
	HeaderRequestID = "Tinpin-Request-Id"
	// HeaderRequestDeadline is how many milliseconds the sender will wait (Requests).
	HeaderRequestDeadline = "Tinpin-Request-Deadline"
	// HeaderOperationKey names the operation of a request on a keyed route (Requests).
	HeaderOperationKey = "Tinpin-Operation-Key"
	// HeaderResponseSignature is the backend's stamp, without which a 2xx does not count (Answers).
	HeaderResponseSignature = "Tinpin-Response-Signature"
	// HeaderTargetInstance is the only backend that may run the request; others answer 421 (Requests).
	HeaderTargetInstance = "Tinpin-Target-Instance"
	// HeaderNotExecuted says that the backend did not run the request; nothing else does (Backends).
	HeaderNotExecuted = "Tinpin-Not-Executed"
	// HeaderInstanceID is the backend's own id in its health answers (Backends).
	HeaderInstanceID = "Tinpin-Instance-Id"
	// HeaderColdRemaining is how long the backend stays cold (Backends).
	HeaderColdRemaining = "Tinpin-Cold-Remaining"
	// HeaderInstanceLoad is what a backend may tell of its load: running, waiting, slots. The
	// protocol's pages do not name it.
	HeaderInstanceLoad = "Tinpin-Instance-Load"
)

// HeaderField is the name and the value of one header.
type HeaderField = [2]string

// appendField appends the line of a field to a head, and nothing where its name or value cannot stand in one.
func appendField(to []byte, field HeaderField) []byte {
	name, value := field[0], field[1]
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return to
	}
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, "\r\n"...)
}

// isHopByHop tells that a request's header concerns one connection only, or is written anew
// for each backend.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", HeaderRequestDeadline, HeaderTargetInstance, "Expect":
		return true
	}
	return false
}

// ForwardedHeaders lists the headers of a request that are passed on.
func ForwardedHeaders(header http.Header) (fields []HeaderField) {
	// Connection may name further headers that are not passed on.
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields = make([]HeaderField, 0, len(header))
	for name, values := range header {
		if isHopByHop(name) || named[name] && name != HeaderRequestID && name != HeaderOperationKey {
			continue
		}
		for _, value := range values {
			fields = append(fields, HeaderField{name, value})
		}
	}
	return fields
}

// ReturnedHeaders lists the headers of a backend's response that go back to the client.
func ReturnedHeaders(header http.Header) (fields []HeaderField) {
	fields = make([]HeaderField, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
			"Upgrade", "Content-Length":
			continue
		}
		for _, value := range values {
			fields = append(fields, HeaderField{name, value})
		}
	}
	return fields
}
