package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// routeTimeout is the routes' timeout and the clients' deadline.
const routeTimeout = 10 * time.Second

// requestCount numbers the requests of all clients.
var requestCount atomic.Int64

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

// dialClient connects to a proxy.
func dialClient(log *record, address string) (c *client, err error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn), record: log}, nil
}

// answer is what a client got; status 0 stands for no answer.
type answer struct {
	status                int
	id, signature, reason string
	body                  []byte
}

// nextID is the id of a new request.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)) }

// head is the head of a request, without the empty line.
func head(method, path, id, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\n" + headerRequestID + ": " + id + "\r\n" +
		headerDeadline + ": 10000\r\n" + more
}

// read reads the answer to a request.
func (c *client) read(method string, limit time.Duration) (got answer) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{reason: err.Error()}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{reason: err.Error()}
	}
	return answer{
		status: response.StatusCode, id: response.Header.Get(headerRequestID),
		signature: response.Header.Get(headerSignature), body: body,
	}
}
