package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol, with the section of the protocol that defines each.
const (
	// headerRequestID identifies one try of a client; it goes to the backend as the client
	// sent it and comes back with every answer (Requests; Backends).
	headerRequestID = "Tinpin-Request-Id"
	// headerRequestDeadline is how many milliseconds the sender will wait (Requests).
	headerRequestDeadline = "Tinpin-Request-Deadline"
	// headerOperationKey names the operation of a request on a keyed route (Requests).
	headerOperationKey = "Tinpin-Operation-Key"
	// headerResponseSignature is the backend's stamp, without which a 2xx does not count (Answers).
	headerResponseSignature = "Tinpin-Response-Signature"
	// headerTargetInstance is the only backend that may run the request; others answer 421 (Requests).
	headerTargetInstance = "Tinpin-Target-Instance"
	// headerNotExecuted says that the backend did not run the request; nothing else does (Backends).
	headerNotExecuted = "Tinpin-Not-Executed"
	// headerInstanceID is the backend's own id in its health answers (Backends).
	headerInstanceID = "Tinpin-Instance-Id"
	// headerColdRemaining is how long the backend stays cold (Backends).
	headerColdRemaining = "Tinpin-Cold-Remaining"
	// headerInstanceLoad is what a backend may tell of its load: running, waiting, slots. The
	// protocol's pages do not name it.
	headerInstanceLoad = "Tinpin-Instance-Load"
)

const (
	// defaultKeepAlive is how long a connection to a backend that names no time may stay idle.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how much sooner than a backend says its connection is given up.
	keepAliveMargin = 700 * time.Millisecond
	// maxLoadNumber is the largest number that a backend's load is believed to hold.
	maxLoadNumber = 1 << 20
)

// HeaderField is the name and the value of one header.
type HeaderField = [2]string

// isHopByHop tells that a request's header concerns one connection only, or is written anew
// for each backend.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", headerRequestDeadline, headerTargetInstance, "Expect":
		return true
	}
	return false
}

// forwardedHeaders lists the headers of a request that are passed on.
func forwardedHeaders(header http.Header) (fields []HeaderField) {
	// Connection may name further headers that are not passed on.
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields = make([]HeaderField, 0, len(header))
	for name, values := range header {
		if isHopByHop(name) || named[name] && name != headerRequestID && name != headerOperationKey {
			continue
		}
		for _, value := range values {
			fields = append(fields, HeaderField{name, value})
		}
	}
	return fields
}

// returnedHeaders lists the headers of a backend's response that go back to the client.
func returnedHeaders(header http.Header) (fields []HeaderField) {
	fields = make([]HeaderField, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		for _, value := range values {
			fields = append(fields, HeaderField{name, value})
		}
	}
	return fields
}

// keepAliveOf is how long the connection that brought a response may stay idle.
func keepAliveOf(response *http.Response) (keepAlive time.Duration) {
	keepAlive = defaultKeepAlive
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keepAlive = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return keepAlive
}

// parseWarmUp reads how long a backend stays cold: a time with its unit, or a number of
// milliseconds.
func parseWarmUp(text string) (left time.Duration, ok bool) {
	if left, err := time.ParseDuration(text); err == nil {
		return left, true
	}
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return time.Duration(number * float64(time.Millisecond)), true
	}
	return 0, false
}

// parseLoad reads what a backend tells of its load: the requests that run, those that wait,
// and its slots. What does not parse, or is negative or absurd, is ignored.
func parseLoad(text string) (jobs int, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return 0, false
	}
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 || number > maxLoadNumber {
			return 0, false
		}
		if i < 2 {
			jobs += number
		}
	}
	return jobs, true
}
