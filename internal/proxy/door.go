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
	pipeline   = 16
	refusals   = 48
	lingerSpan = time.Second
	bodyPause  = 10 * time.Second
	idleGlance = 3 * time.Millisecond
	// idleMargin is how much sooner than the daemon clients are told to let an
	// idle stream go.
	idleMargin = 2 * time.Second
)

// Door takes in clients.
type Door struct {
	answer   func(request *Request, deadline string) Response
	view     func() *config.View
	stopping atomic.Bool
	open     atomic.Int64
	atWork   atomic.Int64
	most     int64
	room     atomic.Int64
	listener net.Listener
	mu       sync.Mutex
	visits   map[*visit]time.Time
}

// visit is one client's stream; its time in the door's table is since when it
// has been idle, or nothing while it is not.
type visit struct {
	conn            net.Conn
	pending         sync.WaitGroup
	working         atomic.Int64
	broken, closing atomic.Bool
	// refuse has every request refused, for want of descriptors.
	refuse bool
}

// NewDoor answers with a function; most streams and bytes of bodies at once.
func NewDoor(answer func(*Request, string) Response, view func() *config.View, most int, room int64) (door *Door) {
	door = &Door{answer: answer, view: view, most: int64(most), visits: map[*visit]time.Time{}}
	door.room.Store(room)
	return door
}

// Open listens and serves.
func (d *Door) Open(address string) (err error) {
	if d.listener, err = rpc.Listen(address, 5*time.Second); err != nil {
		return err
	}
	go d.Serve(d.listener)
	return nil
}

// Serve takes in streams until the listener closes.
func (d *Door) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		open := d.open.Add(1)
		if open > d.most+refusals {
			d.open.Add(-1)
			_ = conn.Close()
			continue
		}
		// Beyond the budget of descriptors the stream that has been idle longest
		// goes; where none is idle, the new one gets a refusal it can trust.
		go d.welcome(conn, open > d.most && !d.letIdleGo())
	}
}

// letIdleGo ends the stream that has been idle longest.
func (d *Door) letIdleGo() (gone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var oldest *visit
	for v, since := range d.visits {
		if !since.IsZero() && v.working.Load() == 0 && (oldest == nil || since.Before(d.visits[oldest])) {
			oldest = v
		}
	}
	if oldest == nil {
		return false
	}
	d.visits[oldest] = time.Time{}
	_ = oldest.conn.SetReadDeadline(time.Now())
	return true
}

// idle notes that a stream waits for a request, or does not any more.
func (d *Door) idle(v *visit, idle bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.visits[v] = (time.Time{}); idle {
		d.visits[v] = time.Now()
	}
}

// Stop makes every further answer close its stream.
func (d *Door) Stop() { d.stopping.Store(true) }

// AtWork counts requests that are read and not yet answered.
func (d *Door) AtWork() int64 { return d.atWork.Load() }

// Shut stops listening.
func (d *Door) Shut() { _ = d.listener.Close() }

// Close ends the streams that are still open.
func (d *Door) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v := range d.visits {
		_ = v.conn.Close()
	}
}

type turn struct {
	verdict chan Response
	ready   Response
	old     bool
	last    bool
	// head tells that the answer has no body.
	head bool
}

// counted counts what is read, and ends a head that is too long.
type counted struct {
	conn  net.Conn
	total int64
	most  int64
}

var errHeadTooLarge = errors.New("head too large")

func (c *counted) Read(into []byte) (size int, err error) {
	if c.most > 0 && c.total >= c.most {
		return 0, errHeadTooLarge
	}
	size, err = c.conn.Read(into)
	c.total += int64(size)
	return size, err
}

// welcome serves one client stream.
func (d *Door) welcome(conn net.Conn, refuse bool) {
	v := &visit{conn: conn, refuse: refuse}
	d.idle(v, false)
	defer func() {
		d.mu.Lock()
		delete(d.visits, v)
		d.mu.Unlock()
		d.open.Add(-1)
	}()
	turns := make(chan *turn, pipeline)
	written := make(chan struct{})
	go d.reply(v, turns, written)
	d.listen(v, turns)
	close(turns)
	<-written
	if !v.broken.Load() {
		// What the client still sends is read away for a moment, so that the
		// last answer is not lost to a reset.
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		_ = conn.SetReadDeadline(time.Now().Add(lingerSpan))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<20))
	}
	_ = conn.Close()
}

