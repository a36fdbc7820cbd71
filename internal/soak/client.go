package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tinpin/internal/await"
	"tinpin/internal/http1"
)

const (
	// hostName is the host of all routes, region that of everything.
	hostName = "soak.example"
	region   = "coast"

	dialTimeout = time.Second
	// shortDeadline is how long most clients wait; one with long work waits for
	// longDeadline, beyond the grace period.
	shortDeadline = 4 * time.Second
	longDeadline  = 8 * time.Second
	// answerTTL is how long a client uses what it was told about the proxies.
	answerTTL = 2 * time.Second
	// pipelined is how many requests a client sends at once.
	pipelined = 3
	// keyAttempts is how often an operation is tried under one key.
	keyAttempts = 3
	// longRest is a rest that outlasts config_apply; 1.8 times as much is within four fifths of the shortest
	// idle time-out.
	longRest = 3500 * time.Millisecond
	// maxRetryAfter bounds what a client heeds of Retry-After.
	maxRetryAfter = 300 * time.Millisecond
)

// behavior is how a client goes about.
type behavior uint8

// The behaviors, one client after the other.
const (
	// steady sends one request after the other on a connection that it keeps.
	steady behavior = iota
	// sparse rests for long between two requests, on a connection that it keeps.
	sparse
	// opener opens a connection for each request.
	opener
	// pipeliner sends several requests at once.
	pipeliner
	// slowWorker asks for work that lasts up to most of the grace period.
	slowWorker
	// bulky downloads much and sends long bodies.
	bulky
	// leaver closes some connections before it is answered.
	leaver
	behaviorCount
)

// client is one client.
type client struct {
	system   *System
	number   int
	behavior behavior
	rng      *rand.Rand
	sent     int
	conn     *clientConn
	proxies  []string
	askedAt  time.Duration
	failedAt map[string]time.Duration
}

// clientConn is an open connection of a client.
type clientConn struct {
	net.Conn
	in    *http1.Reader
	proxy int
}

// newClient is a client that has not come yet.
func newClient(system *System, number int) *client {
	seed := system.schedule.Seed<<16 + uint64(number)
	return &client{
		system: system, number: number, behavior: behavior(number) % behaviorCount,
		rng: rand.New(rand.NewPCG(seed, ^seed)), failedAt: map[string]time.Duration{}, askedAt: -time.Hour,
	}
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if !c.connect(ctx) {
			continue
		}
		c.act()
		if !await.Delay(ctx, c.think()) {
			return
		}
	}
}

// think is how long the client rests.
func (c *client) think() time.Duration {
	mean := 40 * time.Millisecond
	switch c.behavior {
	case steady:
		mean = 10 * time.Millisecond
	case sparse:
		mean = 1500 * time.Millisecond
		if c.rng.IntN(3) == 0 {
			mean = longRest
		}
	}
	return time.Duration((0.2 + 1.6*c.rng.Float64()) * float64(mean))
}

// act sends what the client's behavior is.
func (c *client) act() {
	switch {
	case c.behavior == pipeliner:
		requests := make([]*Request, pipelined)
		for i := range requests {
			requests[i] = c.newRequest([]Kind{Idempotent, Moving}[c.rng.IntN(2)], "", 0)
		}
		c.exchange(requests...)
	case c.behavior == leaver && c.rng.IntN(3) == 0:
		c.leave(c.newRequest(c.drawKind(), "", 0))
	default:
		kind := c.drawKind()
		if kind == Keyed {
			c.runKeyed()
			return
		}
		c.exchange(c.newRequest(kind, "", 0))
	}
	if c.behavior == opener {
		c.close()
	}
}

func (c *client) drawKind() Kind {
	if c.behavior == bulky && c.rng.IntN(2) == 0 {
		return Download
	}
	return []Kind{Idempotent, Moving, Moving, NonIdempotent, Keyed}[c.rng.IntN(5)]
}

// runKeyed tries an operation under one key: again where it failed, and sometimes
// after a good answer, each time on a new connection and so mostly by another proxy.
func (c *client) runKeyed() {
	key := fmt.Sprintf("key-%d-%d", c.number, c.sent)
	for try := range keyAttempts {
		if c.conn == nil && !c.connect(context.Background()) {
			return
		}
		request := c.newRequest(Keyed, key, try)
		c.exchange(request)
		served := request.End == Answered && request.Status == http.StatusOK
		if served && c.rng.IntN(4) > 0 {
			return
		}
		c.close()
	}
}

// newRequest makes a request; the work and the sizes are by the client's behavior.
func (c *client) newRequest(kind Kind, key string, try int) *Request {
	c.sent++
	request := &Request{
		ID: fmt.Sprintf("r%d-%d-%d", c.number, c.sent, try), Key: key, Kind: kind, Proxy: c.conn.proxy,
		Deadline: shortDeadline,
	}
	if c.behavior == slowWorker {
		request.Deadline = longDeadline
	}
	return request
}

