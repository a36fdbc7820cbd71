package message

import (
	"strings"
	"testing"
	"time"
)

// Clients are told to let an idle connection go, unless the response closes it.
func TestKeepAliveIsToldWhereTheConnectionStays(t *testing.T) {
	told := string(Response{Status: 200, KeepAlive: 13500 * time.Millisecond}.appendHead(nil, false))
	if !strings.Contains(told, "\r\nKeep-Alive: timeout=13\r\n") {
		t.Errorf("clients are not told when the connection ends: %q", told)
	}
	if told = string(Response{Status: 200, Close: true, KeepAlive: time.Minute}.appendHead(nil, false)); strings.Contains(told, "Keep-Alive") {
		t.Errorf("a connection that closes is promised: %q", told)
	}
}
