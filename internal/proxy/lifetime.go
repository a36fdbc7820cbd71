package proxy

import (
	"context"
	"time"
)

// A request lives as long as its context: the frontend ends it when the client has left, and
// attemptWithHedge ends that of an attempt whose request was answered by another. What a request
// waits for, it waits for no longer than it lives, and nothing is sent for it afterwards. What was
// sent is broken off only where the request may run more than once: of any other the outcome has
// still to be learned.

// longAgo as a deadline makes reads and writes fail at once.
var longAgo = time.Unix(1, 0)

// interruptAtEnd has whoever reads or writes the connection woken when a lifetime ends. Who has the
// connection calls stopInterruption before it lets it go.
func (c *Conn) interruptAtEnd(ctx context.Context) {
	c.cancelInterruption = context.AfterFunc(ctx, c.interrupt)
}

// stopInterruption ends what interruptAtEnd began; without it, it does nothing. It returns true where
// the lifetime has ended: the connection is or will be interrupted, and can only be closed.
func (c *Conn) stopInterruption() (interrupted bool) {
	if c.cancelInterruption != nil {
		c.interrupted = !c.cancelInterruption()
		c.cancelInterruption = nil
	}
	return c.interrupted
}
