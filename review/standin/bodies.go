package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// chunkedBytes is the length of a body, chunkBytes that of its chunks, chunkPause what lies between two:
	// an upload takes some two seconds.
	chunkedBytes = 5 << 20
	chunkBytes   = 64 << 10
	chunkPause   = 16 * time.Millisecond
	// chunkedClients are the clients of two zones.
	chunkedClients = 60
	lossRounds     = 3
	// lossTime is how long a zone is without power.
	lossTime = 5500 * time.Millisecond
	// returnTime is how long a proxy may take to be ready again after its end.
	returnTime = 15 * time.Second
	quietTime  = 30 * time.Second
)

// playBodies has clients upload in chunks while their two zones lose power in turn. The platform kills
// a process that takes more than its memory.
func playBodies(log *record, trouble bool) (broken []string, err error) {
	s, err := newSystem(log, 2, 8)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err = s.start(limitsOf(64<<20, 7)); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	over := &overseer{system: s, over: map[string]int{}, most: map[string]int64{}, done: make(chan struct{})}
	go over.run()
	var stop atomic.Bool
	var clients sync.WaitGroup
	for range chunkedClients {
		clients.Go(func() {
			for !stop.Load() {
				s.uploadInChunks()
			}
		})
	}
	if trouble {
		for n := range lossRounds * len(s.proxies) {
			if err = s.loseZone(n % len(s.proxies)); err != nil {
				return nil, err
			}
		}
	} else {
		time.Sleep(quietTime)
	}
	stop.Store(true)
	clients.Wait()
	close(over.done)
	return over.broken(), nil
}

// loseZone has a proxy's zone lose its power for a time.
func (s *system) loseZone(n int) (err error) {
	for i := range s.proxies {
		if err = s.awaitReady(i, returnTime); err != nil {
			return err
		}
	}
	time.Sleep(contact)
	s.proxies[n].powerOff(lossTime)
	time.Sleep(lossTime)
	return s.awaitReady(n, returnTime)
}

// overseer is the platform: it kills a process that takes more than its memory.
type overseer struct {
	system *system
	done   chan struct{}
	mu     sync.Mutex // guards what follows
	over   map[string]int
	most   map[string]int64
}

// run looks at the proxies until it is done.
func (o *overseer) run() {
	for {
		select {
		case <-o.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, d := range o.system.proxies {
			if bytes, err := d.memory(); err == nil && o.tooMuch(d.name, bytes) {
				o.system.record.write("%s takes %d MB, its limit is %d", d.name, bytes>>20, memoryMB)
				d.signal(syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// tooMuch notes what a process takes, and tells whether it is over its limit.
func (o *overseer) tooMuch(name string, bytes int64) (over bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.most[name] = max(o.most[name], bytes)
	if over = bytes > memoryMB<<20; over {
		o.over[name]++
	}
	return over
}

// broken tells whether two machines have lost their processes three times each.
func (o *overseer) broken() (broken []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.system.record.write("most memory in bytes: %v; over the limit: %v", o.most, o.over)
	often := 0
	for _, count := range o.over {
		if count >= 3 {
			often++
		}
	}
	if often >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: on %d of 5 machines processes took more than their memory three times "+
			"or more: %v", often, o.over))
	}
	return broken
}

// resolve asks a directory where to go, and gives one of the addresses at random, "" for none.
func (s *system) resolve() (address string) {
	for _, i := range rand.Perm(len(s.proxies)) {
		response, err := s.operator.Get("http://" + s.host(20+i) + ":18164/-/resolve?name=" + hostName + "&region=" + region +
			"&zone=" + proxyZoneA)
		if err != nil {
			continue
		}
		var found struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(found.Addresses) > 0 {
			return found.Addresses[rand.IntN(len(found.Addresses))]
		}
	}
	return ""
}

// uploadInChunks sends one request with a body in chunks on a connection of its own.
func (s *system) uploadInChunks() {
	address := s.resolve()
	c, err := dialClient(s.record, address)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer func() { _ = c.conn.Close() }()
	id := nextID()
	_, err = io.WriteString(c.conn, head("POST", "/once/"+id, id, "Transfer-Encoding: chunked\r\n")+"\r\n")
	part := fmt.Sprintf("%x\r\n", chunkBytes) + strings.Repeat("b", chunkBytes) + "\r\n"
	for sentBytes := 0; sentBytes < chunkedBytes && err == nil; sentBytes += chunkBytes {
		_, err = io.WriteString(c.conn, part)
		time.Sleep(chunkPause)
	}
	if err == nil {
		_, err = io.WriteString(c.conn, "0\r\n\r\n")
	}
	got := c.read("POST", routeTimeout)
	s.record.write("sent %s to %s, %d bytes in chunks, error %v: %d %s", id, address, chunkedBytes, err, got.status,
		got.reason)
	if got.status != http.StatusOK {
		time.Sleep(200 * time.Millisecond)
	}
}
