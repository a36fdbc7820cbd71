// Package await has waits that end with a context.
package await

import (
	"context"
	"sync"
	"time"
)

// Delay waits for a time; it returns false where the context ended before.
func Delay(ctx context.Context, delay time.Duration) (passed bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Group waits until a group is done; it returns false where the context ended before. What waits for the group
// then goes on until it is done.
func Group(ctx context.Context, group *sync.WaitGroup) (done bool) {
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	}
}