// listen reads requests until the stream is to end.
func (d *Door) listen(v *visit, turns chan<- *turn) {
	conn := v.conn
	source := &counted{conn: conn}
	in := bufio.NewReaderSize(source, 4096)
	put := func(t *turn) {
		v.pending.Add(1)
		v.working.Add(1)
		d.atWork.Add(1)
		turns <- t
	}
	deny := func(kind apierror.Kind, id string) {
		verdict := ErrorResponse(kind, id)
		verdict.Close = true
		put(&turn{ready: verdict, last: true})
	}
	for {
		limits := d.view().Limits
		source.most = 0
		_ = conn.SetReadDeadline(time.Now().Add(limits.IdleTime))
		crowded := d.open.Load() > d.most/2
		if crowded {
			d.idle(v, true)
		}
		_, err := in.Peek(1)
		if crowded {
			d.idle(v, false)
		}
		if err != nil && isTimeout(err) {
			// A busy daemon may come to this late: what has arrived meanwhile is
			// a request, not silence.
			_ = conn.SetReadDeadline(time.Now().Add(idleGlance))
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
		source.most = before + int64(limits.HeadBytes) + 1
		parsed, err := http.ReadRequest(in)
		size := source.total - int64(in.Buffered()) - before
		source.most = 0
		if err != nil {
			switch {
			case errors.Is(err, errHeadTooLarge):
				deny(apierror.HeadTooLarge, "")
			case isTimeout(err):
				deny(apierror.HeadTooSlow, "")
			case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
				return
			default:
				deny(apierror.BadRequest, "")
			}
			return
		}
		id := parsed.Header.Get(headerRequestID)
		if size > int64(limits.HeadBytes) {
			deny(apierror.HeadTooLarge, id)
			return
		}
		if v.refuse {
			deny(apierror.NoRoom, id)
			return
		}
		request, kind := d.read(v, in, parsed, limits)
		if kind != apierror.None {
			deny(kind, id)
			return
		}
		t := &turn{verdict: make(chan Response, 1), old: parsed.ProtoMinor == 0, last: parsed.Close, head: parsed.Method == http.MethodHead}
		path, _, _ := strings.Cut(request.Target, "?")
		way := d.view().Find(request.Host, path)
		if way != nil && !way.Repeat.Repeatable() {
			v.pending.Wait()
		}
		request.Pipelined = v.working.Load() > 0
		if v.broken.Load() || v.closing.Load() {
			return
		}
		put(t)
		deadline := parsed.Header.Get(headerRequestDeadline)
		go func() {
			verdict := d.answer(request, deadline)
			d.room.Add(int64(len(request.Body)))
			t.verdict <- verdict
		}()
		if t.last {
			return
		}
	}
}

// read takes the request's body in and makes what is passed on.
func (d *Door) read(v *visit, in *bufio.Reader, parsed *http.Request, limits config.LimitItem) (request *Request, kind apierror.Kind) {
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
		v.pending.Wait()
		_, _ = io.WriteString(v.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	_ = v.conn.SetReadDeadline(time.Now().Add(bodyPause))
	request.HasBody = true
	if parsed.ContentLength > 0 {
		if d.room.Add(-parsed.ContentLength) < 0 {
			d.room.Add(parsed.ContentLength)
			return nil, apierror.NoRoom
		}
		request.Body = make([]byte, parsed.ContentLength)
		if _, err := io.ReadFull(parsed.Body, request.Body); err != nil {
			d.room.Add(parsed.ContentLength)
			return nil, apierror.BadRequest
		}
		return request, apierror.None
	}
	most := min(int64(limits.BodyBytes), max(d.room.Load(), 0))
	body, err := io.ReadAll(io.LimitReader(parsed.Body, most+1))
	if err != nil {
		return nil, apierror.BadRequest
	}
	if int64(len(body)) > int64(limits.BodyBytes) {
		return nil, apierror.BodyTooLarge
	}
	if int64(len(body)) > most {
		return nil, apierror.NoRoom
	}
	d.room.Add(-int64(len(body)))
	request.Body = body
	return request, apierror.None
}

// reply writes the answers in their order.
func (d *Door) reply(v *visit, turns <-chan *turn, written chan<- struct{}) {
	defer close(written)
	conn := v.conn
	done := func() {
		d.atWork.Add(-1)
		v.working.Add(-1)
		v.pending.Done()
	}
	var buffer []byte
	ended := false
	for t := range turns {
		verdict := t.ready
		if t.verdict != nil {
			verdict = <-t.verdict
		}
		if ended {
			if verdict.Finish != nil {
				verdict.Finish(false)
			}
			done()
			continue
		}
		verdict.NoBody = verdict.NoBody || t.head
		verdict.Close = verdict.Close || t.last || d.stopping.Load()
		if verdict.Close {
			v.closing.Store(true)
		}
		verdict.KeepAlive = d.view().Limits.IdleTime - idleMargin
		_ = conn.SetWriteDeadline(time.Now().Add(30 * time.Second))
		var whole bool
		buffer, whole = verdict.Write(conn, buffer, t.old)
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
			_ = conn.SetReadDeadline(time.Now().Add(lingerSpan))
		}
		done()
	}
}
