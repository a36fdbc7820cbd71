// Door is where clients come in. A duty per client stream reads requests with
// net/http's codec, ahead of the answers where they are idempotent; another
// writes the answers in their order. net/http's own server is not used: it
// reads a pipelined request only once the one before is answered, and it adds
// head lines of its own. A request that may not be repeated is taken up only
// when all before it on the stream are answered, because an answer that closes
// the stream tells the client that those behind it were not read.
package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

const (
	maxPipelined     = 16
	maxRejectedConns = 48
	lingerTime       = time.Second
	bodyTimeout      = 10 * time.Second
	idleRecheck      = 3 * time.Millisecond
	// idleMargin is how much sooner than the daemon clients are told to let an
	// idle stream go.
	idleMargin = 2 * time.Second
)

// Frontend takes in clients.
type Frontend struct {
	handle        func(request *Request, deadline string) Response
	view          func() *config.View
	draining      atomic.Bool
	openConns     atomic.Int64
	inFlight      atomic.Int64
	maxConns      int64
	bodyBytesLeft atomic.Int64
	listener      net.Listener
	mu            sync.Mutex
	conns         map[*clientConn]time.Time
}

// clientConn is one client's stream; its time in the door's table is since when it
// has been idle, or nothing while it is not.
type clientConn struct {
	netConn         net.Conn
	unanswered      sync.WaitGroup
	unansweredCount atomic.Int64
	broken, closing atomic.Bool
	// rejectAll has every request refused, for want of descriptors.
	rejectAll bool
}

// NewFrontend answers with a function; most streams and bytes of bodies at once.
func NewFrontend(answer func(*Request, string) Response, view func() *config.View, most int, room int64) (door *Frontend) {
	door = &Frontend{handle: answer, view: view, maxConns: int64(most), conns: map[*clientConn]time.Time{}}
	door.bodyBytesLeft.Store(room)
	return door
}

// Listen listens and serves.
func (d *Frontend) Listen(address string) (err error) {
	if d.listener, err = rpc.Listen(address, 5*time.Second); err != nil {
		return err
	}
	go d.Serve(d.listener)
	return nil
}

// Serve takes in streams until the listener closes.
func (d *Frontend) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		open := d.openConns.Add(1)
		if open > d.maxConns+maxRejectedConns {
			d.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		// Beyond the budget of descriptors the stream that has been idle longest
		// goes; where none is idle, the new one gets a refusal it can trust.
		go d.serveConn(conn, open > d.maxConns && !d.closeLongestIdle())
	}
}

// closeLongestIdle ends the stream that has been idle longest.
func (d *Frontend) closeLongestIdle() (gone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var oldest *clientConn
	for v, since := range d.conns {
		if !since.IsZero() && v.unansweredCount.Load() == 0 && (oldest == nil || since.Before(d.conns[oldest])) {
			oldest = v
		}
	}
	if oldest == nil {
		return false
	}
	d.conns[oldest] = time.Time{}
	_ = oldest.netConn.SetReadDeadline(time.Now())
	return true
}

// setIdle notes that a stream waits for a request, or does not any more.
func (d *Frontend) setIdle(v *clientConn, idle bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[v] = (time.Time{}); idle {
		d.conns[v] = time.Now()
	}
}

// StartDraining makes every further answer close its stream.
func (d *Frontend) StartDraining() { d.draining.Store(true) }

// InFlight counts requests that are read and not yet answered.
func (d *Frontend) InFlight() int64 { return d.inFlight.Load() }

// CloseListener stops listening.
func (d *Frontend) CloseListener() { _ = d.listener.Close() }

// CloseConns ends the streams that are still open.
func (d *Frontend) CloseConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v := range d.conns {
		_ = v.netConn.Close()
	}
}

type pendingResponse struct {
	handled    chan Response
	immediate  Response
	http10     bool
	closeAfter bool
	// headOnly tells that the answer has no body.
	headOnly bool
}

// headLimitReader counts what is read, and ends a head that is too long.
type headLimitReader struct {
	conn  net.Conn
	total int64
	limit int64
}

var errHeadTooLarge = errors.New("head too large")

