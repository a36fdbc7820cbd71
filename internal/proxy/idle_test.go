package proxy

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// lateConn is a stream whose first reading comes when its time is just over,
// though the client's bytes have arrived.
type lateConn struct {
	net.Conn
	reads int
}

func (c *lateConn) Read(into []byte) (size int, err error) {
	if c.reads++; c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(into)
}

// A request that arrives just as its idle stream is to be closed is answered,
// not cut off; clients are told to let the stream go before that.
func TestARequestThatMeetsTheIdleEndIsAnswered(t *testing.T) {
	d := daemonOf(t, newStandIn(t, "i-1", good))
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	go d.frontend.serveConn(&lateConn{Conn: ours}, false)
	_ = theirs.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(theirs, ask("GET", "/safe/1", "late")); err != nil {
		t.Fatal("the stream was closed with a request on its way: ", err)
	}
	response, body, err := receiveOne(t, bufio.NewReader(theirs), "GET")
	if err != nil || response.StatusCode != 200 || body != "body of late" {
		t.Fatalf("%v %q %v", response, body, err)
	}
	told := string(Response{Status: 200, KeepAlive: 13500 * time.Millisecond}.appendHead(nil, false))
	if !strings.Contains(told, "\r\nKeep-Alive: timeout=13\r\n") {
		t.Errorf("clients are not told when the stream ends: %q", told)
	}
	if told = string(Response{Status: 200, Close: true, KeepAlive: time.Minute}.appendHead(nil, false)); strings.Contains(told, "Keep-Alive") {
		t.Errorf("a stream that closes is promised: %q", told)
	}
}
