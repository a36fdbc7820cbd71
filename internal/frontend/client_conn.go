package frontend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/message"
)

// clientConn is one connection of a client.
type clientConn struct {
	netConn net.Conn
	// ctx is the lifetime of the client's requests; cancel ends it.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	openedAt time.Time
	// unanswered counts requests that are read and not yet answered; answeredAt is when, since
	// openedAt, the last was.
	unanswered atomic.Int64
	answeredAt atomic.Int64
	// idleTime is the idle time-out that held when the last response was written.
	idleTime atomic.Int64
	answers  answerWatch
	idleWait idleWait
	// broken is set when no response can be written any more, closing when a response that
	// closes the connection is about to be, evicted when it was closed for another's sake.
	broken, closing, evicted atomic.Bool
	// rejectAll has every request rejected, for want of descriptors.
	rejectAll bool
}

// pendingResponse is the response to one request, in the order of the requests.
type pendingResponse struct {
	// handled brings the response once there is one; where it is nil, immediate is it.
	handled   chan message.Response
	immediate message.Response
	// http10 tells that the client speaks HTTP/1.0.
	http10     bool
	closeAfter bool
	// headOnly tells that the response has no body.
	headOnly bool
}

var errHeadTooLarge = errors.New("head too large")

// headLimitReader counts what is read, and fails once a request's head exceeds its limit.
type headLimitReader struct {
	conn  net.Conn
	total int64
	// limit is the total at which reading fails, 0 for none.
	limit int64
}

func (r *headLimitReader) Read(into []byte) (size int, err error) {
	if r.limit > 0 && r.total >= r.limit {
		return 0, errHeadTooLarge
	}
	size, err = r.conn.Read(into)
	r.total += int64(size)
	return size, err
}

// serveConn serves one client connection until it ends.
func (s *Server) serveConn(conn net.Conn, rejectAll bool) {
	client := newClientConn(s.ctx, conn, rejectAll)
	defer client.cancel(errAnswered)
	s.setIdle(client, false)
	defer func() {
		s.mu.Lock()
		delete(s.conns, client)
		s.mu.Unlock()
		s.openConns.Add(-1)
	}()
	pending := make(chan *pendingResponse, maxPipelined)
	written := make(chan struct{})
	go s.writeResponses(client, pending, written)
	s.readRequests(client, pending)
	close(pending)
	<-written
	if client.closing.Load() && !client.broken.Load() {
		// What the client still sends is read and discarded for a moment, so that the last
		// response is not lost to a reset. Where no response closes the connection nothing more
		// is read: a request that crosses the close must not seem to be taken.
		closeWrite(conn)
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<20))
	}
	_ = conn.Close()
}

func closeWrite(conn net.Conn) {
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

// requestReader is the reading side of a client connection.
type requestReader struct {
	server  *Server
	client  *clientConn
	source  *headLimitReader
	in      *bufio.Reader
	pending chan<- *pendingResponse
}

// readRequests reads requests and has them handled until the connection is to end.
func (s *Server) readRequests(client *clientConn, pending chan<- *pendingResponse) {
	source := &headLimitReader{conn: client.netConn}
	in := bufio.NewReaderSize(source, 4096)
	r := requestReader{server: s, client: client, source: source, in: in, pending: pending}
	for r.readOne() {
	}
	// No more requests are taken up; the client may still leave before the last is answered.
	r.awaitAnswers(0)
}

// readOne reads one request and has it handled; it tells whether another may follow. The limits of a request
// are those that hold when its first byte is there, however long the connection has waited for it.
func (r *requestReader) readOne() (more bool) {
	if !r.await() {
		return false
	}
	limits := r.server.view().Limits
	parsed, kind := r.readHead(limits)
	if parsed == nil {
		if kind != apierror.None {
			r.reject(kind, "")
		}
		return false
	}
	id := parsed.Header.Get(message.HeaderRequestID)
	if kind == apierror.None && r.client.rejectAll {
		kind = apierror.Overloaded
	}
	var request *message.Request
	if kind == apierror.None {
		request, kind = r.readRequest(parsed, limits)
	}
	if kind != apierror.None && r.server.interrupted() {
		kind = apierror.ShuttingDown
	}
	if kind != apierror.None {
		r.reject(kind, id)
		return false
	}
	return r.start(request, parsed)
}

// await waits for the first byte of a request; it returns false when the connection is to end.
func (r *requestReader) await() bool {
	server, client := r.server, r.client
	r.source.limit = 0
	// Idle times are kept only while connections may have to be closed for others.
	crowded := server.openConns.Load() > server.maxConns/2
	if crowded {
		server.setIdle(client, true)
	}
	err := r.peekUntilIdle()
	if crowded {
		server.setIdle(client, false)
	}
	if err != nil && message.IsTimeout(err) {
		// A busy proxy may come to this late: what has arrived meanwhile is a request.
		_ = client.netConn.SetReadDeadline(time.Now().Add(idleRecheck))
		_, err = r.in.Peek(1)
	}
	if err != nil && !message.IsTimeout(err) {
		server.readingEnded(client, err)
	}
	return err == nil && !client.broken.Load() && !client.closing.Load()
}

// peekUntilIdle waits for the first byte of a request until the connection has been idle too long: since its
// last response, and never while a request is unanswered. A change of the idle time-out applies to the wait
// that is under way: ApplyLimits wakes it.
func (r *requestReader) peekUntilIdle() (err error) {
	client := r.client
	client.idleWait.begin()
	defer client.idleWait.end()
	for idleEnd := time.Now().Add(r.idleTimeout()); ; {
		_ = client.netConn.SetReadDeadline(idleEnd)
		// What asks for the end may have woken this reader before it set its deadline.
		if end, ends := r.endsAt(); ends {
			_ = client.netConn.SetReadDeadline(end)
		}
		_, err = r.in.Peek(1)
		if err == nil || !message.IsTimeout(err) {
			return err
		}
		now := time.Now()
		if end, ends := r.endsAt(); ends && !end.After(now) {
			return err
		}
		// The client was told the idle time-out that held when it was answered.
		idleFor := max(r.idleTimeout(), time.Duration(client.idleTime.Load()))
		if idleEnd = client.idleSince(now).Add(idleFor); !idleEnd.After(now) {
			return err
		}
	}
}

// idleTimeout is the idle time-out that holds now.
func (r *requestReader) idleTimeout() time.Duration { return r.server.view().Limits.IdleTimeout }

// endsAt tells when a connection is to end unless a request arrives on it, if there is a reason other than
// its being idle. One that has just been opened is given the time for its first request.
func (r *requestReader) endsAt() (end time.Time, ends bool) {
	client := r.client
	if client.closing.Load() || client.evicted.Load() {
		return client.openedAt, true
	}
	if !r.server.closingIdle.Load() || client.unanswered.Load() > 0 {
		return end, false
	}
	if r.source.total == 0 {
		return client.openedAt.Add(firstRequestTime), true
	}
	return client.openedAt, true
}

// readHead reads the head of a request. Without a head it returns nil, with no error kind
// where the client has gone; a head that is too long may come with its kind.
func (r *requestReader) readHead(limits config.ClientLimits) (parsed *http.Request, kind apierror.Kind) {
	_ = r.client.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	before := r.source.total - int64(r.in.Buffered())
	r.source.limit = before + int64(limits.MaxHeaderBytes) + 1
	parsed, err := http.ReadRequest(r.in)
	size := r.source.total - int64(r.in.Buffered()) - before
	r.source.limit = 0
	if err != nil {
		return nil, headErrorKind(err)
	}
	if size > int64(limits.MaxHeaderBytes) {
		return parsed, apierror.HeadersTooLarge
	}
	return parsed, apierror.None
}

func headErrorKind(err error) apierror.Kind {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return apierror.HeadersTooLarge
	case message.IsTimeout(err):
		return apierror.RequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return apierror.None
	}
	return apierror.BadRequest
}

