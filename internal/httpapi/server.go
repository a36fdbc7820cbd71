package httpapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"tinpin/api/oas"
	"tinpin/internal/rpc"
)

const (
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes = 32 << 20

	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
	// connectionTimeout is after how long without an answer from the other side a
	// connection is given up.
	connectionTimeout = 3 * time.Second
)

// shutdownTimeout is how long a server that is shut down waits for the calls that it has read: longer than
// the longest of them takes.
const shutdownTimeout = time.Second

type callerAddressKey struct{}

// CallerAddress is the address of who calls Resolve, empty where it is not known.
func CallerAddress(ctx context.Context) (address string) {
	address, _ = ctx.Value(callerAddressKey{}).(string)
	return address
}

// Handler makes the generated server for some handlers.
func Handler(handlers Handlers) (handler http.Handler, err error) {
	operations := api{handlers}
	server, err := oas.NewServer(operations, oas.WithErrorHandler(operations.writeError))
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		if handlers.Resolve != nil {
			if host, _, splitErr := net.SplitHostPort(r.RemoteAddr); splitErr == nil {
				r = r.WithContext(context.WithValue(r.Context(), callerAddressKey{}, host))
			}
		}
		server.ServeHTTP(w, r)
	}), nil
}

// writeError answers what the generated server rejects before an operation runs.
func (a api) writeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	response := a.NewError(ctx, err)
	encoder := &jx.Encoder{}
	response.Response.Encode(encoder)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(encoder.Bytes())
}

// Serve answers on an address until the returned server is closed.
func Serve(address string, handlers Handlers) (server *http.Server, err error) {
	handler, err := Handler(handlers)
	if err != nil {
		return nil, err
	}
	return ServeHandler(address, handler)
}

// ServeHandler has a handler answer on an address until the returned server is closed.
func ServeHandler(address string, handler http.Handler) (server *http.Server, err error) {
	listener, err := rpc.Listen(address, connectionTimeout)
	if err != nil {
		return nil, err
	}
	answering := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
	go func() { _ = answering.Serve(listener) }()
	return answering, nil
}

// Shutdown closes a server: its listener and idle connections at once, the others once their calls are
// answered, or the context has ended.
func Shutdown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
