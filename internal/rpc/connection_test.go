package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeDialer makes connections as a test wants them, and counts the attempts.
type fakeDialer struct {
	mu       sync.Mutex
	attempts int
	open     int
	maxOpen  int
	connect  func(ctx context.Context) (net.Conn, error)
}

func (d *fakeDialer) dial(ctx context.Context, _ string, wait time.Duration) (conn net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	d.mu.Lock()
	d.attempts++
	d.open++
	d.maxOpen = max(d.maxOpen, d.open)
	d.mu.Unlock()
	conn, err = d.connect(ctx)
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
	return conn, err
}

// hang waits as a dial does at a machine that answers nothing.
func hang(ctx context.Context) (conn net.Conn, err error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// errRefusedForTest is a refused connection.
var errRefusedForTest = errors.New("connection refused")

// newDialledClient makes a client whose connections come from a dialer.
func newDialledClient(dialer *fakeDialer) (client *Client) {
	client = NewClient("peer")
	client.dial = dialer.dial
	return client
}

// callFor makes a call and gives how long it took.
func callFor(ctx context.Context, client *Client, limit time.Duration) (took time.Duration, err error) {
	begun := time.Now()
	var response GatedResponse
	err = client.CallContext(ctx, "Gated.Ask", 1, &response, limit)
	return time.Since(begun), err
}

// At a peer that hangs each call waits as long as its own limit and context allow, however many wait beside
// it: each waited until all before it had dialled in turn.
func TestCallsAtAHangingPeerEndWithinTheirOwnLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &fakeDialer{connect: hang}
		client := newDialledClient(dialer)
		cancelled, cancel := context.WithCancel(t.Context())
		time.AfterFunc(70*time.Millisecond, cancel)
		var calls sync.WaitGroup
		check := func(ctx context.Context, limit, want time.Duration) {
			calls.Go(func() {
				if took, err := callFor(ctx, client, limit); took != want || !errors.Is(err, ErrNotSent) {
					t.Errorf("a call with limit %s took %s, not %s: %v", limit, took, want, err)
				}
			})
		}
		for range 16 {
			check(t.Context(), 260*time.Millisecond, 260*time.Millisecond)
		}
		check(t.Context(), 200*time.Millisecond, 200*time.Millisecond)
		check(cancelled, 350*time.Millisecond, 70*time.Millisecond)
		// The dial itself ends first.
		check(t.Context(), 1100*time.Millisecond, dialWait)
		calls.Wait()
		if dialer.attempts != 1 {
			t.Errorf("%d attempts to connect", dialer.attempts)
		}
	})
}

// A dial that fails answers all that wait for it at once; it is repeated for none of them, and by those that
// come later only after a pause.
func TestAFailedDialAnswersAllThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refusedAfter = 30 * time.Millisecond
		dialer := &fakeDialer{connect: func(context.Context) (net.Conn, error) {
			time.Sleep(refusedAfter)
			return nil, errRefusedForTest
		}}
		client := newDialledClient(dialer)
		var calls sync.WaitGroup
		for range 16 {
			calls.Go(func() {
				took, err := callFor(t.Context(), client, time.Second)
				if took != refusedAfter || !errors.Is(err, ErrNotSent) || !errors.Is(err, errRefusedForTest) {
					t.Errorf("answered after %s: %v", took, err)
				}
			})
		}
		calls.Wait()
		if took, err := callFor(t.Context(), client, time.Second); took != 0 || !errors.Is(err, errBackingOff) ||
			!errors.Is(err, ErrNotSent) {
			t.Errorf("during the pause: answered after %s: %v", took, err)
		}
		if dialer.attempts != 1 {
			t.Errorf("%d attempts to connect", dialer.attempts)
		}
		// The pause grows, and stays below its bound.
		for attempt := 2; attempt < 8; attempt++ {
			time.Sleep(maxDialBackoff)
			if took, _ := callFor(t.Context(), client, time.Second); took != refusedAfter || dialer.attempts != attempt {
				t.Errorf("attempt %d: answered after %s, %d attempts", attempt, took, dialer.attempts)
			}
		}
	})
}

// Calls that come and go at a hanging peer never have more than one dial under way, and one that nobody waits
// for any more ends.
func TestOneDialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &fakeDialer{connect: hang}
		client := newDialledClient(dialer)
		for range 5 {
			if took, err := callFor(t.Context(), client, 50*time.Millisecond); took != 50*time.Millisecond ||
				!errors.Is(err, ErrNotSent) {
				t.Fatalf("%s %v", took, err)
			}
			synctest.Wait()
			if dialer.open != 0 {
				t.Fatal("a dial goes on that nobody waits for")
			}
		}
		if dialer.attempts != 5 || dialer.maxOpen != 1 {
			t.Errorf("%d attempts, %d at once", dialer.attempts, dialer.maxOpen)
		}
	})
}

