package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerRequestID = "Tinpin-Request-Id"
	headerSignature = "Tinpin-Response-Signature"
	headerInstance  = "Tinpin-Instance-Id"
	headerTarget    = "Tinpin-Target-Instance"
	headerKey       = "Tinpin-Operation-Key"
	headerDeadline  = "Tinpin-Request-Deadline"
)

// run is one request that a backend has run.
type run struct {
	id, key, path, instance string
	signature               string
	at                      time.Duration
	bodySum                 [32]byte
}

// backend is a sound server of one service.
type backend struct {
	service, zone, address, instance string
	record                           *record
	// work is how long a request takes.
	work time.Duration
	// listen serves in place of ServeHTTP, if given.
	listen func(listener net.Listener)
	server *http.Server

	mu       sync.Mutex // guards what follows
	runs     []run
	draining bool
	gone     bool
}

// start begins its life.
func (b *backend) start() (err error) {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	if b.listen != nil {
		go b.listen(listener)
		return nil
	}
	b.server = &http.Server{Handler: b, IdleTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

// ServeHTTP answers as the pages say.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(headerInstance, b.instance)
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if target := r.Header.Get(headerTarget); target != "" && target != b.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		return
	}
	ran := run{
		id: id, key: r.Header.Get(headerKey), path: r.URL.Path, instance: b.instance, at: b.record.now(),
		signature: fmt.Sprintf("%s.%s.%d", b.instance, id, b.record.now().Nanoseconds()),
	}
	copy(ran.bodySum[:], digest.Sum(nil))
	b.mu.Lock()
	b.runs = append(b.runs, ran)
	b.mu.Unlock()
	b.record.write("run %s at %s, service %s, key %q, body of %d bytes", id, b.instance, b.service, ran.key, size)
	time.Sleep(b.work)
	w.Header().Set(headerSignature, ran.signature)
	_, _ = io.WriteString(w, ran.signature+"\n")
}

// all gives what has run.
func (b *backend) all() (runs []run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append(runs, b.runs...)
}

// platform is the platform's list of backends.
type platform struct {
	backends []*backend
	server   *http.Server
}

// start serves the list.
func (p *platform) start(address string) (err error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// ServeHTTP answers with the list, on one page.
func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	rows := [][]any{}
	for _, b := range p.backends {
		b.mu.Lock()
		state := "ready"
		if b.draining {
			state = "draining"
		}
		if !b.gone {
			rows = append(rows, []any{b.instance, b.service, b.address, b.zone, "v1", 8, state, "0ms"})
		}
		b.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"instances": map[string]any{
			"column_names": []string{
				"instance_id", "service_name", "address", "zone", "version", "capacity_slots", "state", "cold_remaining",
			},
			"row_values": rows,
		},
		"next_page_token": nil,
	})
}