// start has a request handled; it tells whether another may follow.
func (r *requestReader) start(request *message.Request, parsed *http.Request) (more bool) {
	server, client := r.server, r.client
	response := &pendingResponse{
		handled: make(chan message.Response, 1), http10: parsed.ProtoMinor == 0,
		closeAfter: parsed.Close, headOnly: parsed.Method == http.MethodHead,
	}
	path, _, _ := strings.Cut(request.Target, "?")
	limit := int64(maxPipelined - 1)
	if route := server.view().Find(request.Host, path); route != nil && !route.Type.Retryable() {
		limit = 0
	}
	stays := r.awaitAnswers(limit)
	request.Pipelined = client.unanswered.Load() > 0
	if !stays || client.broken.Load() || client.closing.Load() {
		server.bodyBytesLeft.Add(int64(len(request.Body)))
		return false
	}
	r.enqueue(response)
	deadline := parsed.Header.Get(message.HeaderRequestDeadline)
	go func() {
		handled := server.handle(client.ctx, request, deadline)
		server.bodyBytesLeft.Add(int64(len(request.Body)))
		response.handled <- handled
	}()
	return !response.closeAfter
}

func (r *requestReader) enqueue(response *pendingResponse) {
	r.client.unanswered.Add(1)
	r.server.inFlight.Add(1)
	if r.server.draining.Load() {
		r.server.drainCounts.requestTaken()
	}
	r.pending <- response
}

// reject answers with an error and ends the connection.
func (r *requestReader) reject(kind apierror.Kind, id string) {
	response := message.ErrorResponse(kind, id)
	response.Close = true
	r.enqueue(&pendingResponse{immediate: response, closeAfter: true})
}

// writeResponses writes the responses in their order, until one closes the connection; those
// behind it are only waited for.
func (s *Server) writeResponses(client *clientConn, pending <-chan *pendingResponse, written chan<- struct{}) {
	defer close(written)
	var buffer []byte
	ended := false
	for next := range pending {
		response := next.immediate
		if next.handled != nil {
			response = <-next.handled
		}
		switch {
		case !ended:
			buffer, ended = s.writeResponse(client, next, response, buffer)
		case response.Finish != nil:
			response.Finish(false)
		}
		s.inFlight.Add(-1)
		if ended {
			// What is at work behind a response that closes the connection is for nobody: the client
			// takes its requests for unread.
			client.cancel(errAnswered)
		}
		client.answered()
	}
}

// writeResponse writes one response. It gives the buffer back for the next, and tells whether
// the connection has ended with this one.
func (s *Server) writeResponse(
	client *clientConn, pending *pendingResponse, response message.Response, buffer []byte,
) (kept []byte, ended bool) {
	conn := client.netConn
	response.NoBody = response.NoBody || pending.headOnly
	response.Close = response.Close || pending.closeAfter || s.draining.Load()
	if response.Close {
		client.closing.Store(true)
	}
	idleTime := s.view().Limits.IdleTimeout
	client.idleTime.Store(int64(idleTime))
	response.KeepAlive = idleTime - idleMargin
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	buffer, complete := response.Write(conn, buffer, pending.http10)
	if cap(buffer) > 64<<10 {
		buffer = nil
	}
	if !complete {
		client.broken.Store(true)
		s.clientLeft(client)
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.SetLinger(0)
		}
		_ = conn.Close()
		return buffer, true
	}
	if response.Close {
		// The reader is woken, and what it has read behind is not handled.
		closeWrite(conn)
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		client.idleWait.wake(conn)
	}
	return buffer, response.Close
}