// Closing a client ends the calls that wait for its connection; a later one opens another.
func TestCloseEndsCallsThatWaitForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &fakeDialer{connect: hang}
		client := newDialledClient(dialer)
		time.AfterFunc(10*time.Millisecond, client.Close)
		if took, err := callFor(t.Context(), client, 300*time.Millisecond); took != 10*time.Millisecond ||
			!errors.Is(err, ErrNotSent) {
			t.Errorf("%s %v", took, err)
		}
		dialer.connect = func(context.Context) (net.Conn, error) { return serveOverPipe(t, io.Copy), nil }
		if took, err := callFor(t.Context(), client, 300*time.Millisecond); err != nil {
			t.Errorf("%s %v", took, err)
		}
		client.Close()
	})
}

// A peer that takes a connection and reads nothing holds a call no longer than its limit, though the call's
// request is stuck on the way; then the connection is given up.
func TestAPeerThatDoesNotReadHoldsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = idleCallLimit + 100*time.Millisecond
		dialer := &fakeDialer{connect: func(context.Context) (net.Conn, error) {
			ours, theirs := net.Pipe()
			t.Cleanup(func() { _ = theirs.Close() })
			return ours, nil
		}}
		client := newDialledClient(dialer)
		defer client.Close()
		time.Sleep(time.Millisecond) // The client's clock is past its start.
		for attempt := 1; attempt <= 2; attempt++ {
			if took, err := callFor(t.Context(), client, limit); took != limit || !errors.Is(err, ErrTimeout) {
				t.Errorf("%s %v", took, err)
			}
			if dialer.attempts != attempt {
				t.Errorf("%d attempts to connect, not %d", dialer.attempts, attempt)
			}
		}
	})
}

// serveOverPipe serves the gated service on one end of a pipe and gives the other; the service's bytes are
// carried by deliver.
func serveOverPipe(t *testing.T, deliver func(into io.Writer, from io.Reader) (int64, error)) (conn net.Conn) {
	t.Helper()
	ours, middle := net.Pipe()
	theirs, end := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Gated", &gatedService{}); err != nil {
		t.Fatal(err)
	}
	go server.ServeCodec(newServerCodec(end))
	go func() {
		_, _ = io.Copy(theirs, middle)
		_ = theirs.Close()
	}()
	go func() {
		_, _ = deliver(middle, theirs)
		_ = middle.Close()
	}()
	return ours
}

// A large response may take longer than a peer may be silent, but one that stops arriving is given up.
func TestALargeResponseIsWaitedForWhileItArrives(t *testing.T) {
	const noData, limit = 300 * time.Millisecond, 5 * time.Second
	for name, c := range map[string]struct {
		gap, stopsAt time.Duration
		err          error
		took         time.Duration
	}{
		"arrives in pieces": {gap: 200 * time.Millisecond, stopsAt: time.Hour},
		"stops arriving":    {gap: 200 * time.Millisecond, stopsAt: 500 * time.Millisecond, err: ErrTimeout},
		"never begins":      {gap: time.Hour, stopsAt: time.Hour, err: ErrTimeout, took: noData},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				begun := time.Now()
				deliver := func(into io.Writer, from io.Reader) (carried int64, err error) {
					piece := make([]byte, 24)
					for time.Since(begun) < c.stopsAt {
						size, readErr := from.Read(piece)
						select {
						case <-time.After(c.gap):
						case <-ctx.Done():
							return carried, ctx.Err()
						}
						if _, err = into.Write(piece[:size]); err != nil || readErr != nil {
							return carried, readErr
						}
						carried += int64(size)
					}
					<-ctx.Done()
					return carried, nil
				}
				dialer := &fakeDialer{connect: func(context.Context) (net.Conn, error) { return serveOverPipe(t, deliver), nil }}
				client := newDialledClient(dialer)
				defer client.Close()
				var response GatedResponse
				err := client.CallLarge(t.Context(), "Gated.Ask", 30, &response, Limits{NoData: noData, Total: limit})
				took := time.Since(begun)
				if !errors.Is(err, c.err) || c.took > 0 && took != c.took || took > limit {
					t.Errorf("after %s: %v", took, err)
				}
				if c.err == nil && (took <= noData || response.Number != 30) {
					t.Errorf("after %s: %+v", took, response)
				}
			})
		})
	}
}