// text is the request as it is sent.
func (c *client) text(request *Request) string {
	work := 1 + c.rng.IntN(40)
	if c.rng.IntN(12) == 0 {
		work = 100 + c.rng.IntN(900)
	}
	if c.behavior == slowWorker {
		work = c.rng.IntN(int(longestWork(c.system.grace) / time.Millisecond))
	}
	size, body := 200, ""
	if request.Kind == Download {
		size = 20_000 + c.rng.IntN(600_000)
	}
	if kinds[request.Kind].method == http.MethodPost {
		length := c.rng.IntN(2000)
		if c.behavior == bulky || c.behavior == sparse {
			length = 50_000 + c.rng.IntN(200_000)
		}
		body = strings.Repeat("b", length)
		request.BodyBytes = length
	}
	text := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n%s: %d\r\n%s: %x\r\n",
		kinds[request.Kind].method, kinds[request.Kind].path, request.ID, hostName, headerRequestID, request.ID,
		headerDeadline, request.Deadline.Milliseconds(), headerWork, work, headerSize, size,
		headerSum, sumOf([]byte(body)))
	if request.Key != "" {
		text += headerOperationKey + ": " + request.Key + "\r\n"
	}
	if kinds[request.Kind].method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return text + "\r\n" + body
}

// longestWork is the longest that a request is worked on: most of a grace period.
func longestWork(grace time.Duration) time.Duration { return grace * 7 / 10 }

// send writes requests in one go, and notes them.
func (c *client) send(requests ...*Request) (err error) {
	text := ""
	for i, request := range requests {
		request.Behind = i > 0
		text += c.text(request)
	}
	log := c.system.log
	for _, request := range requests {
		request.Sent = log.Now()
		log.Add(request)
	}
	// A body in two parts keeps the request half read for a moment.
	first := len(text)
	if c.behavior == bulky {
		first /= 2
	}
	if _, err = io.WriteString(c.conn, text[:first]); err == nil && first < len(text) {
		time.Sleep(time.Duration(c.rng.IntN(80)) * time.Millisecond)
		_, err = io.WriteString(c.conn, text[first:])
	}
	for _, request := range requests {
		request.Sent = log.Now()
	}
	return err
}

// exchange sends requests and reads their responses, in order.
func (c *client) exchange(requests ...*Request) {
	log := c.system.log
	err := c.send(requests...)
	for i, request := range requests {
		_ = c.conn.SetReadDeadline(time.Now().Add(request.Deadline - (log.Now() - request.Sent)))
		response, readErr := c.read(request)
		if err = errors.Join(err, readErr); err != nil {
			end, endBehind := endsOf(readErr)
			log.Finish(request, end)
			for _, unread := range requests[i+1:] {
				log.Finish(unread, endBehind)
			}
			c.close()
			return
		}
		log.Finish(request, Answered)
		c.system.counts.latency(log.Now() - request.Sent)
		if response.Close {
			for _, unread := range requests[i+1:] {
				log.Finish(unread, Left)
			}
			c.close()
			c.waitRetryAfter(response)
			return
		}
		c.waitRetryAfter(response)
	}
}

// endsOf is how a request ends whose response could not be read, and how those behind it do.
func endsOf(err error) (end, behind End) {
	switch {
	case http1.IsMalformed(err):
		return Malformed, Left
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Expired, Expired
	}
	return Cut, Cut
}

// waitRetryAfter waits as a rejection asks.
func (c *client) waitRetryAfter(response *http.Response) {
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), maxRetryAfter))
	}
}

// read reads the response to a request, by the grammar of responses.
func (c *client) read(request *Request) (response *http.Response, err error) {
	response, err = c.conn.in.ReadResponse(kinds[request.Kind].method)
	if err != nil {
		return nil, err
	}
	request.Status, request.Signature = response.StatusCode, response.Header.Get(headerSignature)
	if id := response.Header.Get(headerRequestID); id != request.ID && id != "" {
		// An answer that belongs to another request is seen as one of a run of no one.
		request.Signature = "of " + id
	}
	sum := fnv.New64a()
	_, err = io.Copy(sum, response.Body)
	request.BodySum = sum.Sum64()
	return response, err
}

// leave sends a request and closes the connection before it is answered.
func (c *client) leave(request *Request) {
	if c.send(request) == nil {
		time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond)
	}
	c.close()
	c.system.log.Finish(request, Left)
}

// connect opens a connection if there is none; it returns false after a failure.
func (c *client) connect(ctx context.Context) (connected bool) {
	now := c.system.log.Now()
	if now-c.askedAt > answerTTL || len(c.proxies) == 0 {
		c.proxies, c.askedAt = c.system.entrance.Proxies(c.rng), now
		c.dropUnnamed()
	}
	if c.conn != nil {
		return true
	}
	address := c.pick(now)
	if address == "" {
		await.Delay(ctx, 50*time.Millisecond)
		return false
	}
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		c.system.counts.refused.Add(1)
		c.failedAt[address] = now
		await.Delay(ctx, 10*time.Millisecond)
		return false
	}
	c.conn = &clientConn{Conn: conn, in: http1.NewReader(conn), proxy: c.system.proxyAt(address)}
	return true
}

// pick chooses an address at random, not one that has failed lately if there is another.
func (c *client) pick(now time.Duration) (address string) {
	var fresh []string
	for _, candidate := range c.proxies {
		if failed, found := c.failedAt[candidate]; !found || now-failed > answerTTL {
			fresh = append(fresh, candidate)
		}
	}
	if len(fresh) == 0 {
		fresh = c.proxies
	}
	if len(fresh) == 0 {
		return ""
	}
	return fresh[c.rng.IntN(len(fresh))]
}

// dropUnnamed closes a connection to a proxy that a new answer of the directory lacks.
// The platform's address keeps connections where they are.
func (c *client) dropUnnamed() {
	if c.conn == nil || c.system.schedule.Shape == Gateway {
		return
	}
	for _, address := range c.proxies {
		if c.system.proxyAt(address) == c.conn.proxy {
			return
		}
	}
	c.close()
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// counts are figures of a play.
type counts struct {
	refused, events, signals atomic.Int64
	latencies
}
