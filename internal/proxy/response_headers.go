package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultKeepAlive is how long a connection to a backend that names no time may stay idle.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how much sooner than announced by a backend its connection expires here.
	keepAliveMargin = 700 * time.Millisecond
	// maxLoadNumber is the largest number that is accepted in a backend's load report.
	maxLoadNumber = 1 << 20
)

// keepAliveOf is how long the connection that brought a response may stay idle.
func keepAliveOf(response *http.Response) (keepAlive time.Duration) {
	keepAlive = defaultKeepAlive
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			keepAlive = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return keepAlive
}

// parseWarmUp reads how long a backend is still warming up: a duration with its unit, or a number of
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

// parseLoad reads a backend's load report: the requests that run, those that wait, and its slots. One
// that does not parse, or holds a negative or implausible number, is ignored.
func parseLoad(text string) (requests int, ok bool) {
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
			requests += number
		}
	}
	return requests, true
}
