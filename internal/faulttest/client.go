package faulttest

// A client runs its operations over persistent connections, retries as clients do, and
// records the outcome of each attempt.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tinpin/internal/http1"
)

const (
	clientTimeout = 5 * time.Second
	host          = "account.example"
	maxAttempts   = 3
	pipelineDepth = 3
	maxRetryAfter = 300 * time.Millisecond
)

// client has a connection to each proxy.
type client struct {
	log         *RequestLog
	rng         *rand.Rand
	connections []*clientConnection
}

// clientConnection is a client's connection to one proxy.
type clientConnection struct {
	address string
	conn    net.Conn
	in      *http1.Reader
	// retryAfter is the Retry-After of the last response.
	retryAfter time.Duration
}

func newClient(log *RequestLog, seed uint64, addresses []string) (c *client) {
	c = &client{log: log, rng: rand.New(rand.NewPCG(seed, ^seed))}
	for _, address := range addresses {
		c.connections = append(c.connections, &clientConnection{address: address})
	}
	return c
}

func (c *client) close() {
	for _, line := range c.connections {
		line.close()
	}
}

func (l *clientConnection) open() (err error) {
	if l.conn != nil {
		return nil
	}
	if l.conn, err = net.DialTimeout("tcp4", l.address, time.Second); err != nil {
		l.conn = nil
		return Class.Wrap(err)
	}
	l.in = http1.NewReader(l.conn)
	return nil
}

func (l *clientConnection) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// request of a client.
type request struct {
	id     ID
	kind   Kind
	method string
	body   int
}

func (r request) text() (text string) {
	text = fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nTinpin-Request-Id: %s\r\nTinpin-Request-Deadline: 2000\r\n",
		r.method, r.kind, host, r.id.Text())
	if r.kind == Keyed {
		text += fmt.Sprintf("Tinpin-Operation-Key: k-%d\r\n", r.id.Operation())
	}
	if r.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	return text + "\r\n" + strings.Repeat("x", r.body)
}

// runOperation runs one operation with its attempts.
func (c *client) runOperation(number int) {
	kind := [...]Kind{Idempotent, Idempotent, NonIdempotent, Keyed}[c.rng.IntN(4)]
	if kind == Idempotent {
		c.runIdempotent(number)
		return
	}
	requests := request{kind: kind, method: http.MethodPost, body: bodyBytes * c.rng.IntN(2)}
	if kind == Keyed && c.rng.IntN(8) == 0 {
		c.sendToAll(number, requests)
		return
	}
	for attempt := range maxAttempts {
		requests.id = IDOf(number, attempt)
		line := c.connections[c.rng.IntN(len(c.connections))]
		outcome := c.exchange(line, c.rng.IntN(100) == 0, requests)
		again := outcome == NotRun ||
			kind == Keyed && (outcome != Served && outcome != ClientGone || c.rng.IntN(5) == 0)
		if !again {
			return
		}
		time.Sleep(min(line.retryAfter, maxRetryAfter))
	}
}

// sendToAll sends the same operation to all proxies at once.
func (c *client) sendToAll(number int, requests request) {
	var sent sync.WaitGroup
	for attempt, line := range c.connections {
		each := requests
		each.id = IDOf(number, attempt)
		sent.Add(1)
		go func() {
			defer sent.Done()
			c.exchange(line, false, each)
		}()
	}
	sent.Wait()
}

// runIdempotent sends one request, or several pipelined.
func (c *client) runIdempotent(number int) {
	count := 1
	if c.rng.IntN(8) == 0 {
		count = pipelineDepth
	}
	requests := make([]request, count)
	for i := range requests {
		requests[i] = request{id: IDOf(number, i), kind: Idempotent, method: http.MethodGet}
		if c.rng.IntN(16) == 0 {
			requests[i].method = http.MethodHead
		}
	}
	c.exchange(c.connections[c.rng.IntN(len(c.connections))], false, requests...)
}

// exchange sends pipelined requests, records the outcome of each and returns that of the
// last. A client that abandons them reads nothing.
func (c *client) exchange(l *clientConnection, abandon bool, requests ...request) (outcome Outcome) {
	var text strings.Builder
	for _, each := range requests {
		c.log.RecordSend(each.id, each.kind)
		text.WriteString(each.text())
	}
	if l.open() != nil {
		return ClientGone
	}
	_ = l.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err := io.WriteString(l.conn, text.String())
	if abandon {
		l.close()
		return ClientGone
	}
	for _, each := range requests {
		var response *http.Response
		var body string
		if err == nil {
			response, body, err = each.read(l.in)
		}
		if err != nil {
			outcome = Lost
			if http1.IsMalformed(err) {
				// Bytes that are no response are nobody's.
				outcome = WrongResponse
			}
			c.log.RecordOutcome(each.id, outcome, 0)
			l.close()
			return outcome
		}
		var executedBy ID
		outcome, executedBy = each.classify(response, body)
		c.log.RecordOutcome(each.id, outcome, executedBy)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		l.retryAfter = time.Duration(seconds * float64(time.Second))
		if response.Close || outcome == WrongResponse {
			// What is behind counts as not read.
			l.close()
			return outcome
		}
	}
	return outcome
}

// read reads the answer to a request, by the grammar of responses.
func (r request) read(in *http1.Reader) (response *http.Response, body string, err error) {
	if response, err = in.ReadResponse(r.method); err != nil {
		return nil, "", Class.Wrap(err)
	}
	data, err := io.ReadAll(response.Body)
	return response, string(data), Class.Wrap(err)
}

// classify gives the outcome of a response, and the attempt that was executed for it.
func (r request) classify(response *http.Response, body string) (outcome Outcome, executedBy ID) {
	if ids := response.Header["Tinpin-Request-Id"]; len(ids) != 1 || ids[0] != r.id.Text() {
		return WrongResponse, 0
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusInternalServerError:
		signature := response.Header.Get("Tinpin-Response-Signature")
		number, err := strconv.ParseUint(strings.TrimPrefix(signature, "s."), 16, 64)
		executedBy = ID(number)
		mine := err == nil && (executedBy == r.id || r.kind == Keyed && executedBy.Operation() == r.id.Operation())
		if !mine || r.method != http.MethodHead && body != "answer to "+executedBy.Text() {
			return WrongResponse, 0
		}
		if response.StatusCode == http.StatusOK {
			return Served, executedBy
		}
		return BackendFailure, executedBy
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return NotRun, 0
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return Unknown, 0
	case http.StatusConflict:
		return InProgress, 0
	}
	return Unexpected, 0
}
