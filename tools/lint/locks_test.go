package main

import "testing"

// A call that may block is found where its function holds a lock, and nowhere else: the client that dialled
// under the lock of all its callers is the first case.
func TestCheckLocks(t *testing.T) {
	tests := map[string]struct {
		body string
		want int
	}{
		"dial under a deferred unlock": {`c.mu.Lock(); defer c.mu.Unlock(); Dial(c.Address)`, 1},
		"call between lock and unlock": {`c.mu.Lock(); peer.Call(); c.mu.Unlock()`, 1},
		"under a read lock":            {`c.mu.RLock(); time.Sleep(1); c.mu.RUnlock()`, 1},
		"after the unlock":             {`c.mu.Lock(); c.n++; c.mu.Unlock(); peer.Call()`, 0},
		"before the lock":              {`peer.Call(); c.mu.Lock(); defer c.mu.Unlock()`, 0},
		"in a goroutine":               {`c.mu.Lock(); go func() { peer.Call() }(); go peer.Call(); c.mu.Unlock()`, 0},
		"two locks, one left":          {`a.Lock(); b.Lock(); b.Unlock(); peer.CallContext(); a.Unlock()`, 1},
		"a lock of a function within":  {`func() { c.mu.Lock(); defer c.mu.Unlock() }(); peer.Call()`, 0},
		"a function within that blocks": {
			`func() { c.mu.Lock(); defer c.mu.Unlock(); dialer.DialContext() }()`, 1,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			found, err := checkLocks("a/a.go", []byte("package a\nfunc f() { "+c.body+" }\n"))
			if err != nil {
				t.Fatal(err)
			}
			if len(found) != c.want {
				t.Errorf("%d findings, want %d: %v", len(found), c.want, found)
			}
		})
	}
}
