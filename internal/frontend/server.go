package frontend

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

const (
	// maxPipelined is how many requests of one connection may wait for their responses.
	maxPipelined = 16
	// maxRejectedConns is how many connections beyond the limit are open only to be rejected.
	maxRejectedConns = 48
	// lingerTime is how long a closed connection is still read, so that the last response is
	// not lost to a reset.
	lingerTime = time.Second
	// firstRequestTime is how long a connection that has just been opened may wait for its first request
	// though the server drains: the client has had no other sign of it.
	firstRequestTime = 250 * time.Millisecond
	// bodyTimeout is the time to read the body of one request.
	bodyTimeout = 10 * time.Second
	// idleRecheck is how long an idle connection that timed out is looked at once more.
	idleRecheck = 3 * time.Millisecond
	// idleMargin is how much sooner than the proxy itself clients are told to let an idle
	// connection go.
	idleMargin = 2 * time.Second
	// writeTimeout is the time to write one response.
	writeTimeout = 30 * time.Second
	// acceptRetryPause follows a failure to accept, such as a want of descriptors.
	acceptRetryPause = 5 * time.Millisecond
)

// Server accepts client connections. A goroutine per connection reads requests with
// net/http's codec, idempotent ones ahead of the responses; another writes the responses in
// order. net/http's own server is not used: it reads a pipelined request only once the one
// before is answered, and it adds headers of its own. A request that is not idempotent is
// handled only when all before it on the connection are answered, because a response that
// closes the connection tells the client that the requests behind it were not read.
type Server struct {
	handle   Handler
	view     func() *config.RoutingTable
	draining atomic.Bool
	// closingIdle is set once connections that wait for a request are to end.
	closingIdle atomic.Bool
	// drainCounts counts from the beginning of draining.
	drainCounts DrainCounts
	// appliedIdleTimeout is the idle time-out that connections wait by.
	appliedIdleTimeout atomic.Int64
	// ctx is the lifetime of all requests; cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// running counts the loops that accept, and the connections.
	running sync.WaitGroup
	// openConns counts connections, those that are only rejected among them.
	openConns atomic.Int64
	// inFlight counts requests that are read and not yet answered.
	inFlight atomic.Int64
	maxConns int64
	// bodyBytesLeft is what request bodies may still take of memory.
	bodyBytesLeft atomic.Int64
	listener      net.Listener
	departures    Departures
	mu            sync.Mutex
	// conns holds since when a connection has been idle, or the zero time while it is not.
	conns map[*clientConn]time.Time
}

// Handler answers a request. The context ends when the client has left.
type Handler func(ctx context.Context, request *message.Request, deadline string) message.Response

// New handles requests with a function, on at most maxConns connections and with at
// most bodyBytes of request bodies in memory.
func New(
	handle Handler, view func() *config.RoutingTable, maxConns int, bodyBytes int64,
) *Server {
	s := &Server{handle: handle, view: view, maxConns: int64(maxConns), conns: map[*clientConn]time.Time{}}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.bodyBytesLeft.Store(bodyBytes)
	return s
}

// Listen listens on the address and serves.
func (s *Server) Listen(address string) (err error) {
	if s.listener, err = rpc.Listen(address, 5*time.Second); err != nil {
		return err
	}
	s.Serve(s.listener)
	return nil
}

// Serve accepts connections, in a goroutine of its own, until the listener closes. The goroutine counts as running
// before it begins, so that Drain waits for it however soon it comes.
func (s *Server) Serve(listener net.Listener) {
	s.running.Go(func() { s.accept(listener) })
}

// accept accepts connections until the listener closes.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryPause)
			continue
		}
		open := s.openConns.Add(1)
		if open > s.maxConns+maxRejectedConns {
			s.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		// Beyond the limit the connection that has been idle longest is closed; where none is
		// idle, the requests of the new one are rejected with a response the client can trust.
		rejectAll := open > s.maxConns && !s.closeLongestIdle()
		s.running.Go(func() { s.serveConn(conn, rejectAll) })
	}
}

// closeLongestIdle closes the connection that has been idle longest, if any is.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *clientConn
	for c, since := range s.conns {
		if !since.IsZero() && c.unanswered.Load() == 0 && (oldest == nil || since.Before(s.conns[oldest])) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	s.conns[oldest] = time.Time{}
	oldest.evicted.Store(true)
	oldest.idleWait.wake(oldest.netConn)
	return true
}

// setIdle records that a connection waits for a request, or no longer does.
func (s *Server) setIdle(c *clientConn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] = (time.Time{}); idle {
		s.conns[c] = time.Now()
	}
}

// ApplyLimits has connections that wait for a request follow a changed idle time-out. It is called after each
// change of the configuration. All other limits are looked up when a request comes.
func (s *Server) ApplyLimits() {
	idleTimeout := int64(s.view().Limits.IdleTimeout)
	if s.appliedIdleTimeout.Swap(idleTimeout) != idleTimeout {
		s.wakeIdle()
	}
}

// wakeIdle has each connection that waits for a request look again how long it may.
func (s *Server) wakeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.idleWait.wake(c.netConn)
	}
}

// InFlight counts requests that are read and not yet answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// CloseListener stops listening.
func (s *Server) CloseListener() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
}
