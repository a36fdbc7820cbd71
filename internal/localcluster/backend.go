package localcluster

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Backend is a stand-in for a backend.
type Backend struct {
	ID, Service, Address, Zone string
	// Runs counts requests that it has worked on.
	Runs atomic.Int64
	// WorkTime is how long a request takes, in nanoseconds; Failing makes all of them fail.
	WorkTime atomic.Int64
	Failing  atomic.Bool
	// Server is closed with the cluster.
	Server   io.Closer
	mu       sync.Mutex
	keys     map[string]int
	callers  map[string]int
	arrivals map[string]int
}

// Callers counts how often each caller's requests ran.
func (b *Backend) Callers() (runs map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.callers)
}

// Arrivals counts how often each request arrived.
func (b *Backend) Arrivals() (arrived map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.arrivals)
}

// Keys counts how often each operation key ran.
func (b *Backend) Keys() (runs map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.keys)
}

// ServeHTTP responds as the protocol says.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Tinpin-Instance-Id", b.ID)
	if id := r.Header.Get("Tinpin-Request-Id"); id != "" {
		w.Header().Set("Tinpin-Request-Id", id)
	}
	if target := r.Header.Get("Tinpin-Target-Instance"); target != "" && target != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	body, _ := io.ReadAll(r.Body)
	run := b.Runs.Add(1)
	b.mu.Lock()
	b.arrivals[r.Header.Get("Tinpin-Request-Id")]++
	if key := r.Header.Get("Tinpin-Operation-Key"); key != "" {
		b.keys[key]++
	}
	if session := r.Header.Get(CallerHeader); session != "" {
		b.callers[session]++
	}
	b.mu.Unlock()
	time.Sleep(time.Duration(b.WorkTime.Load()))
	if b.Failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Tinpin-Response-Signature", fmt.Sprintf("%s.%d", b.ID, run))
	_, _ = fmt.Fprintf(w, "%s %s ran on %s (%d bytes)\n", r.Method, r.URL.Path, b.ID, len(body))
}

// newBackend is a backend that is not served yet.
func newBackend(id, service, address string) *Backend {
	return &Backend{
		ID: id, Service: service, Address: address, Zone: Zone,
		keys: map[string]int{}, callers: map[string]int{}, arrivals: map[string]int{},
	}
}

// plainBackends starts four backends without faults.
func plainBackends(hosts func(n int) string) (backends []*Backend, err error) {
	for i, service := range []string{"hello", "hello", "ledger", "ledger"} {
		backend := newBackend(fmt.Sprint("i-", i+1), service, hosts(40+i)+":18080")
		if backend.Server, err = serve(backend.Address, backend); err != nil {
			return nil, err
		}
		backends = append(backends, backend)
	}
	return backends, nil
}
