// A round is one sending of a request to one backend over one stream. It ends
// in one of a few outcomes, of which only NotSent and Turned prove that the
// request has not run. The answer is taken only if it is whole, carries the
// request's id and, as a success, the backend's stamp; an answer that belongs
// to another request is passed over and the next one awaited. The codec is
// that of net/http; its transport is not used, because it repeats requests on
// its own.
package passage

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

	"tinpin/internal/parley"
)

// Head lines of the protocol.
const (
	headRequest  = "Tinpin-Request-Id"
	headDeadline = "Tinpin-Request-Deadline"
	headKey      = "Tinpin-Operation-Key"
	headStamp    = "Tinpin-Response-Signature"
	headTarget   = "Tinpin-Target-Instance"
	headNotRun   = "Tinpin-Not-Executed"
	headInstance = "Tinpin-Instance-Id"
	headCold     = "Tinpin-Cold-Remaining"
	headLoad     = "Tinpin-Instance-Load"
)

const (
	wholeMost  = 256 << 10
	streamMost = 16 << 10
	skipMost   = 4
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
	// Withheld: the backend was retired between the choice and the sending.
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
	Lines                []Line
	Body                 []byte
	HasBody              bool
	// Stream passes the answer on as it comes but for its beginning.
	Stream bool
	// head is the part of the head that is the same in every round; rounds may
	// run beside each other.
	once sync.Once
	head []byte
}

func dropped(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", headDeadline, headTarget, "Expect":
		return true
	}
	return false
}

// carried lists the head lines that are passed on.
func carried(header http.Header) (lines []Line) {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	lines = make([]Line, 0, len(header))
	for name, values := range header {
		if dropped(name) || named[name] && name != headRequest && name != headKey {
			continue
		}
		for _, value := range values {
			lines = append(lines, Line{name, value})
		}
	}
	return lines
}

