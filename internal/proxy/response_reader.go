package proxy

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/http1"
	"tinpin/internal/message"
)

// maxSkippedResponses is how many interim responses, and how many responses to other requests,
// are read before the request's own.
const maxSkippedResponses = 4

// responseOwner tells which request a response belongs to.
type responseOwner uint8

const (
	// ownerUnnamed: the response carries no request id.
	ownerUnnamed responseOwner = iota
	ownerThisRequest
	ownerOtherRequest
	// ownerAmbiguous: the response carries two ids.
	ownerAmbiguous
)

func ownerOf(response *http.Response, id string) responseOwner {
	ids := response.Header[message.HeaderRequestID]
	switch {
	case len(ids) > 1:
		return ownerAmbiguous
	case len(ids) == 0 || ids[0] == "":
		return ownerUnnamed
	case ids[0] == id:
		return ownerThisRequest
	}
	return ownerOtherRequest
}

// notExecuted tells that a response reports that its request was not run.
func notExecuted(response *http.Response) bool {
	return response.StatusCode >= 400 &&
		(response.Header.Get(message.HeaderNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest)
}

// responseReader reads the response to one request. A response is accepted only if it is complete,
// carries the request's id and no other and, if it is a success, the backend's signature; one that
// belongs to another request is skipped. A response without an id that reports that the request was
// not run counts only on a fresh connection, where it cannot belong to an earlier request.
type responseReader struct {
	clock     Clock
	conn      *Conn
	request   *message.Request
	startedAt time.Duration
	// writeFailed tells that the connection broke while the request was written.
	writeFailed bool
	// interim counts 1xx responses that were read, skipped responses to other requests.
	interim, skipped int
	disabledChecks   DisabledChecks
}

// owner tells which request a response belongs to.
func (r *responseReader) owner(response *http.Response) responseOwner {
	owner := ownerOf(response, r.request.ID)
	switch {
	case r.disabledChecks == 0:
	case r.disabledChecks.has(AcceptAnyID), owner == ownerAmbiguous && r.disabledChecks.has(AcceptFirstID):
		owner = ownerThisRequest
	}
	return owner
}

// nothingReceived tells that no response has been read since the request was written.
func (r *responseReader) nothingReceived() bool { return r.interim+r.skipped == 0 }

// unnamedIsOurs tells that a response without an id can only belong to this request, because no
// other was ever sent on the connection.
func (r *responseReader) unnamedIsOurs() bool {
	return r.conn.fresh && r.nothingReceived() || r.disabledChecks.has(TrustMissingID)
}

// readFailed closes the connection and ends the attempt after an error of reading.
func (r *responseReader) readFailed(err error) Attempt {
	switch {
	case message.IsTimeout(err):
		return r.end(TimedOut)
	case !r.conn.fresh && r.nothingReceived() && errors.Is(err, syscall.ECONNRESET):
		if r.disabledChecks.has(RetryAfterReset) {
			return r.end(Rejected)
		}
		return r.end(StaleConnection)
	}
	return r.end(ConnectionFailed)
}

// end closes the connection and ends the attempt. A failure after it was interrupted tells nothing
// of the backend.
func (r *responseReader) end(outcome Outcome) Attempt {
	interrupted := r.conn.stopInterruption()
	r.conn.backend.closeConn(r.conn)
	if interrupted && outcome != Rejected {
		outcome = Abandoned
	}
	return Attempt{Outcome: outcome}
}

// releaseConn returns the connection to the pool if it may be reused, and closes it otherwise. It may
// be reused only while every request on it has had exactly one response and nothing is left unread. It
// tells whether the connection was interrupted.
func (r *responseReader) releaseConn(
	response *http.Response, keepAlive time.Duration, complete bool,
) (interrupted bool) {
	backend := r.conn.backend
	interrupted = r.conn.stopInterruption()
	inStep := complete && !interrupted && !r.writeFailed && r.skipped == 0 && r.conn.reader.Buffered() == 0
	if inStep && !response.Close && keepAlive > 0 {
		_ = r.conn.netConn.SetDeadline(time.Time{})
		backend.putIdle(r.clock.Now(), r.conn, keepAlive)
		return interrupted
	}
	backend.closeConn(r.conn)
	return interrupted
}

// readResponse reads interim responses and responses to other requests up to the one to this request,
// and releases the connection.
func (r *responseReader) readResponse() Attempt {
	for {
		response, err := r.conn.reader.ReadResponse(r.request.Method)
		if err != nil {
			return r.readFailed(err)
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols || r.interim >= maxSkippedResponses {
				return r.end(ConnectionFailed)
			}
			r.interim++
			continue
		}
		attempt, skip := r.takeFinal(response)
		if !skip {
			return attempt
		}
		r.skipped++
	}
}

// takeFinal reads the body of a final response. It returns the attempt that the response ends, or that
// the response is to be skipped.
func (r *responseReader) takeFinal(response *http.Response) (attempt Attempt, skip bool) {
	owner := r.owner(response)
	body, rest, err := readBody(response, bufferLimit(r.request))
	complete := rest == nil
	switch {
	case err != nil && owner == ownerThisRequest && notExecuted(response) && !http1.IsMalformed(err):
		// Its head is a response's; only the text for people is cut short.
		return r.end(Rejected), false
	case err != nil:
		return r.end(ConnectionFailed), false
	case owner == ownerThisRequest:
		return r.accept(response, body, rest), false
	case owner == ownerOtherRequest && complete && !response.Close && r.skipped < maxSkippedResponses:
		return attempt, true
	case owner == ownerUnnamed && complete && notExecuted(response) && r.unnamedIsOurs():
		if response.StatusCode == http.StatusMisdirectedRequest {
			r.conn.backend.setReplaced(r.clock.Now())
		}
		return r.end(Rejected), false
	}
	return r.end(ConnectionFailed), false
}

// accept makes the attempt of the request's own response. Its body is complete where there is no rest to read.
func (r *responseReader) accept(response *http.Response, body []byte, rest io.Reader) Attempt {
	backend := r.conn.backend
	r.observeHeaders(response.Header)
	keepAlive := keepAliveOf(response)
	if notExecuted(response) {
		if response.StatusCode == http.StatusMisdirectedRequest {
			backend.setReplaced(r.clock.Now())
		}
		r.releaseConn(response, keepAlive, rest == nil)
		return Attempt{Outcome: Rejected}
	}
	if contradictory(response) {
		return r.end(ConnectionFailed)
	}
	outcome := Complete
	if response.StatusCode >= 500 {
		outcome = ServerError
	}
	result := message.Response{
		Status: response.StatusCode, Headers: message.ReturnedHeaders(response.Header),
		Body: body, ContentLength: int64(len(body)),
	}
	if r.request.Method == http.MethodHead {
		result.NoBody = true
		result.ContentLength = max(0, response.ContentLength)
	}
	if rest == nil {
		r.releaseConn(response, keepAlive, true)
		return Attempt{Outcome: outcome, Response: result}
	}
	result.BodyRest, result.ContentLength, result.Chunked = rest, response.ContentLength, response.ContentLength < 0
	stream := *r // so that only the reader of a stream is kept
	result.Finish = func(complete bool) { stream.finish(response, keepAlive, complete, outcome) }
	return Attempt{Outcome: outcome, Response: result}
}

// finish ends an attempt whose response was passed on as it came.
func (r *responseReader) finish(response *http.Response, keepAlive time.Duration, complete bool, outcome Outcome) {
	if r.releaseConn(response, keepAlive, complete) && !complete {
		outcome = Abandoned
	}
	now := r.clock.Now()
	r.conn.backend.attemptEnded(now, now-r.startedAt, outcome)
}

// observeHeaders records what a backend reports of itself in the headers of a response.
func (r *responseReader) observeHeaders(header http.Header) {
	backend := r.conn.backend
	if text := header.Get(message.HeaderColdRemaining); text != "" {
		if left, ok := parseWarmUp(text); ok && left > 0 {
			backend.startWarmUp(r.clock.Now(), left)
		}
	}
	if text := header.Get(message.HeaderInstanceLoad); text != "" {
		backend.observeLoad(r.clock.Now(), text)
	}
}

// contradictory tells that a response cannot be passed on: a success without the backend's
// signature, a success with Tinpin-Not-Executed, or a status that promises to the client that the
// request has not run although the backend does not say so.
func contradictory(response *http.Response) bool {
	return response.StatusCode < 300 && response.Header.Get(message.HeaderResponseSignature) == "" ||
		response.Header.Get(message.HeaderNotExecuted) != "" || apierror.PromisesNotRun(response.StatusCode)
}

// bufferLimit is how many bytes of a body are read before the response is passed on. A response that
// is buffered completely can still be replaced by that of a retry.
func bufferLimit(request *message.Request) int64 {
	if request.StreamBody {
		return maxStreamedPrefix
	}
	return maxBufferedBody
}

// readBody reads a small body completely; of a large one it returns the beginning and a reader of the
// rest. A body without a length ends with its connection: in order, or there is an error.
func readBody(response *http.Response, limit int64) (body []byte, rest io.Reader, err error) {
	if response.Body == http.NoBody || response.ContentLength == 0 {
		return nil, nil, nil
	}
	if response.ContentLength > limit {
		return nil, response.Body, nil
	}
	if response.ContentLength > 0 {
		body = make([]byte, response.ContentLength)
		_, err = io.ReadFull(response.Body, body)
		return body, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > limit {
		return body, response.Body, nil
	}
	return body, nil, nil
}
