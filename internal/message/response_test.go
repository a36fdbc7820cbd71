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

// A field that cannot be written as one is never written, whoever made it: an earlier version's stored response, or a
// client.
func TestOnlyFieldsAreWritten(t *testing.T) {
	for _, field := range []HeaderField{
		{"", "1"},
		{"X A", "1"},
		{"X-A ", "1"},
		{" X-A", "1"},
		{"X-A\t", "1"},
		{"X\x00A", "1"},
		{"X\x7fA", "1"},
		{"X:A", "1"},
		{"X-\xe9", "1"},
		{"X\r\nContent-Length", "1"},
		{"X-A", "1\r\nX-B: 2"},
		{"X-A", "1\n"},
		{"X-A", "\r"},
		{"X-A", "\x00"},
		{"X-A", "\x7f"},
	} {
		fields := []HeaderField{{"X-First", "a b\t\xe9"}, field, {"X-Last", ""}}
		response := string(Response{Status: 200, Headers: fields}.appendHead(nil, false))
		if want := "HTTP/1.1 200 OK\r\nX-First: a b\t\xe9\r\nX-Last: \r\nContent-Length: 0\r\n\r\n"; response != want {
			t.Errorf("%q: the response is %q", field, response)
		}
		request := Request{Method: "GET", Target: "/", Host: "a.example", Headers: fields}
		want := "GET / HTTP/1.1\r\nHost: a.example\r\nX-First: a b\t\xe9\r\nX-Last: \r\n" +
			HeaderRequestDeadline + ": 7\r\n" + HeaderTargetInstance + ": i-1\r\n\r\n"
		if data := string(request.Encode(7*time.Millisecond, "i-1")); data != want {
			t.Errorf("%q: the request is %q", field, data)
		}
	}
}
