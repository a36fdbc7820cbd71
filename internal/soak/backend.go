package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
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
	// headerWork is how many milliseconds a request is to be worked on, headerSize how
	// large its answer, headerSum what its body adds up to.
	headerWork = "X-Soak-Work"
	headerSize = "X-Soak-Size"
	headerSum  = "X-Soak-Sum"

	headerRequestID    = "Tinpin-Request-Id"
	headerSignature    = "Tinpin-Response-Signature"
	headerNotExecuted  = "Tinpin-Not-Executed"
	headerInstance     = "Tinpin-Instance-Id"
	headerTarget       = "Tinpin-Target-Instance"
	headerOperationKey = "Tinpin-Operation-Key"
	headerDeadline     = "Tinpin-Request-Deadline"

	// slots and queue are what a backend takes at once; it turns the rest away.
	slots = 16
	queue = 32
	// drainTime is how long a draining backend serves beyond the bound, and backDelay
	// when the next life of one that has ended begins.
	drainExtra = 2 * time.Second
	backDelay  = 2500 * time.Millisecond
	// slowFactor, breakShare and garbleShare are what Slow, BreakOff and Garble do.
	slowFactor  = 4
	breakShare  = 0.2
	garbleShare = 0.2
	// crashListed is how long a backend that has crashed stays on the list.
	crashListed = time.Second
)

// services of the play: half of the backends each.
var services = [...]string{"alpha", "beta"}

// zones of the play, in one region.
var zones = [...]string{"harbour", "quay"}

// Backend is a stand-in for a backend, through all its lives.
type Backend struct {
	Number               int
	Service, Zone        string
	address              string
	log                  *Log
	slowUntil, failUntil atomic.Int64
	garbleUntil          atomic.Int64
	working              atomic.Int64

	mu       sync.Mutex // guards what follows
	life     int
	instance string
	server   *http.Server
	listed   bool
	draining bool
	// drainings are when its lives were listed as draining, by instance.
	drainings map[string]time.Duration
}

// sumOf is what a body adds up to.
func sumOf(body []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// Start begins the next life.
func (b *Backend) Start() (err error) {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return Class.Wrap(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life++
	b.instance = fmt.Sprintf("i-%d-%d", b.Number, b.life)
	b.listed, b.draining = true, false
	life := &backendLife{backend: b, instance: b.instance}
	b.server = &http.Server{Handler: life, IdleTimeout: time.Minute}
	server := b.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// end ends the life, and begins the next after a time; connections are closed at once.
func (b *Backend) end(listedFor, back time.Duration) {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(listedFor, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.listed = b.listed && b.server != nil
	})
	time.AfterFunc(back, func() { _ = b.Start() })
}

// Drain lists the backend as draining, and ends it after the bound.
func (b *Backend) Drain(bound time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil || b.draining {
		return
	}
	b.draining = true
	b.drainings[b.instance] = b.log.Now()
	time.AfterFunc(bound+drainExtra, func() { b.end(0, backDelay) })
}

// backendLife answers in one life.
type backendLife struct {
	backend  *Backend
	instance string
}

// ServeHTTP answers as the protocol says.
func (l *backendLife) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := l.backend
	if r.URL.Path == "/health" {
		w.Header().Set(headerInstance, l.instance)
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if target := r.Header.Get(headerTarget); target != "" && target != l.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	work, _ := strconv.Atoi(r.Header.Get(headerWork))
	arrival := &Arrival{
		Request: id, Backend: b.Number, Service: b.Service, Zone: b.Zone, Instance: l.instance,
		Valid: strings.HasSuffix(r.URL.Path, "/"+id) &&
			r.Header.Get(headerSum) == strconv.FormatUint(sumOf(body), 16),
		Work:      time.Duration(work) * time.Millisecond,
		Signature: fmt.Sprintf("%s.%s.%d", l.instance, id, rand.Uint32()),
	}
	defer b.working.Add(-1)
	if b.working.Add(1) > slots+queue {
		b.log.Arrive(arrival)
		b.log.Depart(arrival, Rejected)
		w.Header().Set(headerNotExecuted, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.log.Now() < time.Duration(b.slowUntil.Load()) {
		arrival.Work *= slowFactor
	}
	answer := answerBody(arrival.Signature, r.Header.Get(headerSize))
	arrival.BodySum = sumOf(answer)
	b.log.Arrive(arrival)
	l.run(w, r, arrival, answer)
}

// answerBody is the body of an answer: its signature, filled up to a size.
func answerBody(signature, size string) (body []byte) {
	bytes, _ := strconv.Atoi(size)
	body = []byte(signature + "\n")
	for len(body) < bytes {
		body = append(body, body[:min(len(body), bytes-len(body))]...)
	}
	return body
}

// run works on a request, and answers it unless its caller leaves.
func (l *backendLife) run(w http.ResponseWriter, r *http.Request, arrival *Arrival, answer []byte) {
	b := l.backend
	timer := time.NewTimer(arrival.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		b.log.Depart(arrival, l.cutBy())
		return
	}
	if b.log.Now() < time.Duration(b.failUntil.Load()) && rand.Float64() < breakShare {
		b.log.Depart(arrival, BrokeOff)
		panic(http.ErrAbortHandler)
	}
	if b.log.Now() < time.Duration(b.garbleUntil.Load()) && rand.Float64() < garbleShare {
		b.log.Depart(arrival, Garbled)
		garble(w, arrival, answer)
		return
	}
	w.Header().Set(headerSignature, arrival.Signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := w.Write(answer); err != nil {
		b.log.Depart(arrival, l.cutBy())
		return
	}
	b.log.Depart(arrival, RanToEnd)
}

// garble sends what is no response, though lenient readers take it for the answer to a request, or for its rejection,
// and closes the connection.
func garble(w http.ResponseWriter, arrival *Arrival, answer []byte) {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerRequestID, arrival.Request, headerSignature, arrival.Signature, len(answer), answer)
	kind := malformed.Kind(rand.IntN(int(malformed.KindCount) + 1))
	if kind == malformed.KindCount {
		kind = malformed.BlankInName
		text = fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: full\r\nContent-Length: 0\r\n\r\n",
			headerRequestID, arrival.Request, headerNotExecuted)
	}
	_ = malformed.Send(w, kind.Response(text))
}

// cutBy tells who has closed a connection: its caller, or the end of this life.
func (l *backendLife) cutBy() (end RunEnd) {
	l.backend.mu.Lock()
	defer l.backend.mu.Unlock()
	if l.backend.server == nil || l.backend.instance != l.instance {
		return BrokeOff
	}
	return CutOff
}

// Platform is a stand-in for the platform: its list of backends.
type Platform struct {
	backends []*Backend
	server   *http.Server
}

// Start serves the list.
func (p *Platform) Start(address string) (err error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return Class.Wrap(err)
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// ServeHTTP answers with the list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	rows := [][]any{}
	for _, b := range p.backends {
		b.mu.Lock()
		if b.listed {
			state := "ready"
			if b.draining {
				state = "draining"
			}
			rows = append(rows, []any{b.instance, b.Service, b.address, b.Zone, state, slots, "0ms", "v1"})
		}
		b.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instances": map[string]any{
			"column_names": []string{
				"instance_id", "service_name", "address", "zone", "state", "capacity_slots",
				"cold_remaining", "version",
			},
			"row_values": rows,
		},
		"next_page_token": nil,
	})
}

// Stop ends the backend and the platform's connections for good.
func (b *Backend) Stop(ctx context.Context) {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	if server != nil && server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
