package rpc

import (
	"net"
	"sync/atomic"
)

// The bytes of all calls of this process, since no counter of the machine tells
// processes apart.
var bytesIn, bytesOut atomic.Int64

// Traffic is how many bytes this process has received and sent with calls.
func Traffic() (in, out int64) { return bytesIn.Load(), bytesOut.Load() }

// countedConn counts the bytes of a connection.
type countedConn struct{ net.Conn }

func (c countedConn) Read(into []byte) (size int, err error) {
	size, err = c.Conn.Read(into)
	bytesIn.Add(int64(size))
	return size, err
}

func (c countedConn) Write(data []byte) (size int, err error) {
	size, err = c.Conn.Write(data)
	bytesOut.Add(int64(size))
	return size, err
}
