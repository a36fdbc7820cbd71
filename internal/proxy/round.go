// A round is one sending of a request to one backend over one stream. It ends
// in one of a few outcomes, of which only NotSent, Withheld and Turned prove that
// the request has not run. The answer is taken only if it is whole, carries the
// request's id and no other and, as a success, the backend's stamp; an answer that
// belongs to another request is passed over and the next one awaited. A word
// without an id that the request was not run counts only on a fresh stream, where
// it cannot belong to a request before. The codec is that of net/http; its
// transport is not used, because it repeats requests on its own.
package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/rpc"
)

// Head lines of the protocol.
const (
	headerRequestID         = "Tinpin-Request-Id"
	headerRequestDeadline   = "Tinpin-Request-Deadline"
	headerOperationKey      = "Tinpin-Operation-Key"
	headerResponseSignature = "Tinpin-Response-Signature"
	headerTargetInstance    = "Tinpin-Target-Instance"
	headerNotExecuted       = "Tinpin-Not-Executed"
	headerInstanceID        = "Tinpin-Instance-Id"
	headerColdRemaining     = "Tinpin-Cold-Remaining"
	headerInstanceLoad      = "Tinpin-Instance-Load"
)

const (
	maxBufferedBody     = 256 << 10
	maxStreamedPrefix   = 16 << 10
	maxSkippedResponses = 4
	// choiceLifetime is how long a choice of a backend holds, with all that was looked
	// at for it; what a daemon that stood still takes up later is chosen anew.
	choiceLifetime = time.Second
	// freshConnOnly wants a fresh stream.
	freshConnOnly = -1
)

// lineReader is the buffered reading side of a stream.
type lineReader = bufio.Reader

func newLineReader(from io.Reader) *lineReader { return bufio.NewReaderSize(from, 4096) }

// Outcome of a round.
type Outcome uint8

// The outcomes.
const (
	// NotSent: nothing of the request has left this daemon.
	NotSent Outcome = iota
	// Rejected: the backend says that it has not run the request.
	Rejected
	// Complete: the answer is here, or its head and the way to its rest.
	Complete
	// ConnectionFailed: the stream broke or brought bytes that are no answer.
	ConnectionFailed
	// TimedOut: no answer within the time.
	TimedOut
	// ServerError: a whole answer that tells of the backend's own failure. It has run.
	ServerError
	// SendCancelled: between the choice and the sending the backend was retired, or
	// the choice became too old. Nothing has left.
	SendCancelled
	// StaleConnection: a stream that had rested was reset before any byte of an
	// answer came. The backend had most likely forgotten it, but nothing proves
	// that the request has not run.
	StaleConnection
)

// Request is a client's request as it is passed on.
type Request struct {
	Method, Target, Host string
	ID                   string
	Headers              []HeaderField
	Body                 []byte
	HasBody              bool
	// StreamBody passes the answer on as it comes but for its beginning.
	StreamBody bool
	// Pipelined tells that it was taken up while others before it on the client's
	// stream were not answered, so that it may yet count as not read.
	Pipelined bool
	// head is the part of the head that is the same in every round; rounds may
	// run beside each other.
	headOnce   sync.Once
	commonHead []byte
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", headerRequestDeadline, headerTargetInstance, "Expect":
		return true
	}
	return false
}

// forwardedHeaders lists the head lines that are passed on.
func forwardedHeaders(header http.Header) (lines []HeaderField) {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	lines = make([]HeaderField, 0, len(header))
	for name, values := range header {
		if isHopByHop(name) || named[name] && name != headerRequestID && name != headerOperationKey {
			continue
		}
		for _, value := range values {
			lines = append(lines, HeaderField{name, value})
		}
	}
	return lines
}

