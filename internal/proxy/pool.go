package proxy

import (
	"context"
	"net"
	"syscall"
	"time"

	"tinpin/internal/http1"
	"tinpin/internal/rpc"
)

const (
	// dialTimeout is the longest time for a connection to a backend to come up.
	dialTimeout = 450 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection fails.
	unackedTimeout = 800 * time.Millisecond
	// readBufferBytes is the receive buffer of the kernel for a connection to a backend.
	readBufferBytes = 16 << 10
	// maxIdleConns is how many idle connections a backend's pool holds.
	maxIdleConns = 32
)

// Conn is one connection to a backend; it carries one request at a time.
type Conn struct {
	netConn net.Conn
	raw     syscall.RawConn
	reader  *http1.Reader
	backend *Backend
	// fresh tells that no request was sent on it before the present one.
	fresh bool
	// idleSince is when it was returned to the pool last, expiresAt when it may not be reused any more.
	idleSince time.Duration
	expiresAt time.Duration
	// interrupt wakes whoever reads or writes; cancelInterruption keeps that from happening, and
	// returns false where it has begun. interrupted is set once it has.
	interrupt          func()
	cancelInterruption func() bool
	interrupted        bool
	// peek is look, bound once; quiet and peeked are its result and what it has read.
	peek   func(fd uintptr) (done bool)
	quiet  bool
	peeked [1]byte
}

// isQuiet tells that no bytes have arrived and the backend has not closed the connection. It looks at
// the socket without blocking and without consuming anything.
func (c *Conn) isQuiet() (quiet bool) {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.quiet = false
	err := c.raw.Read(c.peek)
	return c.quiet && err == nil
}

// look sets quiet by a look at the socket, and never has its caller wait.
func (c *Conn) look(fd uintptr) (done bool) {
	_, _, err := syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}

// takeIdle takes the most recently used idle connection that is still usable, or nil. One that has
// been idle longer than maxIdle stays in the pool.
func (b *Backend) takeIdle(now, maxIdle time.Duration) (conn *Conn) {
	for {
		b.mu.Lock()
		last := len(b.idleConns) - 1
		if last < 0 {
			b.mu.Unlock()
			return nil
		}
		conn = b.idleConns[last]
		if now-conn.idleSince > maxIdle {
			b.mu.Unlock()
			return nil
		}
		b.idleConns = b.idleConns[:last]
		b.mu.Unlock()
		if now < conn.expiresAt && conn.isQuiet() {
			conn.fresh = false
			return conn
		}
		b.closeConn(conn)
	}
}

// dial opens a connection; it waits no longer than dialTimeout.
func (b *Backend) dial(ctx context.Context, wait time.Duration) (conn *Conn, err error) {
	if wait > dialTimeout {
		wait = dialTimeout
	}
	dialer := net.Dialer{
		Timeout: wait, Control: rpc.UserTimeout(unackedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	dialer.SetMultipathTCP(false)
	b.mu.Lock()
	b.openConns++
	b.mu.Unlock()
	netConn, err := dialer.DialContext(ctx, "tcp4", b.Address)
	if err != nil {
		b.connEnded()
		return nil, err
	}
	// A small receive buffer leaves what is not read yet with the backend, off this node's link.
	_ = netConn.(*net.TCPConn).SetReadBuffer(readBufferBytes)
	raw, err := netConn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = netConn.Close()
		b.connEnded()
		return nil, err
	}
	conn = &Conn{netConn: netConn, raw: raw, reader: http1.NewReader(netConn), backend: b, fresh: true}
	conn.interrupt = func() { _ = netConn.SetDeadline(longAgo) }
	conn.peek = conn.look
	return conn, nil
}

// closeConn closes a connection that is not in the pool.
func (b *Backend) closeConn(conn *Conn) {
	_ = conn.netConn.Close()
	b.connEnded()
}

// connEnded counts a connection that has ended, or has not come up.
func (b *Backend) connEnded() {
	b.mu.Lock()
	b.openConns--
	b.mu.Unlock()
}

// trackActive notes that a connection carries a request, until unmarkActive.
func (b *Backend) trackActive(conn *Conn, keyed bool) {
	b.mu.Lock()
	b.activeConns[conn] = keyed
	b.mu.Unlock()
}

// untrackActive ends what trackActive began.
func (b *Backend) untrackActive(conn *Conn) {
	b.mu.Lock()
	delete(b.activeConns, conn)
	b.mu.Unlock()
}

// closeActive closes the connections that carry requests; with keepKeyed those of keyed requests
// stay open.
func (b *Backend) closeActive(keepKeyed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn, keyed := range b.activeConns {
		if !keyed || !keepKeyed {
			_ = conn.netConn.Close()
		}
	}
}

// putIdle returns a reusable connection to the pool, for keepAlive at most.
func (b *Backend) putIdle(now time.Duration, conn *Conn, keepAlive time.Duration) {
	conn.idleSince, conn.expiresAt = now, now+min(keepAlive, b.stats.MaxIdle(now))
	b.mu.Lock()
	if b.closed || len(b.idleConns) >= maxIdleConns {
		b.mu.Unlock()
		b.closeConn(conn)
		return
	}
	b.idleConns = append(b.idleConns, conn)
	b.mu.Unlock()
}

// closeIdle closes the idle connections that have expired. With all it closes every one, and the pool
// takes none any more.
func (b *Backend) closeIdle(now time.Duration, all bool) {
	b.mu.Lock()
	var expired []*Conn
	kept := b.idleConns[:0]
	for _, conn := range b.idleConns {
		if all || now >= conn.expiresAt {
			expired = append(expired, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	b.idleConns = kept
	b.closed = b.closed || all
	b.mu.Unlock()
	for _, conn := range expired {
		b.closeConn(conn)
	}
}