// prepare writes the part of the head that is the same in every round.
func (r *Request) prepare() {
	head := make([]byte, 0, 512)
	head = append(head, r.Method+" "+r.Target+" HTTP/1.1\r\nHost: "+r.Host+"\r\n"...)
	for _, line := range r.Lines {
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
	r.head = head
}

// most is how much of an answer is taken in before it is passed on: one that
// is here whole can still be replaced by another backend's.
func (r *Request) most() (most int64) {
	if r.Stream {
		return streamMost
	}
	return wholeMost
}

// bytes writes the request for one backend.
func (r *Request) bytes(left time.Duration, target parley.ServerID) (data []byte) {
	r.once.Do(r.prepare)
	data = make([]byte, 0, len(r.head)+len(r.Body)+96)
	data = append(data, r.head...)
	data = append(data, headDeadline+": "...)
	data = strconv.AppendInt(data, max(1, left.Milliseconds()), 10)
	data = append(data, "\r\n"+headTarget+": "...)
	data = append(data, target...)
	data = append(data, "\r\n\r\n"...)
	return append(data, r.Body...)
}

// Round is what came of one sending.
type Round struct {
	Outcome Outcome
	Verdict Verdict
	// Sent tells that the request has left, so that it counts as an arrival.
	Sent bool
}

// Sending says how a request goes out: until when, over a stream that has
// rested how long at most; and may tells, once a stream is at hand, whether it
// may still go.
type Sending struct {
	Till, Rest time.Duration
	Keyed      bool
	Lane       *Lane
	May        func(server *Server) bool
}

// run sends the request to the server and reads the answer.
func run(clock Clock, server *Server, request *Request, sending Sending) (round Round) {
	begun := clock.Now()
	server.begin(begun)
	defer func() {
		if round.Verdict.Rest == nil {
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
	if sending.May != nil && !sending.May(server) {
		server.give(now, stream, 4*time.Second)
		return Round{Outcome: Withheld}
	}
	_ = stream.conn.SetDeadline(time.Now().Add(sending.Till - now))
	sent, err := stream.conn.Write(request.bytes(sending.Till-now, server.ID))
	if err != nil && sent == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		server.drop(stream)
		return Round{Outcome: NotSent}
	}
	if err != nil {
		server.drop(stream)
		return Round{Outcome: Broken, Sent: true}
	}
	round = receive(clock, stream, request, begun)
	if round.Verdict.Rest != nil {
		round.Verdict.Rest = sending.Lane.Through(round.Verdict.Rest)
	}
	if round.Outcome == Forgotten {
		server.habit.Forgot(clock.Now(), begun-stream.restAt)
	}
	round.Sent = true
	return round
}

// receive reads the answer to the request and puts the stream back if it may
// be used again.
func receive(clock Clock, stream *Stream, request *Request, begun time.Duration) (round Round) {
	server := stream.server
	for skipped := 0; ; skipped++ {
		response, err := http.ReadResponse(stream.in, &http.Request{Method: request.Method})
		if err != nil {
			server.drop(stream)
			switch {
			case isTimeout(err):
				return Round{Outcome: Silent}
			case !stream.fresh && skipped == 0 && errors.Is(err, syscall.ECONNRESET):
				return Round{Outcome: Forgotten}
			}
			return Round{Outcome: Broken}
		}
		if response.StatusCode < 200 {
			if response.StatusCode == http.StatusSwitchingProtocols || skipped >= skipMost {
				server.drop(stream)
				return Round{Outcome: Broken}
			}
			continue
		}
		body, whole, rest := readBody(response, request.most())
		if !whole && rest == nil {
			server.drop(stream)
			if response.Header.Get(headNotRun) != "" && response.Header.Get(headRequest) == request.ID {
				return Round{Outcome: Turned}
			}
			return Round{Outcome: Broken}
		}
		if response.Header.Get(headRequest) != request.ID {
			foreign := response.Header.Get(headRequest) != ""
			if foreign && whole && !response.Close && skipped < skipMost {
				continue
			}
			server.drop(stream)
			if !foreign && whole && response.Header.Get(headNotRun) != "" {
				return Round{Outcome: Turned}
			}
			if !foreign && response.StatusCode == http.StatusMisdirectedRequest {
				server.moved(clock.Now())
				return Round{Outcome: Turned}
			}
			return Round{Outcome: Broken}
		}
		if cold := response.Header.Get(headCold); cold != "" {
			if left, ok := coldSpan(cold); ok && left > 0 {
				server.chill(clock.Now(), left)
			}
		}
		if load := response.Header.Get(headLoad); load != "" {
			server.hear(clock.Now(), load)
		}
		keep := keepFor(response)
		settle := func(good bool) {
			if good && !response.Close && stream.in.Buffered() == 0 && keep > 0 {
				_ = stream.conn.SetDeadline(time.Time{})
				server.give(clock.Now(), stream, keep)
				return
			}
			server.drop(stream)
		}
		if response.Header.Get(headNotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
			if response.StatusCode == http.StatusMisdirectedRequest {
				server.moved(clock.Now())
			}
			settle(whole)
			return Round{Outcome: Turned}
		}
		if response.StatusCode < 300 && response.Header.Get(headStamp) == "" {
			server.drop(stream)
			return Round{Outcome: Broken}
		}
		outcome := Whole
		if response.StatusCode >= 500 {
			outcome = Failed
		}
		verdict := Verdict{Status: response.StatusCode, Lines: returned(response.Header), Body: body, Length: int64(len(body))}
		if request.Method == http.MethodHead {
			verdict.NoBody = true
			verdict.Length = max(0, response.ContentLength)
		}
		if rest != nil {
			verdict.Rest, verdict.Length, verdict.Chunked = rest, response.ContentLength, response.ContentLength < 0
			verdict.Finish = func(good bool) {
				settle(good)
				now := clock.Now()
				server.end(now, now-begun, outcome)
			}
			return Round{Outcome: outcome, Verdict: verdict}
		}
		settle(true)
		return Round{Outcome: outcome, Verdict: verdict}
	}
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

// returned lists the head lines that go back to the client.
func returned(header http.Header) (lines []Line) {
	lines = make([]Line, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		for _, value := range values {
			lines = append(lines, Line{name, value})
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
