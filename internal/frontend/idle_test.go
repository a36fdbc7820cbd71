package frontend

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"tinpin/internal/config"
)

// lateConn is a connection whose first reading comes when its time is just over,
// though the client's bytes have arrived. Later readings have all the time they need.
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

func (c *lateConn) SetReadDeadline(time.Time) error { return nil }

// A request that arrives just as its idle connection is to be closed is answered, not cut off.
func TestARequestThatMeetsTheIdleEndIsAnswered(t *testing.T) {
	server, _ := serve(t, 100, bodyOf)
	view := *server.view()
	view.Limits.IdleTimeout = 0
	server.view = func() *config.RoutingTable { return &view }
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	go server.serveConn(&lateConn{Conn: ours}, false)
	_ = theirs.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(theirs, get("/safe/1", "late")); err != nil {
		t.Fatal("the connection was closed with a request on its way: ", err)
	}
	response, body, err := receive(t, bufio.NewReader(theirs))
	if err != nil || response.StatusCode != 200 || body != "body of late" {
		t.Fatalf("%v %q %v", response, body, err)
	}
}
