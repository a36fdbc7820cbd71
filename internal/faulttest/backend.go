package faulttest

// A stand-in for a backend: it speaks the published protocol but for the troubles
// that it draws, and notes each run in the ledger before it answers.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// timeout is the routes'; aim is theirs too.
	timeout   = 250 * time.Millisecond
	slowMost  = 50 * time.Millisecond
	bodyBytes = 3000
)

// backend is a stand-in.
type backend struct {
	id       string
	listener net.Listener
	ledger   atomic.Pointer[Ledger]
	atWork   atomic.Int64
	done     [troubles]atomic.Int64

	mu    sync.Mutex
	luck  *rand.Rand
	calm  bool
	conns map[net.Conn]bool
}

// open starts a stand-in on an address.
func open(id, address string) (b *backend, err error) {
	b = &backend{id: id, luck: rand.New(rand.NewPCG(1, 1)), calm: true, conns: map[net.Conn]bool{}}
	if b.listener, err = net.Listen("tcp4", address); err != nil {
		return nil, Class.Wrap(err)
	}
	go b.accept()
	return b, nil
}

// play begins to note in a ledger and to draw troubles from a seed.
func (b *backend) play(ledger *Ledger, seed uint64) {
	b.ledger.Store(ledger)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.luck, b.calm = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), false
}

// rest ends the troubles and what waits.
func (b *backend) rest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calm = true
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// Close ends the stand-in.
func (b *backend) Close() (err error) {
	err = b.listener.Close()
	b.rest()
	return err
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) draw(rested, body bool) (trouble Trouble, span time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calm {
		return None, 0
	}
	return draw(b.luck.IntN(1000), rested, body), time.Duration(b.luck.Int64N(int64(slowMost)))
}

// reset ends a stream with a reset, whatever lies unread.
func reset(conn net.Conn) {
	if stream, ok := conn.(*net.TCPConn); ok {
		_ = stream.SetLinger(0)
	}
	_ = conn.Close()
}

// stream is one connection of a daemon's.
type stream struct {
	conn net.Conn
	in   *bufio.Reader
	last string
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	s := &stream{conn: conn, in: bufio.NewReader(conn)}
	for {
		if _, err := s.in.Peek(1); err != nil {
			return
		}
		b.atWork.Add(1)
		keep := b.one(s)
		b.atWork.Add(-1)
		if !keep {
			return
		}
	}
}

// one takes one request and tells whether the stream goes on.
func (b *backend) one(s *stream) (keep bool) {
	request, err := http.ReadRequest(s.in)
	if err != nil {
		return false
	}
	id := request.Header.Get("Tinpin-Request-Id")
	if request.URL.Path == "/health" {
		_, err = fmt.Fprintf(s.conn, "HTTP/1.1 200 OK\r\nTinpin-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
		return err == nil
	}
	number, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return false
	}
	a := answer{id: id, head: request.Method == http.MethodHead, stamp: "s." + id}
	if target := request.Header.Get("Tinpin-Target-Instance"); target != b.id {
		return s.say(a.refuse(421))
	}
	trouble, span := b.draw(s.last != "", request.ContentLength > 0)
	b.done[trouble].Add(1)
	switch trouble {
	case ResetBefore, ResetWithin:
		reset(s.conn)
		return false
	case RefusedWithin:
		s.say(a.refuse(503))
		return false
	}
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	run := func() { b.ledger.Load().Run(ID(number)) }
	switch trouble {
	case ResetAfter:
		reset(s.conn)
		return false
	case SilentUnrun:
		_, _ = s.in.Peek(1)
		return false
	case Nameless421:
		s.say(nameless(421, ""))
		return false
	case Turned:
		return s.say(a.refuse(503))
	case TurnedElsewhere:
		return s.say(a.refuse(421))
	case TurnedTwice:
		return s.say(a.refuse(503) + a.refuse(503))
	}
	run()
	whole := a.text()
	before := s.last
	s.last = whole
	switch trouble {
	case ResetAfterRun:
		reset(s.conn)
		return false
	case ClosedAfterRun:
		return false
	case SilentRun:
		_, _ = s.in.Peek(1)
		return false
	case Late:
		time.Sleep(timeout + span)
	case Slow:
		time.Sleep(span)
	case Garbled:
		s.say("\x00\x01 no answer at all \r\n\r\n")
		return false
	case CutShort:
		s.say(whole[:len(whole)-20])
		return false
	case ResetBehind:
		s.say(whole)
		reset(s.conn)
		return false
	case Doubled:
		whole += whole
	case DoubledBefore:
		whole = before + whole
	case NamelessBehind:
		whole += nameless(421, "")
	case Nameless421Before:
		whole = nameless(421, "") + whole
	case NamelessNotRunBefore:
		whole = nameless(503, "Tinpin-Not-Executed: 1\r\n") + whole
	case NamelessSuccessBefore:
		whole = nameless(200, "Tinpin-Response-Signature: s.0\r\n") + whole
	case AnothersBefore:
		whole = answer{id: "ffffffffffffffff", stamp: "s.ffffffffffffffff"}.text() + whole
	case LongerIDBefore:
		whole = answer{id: id + "0", stamp: "s." + id + "0"}.text() + whole
	case TwoIDs:
		a.lines = "Tinpin-Request-Id: ffffffffffffffff\r\n"
		whole = a.text()
	case TwoLengths:
		a.lines = "Content-Length: 7\r\n"
		whole = a.text()
	case NoStatus:
		whole = strings.Replace(whole, "200", "2OO", 1)
	case Interim:
		whole = "HTTP/1.1 100 Continue\r\n\r\n" + whole
	case RunNotRun:
		a.lines = "Tinpin-Not-Executed: 1\r\n"
		whole = a.text()
	case OwnError, OwnBusy:
		a.status = map[Trouble]int{OwnError: 500, OwnBusy: 503}[trouble]
		whole = a.text()
	}
	return s.say(whole)
}

func (s *stream) say(text string) (said bool) {
	_, err := io.WriteString(s.conn, text)
	return err == nil
}

// answer of a stand-in: the body names the request that ran, as the stamp does.
type answer struct {
	id, stamp, lines string
	status           int
	head             bool
}

func (a answer) text() (text string) {
	if a.status == 0 {
		a.status = 200
	}
	body := "answer to " + a.id
	text = fmt.Sprintf("HTTP/1.1 %d X\r\nTinpin-Request-Id: %s\r\nTinpin-Response-Signature: %s\r\n%sContent-Length: %d\r\n\r\n", a.status, a.id, a.stamp, a.lines, len(body))
	if a.head {
		return text
	}
	return text + body
}

// refuse says that the request was not run.
func (a answer) refuse(status int) (text string) {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nTinpin-Request-Id: %s\r\nTinpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, a.id)
}

func nameless(status int, lines string) (text string) {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, lines)
}
