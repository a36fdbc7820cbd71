package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes   = 1 << 20
	uploadClients = 12
	// firstBytes are what a backend reads of a body at once, and readingPause how long it works on them
	// before it reads on.
	firstBytes   = 16 << 10
	readingPause = 2 * time.Second
	// windowBytes is the receive buffer of its connections: links have small windows.
	windowBytes = 64 << 10
	// grace is grace_period, and lastSixth when its last sixth begins.
	grace     = 6 * time.Second
	lastSixth = grace * 5 / 6
)

// working is a request that a backend is working on, and how that ended.
type working struct {
	instance   string
	begun, end time.Duration
	// cut tells that the connection was closed while the backend worked.
	cut bool
}

// readsOn is a backend that begins to work on a request with the first bytes of its body, and reads on later.
type readsOn struct {
	*backend
	mu  sync.Mutex // guards runs
	ran map[string]working
}

// serve answers connections until the listener closes.
func (b *readsOn) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
		go b.answer(conn)
	}
}

// answer answers the requests of one connection in turn.
func (b *readsOn) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, b.instance)
			continue
		}
		if err = b.work(conn, request); err != nil {
			return
		}
	}
}

// work runs one request.
func (b *readsOn) work(conn net.Conn, request *http.Request) (err error) {
	id := request.Header.Get(headerRequestID)
	run := working{instance: b.instance, begun: b.record.now()}
	b.record.write("%s has begun to work on %s", b.instance, id)
	size, err := io.CopyN(io.Discard, request.Body, firstBytes)
	time.Sleep(readingPause)
	rest := int64(0)
	if err == nil {
		rest, err = io.Copy(io.Discard, request.Body)
	}
	if err == nil {
		text := b.instance + " ran " + id
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			headerRequestID, id, headerSignature, b.instance+"."+id, len(text), text)
	}
	run.end, run.cut = b.record.now(), err != nil
	b.record.write("%s has read %d bytes of %s, error %v", b.instance, size+rest, id, err)
	b.mu.Lock()
	b.ran[id] = run
	b.mu.Unlock()
	return err
}

// sent is a request with its answer.
type sent struct {
	answer
	at, answered time.Duration
}

// playUploads has clients send bodies to backends that read them while they work. The proxy that took them gets
// SIGTERM: it may not break off what its backends are working on, nor answer in their place.
func playUploads(log *record, trouble bool) (broken []string, err error) {
	s, err := newSystem(log, 3, 6)
	if err != nil {
		return nil, err
	}
	defer s.close()
	backends := map[string]*readsOn{}
	for _, b := range s.backends {
		reads := &readsOn{backend: b, ran: map[string]working{}}
		b.listen = reads.serve
		backends[b.instance] = reads
	}
	if err = s.start(limitsOf(64<<20, 7)); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	requests := make([]sent, uploadClients)
	var uploads sync.WaitGroup
	for i := range requests {
		uploads.Go(func() {
			c, dialErr := dialClient(log, s.frontend(0))
			if dialErr != nil {
				return
			}
			defer func() { _ = c.conn.Close() }()
			requests[i].at = log.now()
			requests[i].answer = c.post(uploadBytes)
			requests[i].answered = log.now()
		})
	}
	time.Sleep(300 * time.Millisecond)
	term := log.now()
	if trouble {
		s.proxies[0].signal(syscall.SIGTERM)
	}
	uploads.Wait()
	time.Sleep(readingPause)
	if !trouble {
		return nil, nil
	}
	return brokenOff(log, requests, backends, term), nil
}

// brokenOff gives the requests that the proxy has broken off after its SIGTERM, and answered itself, though their
// backends were at work, and neither the deadline nor the last sixth of the grace period had come.
func brokenOff(log *record, requests []sent, backends map[string]*readsOn, term time.Duration) (broken []string) {
	for _, request := range requests {
		for _, b := range backends {
			b.mu.Lock()
			run, ran := b.ran[request.id]
			b.mu.Unlock()
			if !ran || !run.cut || request.signature != "" || request.status == 0 {
				continue
			}
			after := request.answered - term
			if after <= 0 || after >= lastSixth || request.answered-request.at >= routeTimeout {
				continue
			}
			log.write("%s, sent at %v, was answered %d by the proxy %v after SIGTERM; %s worked on it until %v",
				request.id, request.at, request.status, after, run.instance, run.end)
			broken = append(broken, fmt.Sprintf("LOST: %s was broken off %v after SIGTERM while %s worked on it, and answered %d",
				request.id, after.Round(time.Millisecond), run.instance, request.status))
		}
	}
	return broken
}
