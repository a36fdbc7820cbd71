package frontend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/message"
)

var (
	// ErrClientLeft ends the lifetime of a client's requests: it has closed its connection.
	ErrClientLeft = errors.New("client closed its connection")
	// errAnswered ends it where this side closes the connection behind a response.
	errAnswered = errors.New("connection closed behind a response")
)

// Departures counts what clients left behind, since the start.
type Departures struct {
	// Clients counts connections that their clients closed with requests unanswered,
	// Requests those requests.
	Clients, Requests atomic.Int64
	// Unwatched counts the waits for a response during which a client's leaving could not be
	// noticed, because it had sent more behind its unanswered requests than is read ahead.
	Unwatched atomic.Int64
}

// Departures gives the counts of this server.
func (s *Server) Departures() *Departures { return &s.departures }

// newClientConn is a connection whose requests live no longer than a lifetime.
func newClientConn(lifetime context.Context, conn net.Conn, rejectAll bool) (client *clientConn) {
	client = &clientConn{netConn: conn, rejectAll: rejectAll, openedAt: time.Now()}
	client.answers.written = make(chan struct{}, 1)
	client.ctx, client.cancel = context.WithCancelCause(lifetime)
	return client
}

// clientLeft ends the lifetime of the requests of a client that has left.
func (s *Server) clientLeft(client *clientConn) {
	if unanswered := client.unanswered.Load(); unanswered > 0 && client.ctx.Err() == nil {
		s.departures.Clients.Add(1)
		s.departures.Requests.Add(unanswered)
	}
	client.cancel(ErrClientLeft)
}

// readingEnded ends the lifetime of the requests of a connection that cannot be read any more.
func (s *Server) readingEnded(client *clientConn, err error) {
	if errors.Is(err, net.ErrClosed) {
		client.cancel(err)
		return
	}
	s.clientLeft(client)
}

// idleSince is since when the connection is idle; it is not while a request is unanswered.
func (c *clientConn) idleSince(now time.Time) time.Time {
	if c.unanswered.Load() > 0 {
		return now
	}
	return c.openedAt.Add(time.Duration(c.answeredAt.Load()))
}

// answered notes that a response was written, or will never be.
func (c *clientConn) answered() {
	c.answeredAt.Store(int64(time.Since(c.openedAt)))
	c.unanswered.Add(-1)
	c.answers.notify(c.netConn)
}

// idleWait wakes the reading side of a connection where it waits for the next request, and never while
// it reads one.
type idleWait struct {
	mu      sync.Mutex
	waiting bool
}

// begin has wake wake the reading side.
func (w *idleWait) begin() {
	w.mu.Lock()
	w.waiting = true
	w.mu.Unlock()
}

// end has wake leave the reading side alone; none is at it any more when end returns.
func (w *idleWait) end() {
	w.mu.Lock()
	w.waiting = false
	w.mu.Unlock()
}

// wake wakes the reading side where it waits.
func (w *idleWait) wake(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting {
		_ = conn.SetReadDeadline(time.Now())
	}
}

// answerWatch wakes the reading side of a connection when a response was written. The reading side
// cannot simply wait for responses: it would not notice that the client leaves meanwhile.
type answerWatch struct {
	// watching is set, under mu, while the reading side waits for responses.
	mu       sync.Mutex
	watching atomic.Bool
	// written has a token after a response that was written while somebody watched.
	written chan struct{}
}

// begin has notify wake the reading side.
func (w *answerWatch) begin() { w.watching.Store(true) }

// end has notify leave the reading side alone; none is at it any more when end returns.
func (w *answerWatch) end() {
	w.mu.Lock()
	w.watching.Store(false)
	w.mu.Unlock()
}

// notify wakes the reading side where it waits.
func (w *answerWatch) notify(conn net.Conn) {
	if !w.watching.Load() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watching.Load() {
		return
	}
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	select {
	case w.written <- struct{}{}:
	default:
	}
}

// awaitAnswers waits until at most so many requests are unanswered, and watches the connection
// meanwhile; it returns false when the client has left.
func (r *requestReader) awaitAnswers(limit int64) (stays bool) {
	client := r.client
	if client.unanswered.Load() <= limit {
		return client.ctx.Err() == nil
	}
	r.source.limit = 0
	defer client.answers.end()
	for client.ctx.Err() == nil {
		_ = client.netConn.SetReadDeadline(time.Time{})
		client.answers.begin()
		if client.unanswered.Load() <= limit {
			return true
		}
		r.watchClient()
	}
	return false
}

// watchClient returns once a response was written or the client has left, or more of what it sends
// was read.
func (r *requestReader) watchClient() {
	_, err := r.in.Peek(r.in.Buffered() + 1)
	switch {
	case err == nil || message.IsTimeout(err):
	case errors.Is(err, bufio.ErrBufferFull):
		r.server.departures.Unwatched.Add(1)
		<-r.client.answers.written
	default:
		r.server.readingEnded(r.client, err)
	}
}