func (c *headLimitReader) Read(into []byte) (size int, err error) {
	if c.limit > 0 && c.total >= c.limit {
		return 0, errHeadTooLarge
	}
	size, err = c.conn.Read(into)
	c.total += int64(size)
	return size, err
}

// serveConn serves one client stream.
func (d *Frontend) serveConn(conn net.Conn, refuse bool) {
	v := &clientConn{netConn: conn, rejectAll: refuse}
	d.setIdle(v, false)
	defer func() {
		d.mu.Lock()
		delete(d.conns, v)
		d.mu.Unlock()
		d.openConns.Add(-1)
	}()
	turns := make(chan *pendingResponse, maxPipelined)
	written := make(chan struct{})
	go d.writeResponses(v, turns, written)
	d.readRequests(v, turns)
	close(turns)
	<-written
	if !v.broken.Load() {
		// What the client still sends is read away for a moment, so that the
		// last answer is not lost to a reset.
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<20))
	}
	_ = conn.Close()
}

// readRequests reads requests until the stream is to end.
func (d *Frontend) readRequests(v *clientConn, turns chan<- *pendingResponse) {
	conn := v.netConn
	source := &headLimitReader{conn: conn}
	in := bufio.NewReaderSize(source, 4096)
	put := func(t *pendingResponse) {
		v.unanswered.Add(1)
		v.unansweredCount.Add(1)
		d.inFlight.Add(1)
		turns <- t
	}
	deny := func(kind apierror.Kind, id string) {
		verdict := ErrorResponse(kind, id)
		verdict.Close = true
		put(&pendingResponse{immediate: verdict, closeAfter: true})
	}
	for {
		limits := d.view().Limits
		source.limit = 0
		_ = conn.SetReadDeadline(time.Now().Add(limits.IdleTime))
		crowded := d.openConns.Load() > d.maxConns/2
		if crowded {
			d.setIdle(v, true)
		}
		_, err := in.Peek(1)
		if crowded {
			d.setIdle(v, false)
		}
		if err != nil && isTimeout(err) {
			// A busy daemon may come to this late: what has arrived meanwhile is
			// a request, not silence.
			_ = conn.SetReadDeadline(time.Now().Add(idleRecheck))
			_, err = in.Peek(1)
		}
		if err != nil || v.broken.Load() || v.closing.Load() {
			if err != nil && !errors.Is(err, io.EOF) && !isTimeout(err) {
				v.broken.Store(true)
			}
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(limits.HeadTime))
		before := source.total - int64(in.Buffered())
		source.limit = before + int64(limits.HeadBytes) + 1
		parsed, err := http.ReadRequest(in)
		size := source.total - int64(in.Buffered()) - before
		source.limit = 0
		if err != nil {
			switch {
			case errors.Is(err, errHeadTooLarge):
				deny(apierror.HeadersTooLarge, "")
			case isTimeout(err):
				deny(apierror.RequestTimeout, "")
			case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
				return
			default:
				deny(apierror.BadRequest, "")
			}
			return
		}
		id := parsed.Header.Get(headerRequestID)
		if size > int64(limits.HeadBytes) {
			deny(apierror.HeadersTooLarge, id)
			return
		}
		if v.rejectAll {
			deny(apierror.Overloaded, id)
			return
		}
		request, kind := d.readRequest(v, in, parsed, limits)
		if kind != apierror.None {
			deny(kind, id)
			return
		}
		t := &pendingResponse{handled: make(chan Response, 1), http10: parsed.ProtoMinor == 0, closeAfter: parsed.Close, headOnly: parsed.Method == http.MethodHead}
		path, _, _ := strings.Cut(request.Target, "?")
		way := d.view().Find(request.Host, path)
		if way != nil && !way.Repeat.Repeatable() {
			v.unanswered.Wait()
		}
		request.Pipelined = v.unansweredCount.Load() > 0
		if v.broken.Load() || v.closing.Load() {
			return
		}
		put(t)
		deadline := parsed.Header.Get(headerRequestDeadline)
		go func() {
			verdict := d.handle(request, deadline)
			d.bodyBytesLeft.Add(int64(len(request.Body)))
			t.handled <- verdict
		}()
		if t.closeAfter {
			return
		}
	}
}

