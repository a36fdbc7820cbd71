package faulttest

// A client sends its rounds over kept streams, tries again as clients do, and
// notes what it was told.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientPatience = 5 * time.Second
	host           = "account.example"
	triesMost      = 3
	pipelined      = 3
	backMost       = 300 * time.Millisecond
)

// client has a stream to each edge.
type client struct {
	ledger *Ledger
	luck   *rand.Rand
	lines  []*line
}

// line is a client's stream to one edge.
type line struct {
	front string
	conn  net.Conn
	in    *bufio.Reader
	// back is when the last answer asked to come back.
	back time.Duration
}

func newClient(ledger *Ledger, seed uint64, fronts []string) (c *client) {
	c = &client{ledger: ledger, luck: rand.New(rand.NewPCG(seed, ^seed))}
	for _, front := range fronts {
		c.lines = append(c.lines, &line{front: front})
	}
	return c
}

func (c *client) close() {
	for _, line := range c.lines {
		line.close()
	}
}

func (l *line) open() (err error) {
	if l.conn != nil {
		return nil
	}
	if l.conn, err = net.DialTimeout("tcp4", l.front, time.Second); err != nil {
		l.conn = nil
		return Class.Wrap(err)
	}
	l.in = bufio.NewReader(l.conn)
	return nil
}

func (l *line) close() {
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
	text = fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nTinpin-Request-Id: %s\r\nTinpin-Request-Deadline: 2000\r\n", r.method, r.kind, host, r.id.Text())
	if r.kind == Keyed {
		text += fmt.Sprintf("Tinpin-Operation-Key: k-%d\r\n", r.id.Round())
	}
	if r.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	return text + "\r\n" + strings.Repeat("x", r.body)
}

// round plays one round.
func (c *client) round(number int) {
	kind := [...]Kind{Repeatable, Repeatable, Once, Keyed}[c.luck.IntN(4)]
	if kind == Repeatable {
		c.repeatable(number)
		return
	}
	asked := request{kind: kind, method: http.MethodPost, body: bodyBytes * c.luck.IntN(2)}
	if kind == Keyed && c.luck.IntN(8) == 0 {
		c.both(number, asked)
		return
	}
	for try := range triesMost {
		asked.id = IDOf(number, try)
		line := c.lines[c.luck.IntN(len(c.lines))]
		told := c.exchange(line, c.luck.IntN(100) == 0, asked)
		again := told == Promised || kind == Keyed && (told != Served && told != Gone || c.luck.IntN(5) == 0)
		if !again {
			return
		}
		time.Sleep(min(line.back, backMost))
	}
}

// both sends the same operation to two edges at once.
func (c *client) both(number int, asked request) {
	var sent sync.WaitGroup
	for try, line := range c.lines {
		each := asked
		each.id = IDOf(number, try)
		sent.Add(1)
		go func() {
			defer sent.Done()
			c.exchange(line, false, each)
		}()
	}
	sent.Wait()
}

// repeatable sends one request or several behind each other.
func (c *client) repeatable(number int) {
	count := 1
	if c.luck.IntN(8) == 0 {
		count = pipelined
	}
	asked := make([]request, count)
	for i := range asked {
		asked[i] = request{id: IDOf(number, i), kind: Repeatable, method: http.MethodGet}
		if c.luck.IntN(16) == 0 {
			asked[i].method = http.MethodHead
		}
	}
	c.exchange(c.lines[c.luck.IntN(len(c.lines))], false, asked...)
}

// exchange sends requests behind each other and notes what comes back; it gives
// what the last was told. A client that goes away reads nothing.
func (c *client) exchange(l *line, away bool, asked ...request) (told Told) {
	var text strings.Builder
	for _, each := range asked {
		c.ledger.Send(each.id, each.kind)
		text.WriteString(each.text())
	}
	if l.open() != nil {
		return Gone
	}
	_ = l.conn.SetDeadline(time.Now().Add(clientPatience))
	_, err := io.WriteString(l.conn, text.String())
	if away {
		l.close()
		return Gone
	}
	for _, each := range asked {
		var response *http.Response
		var body string
		if err == nil {
			response, body, err = each.read(l.in)
		}
		if err != nil {
			c.ledger.Tell(each.id, Lost, 0)
			l.close()
			return Lost
		}
		var ran ID
		told, ran = each.judge(response, body)
		c.ledger.Tell(each.id, told, ran)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		l.back = time.Duration(seconds * float64(time.Second))
		if response.Close || told == Crossed {
			// What is behind counts as not read.
			l.close()
			return told
		}
	}
	return told
}

// read reads the answer to a request.
func (r request) read(in *bufio.Reader) (response *http.Response, body string, err error) {
	if response, err = http.ReadResponse(in, &http.Request{Method: r.method}); err != nil {
		return nil, "", Class.Wrap(err)
	}
	data, err := io.ReadAll(response.Body)
	return response, string(data), Class.Wrap(err)
}

// judge tells what an answer says to the request.
func (r request) judge(response *http.Response, body string) (told Told, ran ID) {
	if ids := response.Header["Tinpin-Request-Id"]; len(ids) != 1 || ids[0] != r.id.Text() {
		return Crossed, 0
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusInternalServerError:
		stamp := response.Header.Get("Tinpin-Response-Signature")
		number, err := strconv.ParseUint(strings.TrimPrefix(stamp, "s."), 16, 64)
		ran = ID(number)
		mine := err == nil && (ran == r.id || r.kind == Keyed && ran.Round() == r.id.Round())
		if !mine || r.method != http.MethodHead && body != "answer to "+ran.Text() {
			return Crossed, 0
		}
		if response.StatusCode == http.StatusOK {
			return Served, ran
		}
		return OwnFailure, ran
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return Promised, 0
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return Unknown, 0
	case http.StatusConflict:
		return AtWork, 0
	}
	return Strange, 0
}
