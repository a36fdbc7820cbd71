package proxy

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"tinpin/internal/message"
)

// probeEndpoint makes one health check: over an idle connection if there is one and no
// fresh one is wanted. warmUp is how long the backend says that it will be warming up.
func probeEndpoint(clock Clock, backend *Backend, path string, fresh bool) (result ProbeResult, warmUp time.Duration) {
	conn, err := probeConn(clock, backend, fresh)
	if err != nil {
		if message.IsTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
			return ProbeTimedOut, 0
		}
		return ProbeDown, 0
	}
	_ = conn.netConn.SetDeadline(time.Now().Add(probeTimeout))
	text := "GET " + path + " HTTP/1.1\r\nHost: " + backend.Address + "\r\n" +
		message.HeaderTargetInstance + ": " + string(backend.ID) + "\r\n\r\n"
	if _, err = conn.netConn.Write([]byte(text)); err != nil {
		backend.closeConn(conn)
		return ProbeInvalid, 0
	}
	response, result := readProbeResponse(conn)
	if response == nil {
		backend.closeConn(conn)
		return result, 0
	}
	if keep := keepAliveOf(response); !response.Close && conn.reader.Buffered() == 0 && keep > 0 {
		_ = conn.netConn.SetDeadline(time.Time{})
		backend.putIdle(clock.Now(), conn, keep)
	} else {
		backend.closeConn(conn)
	}
	result = probeResultOf(response, string(backend.ID))
	if span, ok := parseWarmUp(response.Header.Get(message.HeaderColdRemaining)); ok && result == ProbeUp {
		warmUp = span
	}
	return result, warmUp
}

// probeConn gives a connection to probe over.
func probeConn(clock Clock, backend *Backend, fresh bool) (conn *Conn, err error) {
	if !fresh {
		if conn = backend.takeIdle(clock.Now(), defaultMaxIdle); conn != nil {
			return conn, nil
		}
	}
	return backend.dial(context.Background(), probeTimeout)
}

// readProbeResponse reads the response to a probe, or tells what it means that there is
// none. Informational responses and late ones to requests are skipped.
func readProbeResponse(conn *Conn) (response *http.Response, result ProbeResult) {
	for skipped := 0; skipped <= maxSkippedResponses; skipped++ {
		response, err := conn.reader.ReadResponse(http.MethodGet)
		if err != nil {
			if message.IsTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) {
				return nil, ProbeTimedOut
			}
			return nil, ProbeInvalid
		}
		if _, rest, bodyErr := readBody(response, maxBufferedBody); bodyErr != nil || rest != nil {
			return nil, ProbeInvalid
		}
		if response.Header.Get(message.HeaderRequestID) == "" && response.StatusCode >= 200 {
			return response, ProbeInvalid
		}
	}
	return nil, ProbeInvalid
}

// probeResultOf says what the response to a probe means. A backend is up only if it
// names itself: at its address there may be another one by now.
func probeResultOf(response *http.Response, id string) (result ProbeResult) {
	switch status := response.StatusCode; {
	case status == http.StatusOK && response.Header.Get(message.HeaderInstanceID) == id:
		return ProbeUp
	case status == http.StatusOK, status == http.StatusMisdirectedRequest:
		return ProbeDown
	case response.Header.Get(message.HeaderNotExecuted) != "", status == http.StatusTooManyRequests:
		return ProbeBusy
	}
	return ProbeDown
}
