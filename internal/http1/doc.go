// Package http1 reads the HTTP/1.1 responses that arrive on a connection, and only what is one by the grammar of
// RFC 9110 and RFC 9112. net/http reads responses of old servers too: it lets pass blanks in field names, folded
// lines, lines that end with LF, other versions, two ways to frame a body. What it lets pass is decided here, before
// anything of a response is used. What both accept, net/http parses.
//
// A Reader belongs to one connection and is used by one goroutine at a time.
package http1
