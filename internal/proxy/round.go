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
	wholeMost  = 256 << 10
	streamMost = 16 << 10
	skipMost   = 4
	// sendSpan is how long a choice of a backend holds, with all that was looked
	// at for it; what a daemon that stood still takes up later is chosen anew.
	sendSpan = time.Second
	// restNone wants a fresh stream.
	restNone = -1
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
	// Turned: the backend says that it has not run the request.
	Turned
	// Whole: the answer is here, or its head and the way to its rest.
	Whole
	// Broken: the stream broke or brought bytes that are no answer.
	Broken
	// Silent: no answer within the time.
	Silent
	// Failed: a whole answer that tells of the backend's own failure. It has run.
	Failed
	// Withheld: between the choice and the sending the backend was retired, or
	// the choice became too old. Nothing has left.
	Withheld
	// Forgotten: a stream that had rested was reset before any byte of an
	// answer came. The backend had most likely forgotten it, but nothing proves
	// that the request has not run.
	Forgotten
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
		return streamMost
	}
	return wholeMost
}

// encode writes the request for one backend.
func (r *Request) encode(left time.Duration, target rpc.ServerID) (data []byte) {
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

// Round is what came of one sending.
type Round struct {
	Outcome Outcome
	Verdict Response
	// Sent tells that the request has left, so that it counts as an arrival.
	Sent bool
}

// Sending says how a request goes out: when its backend was chosen, until when,
// over a stream that has rested how long at most; and may tells, once a stream is
// at hand, whether it may still go.
type Sending struct {
	Chosen, Till, Rest time.Duration
	Keyed              bool
	Lane               *Lane
	May                func(server *Server) bool
	Lapse              Lapse
}

// run sends the request to the server and reads the answer.
func run(clock Clock, server *Server, request *Request, sending Sending) (round Round) {
	begun := clock.Now()
	server.begin(begun)
	defer func() {
		if round.Verdict.BodyRest == nil {
			now := clock.Now()
			server.end(now, now-begun, round.Outcome)
		}
	}()
	stream := server.take(begun, sending.Rest)
	if stream == nil {
		var err error
		if stream, err = server.dial(sending.Till - begun); err != nil {
			return Round{Outcome: NotSent}
		}
	}
	now := clock.Now()
	if now >= sending.Till {
		server.give(now, stream, 4*time.Second)
		return Round{Outcome: NotSent}
	}
	server.hold(stream, sending.Keyed)
	defer server.release(stream)
	data := request.encode(sending.Till-now, server.ID)
	_ = stream.conn.SetDeadline(time.Now().Add(sending.Till - now))
	if !sending.holds(clock, server) {
		_ = stream.conn.SetDeadline(time.Time{})
		server.give(clock.Now(), stream, 4*time.Second)
		return Round{Outcome: Withheld}
	}
	sent, err := stream.conn.Write(data)
	if err != nil && sent == 0 {
		// The kernel has taken nothing, so nothing has left.
		server.drop(stream)
		return Round{Outcome: NotSent}
	}
	if err != nil && isTimeout(err) {
		server.drop(stream)
		return Round{Outcome: Broken, Sent: true}
	}
	// A backend that resets the stream while the request is written may have
	// answered before.
	reading := reading{clock: clock, stream: stream, request: request, begun: begun, cut: err != nil, lapse: sending.Lapse}
	round = reading.receive()
	if round.Verdict.BodyRest != nil {
		round.Verdict.BodyRest = sending.Lane.Through(round.Verdict.BodyRest)
	}
	if round.Outcome == Forgotten {
		server.habit.Forgot(clock.Now(), begun-stream.restAt)
	}
	round.Sent = true
	return round
}

// holds tells, right before the sending, that it may still go. A daemon may have
// stood still since it looked, and no timer needs to have fired yet: so the clock
// is read last.
func (s Sending) holds(clock Clock, server *Server) bool {
	if s.May != nil && !s.May(server) {
		return false
	}
	now := clock.Now()
	return now < s.Till && now-s.Chosen <= sendSpan
}

// belonging tells whose answer a response is.
type belonging uint8

const (
	nameless belonging = iota
	own
	foreign
	// garbled: it carries two ids.
	garbled
)

func whose(response *http.Response, id string) (belongs belonging) {
	ids := response.Header[headerRequestID]
	switch {
	case len(ids) > 1:
		return garbled
	case len(ids) == 0 || ids[0] == "":
		return nameless
	case ids[0] == id:
		return own
	}
	return foreign
}

// notRun tells that a response says that its request was not run.
func notRun(response *http.Response) bool {
	return response.StatusCode >= 400 && (response.Header.Get(headerNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest)
}

// reading is the reading of the answer to one request.
type reading struct {
	clock   Clock
	stream  *Stream
	request *Request
	begun   time.Duration
	// cut tells that the stream broke while the request was written.
	cut bool
	// interim and skipped count what was passed over before the answer: words
	// that one is to come, and answers to others.
	interim, skipped int
	lapse            Lapse
}

// whose tells whose answer a response is.
func (r *reading) whose(response *http.Response) (belongs belonging) {
	belongs = whose(response, r.request.ID)
	switch {
	case r.lapse == 0:
	case r.lapse.has(TakeSurplus), belongs == garbled && r.lapse.has(FirstID):
		belongs = own
	}
	return belongs
}

// first tells that nothing has come on the stream since the request was written.
func (r *reading) first() bool { return r.interim+r.skipped == 0 }

// proves tells that a word without an id can only be about this request: nothing
// else was ever asked on the stream.
func (r *reading) proves() bool {
	return r.stream.fresh && r.first() || r.lapse.has(TrustNameless)
}

// failed is what a stream that brings no further answer means.
func (r *reading) failed(err error) (round Round) {
	r.stream.server.drop(r.stream)
	switch {
	case isTimeout(err):
		return Round{Outcome: Silent}
	case !r.stream.fresh && r.first() && errors.Is(err, syscall.ECONNRESET):
		if r.lapse.has(RepeatReset) {
			return Round{Outcome: Turned}
		}
		return Round{Outcome: Forgotten}
	}
	return Round{Outcome: Broken}
}

// settle puts the stream back if it is in step and may be used again.
func (r *reading) settle(response *http.Response, keep time.Duration, good bool) {
	server := r.stream.server
	if good && !response.Close && !r.cut && r.skipped == 0 && r.stream.in.Buffered() == 0 && keep > 0 {
		_ = r.stream.conn.SetDeadline(time.Time{})
		server.give(r.clock.Now(), r.stream, keep)
		return
	}
	server.drop(r.stream)
}

// receive reads the answer to the request and puts the stream back if it may
// be used again.
func (r *reading) receive() (round Round) {
	stream, server, request := r.stream, r.stream.server, r.request
	for {
		response, err := http.ReadResponse(stream.in, &http.Request{Method: request.Method})
		if err != nil {
			return r.failed(err)
		}
		if response.StatusCode < 100 || response.StatusCode >= 600 {
			server.drop(stream)
			return Round{Outcome: Broken}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols || r.interim >= skipMost {
				server.drop(stream)
				return Round{Outcome: Broken}
			}
			r.interim++
			continue
		}
		belongs := r.whose(response)
		body, whole, rest := readBody(response, request.bufferLimit())
		if !whole && rest == nil {
			server.drop(stream)
			if belongs == own && notRun(response) {
				return Round{Outcome: Turned}
			}
			return Round{Outcome: Broken}
		}
		switch {
		case belongs == foreign && whole && !response.Close && r.skipped < skipMost:
			r.skipped++
			continue
		case belongs == nameless && whole && notRun(response) && r.proves():
			if response.StatusCode == http.StatusMisdirectedRequest {
				server.moved(r.clock.Now())
			}
			server.drop(stream)
			return Round{Outcome: Turned}
		case belongs != own:
			server.drop(stream)
			return Round{Outcome: Broken}
		}
		return r.take(response, body, whole, rest)
	}
}

// take makes the round of the request's own answer.
func (r *reading) take(response *http.Response, body []byte, whole bool, rest io.Reader) (round Round) {
	stream, server := r.stream, r.stream.server
	if cold := response.Header.Get(headerColdRemaining); cold != "" {
		if left, ok := coldSpan(cold); ok && left > 0 {
			server.chill(r.clock.Now(), left)
		}
	}
	if load := response.Header.Get(headerInstanceLoad); load != "" {
		server.hear(r.clock.Now(), load)
	}
	keep := keepFor(response)
	if notRun(response) {
		if response.StatusCode == http.StatusMisdirectedRequest {
			server.moved(r.clock.Now())
		}
		r.settle(response, keep, whole)
		return Round{Outcome: Turned}
	}
	// An answer that says of a success that it was not run says nothing, and one
	// whose status would be a promise to the client makes none without that word.
	if response.StatusCode < 300 && response.Header.Get(headerResponseSignature) == "" || response.Header.Get(headerNotExecuted) != "" || apierror.Promises(response.StatusCode) {
		server.drop(stream)
		return Round{Outcome: Broken}
	}
	outcome := Whole
	if response.StatusCode >= 500 {
		outcome = Failed
	}
	verdict := Response{Status: response.StatusCode, Headers: returnedHeaders(response.Header), Body: body, ContentLength: int64(len(body))}
	if r.request.Method == http.MethodHead {
		verdict.NoBody = true
		verdict.ContentLength = max(0, response.ContentLength)
	}
	if rest != nil {
		verdict.BodyRest, verdict.ContentLength, verdict.Chunked = rest, response.ContentLength, response.ContentLength < 0
		verdict.Finish = func(good bool) {
			r.settle(response, keep, good)
			now := r.clock.Now()
			server.end(now, now-r.begun, outcome)
		}
		return Round{Outcome: outcome, Verdict: verdict}
	}
	r.settle(response, keep, true)
	return Round{Outcome: outcome, Verdict: verdict}
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

// keepFor is how long the stream may lie idle; the backend's own word less a
// margin for the way there.
func keepFor(response *http.Response) (keep time.Duration) {
	keep = 4 * time.Second
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = time.Duration(seconds)*time.Second - 700*time.Millisecond
		}
	}
	return keep
}

// coldSpan reads how long a backend stays cold: a time with its unit, or a
// number of milliseconds.
func coldSpan(text string) (span time.Duration, ok bool) {
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
