package faulttest

// A backend is a stand-in that speaks the published protocol but for the faults that it
// draws, and records each run in the request log before it responds.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/testutil/malformed"
)

const (
	// routeTimeout is the time-out of the routes.
	routeTimeout = 250 * time.Millisecond
	maxSlowness  = 50 * time.Millisecond
	bodyBytes    = 3000
)

// backend is a stand-in.
type backend struct {
	id       string
	listener net.Listener
	log      atomic.Pointer[RequestLog]
	inFlight atomic.Int64
	faults   [faultCount]atomic.Int64

	mu          sync.Mutex
	rng         *rand.Rand
	faultsOff   bool
	connections map[net.Conn]bool
}

// startBackend starts a stand-in on an address.
func startBackend(id, address string) (b *backend, err error) {
	b = &backend{id: id, rng: rand.New(rand.NewPCG(1, 1)), faultsOff: true, connections: map[net.Conn]bool{}}
	if b.listener, err = net.Listen("tcp4", address); err != nil {
		return nil, Class.Wrap(err)
	}
	go b.accept()
	return b, nil
}

// start begins to record in a log and to draw faults from a seed.
func (b *backend) start(log *RequestLog, seed uint64) {
	b.log.Store(log)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rng, b.faultsOff = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), false
}

// quiesce ends the faults and closes all connections.
func (b *backend) quiesce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultsOff = true
	for conn := range b.connections {
		_ = conn.Close()
	}
}

// Close ends the stand-in.
func (b *backend) Close() (err error) {
	err = b.listener.Close()
	b.quiesce()
	return err
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		b.mu.Lock()
		b.connections[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) draw(reused, body bool) (fault Fault, span time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faultsOff {
		return None, 0
	}
	return draw(b.rng.IntN(1000), reused, body), time.Duration(b.rng.Int64N(int64(maxSlowness)))
}

// reset ends a connection with a TCP reset, whatever is unread.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// backendConnection is one connection of a proxy to the stand-in; previous is the response before.
type backendConnection struct {
	conn     net.Conn
	in       *bufio.Reader
	previous string
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.connections, conn)
		b.mu.Unlock()
	}()
	s := &backendConnection{conn: conn, in: bufio.NewReader(conn)}
	for {
		if _, err := s.in.Peek(1); err != nil {
			return
		}
		b.inFlight.Add(1)
		keep := b.handleRequest(s)
		b.inFlight.Add(-1)
		if !keep {
			return
		}
	}
}

// handleRequest reads and answers one request and tells whether the connection stays open.
func (b *backend) handleRequest(s *backendConnection) (keep bool) {
	request, err := http.ReadRequest(s.in)
	if err != nil {
		return false
	}
	id := request.Header.Get("Tinpin-Request-Id")
	if request.URL.Path == "/health" {
		_, err = fmt.Fprintf(s.conn, "HTTP/1.1 200 OK\r\nTinpin-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
		return err == nil
	}
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return false
	}
	answer := response{id: id, head: request.Method == http.MethodHead, signature: "s." + id}
	if target := request.Header.Get("Tinpin-Target-Instance"); target != b.id {
		return s.write(answer.notRun(421))
	}
	fault, span := b.draw(s.previous != "", request.ContentLength > 0)
	b.faults[fault].Add(1)
	if s.failWithinRequest(fault, answer) {
		return false
	}
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if done, open := s.failBeforeRun(fault, answer); done {
		return open
	}
	b.log.Load().RecordRun(ID(number))
	text, before := answer.text(), s.previous
	s.previous = text
	if s.failAfterRun(fault, answer, text) {
		return false
	}
	switch fault {
	case Late:
		time.Sleep(routeTimeout + span)
	case Slow:
		time.Sleep(span)
	}
	return s.write(alteredText(fault, answer, text, before))
}

// failWithinRequest carries out the faults that end a connection before the body was read.
func (s *backendConnection) failWithinRequest(fault Fault, answer response) (done bool) {
	switch fault {
	case ResetBefore, ResetWithin:
		reset(s.conn)
	case RefusedWithin:
		s.write(answer.notRun(503))
	default:
		return false
	}
	return true
}

// failBeforeRun carries out the faults of a request that was read and isn't run; keep tells
// whether the connection stays open after one.
func (s *backendConnection) failBeforeRun(fault Fault, answer response) (done, keep bool) {
	switch fault {
	case ResetAfter:
		reset(s.conn)
	case TimeoutNotRun:
		_, _ = s.in.Peek(1)
	case WithoutID421:
		s.write(responseWithoutID(421, ""))
	case Rejected:
		keep = s.write(answer.notRun(503))
	case RejectedMisdirected:
		keep = s.write(answer.notRun(421))
	case RejectedTwice:
		keep = s.write(answer.notRun(503) + answer.notRun(503))
	default:
		return false, false
	}
	return true, keep
}

