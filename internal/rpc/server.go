package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"tinpin/internal/await"
)

// acceptRetryDelay is the pause after a failed accept. It may have failed for want of
// descriptors, and other connections may close meanwhile.
const acceptRetryDelay = 5 * time.Millisecond

// Server answers calls.
type Server struct {
	listener net.Listener

	mu     sync.Mutex // guards what follows
	open   map[net.Conn]bool
	closed bool

	serving sync.WaitGroup // counts connections
}

// Serve answers calls on an address until the server is closed. The handlers stand
// under the names of their services, see methods.go.
func Serve(address string, handlers map[string]any) (server *Server, err error) {
	listener, err := Listen(address, time.Second)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	methods := rpc.NewServer()
	for name, handler := range handlers {
		if err = methods.RegisterName(name, handler); err != nil {
			return nil, Class.Wrap(err)
		}
	}
	server = &Server{listener: listener, open: map[net.Conn]bool{}}
	go server.accept(methods)
	return server, nil
}

func (s *Server) accept(methods *rpc.Server) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(conn, true) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.serving.Done()
			methods.ServeCodec(newServerCodec(countedConn{conn}))
			s.track(conn, false)
		}()
	}
}

// track notes that a connection is open or has ended. It refuses one that comes after
// Close.
func (s *Server) track(conn net.Conn, open bool) (accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open && !s.closed {
		s.open[conn] = true
		s.serving.Add(1)
		return true
	}
	delete(s.open, conn)
	return false
}

// Shutdown stops listening, reads no more calls and closes each connection once those that were read are
// answered, or the context has ended.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.SetReadDeadline(time.Now())
	}
	s.mu.Unlock()
	await.Group(ctx, &s.serving)
	s.Close()
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}
