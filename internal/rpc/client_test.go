package rpc

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// told answers by the number asked for; a negative one waits at the gate.
type told struct{ gate chan struct{} }

// ToldReply is its answer.
type ToldReply struct {
	Number int
	Rows   []int
	Note   string
}

func (d *told) Ask(number int, reply *ToldReply) (err error) {
	if number < 0 {
		<-d.gate
		reply.Note = "late"
	}
	reply.Number = number
	for range number {
		reply.Rows = append(reply.Rows, number)
	}
	return nil
}

// Refuse fills its reply and then says that it failed.
func (d *told) Refuse(number int, reply *ToldReply) (err error) {
	reply.Number = number
	return errors.New("no")
}

var callerPorts atomic.Int32

func served(t *testing.T) (caller *Client, gate chan struct{}) {
	t.Helper()
	gate = make(chan struct{})
	address := fmt.Sprintf("127.%d.%d.2:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20900+callerPorts.Add(1))
	listener, err := Serve(address, map[string]any{"Told": &told{gate}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	caller = NewClient(address)
	t.Cleanup(caller.Close)
	return caller, gate
}

// An answer that comes after its time goes nowhere: not into the reply of the one
// who has given up, which may be in use for something else, nor into another's.
func TestALateAnswerGoesNowhere(t *testing.T) {
	caller, gate := served(t)
	var reply ToldReply
	if err := caller.Call("Told.Ask", -1, &reply, 20*time.Millisecond); !errors.Is(err, ErrTimeout) {
		t.Fatal(err)
	}
	close(gate)
	// The same value is used again, over the same stream and over a new one.
	for n := 1; n < 200; n++ {
		if n == 100 {
			caller.Close()
		}
		reply = ToldReply{}
		if err := caller.Call("Told.Ask", n%5, &reply, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		if reply.Number != n%5 || len(reply.Rows) != n%5 || reply.Note != "" {
			t.Fatalf("asked for %d: %+v", n%5, reply)
		}
	}
}

// An answer is the whole value, not laid over what was there, and a call that
// fails leaves the reply as it was.
func TestAnAnswerIsNotMixed(t *testing.T) {
	caller, _ := served(t)
	reply := ToldReply{Number: 7, Rows: []int{1, 2, 3}, Note: "old"}
	if err := caller.Call("Told.Refuse", 3, &reply, 5*time.Second); err == nil || reply.Number != 7 || reply.Note != "old" {
		t.Fatalf("%+v %v", reply, err)
	}
	if err := caller.Call("Told.Ask", 0, &reply, 5*time.Second); err != nil || reply.Number != 0 || reply.Rows != nil || reply.Note != "" {
		t.Fatalf("%+v %v", reply, err)
	}
}

// Behind a stream that was given up a new one starts with the same numbers; what
// the old one still brings must not be taken for the new one's.
func TestACallerMadeAnewHearsOnlyItsOwn(t *testing.T) {
	caller, gate := served(t)
	var late ToldReply
	given := make(chan error, 1)
	go func() { given <- caller.Call("Told.Ask", -1, &late, 5*time.Second) }()
	for called := false; !called; {
		caller.mu.Lock()
		called = caller.client != nil
		caller.mu.Unlock()
	}
	caller.Close()
	if err := <-given; err == nil || late.Note != "" {
		t.Fatalf("%+v %v", late, err)
	}
	var reply ToldReply
	close(gate)
	if err := caller.Call("Told.Ask", 2, &reply, 5*time.Second); err != nil || reply.Number != 2 || reply.Note != "" {
		t.Fatalf("%+v %v", reply, err)
	}
}

// A time-out that comes late tells that the daemon stood still: the answer may be
// here unread, and the stream is not given up before it was read.
func TestAnAnswerThatCameInAStandstillIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		read bool
	}{"stood still": {pauseThreshold + time.Second, true}, "only waited": {0, false}} {
		caller, gate := served(t)
		looks := 0
		caller.clock = func() time.Duration {
			if looks++; looks == 1 {
				return 0
			}
			// The answer was on its way when the time-out was looked at.
			if looks == 2 && c.read {
				close(gate)
			}
			return time.Millisecond + c.late
		}
		var reply ToldReply
		err := caller.Call("Told.Ask", -1, &reply, time.Millisecond)
		if read := err == nil && reply.Note == "late"; read != c.read {
			t.Errorf("%s: %v, %+v", name, err, reply)
		}
		if !c.read {
			close(gate)
		}
	}
}
