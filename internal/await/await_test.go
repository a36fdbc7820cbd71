package await

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A delay passes after its time, or ends with its context.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 50 * time.Millisecond
		for delay, want := range map[time.Duration]bool{end - 1: true, end + 1: false} {
			ctx, cancel := context.WithTimeout(t.Context(), end)
			begun := time.Now()
			if passed := Delay(ctx, delay); passed != want {
				t.Errorf("a delay of %s passed: %t", delay, passed)
			}
			if took := time.Since(begun); took != min(delay, end) {
				t.Errorf("a delay of %s took %s", delay, took)
			}
			cancel()
		}
	})
}

// A wait for a group ends with the group or with its context, whichever is first.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 50 * time.Millisecond
		for work, want := range map[time.Duration]bool{0: true, end - 1: true, end + 1: false} {
			ctx, cancel := context.WithTimeout(t.Context(), end)
			begun := time.Now()
			var group sync.WaitGroup
			group.Go(func() { time.Sleep(work) })
			if done := Group(ctx, &group); done != want {
				t.Errorf("work of %s is done: %t", work, done)
			}
			if took := time.Since(begun); took != min(work, end) {
				t.Errorf("work of %s was waited for %s", work, took)
			}
			cancel()
			group.Wait()
		}
	})
}
