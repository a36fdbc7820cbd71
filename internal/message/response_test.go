package message

import (
	"strings"
	"testing"
	"time"
)

// Clients are told to let an idle connection go, unless the response closes it.
func TestKeepAliveIsSentWhereTheConnectionStays(t *testing.T) {
	head := string(Response{Status: 200, KeepAlive: 13500 * time.Millisecond}.appendHead(nil, false))
	if !strings.Contains(head, "\r\nKeep-Alive: timeout=13\r\n") {
		t.Errorf("clients are not told when the connection ends: %q", head)
	}
	head = string(Response{Status: 200, Close: true, KeepAlive: time.Minute}.appendHead(nil, false))
	if strings.Contains(head, "Keep-Alive") {
		t.Errorf("a connection that closes is promised: %q", head)
	}
}