// buildCommonHead writes the part of the head that is the same in every round.
func (r *Request) buildCommonHead() {
	head := make([]byte, 0, 512)
	head = append(head, r.Method+" "+r.Target+" HTTP/1.1\r\nHost: "+r.Host+"\r\n"...)
	for _, line := range r.Headers {
		head = append(head, line[0]...)
		head = append(head, ": "...)
		head = append(head, line[1]...)
		head = append(head, "\r\n"...)
	}
	if r.HasBody {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	r.commonHead = head
}

// bufferLimit is how much of an answer is taken in before it is passed on: one that
// is here whole can still be replaced by another backend's.
func (r *Request) bufferLimit() (most int64) {
	if r.StreamBody {
		return maxStreamedPrefix
	}
	return maxBufferedBody
}

// encode writes the request for one backend.
func (r *Request) encode(left time.Duration, target rpc.EndpointID) (data []byte) {
	r.headOnce.Do(r.buildCommonHead)
	data = make([]byte, 0, len(r.commonHead)+len(r.Body)+96)
	data = append(data, r.commonHead...)
	data = append(data, headerRequestDeadline+": "...)
	data = strconv.AppendInt(data, max(1, left.Milliseconds()), 10)
	data = append(data, "\r\n"+headerTargetInstance+": "...)
	data = append(data, target...)
	data = append(data, "\r\n\r\n"...)
	return append(data, r.Body...)
}

// Attempt is what came of one sending.
type Attempt struct {
	Outcome  Outcome
	Response Response
	// Sent tells that the request has left, so that it counts as an arrival.
	Sent bool
}

// AttemptOptions says how a request goes out: when its backend was chosen, until when,
// over a stream that has rested how long at most; and may tells, once a stream is
// at hand, whether it may still go.
type AttemptOptions struct {
	ChosenAt, Deadline, MaxIdle time.Duration
	Keyed                       bool
	Bandwidth                   *BandwidthLimiter
	Permitted                   func(server *Backend) bool
	DisabledChecks              DisabledChecks
}

// runAttempt sends the request to the server and reads the answer.
func runAttempt(clock Clock, server *Backend, request *Request, sending AttemptOptions) (round Attempt) {
	begun := clock.Now()
	server.attemptStarted(begun)
	defer func() {
		if round.Response.BodyRest == nil {
			now := clock.Now()
			server.attemptEnded(now, now-begun, round.Outcome)
		}
	}()
	stream := server.takeIdle(begun, sending.MaxIdle)
	if stream == nil {
		var err error
		if stream, err = server.dial(sending.Deadline - begun); err != nil {
			return Attempt{Outcome: NotSent}
		}
	}
	now := clock.Now()
	if now >= sending.Deadline {
		server.putIdle(now, stream, 4*time.Second)
		return Attempt{Outcome: NotSent}
	}
	server.markActive(stream, sending.Keyed)
	defer server.unmarkActive(stream)
	data := request.encode(sending.Deadline-now, server.ID)
	_ = stream.netConn.SetDeadline(time.Now().Add(sending.Deadline - now))
	if !sending.stillAllowed(clock, server) {
		_ = stream.netConn.SetDeadline(time.Time{})
		server.putIdle(clock.Now(), stream, 4*time.Second)
		return Attempt{Outcome: SendCancelled}
	}
	sent, err := stream.netConn.Write(data)
	if err != nil && sent == 0 {
		// The kernel has taken nothing, so nothing has left.
		server.closeConn(stream)
		return Attempt{Outcome: NotSent}
	}
	if err != nil && isTimeout(err) {
		server.closeConn(stream)
		return Attempt{Outcome: ConnectionFailed, Sent: true}
	}
	// A backend that resets the stream while the request is written may have
	// answered before.
	reading := responseReader{clock: clock, conn: stream, request: request, startedAt: begun, writeFailed: err != nil, disabledChecks: sending.DisabledChecks}
	round = reading.readResponse()
	if round.Response.BodyRest != nil {
		round.Response.BodyRest = sending.Bandwidth.Limit(round.Response.BodyRest)
	}
	if round.Outcome == StaleConnection {
		server.stats.ObserveStaleConn(clock.Now(), begun-stream.idleSince)
	}
	round.Sent = true
	return round
}

// stillAllowed tells, right before the sending, that it may still go. A daemon may have
// stood still since it looked, and no timer needs to have fired yet: so the clock
// is read last.
func (s AttemptOptions) stillAllowed(clock Clock, server *Backend) bool {
	if s.Permitted != nil && !s.Permitted(server) {
		return false
	}
	now := clock.Now()
	return now < s.Deadline && now-s.ChosenAt <= choiceLifetime
}

// responseOwner tells whose answer a response is.
type responseOwner uint8

const (
	ownerUnnamed responseOwner = iota
	ownerThisRequest
	ownerOtherRequest
	// ownerAmbiguous: it carries two ids.
	ownerAmbiguous
)

func ownerOf(response *http.Response, id string) (belongs responseOwner) {
	ids := response.Header[headerRequestID]
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

// notExecuted tells that a response says that its request was not run.
func notExecuted(response *http.Response) bool {
	return response.StatusCode >= 400 && (response.Header.Get(headerNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest)
}

// responseReader is the reading of the answer to one request.
type responseReader struct {
	clock     Clock
	conn      *Conn
	request   *Request
	startedAt time.Duration
	// writeFailed tells that the stream broke while the request was written.
	writeFailed bool
	// interim and skipped count what was passed over before the answer: words
	// that one is to come, and answers to others.
	interim, skipped int
	disabledChecks   DisabledChecks
}

// owner tells whose answer a response is.
func (r *responseReader) owner(response *http.Response) (belongs responseOwner) {
	belongs = ownerOf(response, r.request.ID)
	switch {
	case r.disabledChecks == 0:
	case r.disabledChecks.has(AcceptAnyID), belongs == ownerAmbiguous && r.disabledChecks.has(AcceptFirstID):
		belongs = ownerThisRequest
	}
	return belongs
}

// nothingReceived tells that nothing has come on the stream since the request was written.
func (r *responseReader) nothingReceived() bool { return r.interim+r.skipped == 0 }

// unnamedIsOurs tells that a word without an id can only be about this request: nothing
// else was ever asked on the stream.
func (r *responseReader) unnamedIsOurs() bool {
	return r.conn.fresh && r.nothingReceived() || r.disabledChecks.has(TrustMissingID)
}

// readFailed is what a stream that brings no further answer means.
func (r *responseReader) readFailed(err error) (round Attempt) {
	r.conn.backend.closeConn(r.conn)
	switch {
	case isTimeout(err):
		return Attempt{Outcome: TimedOut}
	case !r.conn.fresh && r.nothingReceived() && errors.Is(err, syscall.ECONNRESET):
		if r.disabledChecks.has(RetryAfterReset) {
			return Attempt{Outcome: Rejected}
		}
		return Attempt{Outcome: StaleConnection}
	}
	return Attempt{Outcome: ConnectionFailed}
}

// releaseConn puts the stream back if it is in step and may be used again.
func (r *responseReader) releaseConn(response *http.Response, keep time.Duration, good bool) {
	server := r.conn.backend
	if good && !response.Close && !r.writeFailed && r.skipped == 0 && r.conn.reader.Buffered() == 0 && keep > 0 {
		_ = r.conn.netConn.SetDeadline(time.Time{})
		server.putIdle(r.clock.Now(), r.conn, keep)
		return
	}
	server.closeConn(r.conn)
}

// readResponse reads the answer to the request and puts the stream back if it may
// be used again.
func (r *responseReader) readResponse() (round Attempt) {
	stream, server, request := r.conn, r.conn.backend, r.request
	for {
		response, err := http.ReadResponse(stream.reader, &http.Request{Method: request.Method})
		if err != nil {
			return r.readFailed(err)
		}
		if response.StatusCode < 100 || response.StatusCode >= 600 {
			server.closeConn(stream)
			return Attempt{Outcome: ConnectionFailed}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols || r.interim >= maxSkippedResponses {
				server.closeConn(stream)
				return Attempt{Outcome: ConnectionFailed}
			}
			r.interim++
			continue
		}
		belongs := r.owner(response)
		body, whole, rest := readBody(response, request.bufferLimit())
		if !whole && rest == nil {
			server.closeConn(stream)
			if belongs == ownerThisRequest && notExecuted(response) {
				return Attempt{Outcome: Rejected}
			}
			return Attempt{Outcome: ConnectionFailed}
		}
		switch {
		case belongs == ownerOtherRequest && whole && !response.Close && r.skipped < maxSkippedResponses:
			r.skipped++
			continue
		case belongs == ownerUnnamed && whole && notExecuted(response) && r.unnamedIsOurs():
			if response.StatusCode == http.StatusMisdirectedRequest {
				server.markReplaced(r.clock.Now())
			}
			server.closeConn(stream)
			return Attempt{Outcome: Rejected}
		case belongs != ownerThisRequest:
			server.closeConn(stream)
			return Attempt{Outcome: ConnectionFailed}
		}
		return r.accept(response, body, whole, rest)
	}
}

// accept makes the round of the request's own answer.
func (r *responseReader) accept(response *http.Response, body []byte, whole bool, rest io.Reader) (round Attempt) {
	stream, server := r.conn, r.conn.backend
	if cold := response.Header.Get(headerColdRemaining); cold != "" {
		if left, ok := parseWarmUp(cold); ok && left > 0 {
			server.startWarmUp(r.clock.Now(), left)
		}
	}
	if load := response.Header.Get(headerInstanceLoad); load != "" {
		server.observeLoad(r.clock.Now(), load)
	}
	keep := keepAliveOf(response)
	if notExecuted(response) {
		if response.StatusCode == http.StatusMisdirectedRequest {
			server.markReplaced(r.clock.Now())
		}
		r.releaseConn(response, keep, whole)
		return Attempt{Outcome: Rejected}
	}
	// An answer that says of a success that it was not run says nothing, and one
	// whose status would be a promise to the client makes none without that word.
	if response.StatusCode < 300 && response.Header.Get(headerResponseSignature) == "" || response.Header.Get(headerNotExecuted) != "" || apierror.PromisesNotRun(response.StatusCode) {
		server.closeConn(stream)
		return Attempt{Outcome: ConnectionFailed}
	}
	outcome := Complete
	if response.StatusCode >= 500 {
		outcome = ServerError
	}
	verdict := Response{Status: response.StatusCode, Headers: returnedHeaders(response.Header), Body: body, ContentLength: int64(len(body))}
	if r.request.Method == http.MethodHead {
		verdict.NoBody = true
		verdict.ContentLength = max(0, response.ContentLength)
	}
	if rest != nil {
		verdict.BodyRest, verdict.ContentLength, verdict.Chunked = rest, response.ContentLength, response.ContentLength < 0
		verdict.Finish = func(good bool) {
			r.releaseConn(response, keep, good)
			now := r.clock.Now()
			server.attemptEnded(now, now-r.startedAt, outcome)
		}
		return Attempt{Outcome: outcome, Response: verdict}
	}
	r.releaseConn(response, keep, true)
	return Attempt{Outcome: outcome, Response: verdict}
}

// readBody reads a body whole where it is small; of a large one it gives the
// beginning and the rest to read. A body that only the end of the stream ends
// cannot be told from one cut short and is not taken.
func readBody(response *http.Response, most int64) (body []byte, whole bool, rest io.Reader) {
	if response.Body == http.NoBody || response.ContentLength == 0 {
		return nil, true, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, false, nil
	}
	if response.ContentLength > most {
		return nil, false, response.Body
	}
	if response.ContentLength > 0 {
		body = make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err == nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err != nil {
		return nil, false, nil
	}
	if int64(len(body)) > most {
		return body, false, response.Body
	}
	return body, true, nil
}

// returnedHeaders lists the head lines that go back to the client.
func returnedHeaders(header http.Header) (lines []HeaderField) {
	lines = make([]HeaderField, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		for _, value := range values {
			lines = append(lines, HeaderField{name, value})
		}
	}
	return lines
}

// keepAliveOf is how long the stream may lie idle; the backend's own word less a
// margin for the way there.
func keepAliveOf(response *http.Response) (keep time.Duration) {
	keep = 4 * time.Second
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = time.Duration(seconds)*time.Second - 700*time.Millisecond
		}
	}
	return keep
}

// parseWarmUp reads how long a backend stays cold: a time with its unit, or a
// number of milliseconds.
func parseWarmUp(text string) (span time.Duration, ok bool) {
	if span, err := time.ParseDuration(text); err == nil {
		return span, true
	}
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return time.Duration(number * float64(time.Millisecond)), true
	}
	return 0, false
}

func isTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return false
	}
	var slow net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow) && slow.Timeout()
}

// Clock is the steady clock of a daemon.
type Clock struct{ birth time.Time }

// NewClock starts at zero.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.birth) }