// failAfterRun carries out the faults that end a connection after the run, some of them after
// all or part of the response in text, some after one that is malformed.
func (s *backendConnection) failAfterRun(fault Fault, answer response, text string) (done bool) {
	switch fault {
	case ResetAfterRun:
		reset(s.conn)
	case ClosedAfterRun:
	case TimeoutRun:
		_, _ = s.in.Peek(1)
	case Garbled:
		s.write("\x00\x01 no answer at all \r\n\r\n")
	case CutShort:
		s.write(text[:len(text)-20])
	case ResetBehind:
		s.write(text)
		reset(s.conn)
	default:
		noResponse := malformedText(fault, answer)
		if noResponse == "" {
			return false
		}
		s.write(noResponse)
	}
	return true
}

// alteredText is what a fault makes of text, the response to a request that ran. before is the
// response that went out last on the same connection.
func alteredText(fault Fault, answer response, text, before string) (altered string) {
	switch fault {
	case Duplicated:
		return text + text
	case DuplicateBefore:
		return before + text
	case WithoutIDBehind:
		return text + responseWithoutID(421, "")
	case NoStatus:
		return strings.Replace(text, "200", "2OO", 1)
	case TwoIDs:
		return answer.withHeader("Tinpin-Request-Id: ffffffffffffffff").text()
	case TwoLengths:
		return answer.withHeader("Content-Length: 7").text()
	case RunNotRun:
		return answer.withHeader("Tinpin-Not-Executed: 1").text()
	case BackendError:
		return answer.withStatus(500).text()
	case BackendBusy:
		return answer.withStatus(503).text()
	}
	return strayResponse(fault, answer.id) + text
}

// strayResponse is what a fault sends ahead of the response to the request with an identifier:
// a response to no request or to another one, or nothing.
func strayResponse(fault Fault, id string) (text string) {
	switch fault {
	case WithoutID421Before:
		return responseWithoutID(421, "")
	case WithoutIDNotRunBefore:
		return responseWithoutID(503, "Tinpin-Not-Executed: 1\r\n")
	case WithoutIDSuccessBefore:
		return responseWithoutID(200, "Tinpin-Response-Signature: s.0\r\n")
	case UnknownIDBefore:
		return response{id: "ffffffffffffffff", signature: "s.ffffffffffffffff"}.text()
	case LongerIDBefore:
		return response{id: id + "0", signature: "s." + id + "0"}.text()
	case Interim:
		return "HTTP/1.1 100 Continue\r\n\r\n"
	}
	return ""
}

// malformedKinds are the kinds of malformed responses that faults send in place of the response to a request that ran.
var malformedKinds = map[Fault]malformed.Kind{
	BlankInName: malformed.BlankInName, BlankBehindLength: malformed.BlankBehindLength,
	FoldedLength: malformed.FoldedLength, HeadEndsEarly: malformed.HeadEndsEarly, Status000: malformed.Status000,
	TwoFramings: malformed.TwoFramings, MalformedTrailer: malformed.Trailer, MalformedNotRun: malformed.BlankInName,
}

// malformedText is what such a fault sends, up to the end of the connection. It is empty for other faults.
func malformedText(fault Fault, answer response) (text string) {
	kind, found := malformedKinds[fault]
	switch {
	case !found:
		return ""
	case fault == MalformedNotRun:
		return kind.Response(answer.notRun(http.StatusServiceUnavailable))
	}
	return kind.Response(answer.text())
}

func (s *backendConnection) write(text string) (written bool) {
	_, err := io.WriteString(s.conn, text)
	return err == nil
}

// response of a stand-in: the body names the request that ran, as the signature does.
type response struct {
	id, signature, headers string
	status                 int
	head                   bool
}

func (a response) withHeader(line string) (changed response) {
	a.headers = line + "\r\n"
	return a
}

func (a response) withStatus(status int) (changed response) {
	a.status = status
	return a
}

func (a response) text() (text string) {
	status := a.status
	if status == 0 {
		status = 200
	}
	body := "answer to " + a.id
	text = fmt.Sprintf("HTTP/1.1 %d X\r\nTinpin-Request-Id: %s\r\nTinpin-Response-Signature: %s\r\n"+
		"%sContent-Length: %d\r\n\r\n", status, a.id, a.signature, a.headers, len(body))
	if a.head {
		return text
	}
	return text + body
}

// notRun is the response that says that the request was not run.
func (a response) notRun(status int) (text string) {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nTinpin-Request-Id: %s\r\nTinpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		status, a.id)
}

func responseWithoutID(status int, lines string) (text string) {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, lines)
}
