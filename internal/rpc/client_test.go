package rpc

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// gatedService responds with the number in the request; a negative one waits until the
// gate is closed.
type gatedService struct{ gate chan struct{} }

// GatedResponse is its response.
type GatedResponse struct {
	Number int
	Rows   []int
	Note   string
}

func (d *gatedService) Ask(number int, response *GatedResponse) (err error) {
	if number < 0 {
		<-d.gate
		response.Note = "late"
	}
	response.Number = number
	for range number {
		response.Rows = append(response.Rows, number)
	}
	return nil
}

// Refuse fills its response and then fails.
func (d *gatedService) Refuse(number int, response *GatedResponse) (err error) {
	response.Number = number
	return errors.New("no")
}

var clientPorts atomic.Int32

func serveGated(t *testing.T) (client *Client, gate chan struct{}) {
	t.Helper()
	gate = make(chan struct{})
	address := fmt.Sprintf("127.%d.%d.2:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20900+clientPorts.Add(1))
	listener, err := Serve(address, map[string]any{"Gated": &gatedService{gate}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	client = NewClient(address)
	t.Cleanup(client.Close)
	return client, gate
}

// A response that comes after the timeout is written neither into the value of the
// call that has given up, which may be in use for something else, nor into another's.
func TestLateResponseIsDiscarded(t *testing.T) {
	client, gate := serveGated(t)
	var response GatedResponse
	if err := client.Call("Gated.Ask", -1, &response, 20*time.Millisecond); !errors.Is(err, ErrTimeout) {
		t.Fatal(err)
	}
	close(gate)
	// The same value is used again, over the same connection and over a new one.
	for n := 1; n < 200; n++ {
		if n == 100 {
			client.Close()
		}
		response = GatedResponse{}
		if err := client.Call("Gated.Ask", n%5, &response, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		if response.Number != n%5 || len(response.Rows) != n%5 || response.Note != "" {
			t.Fatalf("asked for %d: %+v", n%5, response)
		}
	}
}

// A response replaces the whole value, and a call that fails leaves the value as it
// was.
func TestResponseReplacesTheEntireValue(t *testing.T) {
	client, _ := serveGated(t)
	response := GatedResponse{Number: 7, Rows: []int{1, 2, 3}, Note: "old"}
	if err := client.Call("Gated.Refuse", 3, &response, 5*time.Second); err == nil || response.Number != 7 ||
		response.Note != "old" {
		t.Fatalf("%+v %v", response, err)
	}
	if err := client.Call("Gated.Ask", 0, &response, 5*time.Second); err != nil || response.Number != 0 ||
		response.Rows != nil ||
		response.Note != "" {
		t.Fatalf("%+v %v", response, err)
	}
}

// After a connection is given up a new one starts with the same numbers of calls; what
// arrives on the old one must not be taken for a response on the new one.
func TestNewConnectionGetsOnlyItsOwnResponses(t *testing.T) {
	client, gate := serveGated(t)
	var late GatedResponse
	given := make(chan error, 1)
	go func() { given <- client.Call("Gated.Ask", -1, &late, 5*time.Second) }()
	for called := false; !called; {
		client.mu.Lock()
		called = client.client != nil
		client.mu.Unlock()
	}
	client.Close()
	if err := <-given; err == nil || late.Note != "" {
		t.Fatalf("%+v %v", late, err)
	}
	var response GatedResponse
	close(gate)
	if err := client.Call("Gated.Ask", 2, &response, 5*time.Second); err != nil || response.Number != 2 ||
		response.Note != "" {
		t.Fatalf("%+v %v", response, err)
	}
}

// A timeout that comes late shows that the process stood still: the response may have
// arrived unread, and the connection is not given up before it is read.
func TestResponseThatArrivedDuringAPauseIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		read bool
	}{"stood still": {pauseThreshold + time.Second, true}, "only waited": {0, false}} {
		client, gate := serveGated(t)
		// The connection is open before, so that only the wait for the response has to fit the limit.
		var opened GatedResponse
		if err := client.Call("Gated.Ask", 0, &opened, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		looks := 0
		client.clock = func() time.Duration {
			if looks++; looks == 1 {
				return 0
			}
			// The response is on its way when the timeout is noticed.
			if looks == 2 && c.read {
				close(gate)
			}
			return time.Millisecond + c.late
		}
		var response GatedResponse
		err := client.Call("Gated.Ask", -1, &response, time.Millisecond)
		if read := err == nil && response.Note == "late"; read != c.read {
			t.Errorf("%s: %v, %+v", name, err, response)
		}
		if !c.read {
			close(gate)
		}
	}
}