// readRequest takes the request's body in and makes what is passed on.
func (d *Frontend) readRequest(v *clientConn, in *bufio.Reader, parsed *http.Request, limits config.LimitItem) (request *Request, kind apierror.Kind) {
	target := parsed.RequestURI
	if parsed.Method == http.MethodConnect || target == "" || target[0] != '/' && target != "*" {
		if parsed.URL == nil || parsed.URL.Host == "" || parsed.Method == http.MethodConnect {
			return nil, apierror.BadRequest
		}
		at := strings.Index(target, "://")
		slash := strings.IndexByte(target[at+3:], '/')
		if at < 0 || slash < 0 {
			target = "/"
		} else {
			target = target[at+3+slash:]
		}
	}
	if parsed.Host == "" {
		return nil, apierror.BadRequest
	}
	request = &Request{Method: parsed.Method, Target: target, Host: parsed.Host, ID: parsed.Header.Get(headerRequestID), Headers: forwardedHeaders(parsed.Header)}
	if parsed.ContentLength == 0 {
		request.HasBody = len(parsed.Header["Content-Length"]) > 0
		return request, apierror.None
	}
	if parsed.ContentLength > int64(limits.BodyBytes) {
		return nil, apierror.BodyTooLarge
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		v.unanswered.Wait()
		_, _ = io.WriteString(v.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	_ = v.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	request.HasBody = true
	if parsed.ContentLength > 0 {
		if d.bodyBytesLeft.Add(-parsed.ContentLength) < 0 {
			d.bodyBytesLeft.Add(parsed.ContentLength)
			return nil, apierror.Overloaded
		}
		request.Body = make([]byte, parsed.ContentLength)
		if _, err := io.ReadFull(parsed.Body, request.Body); err != nil {
			d.bodyBytesLeft.Add(parsed.ContentLength)
			return nil, apierror.BadRequest
		}
		return request, apierror.None
	}
	most := min(int64(limits.BodyBytes), max(d.bodyBytesLeft.Load(), 0))
	body, err := io.ReadAll(io.LimitReader(parsed.Body, most+1))
	if err != nil {
		return nil, apierror.BadRequest
	}
	if int64(len(body)) > int64(limits.BodyBytes) {
		return nil, apierror.BodyTooLarge
	}
	if int64(len(body)) > most {
		return nil, apierror.Overloaded
	}
	d.bodyBytesLeft.Add(-int64(len(body)))
	request.Body = body
	return request, apierror.None
}

// writeResponses writes the answers in their order.
func (d *Frontend) writeResponses(v *clientConn, turns <-chan *pendingResponse, written chan<- struct{}) {
	defer close(written)
	conn := v.netConn
	done := func() {
		d.inFlight.Add(-1)
		v.unansweredCount.Add(-1)
		v.unanswered.Done()
	}
	var buffer []byte
	ended := false
	for t := range turns {
		verdict := t.immediate
		if t.handled != nil {
			verdict = <-t.handled
		}
		if ended {
			if verdict.Finish != nil {
				verdict.Finish(false)
			}
			done()
			continue
		}
		verdict.NoBody = verdict.NoBody || t.headOnly
		verdict.Close = verdict.Close || t.closeAfter || d.draining.Load()
		if verdict.Close {
			v.closing.Store(true)
		}
		verdict.KeepAlive = d.view().Limits.IdleTime - idleMargin
		_ = conn.SetWriteDeadline(time.Now().Add(30 * time.Second))
		var whole bool
		buffer, whole = verdict.Write(conn, buffer, t.http10)
		if cap(buffer) > 64<<10 {
			buffer = nil
		}
		if !whole {
			v.broken.Store(true)
			if half, ok := conn.(*net.TCPConn); ok {
				_ = half.SetLinger(0)
			}
			_ = conn.Close()
			ended = true
		} else if verdict.Close {
			// The reader is woken, and what it has read behind is not taken up.
			ended = true
			if half, ok := conn.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		}
		done()
	}
}
